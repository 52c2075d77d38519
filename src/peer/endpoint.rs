//! The peer port of a daemon.

use std::{
    collections::HashMap,
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use quinn::{
    ClientConfig,
    Connection,
    EndpointConfig,
    ServerConfig,
    TransportConfig,
    VarInt, //
};

use super::{
    Error, Exchange, Identity,
    link::{
        Existing,
        Link, //
    },
};
use crate::{
    id,
    timer::Time, //
};

/// Time without any packet of the peer after which it counts as dead.
const IDLE_TIMEOUT_MS: u32 = 5_000;

/// Period of packets on a connection without traffic, which keep an exchange that waits for a cold
/// start from being taken for lost.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Longest wait for a connection; beyond it the next slot is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most exchanges that a peer may have open at once on a connection.
const MAX_EXCHANGES: u32 = 4_096;

/// The peer port of a daemon, with its connections.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    connections: Arc<Mutex<HashMap<id::Instance, Link>>>,
}

impl Endpoint {
    /// Binds the peer port. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// `Config` if the keys can't be used or the address is taken.
    pub fn bind(addr: SocketAddr, identity: &Identity) -> Result<Self, Error> {
        let mut server = ServerConfig::with_crypto(Arc::new(identity.server()?));
        server.transport_config(transport());
        let mut client = ClientConfig::new(Arc::new(identity.client()?));
        client.transport_config(client_transport());
        let mut quic = bind_quic(addr, server, identity)
            .map_err(|error| Error::Config(format!("{addr}: {error}")))?;
        quic.set_default_client_config(client);
        Ok(Self {
            quic,
            connections: Arc::default(),
        })
    }

    /// Opens an exchange with the named instance, over an existing connection if there is one.
    ///
    /// # Errors
    ///
    /// `Connect` means that nothing was sent.
    pub async fn open(&self, name: &id::Instance, addr: SocketAddr) -> Result<Exchange, Error> {
        let (connection, guard) = self.connection(name, addr).await?;
        let (send, receive) = connection
            .open_bi()
            .await
            .map_err(|error| Error::Connect(error.to_string()))?;
        Ok(Exchange::new(send, receive).with_guard(guard))
    }

    /// Closes the connections that no exchange has used for a while.
    pub fn close_unused(&self, now: Time) {
        self.lock().retain(|_, link| !link.close_if_unused(now));
    }

    /// Waits for the next connection of a peer; nothing after the port was closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.quic.accept().await
    }

    /// Returns the address of the peer port.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.quic.local_addr()
    }

    /// Returns the bytes of all UDP packets, in both directions, of the connections that this
    /// side opened and that are still known.
    pub fn bytes(&self) -> u64 {
        let connections = self.lock();
        let stats = connections.values().map(Link::stats);
        stats
            .map(|stats| stats.udp_tx.bytes + stats.udp_rx.bytes)
            .sum()
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.quic.close(VarInt::from_u32(0), b"closing");
    }

    async fn connection(
        &self,
        name: &id::Instance,
        addr: SocketAddr,
    ) -> Result<(Connection, Arc<()>), Error> {
        match self.existing(name, addr) {
            Existing::Usable(connection, guard) => Ok((connection, guard)),
            Existing::None => self.connect(name, addr).await,
            Existing::Silent(old) => {
                let connected = self.connect(name, addr).await;
                if connected.is_err() {
                    // Ends the exchanges that wait for the peer, so that they go elsewhere.
                    old.close(VarInt::from_u32(0), b"silent");
                }
                connected
            }
        }
    }

    async fn connect(
        &self,
        name: &id::Instance,
        addr: SocketAddr,
    ) -> Result<(Connection, Arc<()>), Error> {
        let connecting = self
            .quic
            .connect(addr, name.as_str())
            .map_err(|error| Error::Connect(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::Connect(format!("no answer within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| Error::Connect(error.to_string()))?;
        let link = Link::new(addr, connection.clone(), Time::now());
        let guard = link.guard();
        self.lock().insert(name.clone(), link);
        Ok((connection, guard))
    }

    fn existing(&self, name: &id::Instance, addr: SocketAddr) -> Existing {
        let mut connections = self.lock();
        let link = connections.get_mut(name);
        link.map_or(Existing::None, |link| link.reuse(addr, Time::now()))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Instance, Link>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn bind_quic(
    addr: SocketAddr,
    server: ServerConfig,
    identity: &Identity,
) -> io::Result<quinn::Endpoint> {
    let socket = UdpSocket::bind(addr)?;
    let config = EndpointConfig::new(Arc::new(identity.reset_key()));
    let runtime = Arc::new(quinn::TokioRuntime);
    quinn::Endpoint::new(config, Some(server), socket, runtime)
}

fn transport() -> Arc<TransportConfig> {
    Arc::new(common_transport())
}

/// Only the side that opened a connection keeps it alive; one side's packets serve both.
fn client_transport() -> Arc<TransportConfig> {
    let mut transport = common_transport();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    Arc::new(transport)
}

fn common_transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_EXCHANGES));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}

//! The QUIC endpoint on a daemon's peer port.

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

/// Time in ms without any packet from the peer after which a connection is considered lost.
const IDLE_TIMEOUT_MS: u32 = 5_000;

/// Period of keep-alive packets on a connection without traffic. Without them the idle timeout
/// would end an exchange that waits for a cold start.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);

/// Timeout for opening a connection, after which the caller tries the next slot.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of exchanges that a peer may have open at once on a connection.
const MAX_EXCHANGES: u32 = 4_096;

/// The QUIC endpoint on a daemon's peer port, with the connections that the daemon opened.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    connections: Arc<Mutex<HashMap<id::Instance, Link>>>,
}

impl Endpoint {
    /// Binds the peer port. Must be called in the context of a tokio runtime.
    ///
    /// # Errors
    ///
    /// `Config` if the certificates or the key can't be used or the address can't be bound.
    pub fn bind(addr: SocketAddr, identity: &Identity) -> Result<Self, Error> {
        let mut server = ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server.transport_config(server_transport());
        let mut client = ClientConfig::new(Arc::new(identity.client_config()?));
        client.transport_config(client_transport());
        let mut quic = bind_quic(addr, server, identity)
            .map_err(|error| Error::Config(format!("{addr}: {error}")))?;
        quic.set_default_client_config(client);
        Ok(Self {
            quic,
            connections: Arc::default(),
        })
    }

    /// Opens an exchange with an instance, on an existing connection if there is a usable one.
    ///
    /// # Errors
    ///
    /// `Connect` if no connection or no stream could be opened; nothing was sent.
    pub async fn open(&self, name: &id::Instance, addr: SocketAddr) -> Result<Exchange, Error> {
        let (connection, guard) = self.connection(name, addr).await?;
        let (send, receive) = connection
            .open_bi()
            .await
            .map_err(|error| Error::Connect(error.to_string()))?;
        Ok(Exchange::new(send, receive).with_guard(guard))
    }

    /// Closes the connections that have been unused for longer than `link::UNUSED_TIMEOUT`.
    pub fn close_unused(&self, now: Time) {
        self.lock().retain(|_, link| !link.close_if_unused(now));
    }

    /// Waits for the next connection from a peer. Returns `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.quic.accept().await
    }

    /// Returns the address of the peer port.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be read.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.quic.local_addr()
    }

    /// Returns the total size in bytes of the UDP datagrams sent and received on the connections
    /// that this daemon opened and has not yet closed or replaced.
    pub fn bytes(&self) -> u64 {
        let connections = self.lock();
        let stats = connections.values().map(Link::stats);
        stats
            .map(|stats| stats.udp_tx.bytes + stats.udp_rx.bytes)
            .sum()
    }

    /// Closes the endpoint and all its connections.
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
                    // Ends the exchanges that wait for the peer, so that their callers can try
                    // another instance.
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

fn server_transport() -> Arc<TransportConfig> {
    Arc::new(common_transport())
}

/// Returns the transport settings of the side that opens a connection. Only this side sends
/// keep-alive packets, because they keep the connection alive for both sides.
fn client_transport() -> Arc<TransportConfig> {
    let mut transport = common_transport();
    transport.keep_alive_interval(Some(KEEP_ALIVE_PERIOD));
    Arc::new(transport)
}

fn common_transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_EXCHANGES));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}

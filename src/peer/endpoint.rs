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
    Error,
    Exchange,
    Identity, //
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

/// Time after which a connection without exchanges is closed. Without it the packets that keep
/// connections alive would grow with the number of daemons.
const UNUSED_LIMIT: Duration = Duration::from_secs(15);

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

/// A connection that this side opened.
#[derive(Debug)]
struct Link {
    addr: SocketAddr,
    connection: Connection,
    /// Held by each open exchange as well.
    exchanges: Arc<()>,
    last_used: Time,
}

impl Link {
    fn is_usable(&self, addr: SocketAddr) -> bool {
        self.addr == addr && self.connection.close_reason().is_none()
    }

    fn is_unused(&self, now: Time) -> bool {
        Arc::strong_count(&self.exchanges) == 1 && now - self.last_used > UNUSED_LIMIT
    }
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
        self.lock().retain(|_, link| {
            let unused = link.is_unused(now);
            if unused {
                link.connection.close(VarInt::from_u32(0), b"unused");
            }
            !unused
        });
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
        let stats = connections.values().map(|link| link.connection.stats());
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
        if let Some(existing) = self.existing(name, addr) {
            return Ok(existing);
        }
        let connecting = self
            .quic
            .connect(addr, name.as_str())
            .map_err(|error| Error::Connect(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::Connect(format!("no answer within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| Error::Connect(error.to_string()))?;
        let exchanges = Arc::new(());
        let link = Link {
            addr,
            connection: connection.clone(),
            exchanges: exchanges.clone(),
            last_used: Time::now(),
        };
        self.lock().insert(name.clone(), link);
        Ok((connection, exchanges))
    }

    fn existing(&self, name: &id::Instance, addr: SocketAddr) -> Option<(Connection, Arc<()>)> {
        let mut connections = self.lock();
        let link = connections.get_mut(name)?;
        if !link.is_usable(addr) {
            return None;
        }
        link.last_used = Time::now();
        Some((link.connection.clone(), link.exchanges.clone()))
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

//! The peer port of a daemon.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use quinn::{
    ClientConfig,
    Connection,
    ServerConfig,
    TransportConfig,
    VarInt, //
};

use super::{
    Error,
    Exchange,
    Identity, //
};
use crate::id;

/// Time after which a connection without traffic is closed.
const IDLE_TIMEOUT_MS: u32 = 10_000;

/// Period of packets on a connection without traffic, which keep an exchange that waits for a cold
/// start from being taken for lost.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Longest wait for a connection; beyond it the next slot is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most exchanges that a peer may have open at once on a connection.
const MAX_EXCHANGES: u32 = 4_096;

/// The peer port of a daemon, with its connections.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    connections: Arc<Mutex<HashMap<id::Instance, (SocketAddr, Connection)>>>,
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
        client.transport_config(transport());
        let mut quic = quinn::Endpoint::server(server, addr)
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
        let connection = self.connection(name, addr).await?;
        let (send, receive) = connection
            .open_bi()
            .await
            .map_err(|error| Error::Connect(error.to_string()))?;
        Ok(Exchange::new(send, receive))
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
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.quic.local_addr()
    }

    /// Returns the bytes of all UDP packets, in both directions, of the connections that this
    /// side opened and that are still known.
    pub fn bytes(&self) -> u64 {
        let connections = self.lock();
        let stats = connections
            .values()
            .map(|(_, connection)| connection.stats());
        stats
            .map(|stats| stats.udp_tx.bytes + stats.udp_rx.bytes)
            .sum()
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.quic.close(VarInt::from_u32(0), b"closing");
    }

    async fn connection(&self, name: &id::Instance, addr: SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.existing(name, addr) {
            return Ok(connection);
        }
        let connecting = self
            .quic
            .connect(addr, name.as_str())
            .map_err(|error| Error::Connect(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::Connect(format!("no answer within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| Error::Connect(error.to_string()))?;
        let entry = (addr, connection.clone());
        self.lock().insert(name.clone(), entry);
        Ok(connection)
    }

    fn existing(&self, name: &id::Instance, addr: SocketAddr) -> Option<Connection> {
        let connections = self.lock();
        let (known, connection) = connections.get(name)?;
        let usable = *known == addr && connection.close_reason().is_none();
        usable.then(|| connection.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<id::Instance, (SocketAddr, Connection)>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_EXCHANGES));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(transport)
}

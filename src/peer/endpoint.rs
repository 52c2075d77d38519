//! The peer port of a daemon.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
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

/// Time without any packet from a peer that was sent something, after which a new connection is
/// tried. The loss of a connection shows only after the idle timeout, and every request that is
/// sent on it until then waits in vain.
const SILENCE: Duration = Duration::from_secs(1);

/// Most exchanges that a peer may have open at once on a connection.
const MAX_EXCHANGES: u32 = 4_096;

/// A connection to a peer and what was last heard on it.
#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    connection: Connection,
    /// Packets received when an exchange was opened at `asked_at`.
    received: u64,
    asked_at: Instant,
}

impl Peer {
    fn new(addr: SocketAddr, connection: Connection) -> Self {
        Self {
            addr,
            received: received(&connection),
            connection,
            asked_at: Instant::now(),
        }
    }

    /// Returns whether nothing was received since an exchange was opened a while ago.
    fn is_silent(&mut self) -> bool {
        let received = received(&self.connection);
        if received == self.received {
            return self.asked_at.elapsed() > SILENCE;
        }
        self.received = received;
        self.asked_at = Instant::now();
        false
    }
}

fn received(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

/// The peer port of a daemon, with its connections.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    peers: Arc<Mutex<HashMap<id::Instance, Peer>>>,
}

/// What is known of the connection to a peer.
enum Existing {
    None,
    Usable(Connection),
    Silent(Connection),
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
            peers: Arc::default(),
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

    /// Closes all connections.
    pub fn close(&self) {
        self.quic.close(VarInt::from_u32(0), b"closing");
    }

    async fn connection(&self, name: &id::Instance, addr: SocketAddr) -> Result<Connection, Error> {
        match self.existing(name, addr) {
            Existing::Usable(connection) => Ok(connection),
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

    async fn connect(&self, name: &id::Instance, addr: SocketAddr) -> Result<Connection, Error> {
        let connecting = self
            .quic
            .connect(addr, name.as_str())
            .map_err(|error| Error::Connect(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::Connect(format!("no answer within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| Error::Connect(error.to_string()))?;
        let peer = Peer::new(addr, connection.clone());
        self.lock().insert(name.clone(), peer);
        Ok(connection)
    }

    fn existing(&self, name: &id::Instance, addr: SocketAddr) -> Existing {
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(name) else {
            return Existing::None;
        };
        if peer.addr != addr || peer.connection.close_reason().is_some() {
            return Existing::None;
        }
        let connection = peer.connection.clone();
        if peer.is_silent() {
            Existing::Silent(connection)
        } else {
            Existing::Usable(connection)
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<id::Instance, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
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

//! The entry: accepts clients' requests and routes them to agents.

pub mod admission;
pub mod budget;
pub mod header;
pub mod path;
pub mod problem;
pub mod relay;
pub mod retry;
pub mod route;
pub mod sse;

mod body;
mod chat;
mod connection;
mod dispatch;
mod handler;
mod job;
mod responder;
mod server;
mod service;
mod shared;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    sync::{
        Semaphore,
        watch, //
    },
    time,
};

use crate::{
    context::Context,
    credential::Credentials,
    id,
    settings, //
};
use shared::Shared;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Interval at which the state of removed servers and institutions is deleted.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// The caller port of an entry and its requests in flight.
#[derive(Debug, Clone)]
pub struct Entry {
    caller_addr: SocketAddr,
    connections: Arc<Semaphore>,
    closing: watch::Sender<bool>,
    shared: Arc<Shared>,
}

impl Entry {
    /// Binds the caller port, to which clients connect, and serves it until `drained` is called.
    ///
    /// # Errors
    ///
    /// `InvalidInput` if the digest of a token is malformed, or the error of binding the port.
    pub fn start(context: Context, settings: &settings::Entry) -> io::Result<Self> {
        let credentials = credentials(settings)?;
        let runtime = context.runtime.clone();
        let _guard = runtime.enter();
        let listener = listen(settings.caller_addr)?;
        let caller_addr = listener.local_addr()?;
        let connections = Arc::new(Semaphore::new(server::MAX_CONNECTIONS as usize));
        let (closing, closing_receiver) = watch::channel(false);
        let shared = Arc::new(Shared::new(context, credentials));
        runtime.spawn(clean_up(shared.clone(), closing_receiver.clone()));
        runtime.spawn(server::run(
            shared.clone(),
            listener,
            connections.clone(),
            closing_receiver,
        ));
        Ok(Self {
            caller_addr,
            connections,
            closing,
            shared,
        })
    }

    /// Returns the address of the caller port.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Records that the agent registered at `epoch` announced that its server takes no new
    /// requests.
    pub fn record_leaving(&self, server: &id::Instance, epoch: u64) {
        self.shared.routes().record_leaving(server, epoch);
    }

    /// Refuses new connections and waits until all connections and requests have ended.
    pub async fn drained(&self) {
        self.closing.send_replace(true);
        // Connections and requests hold permits. Can't fail, since the semaphore is never closed.
        let _ = self.connections.acquire_many(server::MAX_CONNECTIONS).await;
    }
}

fn credentials(settings: &settings::Entry) -> io::Result<Credentials<id::Institution>> {
    let mut digests = Vec::new();
    for (institution, tokens) in &settings.institutions {
        let owned = tokens.iter().map(|hex| (hex.as_str(), institution.clone()));
        digests.extend(owned);
    }
    Credentials::new(digests.iter().cloned()).map_err(|index| {
        let owner = &digests[index].1;
        let message = format!("a token digest of institution {owner} is not 64 hex digits");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}

/// Binds the caller port. Must be called within a tokio runtime.
fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Periodically deletes state that is no longer needed, until the entry closes.
async fn clean_up(shared: Arc<Shared>, mut closing_receiver: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(CLEANUP_INTERVAL) => shared.clean_up(),
            _ = closing_receiver.wait_for(|closing| *closing) => return,
        }
    }
}

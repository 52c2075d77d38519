//! The entry: accepts callers' requests and routes them to agents.

pub mod admission;
pub mod budget;
pub mod credential;
pub mod header;
pub mod path;
pub mod problem;
pub mod relay;
pub mod retry;
pub mod route;
pub mod sse;

mod body;
mod chat;
mod dispatch;
mod job;
mod reply;
mod server;
mod service;
mod shared;

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use tokio::{
    net::TcpSocket,
    sync::{
        Semaphore,
        watch, //
    },
};

use crate::{
    context::Context,
    settings,
    wire, //
};
use credential::Credentials;
use shared::Shared;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The caller port of an entry and the requests in its hands.
#[derive(Debug, Clone)]
pub struct Entry {
    caller_addr: SocketAddr,
    shared: Arc<Shared>,
    connections: Arc<Semaphore>,
    closing: watch::Sender<bool>,
}

impl Entry {
    /// Binds the caller port and serves it until `drained` is called.
    ///
    /// # Errors
    ///
    /// `InvalidInput` if a token's digest is malformed, otherwise why the port can't be bound.
    pub fn start(context: Context, settings: &settings::Entry) -> io::Result<Self> {
        let institutions = settings.institutions.iter();
        let digests = institutions.flat_map(|(institution, digests)| {
            let owner = move |digest: &String| (digest.clone(), institution.clone());
            digests.iter().map(owner)
        });
        let digests: Vec<_> = digests.collect();
        let pairs = digests
            .iter()
            .map(|(hex, owner)| (hex.as_str(), owner.clone()));
        let credentials = Credentials::new(pairs).map_err(|index| {
            let owner = &digests[index].1;
            let message = format!("a token digest of institution {owner} is not 64 hex digits");
            io::Error::new(io::ErrorKind::InvalidInput, message)
        })?;
        let runtime = context.runtime.clone();
        let _guard = runtime.enter();
        let socket = match settings.caller_addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(settings.caller_addr)?;
        let listener = socket.listen(BACKLOG)?;
        let caller_addr = listener.local_addr()?;
        let connections = Arc::new(Semaphore::new(server::MAX_CONNECTIONS as usize));
        let (closing, closes) = watch::channel(false);
        let shared = Arc::new(Shared::new(context, credentials));
        let serving = server::run(shared.clone(), listener, connections.clone(), closes);
        runtime.spawn(serving);
        Ok(Self {
            caller_addr,
            shared,
            connections,
            closing,
        })
    }

    /// Returns the address of the caller port.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Notes that a backend server takes no new work.
    pub fn note_leaving(&self, notice: &wire::Leaving) {
        self.shared.routes().leaving(&notice.server, notice.epoch);
    }

    /// Refuses new connections and waits until no request is in flight.
    pub async fn drained(&self) {
        self.closing.send_replace(true);
        // Connections and requests hold permits; the semaphore is never closed.
        let _ = self.connections.acquire_many(server::MAX_CONNECTIONS).await;
    }
}

//! The port for clients.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::TcpStream,
    sync::{
        Notify,
        watch, //
    },
    time::timeout,
};

use super::{
    handler,
    state::State, //
};
use crate::{
    http,
    report, //
};

/// Least read buffer of a connection in bytes, as the HTTP library asks.
const LEAST_BUFFER: usize = 8 << 10;

/// The port for clients.
#[derive(Debug)]
pub(super) struct Server {
    state: Rc<State>,
    connections: Cell<usize>,
    closing: watch::Sender<bool>,
    closed: Notify,
}

impl Server {
    pub(super) fn new(state: Rc<State>) -> Self {
        Self {
            state,
            connections: Cell::new(0),
            closing: watch::Sender::new(false),
            closed: Notify::new(),
        }
    }

    /// Accepts connections for ever.
    pub(super) async fn accept(self: Rc<Self>, address: SocketAddr) {
        let take = |stream| {
            let server = self.clone();
            tokio::task::spawn_local(async move { server.connection(stream).await });
        };
        http::listen(address, take).await;
    }

    async fn connection(&self, stream: TcpStream) {
        if http::configure(&stream).is_err() {
            return;
        }
        self.connections.set(self.connections.get() + 1);
        let limits = self.state.follower.configuration().limits;
        let state = self.state.clone();
        let service = service_fn(move |request| handler::serve(state.clone(), request));
        // The library counts the idle time between requests as time for the next head.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.subscribe();
        tokio::select! {
            // An error here is the client's: it left, or sent what is no request.
            _ = connection.as_mut() => (),
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
        self.connections.set(self.connections.get() - 1);
        self.closed.notify_one();
    }

    /// Closes idle connections and waits for the requests in flight.
    pub(super) async fn drain(&self, within: Duration) {
        self.closing.send_replace(true);
        let all = async {
            while self.connections.get() > 0 {
                self.closed.notified().await;
            }
        };
        if timeout(within, all).await.is_err() {
            report::warn("cut", &[("connections", &self.connections.get())]);
        }
    }
}

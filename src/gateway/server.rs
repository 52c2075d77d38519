//! The port for clients.

use std::{
    cell::Cell,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use hyper::{
    Request,
    Version,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::{
        Notify,
        watch, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    handler,
    state::State, //
};
use crate::{
    http,
    report, //
};

/// Minimum size in bytes of a connection's read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The port for clients.
#[derive(Debug)]
pub(super) struct Server {
    state: Rc<State>,
    connections: Cell<usize>,
    closing: watch::Sender<bool>,
    connection_closed: Notify,
}

impl Server {
    pub(super) fn new(state: Rc<State>) -> Self {
        Self {
            state,
            connections: Cell::new(0),
            closing: watch::Sender::new(false),
            connection_closed: Notify::new(),
        }
    }

    /// Accepts connections; never returns.
    pub(super) async fn accept(self: Rc<Self>, address: SocketAddr) {
        let handle = |stream| {
            let server = self.clone();
            tokio::task::spawn_local(async move { server.handle_connection(stream).await });
        };
        http::listen(address, handle).await;
    }

    async fn handle_connection(&self, stream: TcpStream) {
        if http::configure(&stream).is_err() {
            return;
        }
        self.connections.set(self.connections.get() + 1);
        let limits = self.state.follower.configuration().limits;
        let state = self.state.clone();
        let is_unmarked = Rc::new(Cell::new(false));
        let is_response_unmarked = is_unmarked.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let is_old_client = request.version() < Version::HTTP_11;
            let is_unmarked = is_response_unmarked.clone();
            let response = handler::serve(state.clone(), request);
            async move {
                let response = response.await?;
                is_unmarked.set(is_old_client || response.version() < Version::HTTP_11);
                Ok::<_, Infallible>(response)
            }
        });
        // The library counts the idle time between requests as time to read the next head, so the
        // idle timeout applies to both.
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut closing = self.closing.subscribe();
        let result = tokio::select! {
            result = &mut connection => result,
            _ = closing.wait_for(|closing| *closing) => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        // An error is caused by the client, which disconnected or sent an invalid request, or by a
        // response that was broken off.
        if result.is_err() && is_unmarked.get() {
            reset(connection.into_parts().io.into_inner()).await;
        }
        self.connections.set(self.connections.get() - 1);
        self.connection_closed.notify_one();
    }

    /// Closes idle connections and waits for the requests in flight, at most for the given time.
    pub(super) async fn drain(&self, within: Duration) {
        self.closing.send_replace(true);
        let all_closed = async {
            while self.connections.get() > 0 {
                self.connection_closed.notified().await;
            }
        };
        if timeout(within, all_closed).await.is_err() {
            report::warn("cut", &[("connections", &self.connections.get())]);
        }
    }
}

/// Resets a connection, so that the client does not take its end for the end of a response.
async fn reset(stream: TcpStream) {
    /// Time in which the bytes that were sent reach the client.
    const FLUSH_TIME: Duration = Duration::from_millis(50);
    sleep(FLUSH_TIME).await;
    if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        report::warn("reset_failed", &[("error", &error)]);
    }
}

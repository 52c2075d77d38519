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
use tokio::{
    net::TcpStream,
    sync::{
        Notify,
        watch, //
    },
    task::JoinHandle,
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
    deployment::Limits,
    http::{
        self,
        Socket, //
    },
    report,
};

/// Minimum size in bytes of a connection's read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Received bytes for one byte of a request's body: a chunk of one byte takes six.
const MAX_FRAMING_FACTOR: usize = 8;

/// Time in which bytes that have arrived are read.
const READ_TIME: Duration = Duration::from_millis(20);

/// Time in which the first request on a new connection arrives.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);

/// Time in which the bytes that were sent reach the client before a connection is reset.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// The port for clients.
#[derive(Debug)]
pub(super) struct Server {
    state: Rc<State>,
    connections: Cell<usize>,
    port_closing: watch::Sender<bool>,
    closing: watch::Sender<bool>,
    connection_closed: Notify,
}

impl Server {
    pub(super) fn new(state: Rc<State>) -> Self {
        Self {
            state,
            connections: Cell::new(0),
            port_closing: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            connection_closed: Notify::new(),
        }
    }

    /// Accepts connections until the port is closed.
    pub(super) async fn accept(self: Rc<Self>, address: SocketAddr) {
        let handle = |stream| {
            // Counted at once, so that none is missed while the last ones are accepted.
            self.connections.set(self.connections.get() + 1);
            let server = self.clone();
            tokio::task::spawn_local(async move { server.handle_connection(stream).await });
        };
        http::listen_until(address, self.port_closing.subscribe(), handle).await;
    }

    /// Closes the port, once all connections are accepted that the operating system has taken.
    pub(super) async fn close_port(&self, accepting: JoinHandle<()>) {
        self.port_closing.send_replace(true);
        // The task ends by itself: it waits for nothing but the listener.
        let _ = accepting.await;
    }

    async fn handle_connection(&self, stream: TcpStream) {
        // No limit on the time for which sent bytes stay unread: a client that reads slowly is no
        // client that is gone, and the request's deadline ends both.
        if stream.set_nodelay(true).is_ok() {
            self.serve(stream).await;
        }
        self.connections.set(self.connections.get() - 1);
        self.connection_closed.notify_one();
    }

    async fn serve(&self, stream: TcpStream) {
        let limits = self.state.follower.configuration().limits;
        let state = self.state.clone();
        let socket = Socket::new(stream, allowance(&limits));
        let response_socket = socket.clone();
        let has_request = Rc::new(Cell::new(false));
        let seen = has_request.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            seen.set(true);
            let is_old_client = request.version() < Version::HTTP_11;
            let socket = response_socket.clone();
            socket.set_allowance(allowance(&state.follower.configuration().limits));
            let response = handler::serve(state.clone(), request);
            async move {
                let response = response.await?;
                // The client takes the end of the connection for the end of such a response, so
                // until then it must not end in order, even if this process is killed.
                let is_unmarked = is_old_client || response.version() < Version::HTTP_11;
                socket.set_reset_on_close(is_unmarked);
                Ok::<_, Infallible>(response)
            }
        });
        // The library counts the idle time between requests as time to read the next head, so the
        // idle timeout applies to both.
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(socket.clone()), service);
        let mut closing = self.closing.subscribe();
        let unread = async {
            // Waiting can't fail: the sender lives as long as this server.
            let _ = closing.wait_for(|closing| *closing).await;
            wait_until_read(&socket, &has_request).await;
        };
        let result = tokio::select! {
            result = &mut connection => result,
            () = unread => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        match result {
            Ok(()) => socket.set_reset_on_close(false),
            // The client disconnected or sent an invalid request, or a response was broken off.
            Err(_) if socket.resets_on_close() => sleep(FLUSH_TIME).await,
            Err(_) => (),
        }
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

/// Waits until what has arrived on a connection is read, so that no request is cut off that was sent
/// before the connection is closed.
async fn wait_until_read(socket: &Socket, has_request: &Cell<bool>) {
    let first = if has_request.get() {
        READ_TIME
    } else {
        FIRST_REQUEST_TIME
    };
    sleep(first).await;
    while socket.has_unread() {
        sleep(READ_TIME).await;
    }
}

/// Returns how many bytes a client may send from the start of a request to the end of the next head.
fn allowance(limits: &Limits) -> usize {
    let header_bytes = limits.header_bytes.max(MIN_BUFFER_BYTES);
    let body_bytes = limits.body_bytes.saturating_mul(MAX_FRAMING_FACTOR);
    body_bytes.saturating_add(2 * header_bytes)
}

//! The caller port: accepts clients' HTTP/1.1 connections and serves them.

use std::{
    convert::Infallible,
    sync::Arc,
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
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
    time,
};

use super::{
    connection::{
        Activity,
        Connection, //
    },
    handler,
    shared::Shared, //
};
use crate::report;

/// Maximum number of connections at a time.
pub(super) const MAX_CONNECTIONS: u32 = 4_096;

/// Maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum time between requests on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a failed accept. While the process has no free file descriptors, an accept without
/// the delay would fail again immediately.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `closing` becomes true.
pub(super) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    connections: Arc<Semaphore>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                report::warn("accept_failed", &[("error", &error)]);
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match connections.clone().try_acquire_owned() {
            Ok(permit) => {
                let serving = serve(shared.clone(), stream, permit, closing.clone());
                tokio::spawn(serving);
            }
            // Dropping the stream closes it immediately, so that the client can try another entry.
            Err(_) => shared.context.metrics.count("connection", "too_many"),
        }
    }
}

/// Serves a connection until it ends. Once `closing` is true, it ends after the request in flight.
async fn serve(
    shared: Arc<Shared>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    mut closing: watch::Receiver<bool>,
) {
    // Pieces are small and the client waits for each of them, so they are sent without delay. Fails
    // only if the client has disconnected.
    let _ = stream.set_nodelay(true);
    let permit = Arc::new(permit);
    let activity = Activity::default();
    let connection = Connection::new(stream, activity.clone());
    let service = service_fn(move |request| {
        let in_flight = activity.begin();
        let (shared, permit) = (shared.clone(), permit.clone());
        async move {
            let response = handler::respond(shared, permit, request).await;
            Ok::<_, Infallible>(response.map(|body| body.hold(in_flight)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(IDLE_TIMEOUT);
    let serving = builder.serve_connection(TokioIo::new(connection), service);
    tokio::pin!(serving);
    // An error means that the client closed the connection or violated the protocol. It ends the
    // connection.
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

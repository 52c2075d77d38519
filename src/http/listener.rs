//! Accepts connections, and serves responses that don't depend on the request.

use std::{
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
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
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

use crate::report;

/// Pause before an address is bound again, or after a failed accept.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time in which a connection that the operating system has accepted is handed over.
const BACKLOG_TIME: Duration = Duration::from_millis(10);

/// Time within which a client of such responses must send its next request, which includes the time
/// for which its connection may be idle.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of the head of such a request in bytes.
const MAX_REQUEST_BYTES: usize = 16 << 10;

/// Accepts the connections to an address and passes them to `handle`; never returns.
pub(crate) async fn listen(address: SocketAddr, mut handle: impl FnMut(TcpStream)) {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => accept(&listener, &mut handle).await,
            Err(error) => report::warn("bind_failed", &[("addr", &address), ("error", &error)]),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Accepts connections as [`listen`] does until `stopping` becomes true, then those that the operating
/// system has accepted meanwhile, and closes the port.
pub(crate) async fn listen_until(
    address: SocketAddr,
    mut stopping: watch::Receiver<bool>,
    mut handle: impl FnMut(TcpStream),
) {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => report::warn("bind_failed", &[("addr", &address), ("error", &error)]),
        }
        tokio::select! {
            () = sleep(RETRY_PAUSE) => (),
            _ = stopping.wait_for(|stopping| *stopping) => return,
        }
    };
    tokio::select! {
        () = accept(&listener, &mut handle) => (),
        _ = stopping.wait_for(|stopping| *stopping) => (),
    }
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_TIME, listener.accept()).await {
        handle(stream);
    }
}

async fn accept(listener: &TcpListener, handle: &mut impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(error) => {
                report::warn("accept_failed", &[("error", &error)]);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves every request to an address with the response that `respond` returns; never returns.
pub(crate) async fn serve(
    address: SocketAddr,
    respond: impl Fn() -> Response<Full<Bytes>> + 'static,
) {
    let respond = Rc::new(respond);
    let handle = |stream| {
        let respond = respond.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| {
                let response = respond();
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(REQUEST_TIMEOUT)
                .max_buf_size(MAX_REQUEST_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // The client notices a broken connection; nothing else depends on it.
            let _ = connection.await;
        });
    };
    listen(address, handle).await;
}

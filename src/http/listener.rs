//! Listening for connections.

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
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep,
};

use crate::report;

/// Pause before an address is bound again, or after an accept that failed.
const AGAIN: Duration = Duration::from_millis(200);

/// Hands the connections of an address to `take`, for ever.
pub(crate) async fn listen(address: SocketAddr, mut take: impl FnMut(TcpStream)) {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => accept(&listener, &mut take).await,
            Err(error) => report::warn("bind_failed", &[("addr", &address), ("error", &error)]),
        }
        sleep(AGAIN).await;
    }
}

async fn accept(listener: &TcpListener, take: &mut impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                report::warn("accept_failed", &[("error", &error)]);
                sleep(AGAIN).await;
            }
        }
    }
}

/// Answers every request to an address with what `answer` returns, for ever.
pub(crate) async fn answer(
    address: SocketAddr,
    answer: impl Fn() -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    let take = |stream| {
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| {
                let response = answer();
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The asker sees a connection that breaks; nothing else depends on it.
            let _ = connection.await;
        });
    };
    listen(address, take).await;
}

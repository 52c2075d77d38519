//! The port on which the balancer asks whether the gateway takes clients.

use std::{
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    time::sleep, //
};

use super::state::State;
use crate::report;

/// Pause before the port is bound again, or after an accept that failed.
const REBIND: Duration = Duration::from_millis(200);

/// Answers for ever.
pub(super) async fn serve(address: SocketAddr, state: Rc<State>) {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => accept(&listener, &state).await,
            Err(error) => report::warn("bind_failed", &[("addr", &address), ("error", &error)]),
        }
        sleep(REBIND).await;
    }
}

async fn accept(listener: &TcpListener, state: &Rc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(REBIND).await;
            continue;
        };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| answer(state.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The asker sees a connection that breaks; nothing else depends on it.
            let _ = connection.await;
        });
    }
}

async fn answer(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() == "/metrics" {
        return Ok(Response::new(Full::from(state.metrics.text())));
    }
    let mut response = Response::new(Full::default());
    if !state.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

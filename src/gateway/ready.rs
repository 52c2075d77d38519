//! The port on which the load balancer polls whether the gateway is ready for clients.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    StatusCode, //
};

use super::state::State;
use crate::http;

/// Responds to polls; never returns.
pub(super) async fn serve(address: SocketAddr, state: Rc<State>) {
    http::serve(address, move || readiness(&state)).await;
}

fn readiness(state: &State) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !state.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

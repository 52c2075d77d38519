//! The operator port of entries and agents: health, metrics and status.

mod status;

use std::{
    io,
    net::SocketAddr,
    thread, //
};

use log::Level;
use rouille::{
    Request,
    Response,
    Server, //
};

use crate::{
    context::Context,
    credential::{
        Credentials,
        bearer, //
    },
    report, //
};

/// Number of threads that serve operators' requests.
const THREADS: usize = 2;

/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Binds the operator port, starts to serve it until the process exits, and returns its address.
///
/// Every path except `/healthz` and `/readyz` requires an operator's bearer token.
///
/// # Errors
///
/// `InvalidInput` if a token's digest is malformed, otherwise the error from binding the port or
/// starting the thread.
pub fn start(context: &Context) -> io::Result<SocketAddr> {
    let operators = credentials(context)?;
    let addr = context.settings.operator_addr;
    let context = context.clone();
    let handler = move |request: &Request| respond(&context, &operators, request);
    let server = Server::new(addr, handler)
        .map_err(|error| io::Error::other(format!("{addr}: {error}")))?
        .pool_size(THREADS);
    let bound_addr = server.server_addr();
    thread::Builder::new()
        .name("operator".to_owned())
        .spawn(move || server.run())?;
    Ok(bound_addr)
}

fn credentials(context: &Context) -> io::Result<Credentials<String>> {
    let operators = &context.settings.operators;
    let digests = operators
        .iter()
        .map(|(name, digest)| (digest.as_str(), name.clone()));
    Credentials::new(digests).map_err(|index| {
        let name = operators.keys().nth(index).map_or("", String::as_str);
        let message = format!("the token digest of operator {name} is not 64 hex digits");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}

fn respond(context: &Context, operators: &Credentials<String>, request: &Request) -> Response {
    if request.method() != "GET" {
        return Response::text("only GET is served\n").with_status_code(405);
    }
    let path = request.url();
    match path.as_str() {
        "/healthz" => return Response::text("ok\n"),
        "/readyz" => return readiness(context),
        _ => (),
    }
    let token = request.header("Authorization").and_then(bearer);
    let Some(operator) = token.and_then(|token| operators.find(token)) else {
        report::info("operator_refused", &[("path", &path)]);
        return Response::text("a valid bearer token is needed\n")
            .with_status_code(401)
            .with_additional_header("WWW-Authenticate", "Bearer");
    };
    let pairs: [(&str, &dyn std::fmt::Display); 2] = [("operator", &operator), ("path", &path)];
    report::event(Level::Debug, "operator", &pairs);
    match path.as_str() {
        "/metrics" => Response::from_data(OPEN_METRICS, context.metrics.text()),
        "/status" => Response::json(&status::status(context)),
        _ => Response::text("there is no such page\n").with_status_code(404),
    }
}

fn readiness(context: &Context) -> Response {
    if status::is_ready(context) {
        Response::text("ready\n")
    } else {
        Response::text("not ready\n").with_status_code(503)
    }
}

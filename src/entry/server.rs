//! The caller port: HTTP/1.1 connections and the requests on them.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Method,
    Request,
    Response,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
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
use uuid::Uuid;

use super::{
    body::Body,
    chat,
    dispatch,
    header,
    problem::Problem,
    reply::Reply,
    service,
    shared::Shared, //
};
use crate::{
    id,
    report,
    timer::Time,
    wire, //
};

/// Most connections at once.
pub(super) const MAX_CONNECTIONS: u32 = 4_096;

/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, which fails again at once while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What is known of a request before its target.
#[derive(Debug)]
pub(super) struct Call {
    /// Id in the system: the caller's with a suffix, since callers may choose the same.
    pub(super) id: id::Request,
    /// Id that the caller gave or would have given.
    pub(super) echo: String,
    pub(super) institution: id::Institution,
    pub(super) started: Time,
    pub(super) deadline: Time,
}

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
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match connections.clone().try_acquire_owned() {
            Ok(permit) => {
                let connection = connection(shared.clone(), stream, permit, closing.clone());
                tokio::spawn(connection);
            }
            // Dropping the stream closes it at once, so that the caller can go elsewhere.
            Err(_) => shared.context.metrics.count("connection", "too_many"),
        }
    }
}

async fn connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    mut closing: watch::Receiver<bool>,
) {
    // Pieces are small and each is waited for; fails only if the caller is gone.
    let _ = stream.set_nodelay(true);
    let permit = Arc::new(permit);
    let service = service_fn(move |request| {
        let (shared, permit) = (shared.clone(), permit.clone());
        async move { Ok::<_, Infallible>(answer(shared, permit, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(HEAD_TIMEOUT);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    // An error means that the caller broke the connection or the protocol, and ends it.
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

async fn answer(
    shared: Arc<Shared>,
    permit: Arc<OwnedSemaphorePermit>,
    request: Request<Incoming>,
) -> Response<Body> {
    let echo = header::request_id(request.headers());
    match take(&shared, &echo, permit, request).await {
        Ok(response) => response,
        Err(problem) => {
            let pairs: [(&str, &dyn std::fmt::Display); 3] = [
                ("request", &echo),
                ("reason", &problem.code),
                ("detail", &problem.detail),
            ];
            report::info("refused", &pairs);
            shared.context.metrics.count("caller", problem.code);
            problem.response(&echo)
        }
    }
}

async fn take(
    shared: &Arc<Shared>,
    echo: &str,
    permit: Arc<OwnedSemaphorePermit>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let call = identify(shared, echo, &request)?;
    let (parts, body) = request.into_parts();
    let (job, ticket) = match (parts.method.clone(), parts.uri.path()) {
        (Method::GET, "/v1/models") => return Ok(chat::models(shared, &call)),
        (Method::POST, "/v1/chat/completions") => {
            chat::take(shared, &call, read(body, call.deadline).await?)?
        }
        (_, path) if path.starts_with("/services/") => {
            service::take(shared, &call, &parts, read(body, call.deadline).await?)?
        }
        (_, "/v1/models" | "/v1/chat/completions") => {
            let detail = "the path has no such method";
            return Err(Problem::not_run(405, "bad_method", detail));
        }
        _ => return Err(not_found()),
    };
    let (reply, answer) = Reply::new(echo);
    let shared = shared.clone();
    tokio::spawn(async move {
        dispatch::run(shared, job, reply, ticket).await;
        drop(permit);
    });
    // Fails only if the task panicked.
    answer.await.map_err(|_| {
        let detail = "the request ended without an answer";
        Problem::unknown(500, "internal", detail)
    })
}

fn identify(shared: &Shared, echo: &str, request: &Request<Incoming>) -> Result<Call, Problem> {
    let started = Time::now();
    let institution = header::token(request.headers())
        .and_then(|token| shared.credentials.find(token))
        .ok_or_else(|| Problem::not_run(401, "unauthorized", "a valid bearer token is needed"))?;
    let timeout = header::timeout(request.headers())?;
    let suffix = Uuid::new_v4().simple().to_string();
    Ok(Call {
        id: id::Request::from(format!("{echo}~{}", &suffix[..16]).as_str()),
        echo: echo.to_owned(),
        institution,
        started,
        deadline: started + timeout,
    })
}

async fn read(body: Incoming, deadline: Time) -> Result<Bytes, Problem> {
    let limit = Duration::min(BODY_TIMEOUT, deadline.remaining(Time::now()));
    let collecting = Limited::new(body, wire::MAX_BODY_BYTES).collect();
    match time::timeout(limit, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {} bytes", wire::MAX_BODY_BYTES);
            Err(Problem::not_run(413, "body_too_large", detail))
        }
        Ok(Err(error)) => Err(Problem::not_run(400, "bad_body", error.to_string())),
        Err(_) => Err(Problem::not_run(
            408,
            "body_timeout",
            "the body took too long",
        )),
    }
}

/// Returns the problem of a target that does not exist or that the caller may not call.
pub(super) fn not_found() -> Problem {
    Problem::not_run(404, "not_found", "there is no such target")
}

/// Returns an answer with a whole body.
pub(super) fn whole(echo: &str, content_type: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Some(Bytes::from(body))));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(id) = HeaderValue::from_str(echo) {
        headers.insert(header::REQUEST_ID, id);
    }
    response
}

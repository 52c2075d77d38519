//! Handles an HTTP request of a client: authenticates, reads and admits it, and dispatches its job.

use std::{
    fmt::Display,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use log::Level;
use tokio::{
    sync::OwnedSemaphorePermit,
    time, //
};
use uuid::Uuid;

use super::{
    body::Body,
    chat, dispatch, header,
    job::Job,
    problem::Problem,
    responder::Responder,
    service,
    shared::{
        Shared,
        Ticket, //
    },
};
use crate::{
    credential,
    id,
    report,
    timer::Time,
    wire, //
};

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of a target's name in the log, in bytes.
const MAX_TARGET_BYTES: usize = 100;

/// Properties of a request that are known before its target is resolved.
#[derive(Debug)]
pub(super) struct Envelope {
    /// Id within the system: the echoed id with a suffix, since clients may choose equal ids.
    pub(super) id: id::Request,
    /// Id that is returned to the client: the one it sent, or a new one.
    pub(super) echoed_id: String,
    pub(super) institution: id::Institution,
    /// Name of the model or service as the client gave it, truncated for the log. Empty until it
    /// has been read.
    pub(super) target: String,
    pub(super) started_at: Instant,
    pub(super) deadline: Time,
}

/// Handles a request and returns the response. Holds `permit` until all work for the request has
/// ended.
pub(super) async fn respond(
    shared: Arc<Shared>,
    permit: Arc<OwnedSemaphorePermit>,
    request: Request<Incoming>,
) -> Response<Body> {
    let echoed_id = header::request_id(request.headers());
    let mut envelope = match authenticate(&shared, &echoed_id, &request) {
        Ok(envelope) => envelope,
        Err(problem) => return refuse(&shared, &echoed_id, None, &problem),
    };
    let operation = match accept(&shared, &mut envelope, request).await {
        Ok(operation) => operation,
        Err(problem) => return refuse(&shared, &echoed_id, Some(&envelope), &problem),
    };
    let (job, ticket) = match operation {
        Operation::Models => return chat::models(&shared, &envelope),
        Operation::Job(job, ticket) => (*job, ticket),
    };
    let (responder, response) = Responder::new(&echoed_id);
    tokio::spawn(async move {
        dispatch::run(shared, job, responder, ticket).await;
        drop(permit);
    });
    // Fails only if the task panicked.
    response.await.unwrap_or_else(|_| {
        let detail = "the request ended without an answer";
        Problem::outcome_unknown(500, "internal", detail).response(&echoed_id)
    })
}

/// What a request asks for, after it has been accepted.
enum Operation {
    Models,
    Job(Box<Job>, Ticket),
}

/// Reads the request and admits it.
async fn accept(
    shared: &Arc<Shared>,
    envelope: &mut Envelope,
    request: Request<Incoming>,
) -> Result<Operation, Problem> {
    shared.check_started()?;
    let (parts, body) = request.into_parts();
    let (job, ticket) = match (parts.method.clone(), parts.uri.path()) {
        (Method::GET, "/v1/models") => return Ok(Operation::Models),
        (Method::POST, "/v1/chat/completions") => {
            chat::accept(shared, envelope, read_body(body, envelope.deadline).await?)?
        }
        (_, path) if path.starts_with("/services/") => service::accept(
            shared,
            envelope,
            &parts,
            read_body(body, envelope.deadline).await?,
        )?,
        (_, "/v1/models" | "/v1/chat/completions") => {
            let detail = "the path has no such method";
            return Err(Problem::not_run(405, "bad_method", detail));
        }
        _ => return Err(not_found()),
    };
    Ok(Operation::Job(Box::new(job), ticket))
}

/// Logs and counts a request that was not accepted, and returns the response with its problem.
fn refuse(
    shared: &Shared,
    echoed_id: &str,
    envelope: Option<&Envelope>,
    problem: &Problem,
) -> Response<Body> {
    let request = envelope.map_or(echoed_id, |envelope| envelope.id.as_str());
    let institution = envelope.map_or("", |envelope| envelope.institution.as_str());
    let target = envelope.map_or("", |envelope| envelope.target.as_str());
    let pairs: [(&str, &dyn Display); 6] = [
        ("request", &request),
        ("institution", &institution),
        ("target", &target),
        ("reason", &problem.code),
        ("not_run", &problem.not_run),
        ("detail", &problem.detail),
    ];
    report::event(Level::Info, "refused", &pairs);
    shared.context.metrics.count("caller", problem.code);
    problem.response(echoed_id)
}

/// Checks the credential and reads the deadline.
fn authenticate(
    shared: &Shared,
    echoed_id: &str,
    request: &Request<Incoming>,
) -> Result<Envelope, Problem> {
    let started_at = Instant::now();
    let institution = credential::token(request.headers())
        .and_then(|token| shared.credentials.find(token))
        .ok_or_else(|| Problem::not_run(401, "unauthorized", "a valid bearer token is needed"))?;
    let timeout = header::timeout(request.headers())?;
    let suffix = Uuid::new_v4().simple().to_string();
    Ok(Envelope {
        id: id::Request::from(format!("{echoed_id}~{}", &suffix[..16]).as_str()),
        echoed_id: echoed_id.to_owned(),
        institution,
        target: String::new(),
        started_at,
        deadline: Time::now() + timeout,
    })
}

impl Envelope {
    /// Records the name of the model or service for the log.
    pub(super) fn set_target(&mut self, name: &str) {
        let length = name.floor_char_boundary(MAX_TARGET_BYTES);
        self.target = name[..length].to_owned();
    }
}

async fn read_body(body: Incoming, deadline: Time) -> Result<Bytes, Problem> {
    let timeout = Duration::min(BODY_TIMEOUT, deadline.remaining(Time::now()));
    let collecting = Limited::new(body, wire::MAX_BODY_BYTES).collect();
    match time::timeout(timeout, collecting).await {
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

/// Returns the problem for a target that does not exist or that the client may not call. Both get
/// the same response, so that clients can't learn which targets others have.
pub(super) fn not_found() -> Problem {
    Problem::not_run(404, "not_found", "there is no such target")
}

/// Returns a response with a complete body.
pub(super) fn full_response(
    echoed_id: &str,
    content_type: &'static str,
    body: String,
) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(id) = HeaderValue::from_str(echoed_id) {
        headers.insert(header::REQUEST_ID, id);
    }
    response
}

//! A caller's request: who asks for what, and where the answer comes from.

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
    reply::Reply,
    service,
    shared::{
        Shared,
        Ticket, //
    },
};
use crate::{
    id,
    report,
    timer::Time,
    wire, //
};

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a target's name in the log.
const MAX_TARGET_BYTES: usize = 100;

/// What is known of a request before its target.
#[derive(Debug)]
pub(super) struct Call {
    /// Id in the system: the caller's with a suffix, since callers may choose the same.
    pub(super) id: id::Request,
    /// Id that the caller gave or would have given.
    pub(super) echo: String,
    pub(super) institution: id::Institution,
    /// Name of the model or service as the caller gave it, cut to a length that fits a log.
    pub(super) target: String,
    pub(super) started_at: Instant,
    pub(super) deadline: Time,
}

/// Answers a request; `permit` is held until nothing more is done for it.
pub(super) async fn answer(
    shared: Arc<Shared>,
    permit: Arc<OwnedSemaphorePermit>,
    request: Request<Incoming>,
) -> Response<Body> {
    let echo = header::request_id(request.headers());
    let mut call = match identify(&shared, &echo, &request) {
        Ok(call) => call,
        Err(problem) => return refuse(&shared, &echo, None, &problem),
    };
    let asked = match take(&shared, &mut call, request).await {
        Ok(asked) => asked,
        Err(problem) => return refuse(&shared, &echo, Some(&call), &problem),
    };
    let (job, ticket) = match asked {
        Asked::Models => return chat::models(&shared, &call),
        Asked::Job(job, ticket) => (*job, ticket),
    };
    let (reply, answer) = Reply::new(&echo);
    tokio::spawn(async move {
        dispatch::run(shared, job, reply, ticket).await;
        drop(permit);
    });
    // Fails only if the task panicked.
    answer.await.unwrap_or_else(|_| {
        let detail = "the request ended without an answer";
        Problem::unknown(500, "internal", detail).response(&echo)
    })
}

/// What a request asks for.
enum Asked {
    Models,
    Job(Box<Job>, Ticket),
}

async fn take(
    shared: &Arc<Shared>,
    call: &mut Call,
    request: Request<Incoming>,
) -> Result<Asked, Problem> {
    shared.check_started()?;
    let (parts, body) = request.into_parts();
    let (job, ticket) = match (parts.method.clone(), parts.uri.path()) {
        (Method::GET, "/v1/models") => return Ok(Asked::Models),
        (Method::POST, "/v1/chat/completions") => {
            chat::take(shared, call, read(body, call.deadline).await?)?
        }
        (_, path) if path.starts_with("/services/") => {
            service::take(shared, call, &parts, read(body, call.deadline).await?)?
        }
        (_, "/v1/models" | "/v1/chat/completions") => {
            let detail = "the path has no such method";
            return Err(Problem::not_run(405, "bad_method", detail));
        }
        _ => return Err(not_found()),
    };
    Ok(Asked::Job(Box::new(job), ticket))
}

/// Answers with the problem of a request that was not taken in.
fn refuse(shared: &Shared, echo: &str, call: Option<&Call>, problem: &Problem) -> Response<Body> {
    let request = call.map_or(echo, |call| call.id.as_str());
    let institution = call.map_or("", |call| call.institution.as_str());
    let target = call.map_or("", |call| call.target.as_str());
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
    problem.response(echo)
}

fn identify(shared: &Shared, echo: &str, request: &Request<Incoming>) -> Result<Call, Problem> {
    let started_at = Instant::now();
    let institution = header::token(request.headers())
        .and_then(|token| shared.credentials.find(token))
        .ok_or_else(|| Problem::not_run(401, "unauthorized", "a valid bearer token is needed"))?;
    let timeout = header::timeout(request.headers())?;
    let suffix = Uuid::new_v4().simple().to_string();
    Ok(Call {
        id: id::Request::from(format!("{echo}~{}", &suffix[..16]).as_str()),
        echo: echo.to_owned(),
        institution,
        target: String::new(),
        started_at,
        deadline: Time::now() + timeout,
    })
}

impl Call {
    /// Notes the name of the model or service for the log.
    pub(super) fn set_target(&mut self, name: &str) {
        let length = name.floor_char_boundary(MAX_TARGET_BYTES);
        self.target = name[..length].to_owned();
    }
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
    let mut response = Response::new(Body::whole(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(id) = HeaderValue::from_str(echo) {
        headers.insert(header::REQUEST_ID, id);
    }
    response
}

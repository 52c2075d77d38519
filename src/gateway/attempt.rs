//! Sends a request once to one server.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    header::{
        CONTENT_LENGTH,
        HOST, //
    },
};
use tokio::time::timeout;

use super::{
    backend::Backend,
    crash::{
        self,
        BrokenRun, //
    },
    demand,
    job::{
        Exchange,
        Job,
        Progress, //
    },
    message::{
        Outgoing,
        RequestLimit,
        ResponseHead,
        Rest, //
    },
    pick::cache_scope,
    presence,
    state::State,
    verdict::{
        Verdict,
        verdict, //
    },
};
use crate::{
    deployment::Kind,
    dispatch::{
        Outcome,
        Run, //
    },
    http::{
        Channel,
        Error,
        Framing, //
    },
    platform::header,
    report,
    timer::Time,
};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Multiple of a route's latency objective after which an idempotent request is sent to another
/// server.
const WAIT_FACTOR: u32 = 3;

/// Minimum remaining time for which a failed idempotent request is sent again.
const MIN_RETRY_TIME: Duration = Duration::from_millis(150);

/// HTTP status with which a server says that it lacks the model or adapter.
const MISDIRECTED: u16 = 421;

/// Why a send gave no response that can be passed on.
#[derive(Debug)]
pub(super) enum SendError {
    /// The request did not reach the server, for this reason.
    NotSent(&'static str),
    /// Another server has the address. It is then marked as replaced, so this happens once per
    /// address.
    Replaced,
    /// The request has not run on this server, for this reason.
    NotRun(&'static str),
    /// The request may have run, and its outcome is unknown for this reason.
    Unknown(&'static str),
}

impl SendError {
    pub(super) const fn outcome(&self) -> Outcome {
        match self {
            Self::NotSent(_) => Outcome::NotSent,
            Self::Replaced => Outcome::Replaced,
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::Unknown,
        }
    }

    pub(super) const fn reason(&self) -> &'static str {
        match self {
            Self::Replaced => "another server has its address",
            Self::NotSent(reason) | Self::NotRun(reason) | Self::Unknown(reason) => reason,
        }
    }
}

/// Sends a request to a server and reads the head of its response.
pub(super) async fn attempt(
    state: &Rc<State>,
    job: &Rc<Job>,
    backend: &Rc<Backend>,
    progress: &Progress,
    last_event: Option<&str>,
) -> Result<Exchange, SendError> {
    let server = backend.server();
    let sharers = state.fleet.sharers();
    if !backend.limit.borrow_mut().try_send(sharers, Time::now()) {
        return Err(SendError::NotSent("the server is at its limit"));
    }
    let overlap = job.model().map_or(0, |name| {
        let mut prefixes = backend.prefixes.borrow_mut();
        let overlap = prefixes.overlap(&cache_scope(name), &job.head.prompt);
        prefixes.record(&cache_scope(name), &job.head.prompt);
        overlap
    });
    let tokens = job.head.prompt_tokens.saturating_sub(overlap);
    if let Some(name) = job.model() {
        let mut absence = backend.absence.borrow_mut();
        absence.ask(&demand::key(name), Time::now());
    }
    let in_flight = backend.begin(job.model(), tokens, &state.rates);
    log_send(job, &server.id, progress, backend.load(Time::now()));
    let connect_timeout = CONNECT_TIMEOUT.min(job.remaining(Time::now()));
    let channel = if progress.is_resend() {
        // A late second copy of the answer to the earlier send bears the same id.
        backend.pool.connect(connect_timeout).await
    } else {
        let taken = backend.pool.take(connect_timeout).await;
        taken.map(|(channel, _)| channel)
    };
    let mut channel = channel.map_err(|error| {
        backend.record_unreachable(Time::now());
        state.refresh_servers();
        log_error(job, &error);
        SendError::NotSent("can't connect")
    })?;
    let now = Time::now();
    let remaining = job.remaining(now);
    if remaining.is_zero() {
        return Err(SendError::NotSent("the time ran out"));
    }
    if backend.is_leaving() || backend.rest_remaining(now).is_some() {
        // The server announced this while the connection was made.
        backend.keep(channel, None);
        return Err(SendError::NotSent("the server takes no requests"));
    }
    let request = outgoing(job, &server.id, remaining, last_event);
    let may_retry = progress.attempts.may_retry();
    let max_wait = match job.route.kind {
        Kind::Idempotent if may_retry => remaining.min(job.route.latency_objective * WAIT_FACTOR),
        _ => remaining,
    };
    let run = Cell::new(Run {
        connected_at: channel.connected_at(),
        heard_at: now,
        stream_objective: None,
    });
    presence::watch(backend);
    let response = tokio::select! {
        biased;
        response = timeout(max_wait, channel.send(request)) => {
            response.unwrap_or(Err(Error::Timeout))
        }
        () = backend.unresponsive(), if may_retry => Err(Error::Timeout),
        cause = backend.presence.ended(&run) => Err(Error::Ended(cause.as_str())),
    };
    let response = response.map_err(|error| {
        log_error(job, &error);
        if error.was_not_sent() {
            return SendError::NotRun("the connection had ended");
        }
        backend.record_broken(Time::now());
        crash::record(state, backend, BrokenRun::new(job, now, None));
        SendError::Unknown("no answer")
    })?;
    backend.presence.record_heard(Time::now());
    let response_head = header::decode_response(response.status().as_u16(), response.headers());
    record_announcements(job, backend, &response_head);
    let exchange = Exchange {
        in_flight,
        server,
        channel,
        framing: response.body().framing(response.headers()),
        sent_at: now,
        run,
        response,
        response_head,
    };
    check(state, job, backend, progress, exchange).await
}

/// Records what a server says of itself in the head of a response.
fn record_announcements(job: &Job, backend: &Backend, head: &ResponseHead) {
    let now = Time::now();
    if let Some(load) = head.load {
        backend.record_load(load, now);
    }
    // Another server at the same address speaks only for itself.
    let instance = head.instance.as_deref();
    if instance.is_some_and(|id| id != backend.server().id) {
        return;
    }
    if head.is_leaving {
        backend.mark_leaving();
    }
    match &head.rest {
        Some(Rest::For(rest)) => backend.record_rest(*rest, now),
        Some(Rest::Unreadable(text)) => report::warn(
            "rest_unreadable",
            &[("request", &job.head.id), ("text", text)],
        ),
        None => (),
    }
    match &head.request_limit {
        Some(RequestLimit::Rate(limit)) => backend.record_limit(Some(*limit)),
        Some(RequestLimit::Unreadable(text)) => report::warn(
            "limit_unreadable",
            &[("request", &job.head.id), ("text", text)],
        ),
        None => backend.record_limit(None),
    }
}

fn log_error(job: &Job, error: &Error) {
    report::event(
        log::Level::Debug,
        "send_error",
        &[("request", &job.head.id), ("error", error)],
    );
}

fn log_send(job: &Job, server: &str, progress: &Progress, load: u32) {
    report::info(
        "send",
        &[
            ("request", &job.head.id),
            ("route", &job.route.name),
            ("version", &job.configuration.version),
            ("model", &job.model().map_or("", |name| &name.model)),
            ("server", &server),
            ("load", &load),
            ("sends", &progress.attempts.sends()),
            ("left_ms", &job.remaining(Time::now()).as_millis()),
        ],
    );
}

fn outgoing(
    job: &Job,
    server: &str,
    remaining: Duration,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut headers = header::encode_request(
        &job.headers,
        &Outgoing {
            server,
            timeout: remaining,
            priority: job.head.model.is_some().then_some(job.priority()),
            caller: job.caller(),
            last_event,
        },
    );
    headers.remove(CONTENT_LENGTH);
    if !headers.contains_key(HOST)
        && let Ok(host) = job.route.host.parse()
    {
        headers.insert(HOST, host);
    }
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    // The target comes from the parsed request of the client, so parsing it can't fail.
    if let Ok(uri) = job.target.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = headers;
    request
}

/// Decides by the head of a response whether to pass the response on.
async fn check(
    state: &State,
    job: &Job,
    backend: &Backend,
    progress: &Progress,
    exchange: Exchange,
) -> Result<Exchange, SendError> {
    let verdict = verdict(&exchange.response_head, &job.head.id, &backend.server().id);
    match verdict {
        Verdict::Mismatched => {
            backend.pool.clear();
            return Err(SendError::Unknown("an answer to another request"));
        }
        Verdict::Replaced => {
            backend.mark_replaced();
            state.refresh_servers();
            drain(exchange).await;
            return Err(SendError::Replaced);
        }
        Verdict::NotRun(reason) => {
            if exchange.response_head.status == MISDIRECTED
                && let Some(name) = job.model()
            {
                let mut absence = backend.absence.borrow_mut();
                absence.record(&demand::key(name), Time::now());
            }
            drain(exchange).await;
            return Err(SendError::NotRun(reason));
        }
        Verdict::Unsigned => {
            backend.record_outcome(true);
            return Err(SendError::Unknown("an answer without signature"));
        }
        Verdict::Encoded => {
            backend.record_outcome(true);
            return Err(SendError::Unknown("an answer with a content coding"));
        }
        Verdict::Failed | Verdict::Response => {
            if let Some(name) = job.model() {
                backend.absence.borrow_mut().forget(&name.model);
            }
        }
    }
    let is_failed = verdict == Verdict::Failed;
    backend.record_outcome(is_failed);
    let may_retry = progress.attempts.may_retry() && job.remaining(Time::now()) > MIN_RETRY_TIME;
    if is_failed && job.route.kind == Kind::Idempotent && may_retry {
        drain(exchange).await;
        return Err(SendError::Unknown("the server failed"));
    }
    Ok(exchange)
}

/// Reads and discards the body of a response that is not passed on, so that the connection can be
/// used again.
async fn drain(exchange: Exchange) {
    /// Timeout for reading the body; a new connection costs less than a longer wait.
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
    /// Maximum size of the body in bytes; a new connection costs less than reading more.
    const MAX_DRAIN_BYTES: usize = 64 << 10;
    let body = exchange.response.into_body();
    if let Ok(Ok(_)) = timeout(DRAIN_TIMEOUT, body.read(MAX_DRAIN_BYTES)).await {
        let (backend, channel) = (&exchange.in_flight.backend, exchange.channel);
        return_connection(backend, channel, &exchange.response_head, exchange.framing);
    }
}

/// Returns a connection to the pool after a complete response, unless the server is about to close
/// it, or the response names no request: a second copy of it would be taken for that to the next one.
pub(super) fn return_connection(
    backend: &Backend,
    channel: Channel,
    response_head: &ResponseHead,
    framing: Framing,
) {
    if !response_head.closes && response_head.id.is_some() && framing != Framing::Connection {
        backend.keep(channel, response_head.keep_alive);
    }
}

//! Reads a client's request, finds its route and responds to it.

use std::{
    cell::OnceCell,
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        CONTENT_TYPE,
        HOST,
        HeaderValue, //
    },
};
use tokio::time::timeout;

use super::{
    access, allowances, body, buffer,
    events::Events,
    forward,
    job::{
        Exchange,
        Job,
        Progress, //
    },
    message::Malformed,
    origins, pick, relay,
    response::{
        self,
        Failure,
        ResponseBody, //
    },
    state::State,
};
use crate::{
    deployment::{
        Kind,
        Route, //
    },
    platform::header,
    report,
    timer::Time, //
};

/// Maximum time for which a request waits for the first configuration.
const START_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a client may retry at a gateway that still has no configuration, for example
/// because the store is down. Also sent to a client whose body did not arrive in time.
const START_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Counts a request as in flight until the guard is dropped.
struct InFlightGuard(Rc<State>);

impl InFlightGuard {
    fn new(state: &Rc<State>) -> Self {
        state.add_in_flight();
        Self(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.remove_in_flight();
    }
}

/// Responds to a request.
pub(super) async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let guard = InFlightGuard::new(&state);
    let mut response = match forward(&state, request, guard).await {
        Ok(response) => response,
        Err((id, failure)) => {
            record_failure(&state, &id, &failure);
            failure.response()
        }
    };
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

fn record_failure(state: &State, id: &str, failure: &Failure) {
    let status = failure.status().as_u16();
    state.metrics.count("request", failure.status().as_str());
    report::info(
        "failed",
        &[
            ("request", &id),
            ("status", &status),
            ("reason", &failure.reason()),
        ],
    );
}

fn log_response(job: &Job, exchange: &Exchange, started: Time) {
    report::info(
        "answered",
        &[
            ("request", &job.head.id),
            ("server", &exchange.in_flight.backend.server().id),
            ("status", &exchange.response_head.status),
            ("after_ms", &(Time::now() - started).as_millis()),
        ],
    );
}

async fn forward(
    state: &Rc<State>,
    request: Request<Incoming>,
    guard: InFlightGuard,
) -> Result<Response<ResponseBody>, (String, Failure)> {
    let started = Time::now();
    let head = header::decode_request(request.headers());
    let head = head.map_err(|error| (String::new(), malformed(&error)))?;
    let id = head.id.clone();
    if state.answers.is_full() {
        let failure = Failure::Refused("no memory for the answer", START_RETRY_AFTER);
        return Err((id, failure));
    }
    let job = read(state, request, head, started).await;
    let job = Rc::new(job.map_err(|failure| (id.clone(), failure))?);
    let mut progress = Progress::new(&job.route);
    let checked = pick::check_quarantine(state, &job, &progress);
    checked.map_err(|failure| (id.clone(), failure))?;
    let charge = allowances::charge(state, &job);
    progress.charge = charge.map_err(|failure| (id.clone(), failure))?;
    state.count_request(&job.service, started);
    if let Some(name) = &job.head.model {
        state.rates.record_request(&name.model, started);
    }
    let software = origins::software(state, &job).await;
    progress.software = software.map_err(|failure| (id.clone(), failure))?;
    let last_event = job.head.last_event.as_deref();
    let exchange = forward::send(state, &job, &mut progress, last_event).await;
    if matches!(exchange, Err(Failure::Refused(..))) {
        // No server runs it.
        progress.set_charged(false);
    }
    let exchange = exchange.map_err(|failure| (id, failure))?;
    origins::record(state, &job, &mut progress, &exchange);
    let status = exchange.response.status();
    log_response(&job, &exchange, started);
    state.metrics.count("request", status.as_str());
    let kind = if job.route.kind.is_stream() {
        "stream"
    } else {
        "call"
    };
    state
        .metrics
        .observe_first_piece(kind, Time::now() - started);
    let events = events(&job, &exchange);
    let mut headers = header::forwarded(exchange.response.headers());
    if events.is_stream() {
        // A stream that stops inside an event must not fill the length that was stated before.
        headers.remove(CONTENT_LENGTH);
    }
    let framing = exchange.framing;
    let (chunks, receiver) = buffer::buffer(&state.answers);
    let relayed = relay::run(state.clone(), job, progress, exchange, events, chunks);
    tokio::task::spawn_local(async move {
        relayed.await;
        drop(guard);
    });
    Ok(response::relayed(status, headers, framing, receiver))
}

/// Returns the state before the first byte of a response.
fn events(job: &Job, exchange: &Exchange) -> Events {
    let content_type = exchange.response.headers().get(CONTENT_TYPE);
    let is_event_stream = content_type.is_none_or(|value| {
        let start = value.as_bytes().get(..EVENT_STREAM.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
    });
    let is_success = exchange.response.status() == StatusCode::OK;
    match job.route.kind {
        Kind::ResumableStream if is_success && is_event_stream => {
            Events::new(true, job.head.last_event.clone())
        }
        Kind::Stream if is_success && is_event_stream => Events::new(false, None),
        _ => Events::plain(),
    }
}

fn malformed(error: &Malformed) -> Failure {
    Failure::Malformed(error.to_string())
}

/// Reads the request and finds its route.
async fn read(
    state: &State,
    request: Request<Incoming>,
    head: super::RequestHead,
    started: Time,
) -> Result<Job, Failure> {
    let max_wait = head
        .timeout
        .map_or(START_TIMEOUT, |timeout| START_TIMEOUT.min(timeout / 8));
    let configuration = timeout(max_wait, state.follower.wait_for_configuration()).await;
    let configuration =
        configuration.map_err(|_| Failure::Refused("no configuration yet", START_RETRY_AFTER))?;
    let host = host(&request).ok_or_else(|| malformed(&Malformed::Host))?;
    let path = request.uri().path();
    let configuration = if configuration.needs_key(&host, path) {
        access::wait_for_floor(state, max_wait).await;
        state.follower.configuration()
    } else {
        configuration
    };
    let route = configuration.route(&host, path);
    let target = route.and_then(|route| Some((route, route.service(route_draw(&head.id))?)));
    let Some((route, service)) = target else {
        log_no_route(state, &head.id, &host, path, route);
        return Err(Failure::NoRoute);
    };
    let headers = request.headers();
    let account = access::check(state, &configuration, route, headers, &head.id)?;
    let route = route.clone();
    let service = service.to_owned();
    let remaining = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = started + remaining;
    let (mut parts, body) = request.into_parts();
    if configuration.accounts.is_some() {
        // Nothing after this needs the key.
        parts.headers.remove(AUTHORIZATION);
    }
    let (body, hold) = body::read(state, &configuration, body, deadline).await?;
    let leaves_at = route
        .max_silence
        .map_or(deadline, |silence| deadline.min(started + silence));
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    Ok(Job {
        target: target.to_owned(),
        method: parts.method,
        headers: parts.headers,
        configuration,
        account,
        route,
        service,
        head,
        body,
        _hold: hold,
        deadline,
        leaves_at,
        marks: OnceCell::new(),
    })
}

/// Logs what this process knew when it found no route, so that an outdated configuration can be told
/// from a path that no route serves.
fn log_no_route(state: &State, id: &str, host: &str, path: &str, route: Option<&Route>) {
    let now = Time::now();
    let age = state.follower.configuration_age(now);
    let has_route = route.is_some();
    report::info(
        "no_route",
        &[
            ("request", &id),
            ("host", &host),
            ("path", &path),
            ("version", &state.follower.configuration().version),
            ("read_ms_ago", &age.unwrap_or_default().as_millis()),
            ("has_route", &has_route),
            ("process", &std::process::id()),
        ],
    );
}

/// Returns the host in lower case and without its port. Returns `None` if the header is missing or
/// contradicts the host in the request target.
fn host(request: &Request<Incoming>) -> Option<String> {
    let header = request.headers().get(HOST)?.to_str().ok()?;
    let name = |host: &str| host.split(':').next().unwrap_or(host).to_ascii_lowercase();
    let named = name(header);
    match request.uri().host() {
        Some(target) if name(target) != named => None,
        _ => Some(named),
    }
}

/// Returns a number from 0 to 1 that selects the service of a route. It depends on the id alone, so
/// it is the same each time that a request is sent with this id.
fn route_draw(id: &str) -> f64 {
    let mut seed = 0xcbf2_9ce4_8422_2325_u64;
    for byte in id.bytes() {
        seed = (seed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    fastrand::Rng::with_seed(seed).f64()
}

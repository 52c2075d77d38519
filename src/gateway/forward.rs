//! Sends a request to servers until one answers or the request is given up.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap, Method, Request,
    header::{
        CONTENT_LENGTH,
        HOST, //
    },
};
use tokio::time::timeout;

use super::{
    answer::Failure,
    backend::{
        Backend,
        InFlight, //
    },
    cold::{
        self,
        Decision, //
    },
    message::{
        Answered,
        Asked,
        ModelName,
        Outgoing, //
    },
    state::State,
};
use crate::{
    deployment::{
        Configuration,
        Kind,
        Route, //
    },
    dispatch::{
        Candidate,
        choose, //
    },
    http::{
        Channel,
        Error,
        Response, //
    },
    platform::header,
    report,
    timer::Time,
};

/// Most servers that refuse or fail a request before it is given up.
const REFUSALS: u32 = 4;

/// Time for a connection to a server.
const CONNECT: Duration = Duration::from_millis(500);

/// Longest time between looks whether a wanted model is loaded.
const LOOK: Duration = Duration::from_millis(100);

/// Time within which servers or loaders that all went away at once are expected back.
const RETURN: Duration = Duration::from_millis(1_500);

/// Time that a server keeps an idle connection if it does not say.
const KEEP: Duration = Duration::from_millis(1_500);

/// Margin before a server closes an idle connection, within which it is not used.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// Times a route's latency objective after which an idempotent request is sent to another server.
const PATIENCE: u32 = 3;

/// Time to come back when all servers are full.
const FULL: Duration = Duration::from_millis(300);

/// A request that was read from a client.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) configuration: Rc<Configuration>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) asked: Asked,
    pub(super) method: Method,
    /// Path and query as the client sent them.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the answer is of no use any more.
    pub(super) deadline: Time,
}

/// A server's answer whose body is still to be read.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) in_flight: InFlight,
    pub(super) channel: Channel,
    pub(super) response: Response,
    pub(super) answered: Answered,
}

/// How the sending of a request stands.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Servers that are not tried again.
    tried: Vec<String>,
    sends: u32,
    /// Servers that refused or failed the request.
    refusals: u32,
    /// Servers on which the request may have run.
    runs: u32,
}

impl Job {
    fn left(&self, now: Time) -> Duration {
        self.deadline.remaining(now)
    }

    fn model(&self) -> Option<&ModelName> {
        self.asked.model.as_ref()
    }
}

/// Sends a request until a server answers; `last_event` is the last event that was passed on.
pub(super) async fn send(
    state: &State,
    job: &Job,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<Sent, Failure> {
    loop {
        let backend = pick(state, job, progress).await?;
        let now = Time::now();
        if progress.sends > 0 && !state.take_repeat(&job.service, now) {
            return Err(give_up(progress, "the retry budget is used up"));
        }
        progress.sends += 1;
        progress.tried.push(backend.server().id.clone());
        let outcome = attempt(state, job, &backend, progress, last_event).await;
        match outcome {
            Ok(sent) => return Ok(sent),
            Err(Miss::Replaced) => {
                note_miss(job, &backend, progress, "another server has its address");
                continue;
            }
            Err(Miss::NotRun(reason)) => {
                note_miss(job, &backend, progress, reason);
                progress.refusals += 1;
            }
            Err(Miss::Unknown(reason)) => {
                note_miss(job, &backend, progress, reason);
                progress.runs += 1;
                progress.refusals += 1;
                if !job.route.kind.is_repeatable() || progress.runs >= job.route.attempts {
                    return Err(Failure::Unknown(reason));
                }
            }
        }
        if progress.refusals >= REFUSALS {
            return Err(give_up(progress, "servers refuse"));
        }
    }
}

/// Why a send gave no answer.
#[derive(Debug)]
enum Miss {
    /// Another server has the address; each such address is met once.
    Replaced,
    /// The request has not run on this server.
    NotRun(&'static str),
    /// The request may have run.
    Unknown(&'static str),
}

fn note_miss(job: &Job, backend: &Backend, progress: &Progress, reason: &str) {
    report::info(
        "send_missed",
        &[
            ("request", &job.asked.id),
            ("server", &backend.server().id),
            ("sends", &progress.sends),
            ("left_ms", &job.left(Time::now()).as_millis()),
            ("reason", &reason),
        ],
    );
}

fn give_up(progress: &Progress, reason: &'static str) -> Failure {
    if progress.runs > 0 {
        Failure::Unknown(reason)
    } else {
        Failure::Refused(reason, FULL)
    }
}

/// Chooses the server, waiting for the model if it is not loaded.
async fn pick(state: &State, job: &Job, progress: &Progress) -> Result<Rc<Backend>, Failure> {
    let service = job.configuration.service(&job.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let mut waiting: Option<(Rc<Backend>, super::backend::Wanted)> = None;
    let started = Time::now();
    loop {
        let now = Time::now();
        let left = job.left(now);
        if left.is_zero() {
            return Err(late(progress));
        }
        let backends = state.fleet.of_service(&job.service);
        let untried = backends
            .into_iter()
            .filter(|backend| !progress.tried.contains(&backend.server().id));
        let able: Vec<_> = untried
            .filter(|backend| match (engine, job.model()) {
                (Some(_), Some(name)) => backend.replica(&name.model, |_| ()).is_some(),
                _ => true,
            })
            .filter(|backend| backend.is_usable(now))
            .collect();
        let choice = choose_among(state, job, &able, now);
        if let Some((backend, lacks_adapter)) = choice {
            if !lacks_adapter || !backend.has_loader() {
                if waiting.is_some() {
                    note_wait(job, &backend, now - started);
                }
                return Ok(backend);
            }
            // The loader fetches the adapter.
            if let Some(name) = job.model() {
                let wanted = backend.want(name, job.route.priority);
                waiting = Some((backend, wanted));
            }
        } else {
            let (Some(engine), Some(name)) = (engine, job.model()) else {
                if now - started >= RETURN.min(left / 4) {
                    return Err(give_up(progress, "no server takes requests"));
                }
                state.follower.look_again();
                pause(state, left).await;
                continue;
            };
            let current = waiting.as_ref().map(|(backend, _)| backend);
            let waited = now - started;
            match cold::decide(state, &job.service, engine, name, left, current) {
                Decision::NoLoader if waited < RETURN && left > RETURN => {
                    state.follower.look_again();
                }
                Decision::NoLoader => return Err(give_up(progress, "no loader answers")),
                Decision::Wait(backend) => {
                    let is_same = current.is_some_and(|current| Rc::ptr_eq(current, &backend));
                    if !is_same {
                        note_cold(job, &backend, left);
                        let wanted = backend.want(name, job.route.priority);
                        waiting = Some((backend, wanted));
                    }
                }
                Decision::Refuse(after) => {
                    return Err(if progress.runs > 0 {
                        Failure::Unknown("no other server has the model")
                    } else {
                        Failure::Refused("the model can't be loaded in time", after)
                    });
                }
            }
        }
        pause(state, left).await;
    }
}

/// Waits until what servers hold changes, or for a short time.
async fn pause(state: &State, left: Duration) {
    let _ = timeout(LOOK.min(left), state.residency_changed.notified()).await;
}

fn late(progress: &Progress) -> Failure {
    if progress.runs > 0 {
        Failure::Late
    } else {
        Failure::Refused("the time ran out before a server was found", FULL)
    }
}

fn note_cold(job: &Job, backend: &Backend, left: Duration) {
    report::info(
        "cold_wait",
        &[
            ("request", &job.asked.id),
            ("server", &backend.server().id),
            ("model", &job.model().map_or("", |name| &name.model)),
            ("left_ms", &left.as_millis()),
        ],
    );
}

fn note_wait(job: &Job, backend: &Backend, waited: Duration) {
    report::info(
        "cold_ready",
        &[
            ("request", &job.asked.id),
            ("server", &backend.server().id),
            ("waited_ms", &waited.as_millis()),
        ],
    );
}

/// Chooses among servers that could run the request; also tells whether the adapter is missing.
fn choose_among(
    state: &State,
    job: &Job,
    able: &[Rc<Backend>],
    now: Time,
) -> Option<(Rc<Backend>, bool)> {
    let candidates: Vec<_> = able
        .iter()
        .map(|backend| candidate(state, job, backend, now))
        .collect();
    let index = choose(&candidates, fastrand::f64())?;
    Some((able[index].clone(), candidates[index].lacks_adapter))
}

fn candidate(state: &State, job: &Job, backend: &Backend, now: Time) -> Candidate {
    let server = backend.server();
    let overlap = job.model().map_or(0, |name| {
        let prefixes = backend.prefixes.borrow();
        prefixes.overlap(&wall(name), &job.asked.prompt)
    });
    let adapter = job
        .model()
        .and_then(|name| Some((&name.model, name.adapter.as_ref()?)));
    let lacks_adapter = adapter.is_some_and(|(model, adapter)| {
        let has = backend.replica(model, |replica| replica.adapters.contains(adapter));
        has != Some(true)
    });
    Candidate {
        load: backend.load(now),
        waiting: backend.waiting(now),
        slots: server.slots,
        pending_tokens: backend.pending_tokens.get(),
        prompt_tokens: job.asked.prompt_tokens.saturating_sub(overlap),
        distance: state.settings.distance(&server.failure_domain),
        cold_left: server.cold_left,
        failures: backend.failures(),
        lacks_adapter,
        is_engine: job.asked.model.is_some(),
    }
}

/// Cached prompt parts are shared only between requests of one model and adapter.
fn wall(name: &ModelName) -> String {
    match &name.adapter {
        Some(adapter) => format!("{}/{adapter}", name.model),
        None => name.model.clone(),
    }
}

async fn attempt(
    state: &State,
    job: &Job,
    backend: &Rc<Backend>,
    progress: &Progress,
    last_event: Option<&str>,
) -> Result<Sent, Miss> {
    let server = backend.server();
    let overlap = job.model().map_or(0, |name| {
        let mut prefixes = backend.prefixes.borrow_mut();
        let overlap = prefixes.overlap(&wall(name), &job.asked.prompt);
        prefixes.remember(&wall(name), &job.asked.prompt);
        overlap
    });
    let tokens = job.asked.prompt_tokens.saturating_sub(overlap);
    if let Some(name) = job.model() {
        state.note_reading(&name.model, tokens, Time::now());
    }
    let in_flight = backend.begin(job.model(), tokens);
    note_send(job, &server.id, progress, backend.load(Time::now()));
    let within = CONNECT.min(job.left(Time::now()));
    let (mut channel, _) = backend.pool.take(within).await.map_err(|error| {
        backend.note_unreachable(Time::now());
        state.follower.look_again();
        note_error(job, &error);
        Miss::NotRun("can't connect")
    })?;
    let now = Time::now();
    let left = job.left(now);
    if left.is_zero() {
        return Err(Miss::NotRun("the time ran out"));
    }
    let request = outgoing(job, &server.id, left, last_event);
    let may_repeat = job.route.kind.is_repeatable() && progress.runs + 1 < job.route.attempts;
    let patience = match job.route.kind {
        Kind::Idempotent if may_repeat => left.min(job.route.latency_objective * PATIENCE),
        _ => left,
    };
    let response = tokio::select! {
        response = timeout(patience, channel.send(request)) => {
            response.unwrap_or(Err(Error::Timeout))
        }
        () = backend.silence(), if may_repeat => Err(Error::Timeout),
    };
    let response = response.map_err(|error| {
        note_error(job, &error);
        if error.was_not_sent() {
            return Miss::NotRun("the connection had ended");
        }
        backend.note_end(true);
        Miss::Unknown("no answer")
    })?;
    let answered = header::decode_answer(response.status().as_u16(), response.headers());
    if let Some(load) = answered.load {
        backend.note_load(load, now);
    }
    let sent = Sent {
        in_flight,
        channel,
        response,
        answered,
    };
    judge(state, job, backend, progress, sent).await
}

fn note_error(job: &Job, error: &Error) {
    report::event(
        log::Level::Debug,
        "send_error",
        &[("request", &job.asked.id), ("error", error)],
    );
}

fn note_send(job: &Job, server: &str, progress: &Progress, load: u32) {
    report::info(
        "send",
        &[
            ("request", &job.asked.id),
            ("route", &job.route.name),
            ("version", &job.configuration.version),
            ("server", &server),
            ("load", &load),
            ("sends", &progress.sends),
            ("left_ms", &job.left(Time::now()).as_millis()),
        ],
    );
}

fn outgoing(
    job: &Job,
    server: &str,
    left: Duration,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut headers = header::encode_request(
        &job.headers,
        &Outgoing {
            server,
            time_left: left,
            priority: job.asked.model.is_some().then_some(job.route.priority),
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
    // The target was parsed from the client's request, so it parses again.
    if let Ok(uri) = job.target.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = headers;
    request
}

/// Decides what an answer's head means for the request.
async fn judge(
    state: &State,
    job: &Job,
    backend: &Backend,
    progress: &Progress,
    sent: Sent,
) -> Result<Sent, Miss> {
    let answered = &sent.answered;
    if answered.id.as_ref().is_some_and(|id| *id != job.asked.id) {
        // Belongs to an earlier request; what became of this one is not known.
        backend.pool.clear();
        return Err(Miss::Unknown("an answer to another request"));
    }
    if answered.has_not_run {
        let other = answered.instance.as_ref();
        let is_replaced = other.is_some_and(|other| *other != backend.server().id);
        let miss = match answered.status {
            421 if is_replaced => {
                backend.note_replaced();
                state.follower.look_again();
                Miss::Replaced
            }
            421 => Miss::NotRun("the model is not there"),
            _ => Miss::NotRun("refused"),
        };
        finish(sent).await;
        return Err(miss);
    }
    let status = answered.status;
    if !answered.is_signed {
        backend.note_end(true);
        return Err(Miss::Unknown("an answer without signature"));
    }
    let is_failure = status >= 500;
    backend.note_end(is_failure);
    let more = progress.runs + 1 < job.route.attempts && job.left(Time::now()) > RETRY_LEFT;
    if is_failure && job.route.kind == Kind::Idempotent && more {
        finish(sent).await;
        return Err(Miss::Unknown("the server failed"));
    }
    Ok(sent)
}

/// Time that must be left for an idempotent request that failed to be sent once more.
const RETRY_LEFT: Duration = Duration::from_millis(150);

/// Reads the rest of an answer that is not passed on, and keeps the connection.
async fn finish(sent: Sent) {
    /// Time and bytes that a connection is worth.
    const REST: Duration = Duration::from_millis(50);
    const REST_BYTES: usize = 64 << 10;
    let body = http_body_util::Limited::new(sent.response.into_body(), REST_BYTES);
    if let Ok(Ok(_)) = timeout(REST, body.collect()).await {
        keep(&sent.in_flight.backend, sent.channel, &sent.answered);
    }
}

/// Keeps a connection after a complete answer.
pub(super) fn keep(backend: &Backend, channel: Channel, answered: &Answered) {
    let kept = answered.keep.unwrap_or(KEEP).saturating_sub(KEEP_MARGIN);
    if !answered.closes && !kept.is_zero() {
        backend.pool.put(channel, kept);
    }
}

impl Progress {
    /// Returns whether another server may run the request.
    pub(super) fn may_run(&self, job: &Job) -> bool {
        self.runs < job.route.attempts
    }

    /// Counts a server on which the request has run in part.
    pub(super) fn note_run(&mut self) {
        self.runs += 1;
    }
}

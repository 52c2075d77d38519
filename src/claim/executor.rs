//! The input and output around the claim streams: log, plain service and clock.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    io::Read,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::{
    OwnedSemaphorePermit,
    Semaphore,
    oneshot, //
};
use uuid::Uuid;

use super::{
    Action, Answer, Body, Digest, Ending, Event, Key, Now, Pace, Response, Stream, Waiter,
    key::{
        BUCKET_SPAN,
        KEY_LEAD,
        KEY_WINDOW, //
    },
};
use crate::{
    catalogue,
    context::Context,
    id,
    platform::{
        Error,
        service::{
            self,
            Service, //
        },
    },
    report,
    timer::Time,
    wire::{
        self,
        MAX_BODY_BYTES,
        Reason, //
    },
};

/// Longest time for a started call. It is longer than the deadlines of the requests, so that a
/// late response is still recorded for retries.
const CALL_LIMIT: Duration = Duration::from_secs(600);

/// Most records in one read; with the largest appends a page stays below the log client's limit.
const READ_LIMIT: u32 = 64;

/// Most calls at one agent that wait or run. Below the runtime's 512 blocking threads, so that
/// slow calls leave some for the log.
const MAX_CALLS: u32 = 256;

/// Time between checks whether all records are written at shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Streams that are kept in memory. A stream that is needed again is read anew.
const MAX_STREAMS: usize = 128;

/// A call that takes up one of the agent's places for calls until it neither waits nor runs.
#[derive(Debug)]
pub(crate) struct Call {
    request: id::Request,
    call: wire::Call,
    body: Bytes,
    deadline: Time,
    _place: OwnedSemaphorePermit,
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining(Time::now())
    }

    fn fingerprint(&self) -> Digest {
        let (method, path) = (&self.call.method, &self.call.path);
        Digest::of(&[method.as_bytes(), path.as_bytes(), &self.body])
    }
}

/// Runs calls at most once.
#[derive(Debug, Clone)]
pub(crate) struct Executor(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    context: Context,
    service: Service,
    pace: Mutex<Pace>,
    desks: Mutex<BTreeMap<String, Arc<Desk>>>,
    tickets: AtomicU64,
    places: Arc<Semaphore>,
}

/// One claim stream with the requests that wait for it.
#[derive(Debug)]
struct Desk {
    name: String,
    bucket: u64,
    service: catalogue::Key,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    stream: Stream,
    waiting: HashMap<u64, Waiting>,
    /// Requests of the attempts, for the log lines about an attempt whose request is gone.
    requests: HashMap<Uuid, id::Request>,
    used: Option<Time>,
    wake: Option<Time>,
}

#[derive(Debug)]
struct Waiting {
    call: Arc<Call>,
    answer: oneshot::Sender<Answer>,
}

impl Executor {
    /// Makes an executor for the plain service beside this agent.
    pub(crate) fn new(context: Context, service: Service) -> Self {
        Self(Arc::new(Inner {
            context,
            service,
            pace: Mutex::default(),
            desks: Mutex::default(),
            tickets: AtomicU64::new(0),
            places: Arc::new(Semaphore::new(MAX_CALLS as usize)),
        }))
    }

    /// Returns what every part of the daemon shares.
    pub(crate) fn context(&self) -> &Context {
        &self.0.context
    }

    /// Returns the client of the plain service.
    pub(crate) fn service(&self) -> &Service {
        &self.0.service
    }

    /// Takes a place for a call; nothing if all are taken.
    pub(crate) fn admit(
        &self,
        request: &id::Request,
        call: &wire::Call,
        body: Bytes,
        deadline: Time,
    ) -> Option<Call> {
        let place = self.0.places.clone().try_acquire_owned().ok()?;
        Some(Call {
            request: request.clone(),
            call: call.clone(),
            body,
            deadline,
            _place: place,
        })
    }

    /// Waits until no call waits or runs and all results are written.
    pub(crate) async fn drained(&self) {
        // Fails only for a closed semaphore; this one is never closed.
        let _ = self.0.places.acquire_many(MAX_CALLS).await;
        while !self.0.is_written() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Runs a call unless the key's call has run, and returns the answer by the deadline.
    pub(crate) async fn run(&self, key: Key, call: Call) -> Answer {
        let desk = self.0.desk(key, &call.call.service);
        let waiter = Waiter {
            ticket: self.0.tickets.fetch_add(1, Ordering::Relaxed),
            attempt: Uuid::new_v4(),
            fingerprint: call.fingerprint(),
            deadline: call.deadline,
        };
        let (answer, answered) = oneshot::channel();
        let call = Arc::new(call);
        let waiting = Waiting { call, answer };
        lock(&desk.state).waiting.insert(waiter.ticket, waiting);
        let key = key.digest();
        self.0.step(&desk, Event::Arrived { key, waiter });
        // The sender is dropped without an answer only when the process ends.
        let unknown = Answer::unknown(Reason::OutcomeUnknown);
        answered.await.unwrap_or(unknown)
    }
}

impl Inner {
    fn is_written(&self) -> bool {
        let desks = lock(&self.desks);
        let mut desks = desks.values();
        desks.all(|desk| lock(&desk.state).stream.is_written())
    }

    /// Returns the stream's desk, after dropping those that are not needed any more.
    fn desk(&self, key: Key, service: &id::Service) -> Arc<Desk> {
        let mut desks = lock(&self.desks);
        let name = key.stream(service);
        if !desks.contains_key(&name) {
            evict(&mut desks, key.bucket());
        }
        let desk = desks.entry(name).or_insert_with_key(|name| {
            Arc::new(Desk {
                name: name.clone(),
                bucket: key.bucket(),
                service: catalogue::Key::Service(service.clone()),
                state: Mutex::default(),
            })
        });
        desk.clone()
    }

    /// Takes an event and carries out what the stream asks for. The lock decides between start
    /// and refusal; the time is taken under it.
    fn step(self: &Arc<Self>, desk: &Arc<Desk>, event: Event<'_>) {
        let mut state = lock(&desk.state);
        let offered = self.context.view.catalogue().get(&desk.service).is_some();
        let time = Time::now();
        let actions = state.stream.step(Now { time, offered }, event);
        state.used = Some(time);
        for action in actions {
            self.perform(desk, &mut state, action);
        }
        self.schedule(desk, &mut state);
    }

    /// Carries out an action; nothing here waits.
    fn perform(self: &Arc<Self>, desk: &Arc<Desk>, state: &mut State, action: Action) {
        match action {
            Action::Read(from) => self.read(desk, from),
            Action::Reserve => self.reserve(desk),
            Action::Append(body) => self.append(desk, body),
            Action::Start {
                key,
                attempt,
                ticket,
            } => {
                if let Some(waiting) = state.waiting.get(&ticket) {
                    self.start(desk, (key, attempt), waiting.call.clone());
                }
            }
            Action::Answer(ticket, answer) => {
                if let Some(waiting) = state.waiting.remove(&ticket) {
                    // The receiver is gone if the caller has disconnected.
                    let _ = waiting.answer.send(answer);
                }
            }
            Action::Claimed { attempt, ticket } => {
                if let Some(waiting) = state.waiting.get(&ticket) {
                    let request = &waiting.call.request;
                    state.requests.insert(attempt, request.clone());
                    report_attempt("claimed", request, attempt, &desk.name);
                }
            }
            Action::Abandoned(attempt) => {
                if let Some(request) = state.requests.remove(&attempt) {
                    report_attempt("abandoned", &request, attempt, &desk.name);
                }
            }
        }
    }

    fn schedule(self: &Arc<Self>, desk: &Arc<Desk>, state: &mut State) {
        let Some(wake) = state.stream.wake() else {
            return;
        };
        if state.wake.is_some_and(|scheduled| scheduled <= wake) {
            return;
        }
        state.wake = Some(wake);
        let (inner, desk) = (self.clone(), desk.clone());
        self.context.runtime.spawn(async move {
            tokio::time::sleep(wake.remaining(Time::now())).await;
            lock(&desk.state)
                .wake
                .take_if(|scheduled| *scheduled == wake);
            inner.step(&desk, Event::Tick);
        });
    }

    fn read(self: &Arc<Self>, desk: &Arc<Desk>, from: u64) {
        let (inner, desk) = (self.clone(), desk.clone());
        self.context.runtime.spawn_blocking(move || {
            let log = &inner.context.log;
            match log.read(&desk.name, from, READ_LIMIT, Duration::ZERO) {
                Ok(page) => {
                    let records = page.records.into_iter();
                    let records: Vec<_> = records.map(|r| (r.offset, r.body)).collect();
                    let (first, next) = (page.first, page.next);
                    let event = Event::Page {
                        first,
                        next,
                        records: &records,
                    };
                    inner.step(&desk, event);
                }
                Err(error) => {
                    report_failure("claim_read_failed", &desk.name, &error);
                    inner.step(&desk, Event::ReadFailed);
                }
            }
        });
    }

    fn reserve(self: &Arc<Self>, desk: &Arc<Desk>) {
        let turn = lock(&self.pace).reserve(Time::now());
        let (inner, desk) = (self.clone(), desk.clone());
        self.context.runtime.spawn(async move {
            tokio::time::sleep(turn.remaining(Time::now())).await;
            inner.step(&desk, Event::Turn);
        });
    }

    fn append(self: &Arc<Self>, desk: &Arc<Desk>, body: String) {
        let (inner, desk) = (self.clone(), desk.clone());
        self.context.runtime.spawn_blocking(move || {
            if let Err(error) = inner.context.log.append(&desk.name, &body) {
                report_failure("claim_append_failed", &desk.name, &error);
            }
            inner.step(&desk, Event::Appended);
        });
    }

    fn start(self: &Arc<Self>, desk: &Arc<Desk>, of: (Digest, Uuid), call: Arc<Call>) {
        let (key, attempt) = of;
        report_attempt("started", &call.request, attempt, &desk.name);
        let (inner, desk) = (self.clone(), desk.clone());
        self.context.runtime.spawn_blocking(move || {
            let ending = send(&inner.service, &call, CALL_LIMIT);
            report_ending(&call.request, attempt, &ending);
            if !matches!(ending, Ending::NotSent) {
                lock(&desk.state).requests.remove(&attempt);
            }
            inner.step(&desk, Event::Ended { key, ending });
        });
    }
}

/// Drops desks beyond the window of keys, then the least recently used ones beyond the limit.
/// A desk with work in progress is kept.
fn evict(desks: &mut BTreeMap<String, Arc<Desk>>, bucket: u64) {
    let window = (KEY_WINDOW + KEY_LEAD).as_secs() / BUCKET_SPAN.as_secs() + 1;
    let free = |desk: &Arc<Desk>| Arc::strong_count(desk) == 1 && lock(&desk.state).stream.idle();
    desks.retain(|_, desk| desk.bucket + window >= bucket || !free(desk));
    while desks.len() >= MAX_STREAMS {
        let candidates = desks.values().filter(|desk| free(desk));
        let oldest = candidates.min_by_key(|desk| lock(&desk.state).used);
        let Some(name) = oldest.map(|desk| desk.name.clone()) else {
            return;
        };
        desks.remove(&name);
    }
}

/// Sends the call once and reads its response.
pub(crate) fn send(service: &Service, call: &Call, timeout: Duration) -> Ending {
    let outcome = service.call(&service::Call {
        method: &call.call.method,
        path: &call.call.path,
        content_type: call.call.content_type.as_deref(),
        request: call.request.as_str(),
        body: &call.body,
        timeout,
    });
    let answer = match outcome {
        Ok(answer) => answer,
        Err(Error::Unreachable(_)) => return Ending::NotSent,
        Err(_) => return Ending::Unknown,
    };
    let mut body = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    if answer.body.take(limit).read_to_end(&mut body).is_err() {
        return Ending::Unknown;
    }
    let body = (body.len() <= MAX_BODY_BYTES).then_some(Body(body));
    Ending::Response(Arc::new(Response {
        status: answer.status,
        content_type: answer.content_type,
        body,
    }))
}

fn report_attempt(event: &str, request: &id::Request, attempt: Uuid, stream: &str) {
    report::info(
        event,
        &[
            ("request", request),
            ("attempt", &attempt),
            ("stream", &stream),
        ],
    );
}

fn report_ending(request: &id::Request, attempt: Uuid, ending: &Ending) {
    let outcome = match ending {
        Ending::Response(response) => response.status.to_string(),
        Ending::NotSent => "not_sent".to_owned(),
        Ending::Unknown => "unknown".to_owned(),
    };
    report::info(
        "finished",
        &[
            ("request", request),
            ("attempt", &attempt),
            ("outcome", &outcome),
        ],
    );
}

fn report_failure(event: &str, stream: &str, error: &Error) {
    report::warn(event, &[("stream", &stream), ("error", error)]);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

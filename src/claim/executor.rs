//! The input and output around the claim streams: log, plain service and clock.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
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
    Semaphore,
    oneshot, //
};
use uuid::Uuid;

use super::{
    Action, Answer, Digest, Ending, Event, Key, Now, Pace, Stream, Waiter,
    call::{
        self,
        Call, //
    },
    key::{
        BUCKET_SPAN,
        KEY_LEAD,
        KEY_WINDOW, //
    },
};
use crate::{
    catalogue,
    client::{
        Error,
        list,
        service::Service, //
    },
    context::Context,
    id, report,
    timer::Time,
    wire::{
        self,
        Reason, //
    },
};

/// Longest time for a started call. It is longer than the deadlines of the requests, so that a
/// late response is still recorded for retries.
const CALL_LIMIT: Duration = Duration::from_secs(600);

/// Most appends in one read: with the largest appends, escaped once more, a page takes 16 MiB,
/// half of what the log client accepts.
const READ_LIMIT: u32 = 64;

/// Most calls at one agent that wait or run. Below the runtime's 512 blocking threads, so that
/// slow calls leave some for the log.
const MAX_CALLS: u32 = 256;

/// Time between checks whether all records are written at shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Streams that are kept in memory. A stream that is needed again is read anew.
const MAX_STREAMS: usize = 128;

/// Runs calls at most once.
#[derive(Debug, Clone)]
pub(crate) struct Executor(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    context: Context,
    service: Service,
    pace: Mutex<Pace>,
    partitions: Mutex<BTreeMap<String, Arc<Partition>>>,
    tickets: AtomicU64,
    permits: Arc<Semaphore>,
}

/// One claim stream with the requests that wait for it.
#[derive(Debug)]
struct Partition {
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
            partitions: Mutex::default(),
            tickets: AtomicU64::new(0),
            permits: Arc::new(Semaphore::new(MAX_CALLS as usize)),
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

    /// Takes a permit for a call; nothing if all are taken.
    pub(crate) fn admit(
        &self,
        request: &id::Request,
        call: &wire::Call,
        body: Bytes,
        deadline: Time,
    ) -> Option<Call> {
        let permit = self.0.permits.clone().try_acquire_owned().ok()?;
        Some(Call {
            request: request.clone(),
            call: call.clone(),
            body,
            deadline,
            _permit: permit,
        })
    }

    /// Waits until no call waits or runs and all results are written.
    pub(crate) async fn drained(&self) {
        // Fails only for a closed semaphore; this one is never closed.
        let _ = self.0.permits.acquire_many(MAX_CALLS).await;
        while !self.0.is_written() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Runs a call unless the key's call has run, and returns the answer by the deadline.
    pub(crate) async fn run(&self, key: Key, call: Call) -> Answer {
        let partition = self.0.partition(key, &call.call.service);
        let waiter = Waiter {
            ticket: self.0.tickets.fetch_add(1, Ordering::Relaxed),
            attempt: Uuid::new_v4(),
            fingerprint: call.fingerprint(),
            deadline: call.deadline,
        };
        let (answer, answered) = oneshot::channel();
        let call = Arc::new(call);
        let waiting = Waiting { call, answer };
        lock(&partition.state)
            .waiting
            .insert(waiter.ticket, waiting);
        let key = key.digest();
        self.0.step(&partition, Event::Arrived { key, waiter });
        // The sender is dropped without an answer only when the process ends.
        let unknown = Answer::unknown(Reason::OutcomeUnknown);
        answered.await.unwrap_or(unknown)
    }
}

impl Inner {
    fn is_written(&self) -> bool {
        let partitions = lock(&self.partitions);
        let mut partitions = partitions.values();
        partitions.all(|partition| lock(&partition.state).stream.is_written())
    }

    /// Returns the stream's partition, after dropping those that are not needed any more.
    fn partition(&self, key: Key, service: &id::Service) -> Arc<Partition> {
        let mut partitions = lock(&self.partitions);
        let name = key.stream(service);
        if !partitions.contains_key(&name) {
            evict(&mut partitions, key.bucket());
        }
        let partition = partitions.entry(name).or_insert_with_key(|name| {
            Arc::new(Partition {
                name: name.clone(),
                bucket: key.bucket(),
                service: catalogue::Key::Service(service.clone()),
                state: Mutex::default(),
            })
        });
        partition.clone()
    }

    /// Takes an event and carries out what the stream asks for. The lock decides between start
    /// and refusal; the time is taken under it.
    fn step(self: &Arc<Self>, partition: &Arc<Partition>, event: Event<'_>) {
        let mut state = lock(&partition.state);
        let offered = self
            .context
            .view
            .catalogue()
            .get(&partition.service)
            .is_some();
        let time = Time::now();
        let actions = state.stream.step(Now { time, offered }, event);
        state.used = Some(time);
        for action in actions {
            self.perform(partition, &mut state, action);
        }
        self.schedule(partition, &mut state);
    }

    /// Carries out an action; nothing here waits.
    fn perform(self: &Arc<Self>, partition: &Arc<Partition>, state: &mut State, action: Action) {
        match action {
            Action::Read(from) => self.read(partition, from),
            Action::Reserve => self.reserve(partition),
            Action::Append(body) => self.append(partition, body),
            Action::Start {
                key,
                attempt,
                ticket,
            } => {
                if let Some(waiting) = state.waiting.get(&ticket) {
                    self.start(partition, (key, attempt), waiting.call.clone());
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
                    report_attempt("claimed", request, attempt, &partition.name);
                }
            }
            Action::Abandoned(attempt) => {
                if let Some(request) = state.requests.remove(&attempt) {
                    report_attempt("abandoned", &request, attempt, &partition.name);
                }
            }
        }
    }

    fn schedule(self: &Arc<Self>, partition: &Arc<Partition>, state: &mut State) {
        let Some(wake) = state.stream.wake() else {
            return;
        };
        if state.wake.is_some_and(|scheduled| scheduled <= wake) {
            return;
        }
        state.wake = Some(wake);
        let (inner, partition) = (self.clone(), partition.clone());
        self.context.runtime.spawn(async move {
            tokio::time::sleep(wake.remaining(Time::now())).await;
            lock(&partition.state)
                .wake
                .take_if(|scheduled| *scheduled == wake);
            inner.step(&partition, Event::Tick);
        });
    }

    fn read(self: &Arc<Self>, partition: &Arc<Partition>, from: u64) {
        let (inner, partition) = (self.clone(), partition.clone());
        self.context.runtime.spawn_blocking(move || {
            let log = &inner.context.log;
            match log.read(&partition.name, from, READ_LIMIT, Duration::ZERO) {
                Ok(page) => {
                    let records = page.records.into_iter();
                    let records: Vec<_> = records.map(|r| (r.offset, r.body)).collect();
                    let (first, next) = (page.first, page.next);
                    let event = Event::Page {
                        first,
                        next,
                        records: &records,
                    };
                    inner.step(&partition, event);
                }
                Err(error) => {
                    report_failure("claim_read_failed", &partition.name, &error);
                    inner.step(&partition, Event::ReadFailed);
                }
            }
        });
    }

    /// Returns how many live agents of plain services there are.
    fn live_agents(&self) -> u32 {
        let catalogue = self.context.view.catalogue();
        let services = catalogue.items().filter_map(|item| match item {
            catalogue::Item::Service(service) => Some(&service.pool),
            _ => None,
        });
        let pools: BTreeSet<_> = services.collect();
        let instances = self.context.view.instances();
        let agents = instances.iter().filter(|instance| {
            instance.state == list::State::Live && pools.contains(&instance.pool)
        });
        u32::try_from(agents.count()).unwrap_or(u32::MAX)
    }

    fn reserve(self: &Arc<Self>, partition: &Arc<Partition>) {
        let agents = self.live_agents();
        let turn = lock(&self.pace).reserve(Time::now(), agents);
        let (inner, partition) = (self.clone(), partition.clone());
        self.context.runtime.spawn(async move {
            tokio::time::sleep(turn.remaining(Time::now())).await;
            inner.step(&partition, Event::Turn);
        });
    }

    fn append(self: &Arc<Self>, partition: &Arc<Partition>, body: String) {
        let (inner, partition) = (self.clone(), partition.clone());
        self.context.runtime.spawn_blocking(move || {
            if let Err(error) = inner.context.log.append(&partition.name, &body) {
                report_failure("claim_append_failed", &partition.name, &error);
            }
            inner.step(&partition, Event::Appended);
        });
    }

    fn start(self: &Arc<Self>, partition: &Arc<Partition>, of: (Digest, Uuid), call: Arc<Call>) {
        let (key, attempt) = of;
        report_attempt("started", &call.request, attempt, &partition.name);
        let (inner, partition) = (self.clone(), partition.clone());
        self.context.runtime.spawn_blocking(move || {
            let ending = call::send(&inner.service, &call, CALL_LIMIT);
            report_ending(&call.request, attempt, &ending);
            if !matches!(ending, Ending::NotSent) {
                lock(&partition.state).requests.remove(&attempt);
            }
            inner.step(&partition, Event::Ended { key, ending });
        });
    }
}

/// Drops partitions beyond the window of keys, then the least recently used ones beyond the limit.
/// A partition with work in progress is kept.
fn evict(partitions: &mut BTreeMap<String, Arc<Partition>>, bucket: u64) {
    let window = (KEY_WINDOW + KEY_LEAD).as_secs() / BUCKET_SPAN.as_secs() + 1;
    let free = |partition: &Arc<Partition>| {
        Arc::strong_count(partition) == 1 && lock(&partition.state).stream.idle()
    };
    partitions.retain(|_, partition| partition.bucket + window >= bucket || !free(partition));
    while partitions.len() >= MAX_STREAMS {
        let candidates = partitions.values().filter(|partition| free(partition));
        let oldest = candidates.min_by_key(|partition| lock(&partition.state).used);
        let Some(name) = oldest.map(|partition| partition.name.clone()) else {
            return;
        };
        partitions.remove(&name);
    }
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

//! Performs the I/O of the claim streams: access to the log, the plain service and the clock.

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
    Action, Answer, Digest, Ending, Event, Key, Now, Pacer, Stream, Waiter,
    call::{
        self,
        Call, //
    },
    key::{
        BUCKET_SPAN,
        MAX_KEY_AGE,
        MAX_KEY_LEAD, //
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

/// Timeout for a started call. It is longer than the requests' deadlines, so that a late response
/// is still recorded for retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum number of appends in one read. With appends of the maximum size, escaped once more, a
/// page takes 16 MiB, half of what the log client accepts.
const MAX_READ_APPENDS: u32 = 64;

/// Maximum number of calls that wait or run at one agent. It is below the runtime's 512 blocking
/// threads, so that slow calls leave some threads for access to the log.
const MAX_CALLS: u32 = 256;

/// Interval between checks whether all records are written at shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of streams kept in memory. An evicted stream is read again when it is needed.
const MAX_STREAMS: usize = 128;

/// Runs each call at most once.
#[derive(Debug, Clone)]
pub(crate) struct Executor(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    context: Context,
    service: Service,
    pacer: Mutex<Pacer>,
    partitions: Mutex<BTreeMap<String, Arc<Partition>>>,
    tickets: AtomicU64,
    permits: Arc<Semaphore>,
}

/// One claim stream and the requests that wait for it.
#[derive(Debug)]
struct Partition {
    name: String,
    /// Number of the time span of its keys; see [`Key::bucket`].
    bucket: u64,
    service: catalogue::Key,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    stream: Stream,
    waiting: HashMap<u64, Waiting>,
    /// Request ids of the attempts, for log lines about an attempt whose request was already
    /// answered.
    requests: HashMap<Uuid, id::Request>,
    last_used: Option<Time>,
    /// Time of the next scheduled `Tick`.
    wake: Option<Time>,
}

#[derive(Debug)]
struct Waiting {
    call: Arc<Call>,
    answer: oneshot::Sender<Answer>,
}

impl Executor {
    /// Creates an executor for the plain service beside this agent.
    pub(crate) fn new(context: Context, service: Service) -> Self {
        Self(Arc::new(Inner {
            context,
            service,
            pacer: Mutex::default(),
            partitions: Mutex::default(),
            tickets: AtomicU64::new(0),
            permits: Arc::new(Semaphore::new(MAX_CALLS as usize)),
        }))
    }

    /// Returns the context shared by all parts of the daemon.
    pub(crate) fn context(&self) -> &Context {
        &self.0.context
    }

    /// Returns the client of the plain service.
    pub(crate) fn service(&self) -> &Service {
        &self.0.service
    }

    /// Returns a call that holds a permit, or `None` if all permits are taken.
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
        // This fails only if the semaphore is closed, and it never is.
        let _ = self.0.permits.acquire_many(MAX_CALLS).await;
        while !self.0.is_written() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Runs a call unless the key's call may have run before, and returns the answer by the
    /// deadline.
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
        // The sender is dropped without an answer only when the process exits.
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

    /// Returns the partition of the key's stream. Creating a new one evicts partitions that are no
    /// longer needed.
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

    /// Processes an event and performs the stream's actions. The partition's lock is held
    /// throughout, and the time is read under it, so that starting a call and refusing its requests
    /// can't overlap.
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
        state.last_used = Some(time);
        for action in actions {
            self.perform(partition, &mut state, action);
        }
        self.schedule(partition, &mut state);
    }

    /// Performs an action without blocking.
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
                    // Sending fails if nothing waits for the answer any more, as when the client
                    // has disconnected.
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

    /// Schedules a `Tick` for the time at which the stream needs it, unless an earlier one is
    /// scheduled.
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
            match log.read(&partition.name, from, MAX_READ_APPENDS, Duration::ZERO) {
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

    /// Returns the number of live agents of plain services.
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
        let turn = lock(&self.pacer).reserve(Time::now(), agents);
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

    fn start(self: &Arc<Self>, partition: &Arc<Partition>, ids: (Digest, Uuid), call: Arc<Call>) {
        let (key, attempt) = ids;
        report_attempt("started", &call.request, attempt, &partition.name);
        let (inner, partition) = (self.clone(), partition.clone());
        self.context.runtime.spawn_blocking(move || {
            let ending = call::send(&inner.service, &call, CALL_TIMEOUT);
            report_ending(&call.request, attempt, &ending);
            if !matches!(ending, Ending::NotSent) {
                lock(&partition.state).requests.remove(&attempt);
            }
            inner.step(&partition, Event::Ended { key, ending });
        });
    }
}

/// Evicts partitions whose keys are too old to be accepted, then the least recently used ones while
/// there are [`MAX_STREAMS`] or more. A partition with work in progress is kept.
fn evict(partitions: &mut BTreeMap<String, Arc<Partition>>, bucket: u64) {
    let window = (MAX_KEY_AGE + MAX_KEY_LEAD).as_secs() / BUCKET_SPAN.as_secs() + 1;
    let is_unused = |partition: &Arc<Partition>| {
        Arc::strong_count(partition) == 1 && lock(&partition.state).stream.is_idle()
    };
    partitions.retain(|_, partition| partition.bucket + window >= bucket || !is_unused(partition));
    while partitions.len() >= MAX_STREAMS {
        let candidates = partitions.values().filter(|partition| is_unused(partition));
        let oldest = candidates.min_by_key(|partition| lock(&partition.state).last_used);
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

//! Emulator of the append-only log service.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use serde::Serialize;
use serde_json::json;
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    fault::Faults,
    http::{
        self,
        Answer,
        Call, //
    },
};

/// Records in a page unless the reader asks for fewer.
const MAX_PAGE_RECORDS: u64 = 10_000;

/// Limits of the log.
#[derive(Debug, Clone)]
pub(super) struct Limits {
    /// Time for which records are kept.
    pub(super) retention: Duration,
    /// Appends accepted in a second.
    pub(super) appends_per_s: u32,
    /// Time that an append takes.
    pub(super) append_time: Duration,
}

#[derive(Debug)]
struct Kept {
    at: Instant,
    body: Arc<str>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Records dropped by retention; the oldest kept record has the next offset.
    dropped: u64,
    records: VecDeque<Kept>,
    appended: Arc<Notify>,
}

impl Stream {
    fn first(&self) -> u64 {
        self.dropped + 1
    }

    fn next(&self) -> u64 {
        self.first() + self.records.len() as u64
    }

    fn drop_old(&mut self, now: Instant, retention: Duration) {
        while let Some(oldest) = self.records.front()
            && now.duration_since(oldest.at) > retention
        {
            self.records.pop_front();
            self.dropped += 1;
        }
    }

    fn page(&self, from: u64, limit: u64) -> Page {
        let first = self.first();
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let kept = self.records.iter().zip(first..).skip(skipped).take(limit);
        Page {
            first,
            next: self.next(),
            records: kept
                .map(|(record, offset)| Record {
                    offset,
                    body: record.body.clone(),
                })
                .collect(),
        }
    }
}

#[derive(Debug, Serialize)]
struct Page {
    first: u64,
    next: u64,
    records: Vec<Record>,
}

#[derive(Debug, Serialize)]
struct Record {
    offset: u64,
    body: Arc<str>,
}

/// An append that took effect.
#[derive(Debug, Serialize)]
struct Append {
    stream: String,
    offset: u64,
    body: Arc<str>,
}

#[derive(Debug)]
struct State {
    streams: BTreeMap<String, Stream>,
    /// Appends that may still be accepted, refilled with time up to those of one second.
    allowance: f64,
    refilled: Instant,
    appends: Vec<Append>,
    refused: u64,
    reads: u64,
}

#[derive(Debug)]
struct Log {
    limits: Limits,
    state: Mutex<State>,
}

/// Serves the log.
pub(super) fn serve(listen: SocketAddr, limits: Limits) -> io::Result<()> {
    let log = Arc::new(Log::new(limits));
    http::serve(listen, Arc::new(Faults::new()), move |call| {
        handle(log.clone(), call)
    })
}

async fn handle(log: Arc<Log>, call: Call) -> Answer {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["record"]) => log.record(),
        ("POST", ["streams", stream]) => log.append(stream, &call).await,
        ("GET", ["streams", stream]) => log.read(stream, &call).await,
        _ => Answer::error(404, "no such path"),
    }
}

impl Log {
    fn new(limits: Limits) -> Self {
        let state = State {
            streams: BTreeMap::new(),
            allowance: f64::from(limits.appends_per_s),
            refilled: Instant::now(),
            appends: Vec::new(),
            refused: 0,
            reads: 0,
        };
        Self {
            limits,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn append(&self, name: &str, call: &Call) -> Answer {
        let Ok(body) = str::from_utf8(&call.body) else {
            return Answer::error(400, "a record is text");
        };
        if !self.admit() {
            return Answer::error(429, "too many appends");
        }
        sleep(self.limits.append_time).await;
        let body: Arc<str> = Arc::from(body);
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back(Kept {
            at: Instant::now(),
            body: body.clone(),
        });
        stream.appended.notify_waiters();
        state.appends.push(Append {
            stream: name.to_owned(),
            offset,
            body,
        });
        Answer::json(200, &json!({ "offset": offset }))
    }

    fn admit(&self) -> bool {
        let rate = f64::from(self.limits.appends_per_s);
        let mut state = self.lock();
        let now = Instant::now();
        let refill = now.duration_since(state.refilled).as_secs_f64() * rate;
        state.allowance = (state.allowance + refill).min(rate);
        state.refilled = now;
        if state.allowance < 1.0 {
            state.refused += 1;
            return false;
        }
        state.allowance -= 1.0;
        true
    }

    async fn read(&self, name: &str, call: &Call) -> Answer {
        let from = call.number("from").unwrap_or(1).max(1);
        let limit = call.number("limit").unwrap_or(MAX_PAGE_RECORDS);
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            let appended = {
                let mut state = self.lock();
                let stream = state.streams.entry(name.to_owned()).or_default();
                stream.appended.clone()
            };
            // Registered before the page is read, so that no append falls in between.
            let notified = appended.notified();
            let page = self.page(name, from, limit.min(MAX_PAGE_RECORDS));
            let left = deadline.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || left.is_zero() {
                self.lock().reads += 1;
                return Answer::json(200, &page);
            }
            tokio::select! {
                _ = timeout(left, notified) => {}
                () = call.caller_gone() => return Answer::error(499, "the caller went away"),
            }
        }
    }

    fn page(&self, name: &str, from: u64, limit: u64) -> Page {
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.drop_old(Instant::now(), self.limits.retention);
        stream.page(from, limit)
    }

    fn record(&self) -> Answer {
        let state = self.lock();
        Answer::json(
            200,
            &json!({
                "appends": state.appends,
                "refused": state.refused,
                "reads": state.reads,
            }),
        )
    }
}

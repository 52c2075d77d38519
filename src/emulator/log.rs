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
        Call,
        Response, //
    },
};

/// Maximum number of records in a page; a reader may ask for fewer.
const MAX_PAGE_RECORDS: u64 = 10_000;

/// Limits of the log.
#[derive(Debug, Clone)]
pub(super) struct Limits {
    /// Time for which records are kept.
    pub(super) retention: Duration,
    /// Maximum number of appends accepted per second.
    pub(super) appends_per_s: u32,
    /// Duration of an append.
    pub(super) append_time: Duration,
}

/// A record of a stream and the time of its append.
#[derive(Debug)]
struct StoredRecord {
    at: Instant,
    body: Arc<str>,
}

/// A stream of the log. The offsets of its records start at 1.
#[derive(Debug, Default)]
struct Stream {
    /// Number of expired records dropped so far, thus the offset of the last one.
    dropped: u64,
    records: VecDeque<StoredRecord>,
    /// Wakes waiting reads after an append.
    appended: Arc<Notify>,
}

impl Stream {
    /// Returns the offset of the oldest retained record.
    fn first(&self) -> u64 {
        self.dropped + 1
    }

    /// Returns the offset of the next append.
    fn next(&self) -> u64 {
        self.first() + self.records.len() as u64
    }

    /// Drops the records whose retention time has passed.
    fn drop_expired(&mut self, now: Instant, retention: Duration) {
        while let Some(oldest) = self.records.front()
            && now.duration_since(oldest.at) > retention
        {
            self.records.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns up to `limit` records from the offset `from` on.
    fn page(&self, from: u64, limit: u64) -> Page {
        let first = self.first();
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let selected = self.records.iter().zip(first..).skip(skipped).take(limit);
        Page {
            first,
            next: self.next(),
            records: selected
                .map(|(record, offset)| Record {
                    offset,
                    body: record.body.clone(),
                })
                .collect(),
        }
    }
}

/// Response to a read.
#[derive(Debug, Serialize)]
struct Page {
    first: u64,
    next: u64,
    records: Vec<Record>,
}

/// A record in a page.
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
    /// Number of appends that may be accepted at present. It grows with time up to the maximum for
    /// one second.
    available_appends: f64,
    /// Time when `available_appends` was last updated.
    refilled_at: Instant,
    appends: Vec<Append>,
    /// Number of appends refused because of the rate limit.
    refused: u64,
    /// Number of reads that got a response.
    reads: u64,
}

/// The log service.
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

async fn handle(log: Arc<Log>, call: Call) -> Response {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["record"]) => log.record(),
        ("POST", ["streams", stream]) => log.append(stream, &call).await,
        ("GET", ["streams", stream]) => log.read(stream, &call).await,
        _ => Response::error(404, "no such path"),
    }
}

impl Log {
    fn new(limits: Limits) -> Self {
        let state = State {
            streams: BTreeMap::new(),
            available_appends: f64::from(limits.appends_per_s),
            refilled_at: Instant::now(),
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

    async fn append(&self, name: &str, call: &Call) -> Response {
        let Ok(body) = str::from_utf8(&call.body) else {
            return Response::error(400, "record is not UTF-8 text");
        };
        if !self.admit() {
            return Response::error(429, "too many appends");
        }
        sleep(self.limits.append_time).await;
        let body: Arc<str> = Arc::from(body);
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back(StoredRecord {
            at: Instant::now(),
            body: body.clone(),
        });
        stream.appended.notify_waiters();
        state.appends.push(Append {
            stream: name.to_owned(),
            offset,
            body,
        });
        Response::json(200, &json!({ "offset": offset }))
    }

    /// Returns whether the rate limit permits an append now, and counts the append.
    fn admit(&self) -> bool {
        let rate = f64::from(self.limits.appends_per_s);
        let mut state = self.lock();
        let now = Instant::now();
        let refill = now.duration_since(state.refilled_at).as_secs_f64() * rate;
        state.available_appends = (state.available_appends + refill).min(rate);
        state.refilled_at = now;
        if state.available_appends < 1.0 {
            state.refused += 1;
            return false;
        }
        state.available_appends -= 1.0;
        true
    }

    /// Returns a page of records, waiting up to `wait_ms` if there are none yet.
    async fn read(&self, name: &str, call: &Call) -> Response {
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
            // Registered before the page is read, so that an append in between is not missed.
            let notified = appended.notified();
            let page = self.page(name, from, limit.min(MAX_PAGE_RECORDS));
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || remaining.is_zero() {
                self.lock().reads += 1;
                return Response::json(200, &page);
            }
            tokio::select! {
                _ = timeout(remaining, notified) => {}
                () = call.caller_gone() => return Response::error(499, "caller closed connection"),
            }
        }
    }

    fn page(&self, name: &str, from: u64, limit: u64) -> Page {
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.drop_expired(Instant::now(), self.limits.retention);
        stream.page(from, limit)
    }

    fn record(&self) -> Response {
        let state = self.lock();
        Response::json(
            200,
            &json!({
                "appends": state.appends,
                "refused": state.refused,
                "reads": state.reads,
            }),
        )
    }
}

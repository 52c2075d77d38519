//! A stream of the log, read by long polls and exchanged with peers.

use std::{
    collections::VecDeque,
    io,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::Duration,
};

use super::{
    Applied,
    Effect,
    Fold,
    Reader, //
};
use crate::{
    client::log::{
        Log,
        Page,
        Record, //
    },
    report,
    snapshot::{
        self,
        Assembly,
        Part, //
    },
    timer::Time,
    view::View,
    wire::{
        Frame,
        MAX_FRAME_BYTES, //
    },
};

/// Time for which the log holds a read open while there is no new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// Maximum number of records kept for peers that lag slightly behind. Peers that lag further behind
/// get the whole state.
const MAX_RECENT_RECORDS: usize = 64;

/// Maximum total size of the records in one frame, in bytes.
const MAX_RECORD_BYTES: usize = MAX_FRAME_BYTES / 2;

/// Function that stores a new state in the view.
type Publish<F> = fn(&View, &F);

/// A stream of the log, read by long polls and exchanged with peers.
#[derive(Debug)]
pub(crate) struct Stream<F> {
    log: Log,
    view: Arc<View>,
    publish: Publish<F>,
    inner: Mutex<Inner<F>>,
}

#[derive(Debug)]
struct Inner<F> {
    reader: Reader<F>,
    recent: VecDeque<Record>,
    peer_parts: Assembly,
}

impl<F: Fold + Send + 'static> Stream<F> {
    pub(crate) fn new(log: Log, view: Arc<View>, publish: Publish<F>) -> Self {
        Self {
            log,
            view,
            publish,
            inner: Mutex::new(Inner {
                reader: Reader::new(Time::now()),
                recent: VecDeque::new(),
                peer_parts: Assembly::default(),
            }),
        }
    }

    /// Starts a thread that reads the stream until the process exits.
    pub(crate) fn follow(self: &Arc<Self>) -> io::Result<()> {
        let stream = Arc::clone(self);
        thread::Builder::new()
            .name(format!("follow-{}", F::STREAM))
            .spawn(move || {
                loop {
                    stream.read_page();
                }
            })
            .map(drop)
    }

    /// Returns the offset of the last record that was applied or skipped.
    pub(crate) fn applied(&self) -> u64 {
        self.lock().reader.state().applied()
    }

    /// Returns the frames to send to a peer that has applied the records up to `after`.
    pub(crate) fn reply_to_pull(&self, after: u64) -> Vec<Frame> {
        let inner = self.lock();
        let applied = inner.reader.state().applied();
        if applied <= after {
            return Vec::new();
        }
        let oldest = inner.recent.front().map(|record| record.offset);
        let newer = inner.recent.iter().filter(|record| record.offset > after);
        let bytes: usize = newer.clone().map(|record| record.body.len()).sum();
        // Records too large for one frame, as a first release note can be, are sent as parts of the
        // state instead.
        if oldest.is_some_and(|oldest| oldest <= after + 1) && bytes <= MAX_RECORD_BYTES {
            let records = newer.map(|record| (record.offset, record.body.clone()));
            return vec![Frame::Records(records.collect())];
        }
        let json = serde_json::to_string(inner.reader.state()).unwrap_or_default();
        let parts = snapshot::split(applied, &json);
        parts.into_iter().map(Frame::State).collect()
    }

    /// Applies records received from a peer.
    pub(crate) fn accept_records(&self, records: Vec<(u64, String)>) {
        let mut inner = self.lock();
        let mut applied = Vec::new();
        for (offset, body) in records {
            let record = Record { offset, body };
            if let Some(applied_record) = inner.reader.apply_peer_record(&record) {
                applied.push(applied_record);
                keep_recent(&mut inner.recent, record);
            }
        }
        self.publish(&inner, &applied, "peer");
    }

    /// Adds a part of a state received from a peer; once all parts are there, replaces this
    /// daemon's state if that is older.
    pub(crate) fn accept_part(&self, part: &Part) {
        let mut inner = self.lock();
        let Some((at, json)) = inner.peer_parts.add(part) else {
            return;
        };
        let Ok(state) = serde_json::from_str::<F>(&json) else {
            return;
        };
        if inner.reader.replace_state(state) {
            inner.recent.clear();
            let applied = Applied {
                offset: at,
                effect: Effect::State,
            };
            self.publish(&inner, &[applied], "peer");
        }
    }

    /// Appends a snapshot to the log if one is due from the agent with this rank.
    pub(crate) fn write_snapshot(&self, now: Time, retention: Duration, rank: usize) {
        let (at, json) = {
            let inner = self.lock();
            if !inner.reader.age(now).is_due(retention, rank) {
                return;
            }
            let state = inner.reader.state();
            let json = serde_json::to_string(state).unwrap_or_default();
            (state.applied(), json)
        };
        for part in snapshot::split(at, &json) {
            if let Err(error) = self.log.append(F::STREAM, &F::encode(part)) {
                let pairs: [(&str, &dyn std::fmt::Display); 3] =
                    [("stream", &F::STREAM), ("at", &at), ("error", &error)];
                return report::warn("snapshot_failed", &pairs);
            }
        }
        report::info("snapshot_written", &[("stream", &F::STREAM), ("at", &at)]);
    }

    fn read_page(&self) {
        let from = self.lock().reader.next();
        // The response may sit in a buffer while the process is paused, so it is known to be
        // current only as of the start of the read.
        let started = Time::now();
        match self
            .log
            .read(F::STREAM, from, MAX_READ_RECORDS, LONG_POLL_TIMEOUT)
        {
            Ok(page) => {
                self.accept_page(&page);
                if self.applied() + 1 >= page.next {
                    self.view.record_sync(F::STREAM, started);
                }
            }
            Err(error) => {
                report::warn(
                    "log_read_failed",
                    &[("stream", &F::STREAM), ("error", &error)],
                );
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    fn accept_page(&self, page: &Page) {
        let mut inner = self.lock();
        let applied = inner.reader.apply_page(page);
        for record in &page.records {
            if applied.iter().any(|other| other.offset == record.offset) {
                keep_recent(&mut inner.recent, record.clone());
            }
        }
        self.publish(&inner, &applied, "log");
    }

    fn publish(&self, inner: &Inner<F>, applied: &[Applied<F>], source: &str) {
        for record in applied {
            report::info(
                "applied",
                &[
                    ("stream", &F::STREAM),
                    ("offset", &record.offset),
                    ("source", &source),
                    ("outcome", &record.effect),
                ],
            );
        }
        (self.publish)(&self.view, inner.reader.state());
    }

    fn lock(&self) -> MutexGuard<'_, Inner<F>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a record for peers. After a gap, the earlier records are dropped, so that the records kept
/// have consecutive offsets.
fn keep_recent(recent: &mut VecDeque<Record>, record: Record) {
    let gap = recent
        .back()
        .is_some_and(|last| last.offset + 1 != record.offset);
    if gap {
        recent.clear();
    }
    recent.push_back(record);
    if recent.len() > MAX_RECENT_RECORDS {
        recent.pop_front();
    }
}

//! Application of a log stream's records to a state, from the first record or from a snapshot.

use std::{
    fmt,
    time::Duration, //
};

use super::{
    Entry,
    Fold, //
};
use crate::{
    client::log::{
        Page,
        Record, //
    },
    snapshot::{
        Age,
        Assembly,
        Part, //
    },
    timer::{
        Time,
        unix_millis, //
    },
};

/// Effect of a record.
#[derive(Debug)]
pub enum Effect<F: Fold> {
    /// A change, with its outcome.
    Change(F::Change, F::Outcome),
    /// Part of a snapshot, which does not change the state.
    Snapshot,
    /// A whole state received from a peer.
    State,
    /// The record could not be decoded; holds the error.
    Malformed(String),
}

impl<F: Fold> fmt::Display for Effect<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(_, outcome) => write!(f, "{outcome:?}"),
            Self::Snapshot => f.write_str("snapshot"),
            Self::State => f.write_str("state"),
            Self::Malformed(error) => write!(f, "malformed: {error}"),
        }
    }
}

/// A record that was applied or skipped.
#[derive(Debug)]
pub struct Applied<F: Fold> {
    /// Offset of the record.
    pub offset: u64,
    /// Its effect.
    pub effect: Effect<F>,
}

/// Applies the records of a stream to a state. Performs no I/O: the caller reads the log and passes
/// in the pages.
#[derive(Debug)]
pub struct Reader<F> {
    state: F,
    next: u64,
    assembly: Assembly,
    records_since_snapshot: u64,
    snapshot_written_ms: Option<u64>,
    started: Time,
}

impl<F: Fold> Reader<F> {
    /// Creates a reader with an empty state.
    pub fn new(now: Time) -> Self {
        Self {
            state: F::default(),
            next: 1,
            assembly: Assembly::default(),
            records_since_snapshot: 0,
            snapshot_written_ms: None,
            started: now,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> &F {
        &self.state
    }

    /// Returns the offset at which the next read starts.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns whether all records before `next`, the end of the stream, have been applied.
    pub fn has_reached(&self, next: u64) -> bool {
        self.state.applied() + 1 >= next
    }

    /// Returns the age of the last snapshot in records and time. Before the first snapshot, both
    /// are counted from the creation of the reader.
    pub fn age(&self, now: Time) -> Age {
        let time = match self.snapshot_written_ms {
            Some(written) => Duration::from_millis(unix_millis().saturating_sub(written)),
            None => now - self.started,
        };
        Age {
            records: self.records_since_snapshot,
            time,
        }
    }

    /// Applies a page that was read from `next`.
    ///
    /// If the log has dropped records between the state and the page, nothing is applied until a
    /// snapshot closes the gap. Applying later records to an older state would produce a state that
    /// no other daemon has.
    pub fn apply_page(&mut self, page: &Page) -> Vec<Applied<F>> {
        let mut applied = Vec::new();
        for record in &page.records {
            if record.offset <= self.state.applied() {
                continue;
            }
            if record.offset == self.state.applied() + 1 {
                applied.push(self.apply_record(record));
            } else if self.restore(page.first, record) {
                // Records later than the snapshot's state may precede the snapshot in the stream,
                // so reading resumes at the first of them.
                self.next = self.state.applied() + 1;
                return applied;
            }
        }
        self.advance(page);
        applied
    }

    /// Replaces the state with one from a snapshot or a peer if that is newer; returns whether it
    /// was.
    pub fn replace_state(&mut self, state: F) -> bool {
        if state.applied() <= self.state.applied() {
            return false;
        }
        self.next = state.applied() + 1;
        self.state = state;
        true
    }

    /// Applies a record received from a peer if it directly follows the last applied one.
    pub fn apply_peer_record(&mut self, record: &Record) -> Option<Applied<F>> {
        if record.offset != self.state.applied() + 1 {
            return None;
        }
        let applied = self.apply_record(record);
        self.next = self.next.max(record.offset + 1);
        Some(applied)
    }

    fn advance(&mut self, page: &Page) {
        let last = page
            .records
            .last()
            .map_or(self.next - 1, |last| last.offset);
        self.next = (last + 1).max(self.next);
    }

    fn apply_record(&mut self, record: &Record) -> Applied<F> {
        self.records_since_snapshot += 1;
        let offset = record.offset;
        let effect = match F::decode(&record.body) {
            Ok(Entry::Change(change)) => {
                let outcome = self.state.apply_change(offset, &change);
                Effect::Change(change, outcome)
            }
            Ok(Entry::Snapshot(part)) => {
                self.record_snapshot(&part);
                self.state.skip(offset);
                Effect::Snapshot
            }
            Err(error) => {
                self.state.skip(offset);
                Effect::Malformed(error.to_string())
            }
        };
        Applied { offset, effect }
    }

    fn record_snapshot(&mut self, part: &Part) {
        if part.part + 1 == part.parts {
            self.snapshot_written_ms = Some(part.written_ms);
            self.records_since_snapshot = 0;
        }
    }

    /// Adds a part of a snapshot. Once the snapshot is complete, replaces the state with it, unless
    /// records between it and `first`, the oldest record of the log, are missing. Returns whether
    /// it replaced the state.
    fn restore(&mut self, first: u64, record: &Record) -> bool {
        let Ok(Entry::Snapshot(part)) = F::decode(&record.body) else {
            return false;
        };
        let Some((at, json)) = self.assembly.add(&part) else {
            return false;
        };
        let Ok(state) = serde_json::from_str::<F>(&json) else {
            return false;
        };
        if at + 1 < first || state.applied() != at {
            return false;
        }
        self.snapshot_written_ms = Some(part.written_ms);
        self.records_since_snapshot = 0;
        self.replace_state(state)
    }
}

//! Group commit of records to one claim stream.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use uuid::Uuid;

use super::Record;
use crate::timer::Time;

/// Time after which a record that a read of the stream did not show may be appended again. The
/// fold ignores the repetition if the first append lands after all.
pub const REAPPEND_AFTER: Duration = Duration::from_secs(2);

/// Time for which the stream is read for the claim of an attempt that was given up.
const LANDING_LIMIT: Duration = Duration::from_secs(600);

/// Claim appends a second of all agents together, of the several hundred that the log accepts.
const FLEET_APPENDS_PER_S: u32 = 300;

/// Claim appends a second of one agent, however few there are.
const AGENT_APPENDS_PER_S: u32 = 50;

/// Largest append in bytes, unless one record alone is larger. A kept body of 16 KiB takes up to
/// 96 KiB where all its characters are escaped.
const MAX_APPEND_BYTES: usize = 128 << 10;

/// Spaces the appends of an agent to all its claim streams.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    next: Option<Time>,
}

impl Pace {
    /// Returns the time at which the next append may be sent and reserves it; `agents` of plain
    /// services share what the log accepts.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{claim::Pace, timer::Time};
    ///
    /// let mut pace = Pace::default();
    /// let now = Time::from_millis(1_000);
    /// assert_eq!(pace.reserve(now, 3), now);
    /// assert_eq!(pace.reserve(now, 3), Time::from_millis(1_020));
    /// assert_eq!(pace.reserve(now, 150), Time::from_millis(1_040));
    /// assert_eq!(pace.reserve(now, 150), Time::from_millis(1_540));
    /// ```
    pub fn reserve(&mut self, now: Time, agents: u32) -> Time {
        let turn = self.next.map_or(now, |next| next.max(now));
        self.next = Some(turn + spacing(agents));
        turn
    }
}

/// Returns the time between two appends of one of so many agents.
fn spacing(agents: u32) -> Duration {
    let shared = Duration::from_secs(1) * agents / FLEET_APPENDS_PER_S;
    shared.max(Duration::from_secs(1) / AGENT_APPENDS_PER_S)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    record: Record,
    /// Whether an earlier append of the record may still land.
    again: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    record: Record,
    at: Time,
}

/// Records on their way to one stream. At most one append is in flight; it carries all records
/// that were waiting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Writer {
    queue: VecDeque<Waiting>,
    /// Records that were sent and have not been read back.
    sent: Vec<Sent>,
    /// When the append in flight was sent.
    flight: Option<Time>,
    reserved: bool,
}

impl Writer {
    /// Queues a record.
    pub fn submit(&mut self, record: Record) {
        self.queue.push_back(Waiting {
            record,
            again: false,
        });
    }

    /// Reserves a turn if records wait and no append is in flight.
    pub fn reserve(&mut self) -> bool {
        let wanted = !self.queue.is_empty() && self.flight.is_none() && !self.reserved;
        self.reserved |= wanted;
        wanted
    }

    /// Returns the body of the next append, when its turn has come.
    pub fn take(&mut self, now: Time) -> Option<String> {
        self.reserved = false;
        if self.flight.is_some() {
            return None;
        }
        let mut body = String::new();
        while let Some(waiting) = self.queue.pop_front() {
            let line = waiting.record.encode();
            if !body.is_empty() && body.len() + line.len() > MAX_APPEND_BYTES {
                self.queue.push_front(waiting);
                break;
            }
            body.push_str(&line);
            let record = waiting.record;
            self.sent.push(Sent { record, at: now });
        }
        if body.is_empty() {
            return None;
        }
        self.flight = Some(now);
        Some(body)
    }

    /// Notes that the append in flight was answered or given up; either way only a read of the
    /// stream tells what became of its records.
    pub fn landed(&mut self) {
        self.flight = None;
    }

    /// Forgets a record that was read back from the stream.
    pub fn seen(&mut self, record: &Record) {
        self.queue.retain(|waiting| !waiting.record.repeats(record));
        self.sent.retain(|sent| !sent.record.repeats(record));
    }

    /// Forgets all records of an attempt; returns whether none was ever sent.
    pub fn forget(&mut self, attempt: Uuid) -> bool {
        let unsent = !self.sent(attempt);
        self.queue
            .retain(|waiting| waiting.record.attempt() != attempt);
        self.sent.retain(|sent| sent.record.attempt() != attempt);
        unsent
    }

    /// Returns whether a record of the attempt was sent and not read back.
    pub fn sent(&self, attempt: Uuid) -> bool {
        let mut queue = self.queue.iter().filter(|waiting| waiting.again);
        let mut sent = self.sent.iter();
        queue.any(|waiting| waiting.record.attempt() == attempt)
            || sent.any(|sent| sent.record.attempt() == attempt)
    }

    /// Queues again the `wanted` records that were sent at least [`REAPPEND_AFTER`] before
    /// `began`, when a read to the end of the stream began that did not show them.
    pub fn requeue(&mut self, began: Time, wanted: impl Fn(&Record) -> bool) {
        let (flight, queue) = (self.flight, &mut self.queue);
        self.sent.retain(|sent| {
            let overdue = sent.at + REAPPEND_AFTER <= began && flight != Some(sent.at);
            let again = overdue && wanted(&sent.record);
            if again {
                queue.push_back(Waiting {
                    record: sent.record.clone(),
                    again,
                });
            }
            !again
        });
    }

    /// Returns whether the stream is to be read for records that were sent.
    pub fn expects(&self, now: Time) -> bool {
        self.sent.iter().any(|sent| match sent.record {
            Record::Claim { .. } => now - sent.at < LANDING_LIMIT,
            Record::Abandon { .. } | Record::Result { .. } => true,
        })
    }

    /// Returns whether a record other than a claim has not been read back.
    pub fn has_unconfirmed(&self) -> bool {
        let queue = self.queue.iter().map(|waiting| &waiting.record);
        let mut records = queue.chain(self.sent.iter().map(|sent| &sent.record));
        records.any(|record| !matches!(record, Record::Claim { .. }))
    }

    /// Returns whether no record waits and no append is in flight.
    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none()
    }
}

//! Writes records to one claim stream, grouping them into shared appends.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use uuid::Uuid;

use super::Record;
use crate::timer::Time;

/// Minimum time after which a record that a read of the stream did not show is appended again. If
/// the first append takes effect after all, readers ignore the second copy.
pub const REAPPEND_DELAY: Duration = Duration::from_secs(2);

/// Timeout for polling the stream for the claim of a cancelled attempt, counted from when the claim
/// was sent.
const CLAIM_POLL_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum rate of appends to claim streams by all agents together, per second. The log accepts
/// several hundred appends per second.
const MAX_FLEET_APPENDS_PER_S: u32 = 300;

/// Maximum rate of appends to claim streams by one agent, per second, however few agents there are.
const MAX_AGENT_APPENDS_PER_S: u32 = 50;

/// Maximum size of an append in bytes, unless a single record is larger. A stored body of 16 KiB
/// takes up to 96 KiB if all its characters are escaped.
const MAX_APPEND_BYTES: usize = 128 << 10;

/// Limits the rate of an agent's appends across all its claim streams.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    next: Option<Time>,
}

impl Pacer {
    /// Reserves and returns the time at which the next append may be sent. `agents` is the number
    /// of agents of plain services, which share the log's capacity.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{claim::Pacer, timer::Time};
    ///
    /// let mut pacer = Pacer::default();
    /// let now = Time::from_millis(1_000);
    /// assert_eq!(pacer.reserve(now, 3), now);
    /// assert_eq!(pacer.reserve(now, 3), Time::from_millis(1_020));
    /// assert_eq!(pacer.reserve(now, 150), Time::from_millis(1_040));
    /// assert_eq!(pacer.reserve(now, 150), Time::from_millis(1_540));
    /// ```
    pub fn reserve(&mut self, now: Time, agents: u32) -> Time {
        let turn = self.next.map_or(now, |next| next.max(now));
        self.next = Some(turn + append_interval(agents));
        turn
    }
}

/// Returns the minimum time between two appends of one agent when `agents` share the log.
fn append_interval(agents: u32) -> Duration {
    let shared = Duration::from_secs(1) * agents / MAX_FLEET_APPENDS_PER_S;
    shared.max(Duration::from_secs(1) / MAX_AGENT_APPENDS_PER_S)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Queued {
    record: Record,
    /// Whether the record was sent before; that append may still take effect.
    repeated: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    record: Record,
    sent_at: Time,
}

/// Records to be written to one stream. At most one append is in flight; it carries as many queued
/// records as `MAX_APPEND_BYTES` allows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Writer {
    queue: VecDeque<Queued>,
    /// Records that were sent and have not been read back yet.
    sent: Vec<Sent>,
    /// Time at which the append in flight was sent.
    in_flight: Option<Time>,
    reserved: bool,
}

impl Writer {
    /// Queues a record.
    pub fn submit(&mut self, record: Record) {
        self.queue.push_back(Queued {
            record,
            repeated: false,
        });
    }

    /// Returns whether a time for an append has to be reserved: records are queued, no append is in
    /// flight and none is reserved yet.
    pub fn reserve(&mut self) -> bool {
        let wanted = !self.queue.is_empty() && self.in_flight.is_none() && !self.reserved;
        self.reserved |= wanted;
        wanted
    }

    /// Returns the body of the next append, or `None` if an append is in flight or no record is
    /// queued. Called when the reserved time has come.
    pub fn next_append(&mut self, now: Time) -> Option<String> {
        self.reserved = false;
        if self.in_flight.is_some() {
            return None;
        }
        let mut body = String::new();
        while let Some(queued) = self.queue.pop_front() {
            let line = queued.record.encode();
            if !body.is_empty() && body.len() + line.len() > MAX_APPEND_BYTES {
                self.queue.push_front(queued);
                break;
            }
            body.push_str(&line);
            let record = queued.record;
            self.sent.push(Sent {
                record,
                sent_at: now,
            });
        }
        if body.is_empty() {
            return None;
        }
        self.in_flight = Some(now);
        Some(body)
    }

    /// Records that the append in flight was answered, failed or timed out. In each case only a
    /// read of the stream shows whether its records were written.
    pub fn end_append(&mut self) {
        self.in_flight = None;
    }

    /// Removes a record that was read back from the stream.
    pub fn confirm(&mut self, record: &Record) {
        self.queue.retain(|queued| !queued.record.repeats(record));
        self.sent.retain(|sent| !sent.record.repeats(record));
    }

    /// Removes all records of an attempt and returns whether none of them was ever sent.
    pub fn remove_attempt(&mut self, attempt: Uuid) -> bool {
        let unsent = !self.has_sent(attempt);
        self.queue
            .retain(|queued| queued.record.attempt() != attempt);
        self.sent.retain(|sent| sent.record.attempt() != attempt);
        unsent
    }

    /// Returns whether a record of the attempt was sent and has not been read back.
    pub fn has_sent(&self, attempt: Uuid) -> bool {
        let mut queue = self.queue.iter().filter(|queued| queued.repeated);
        let mut sent = self.sent.iter();
        queue.any(|queued| queued.record.attempt() == attempt)
            || sent.any(|sent| sent.record.attempt() == attempt)
    }

    /// Queues again the `wanted` records that a read to the end of the stream did not show. The
    /// read began at `began`; records sent less than [`REAPPEND_DELAY`] before, or by the append
    /// in flight, are left out.
    pub fn requeue(&mut self, began: Time, wanted: impl Fn(&Record) -> bool) {
        let (in_flight, queue) = (self.in_flight, &mut self.queue);
        self.sent.retain(|sent| {
            let overdue = sent.sent_at + REAPPEND_DELAY <= began && in_flight != Some(sent.sent_at);
            let repeated = overdue && wanted(&sent.record);
            if repeated {
                queue.push_back(Queued {
                    record: sent.record.clone(),
                    repeated,
                });
            }
            !repeated
        });
    }

    /// Returns whether the stream has to be polled for records that were sent.
    pub fn needs_read(&self, now: Time) -> bool {
        self.sent.iter().any(|sent| match sent.record {
            Record::Claim { .. } => now - sent.sent_at < CLAIM_POLL_TIMEOUT,
            Record::Abandon { .. } | Record::Result { .. } => true,
        })
    }

    /// Returns whether a result or an abandonment has not been read back.
    pub fn has_unconfirmed(&self) -> bool {
        let queue = self.queue.iter().map(|queued| &queued.record);
        let mut records = queue.chain(self.sent.iter().map(|sent| &sent.record));
        records.any(|record| !matches!(record, Record::Claim { .. }))
    }

    /// Returns whether no record is queued and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }
}

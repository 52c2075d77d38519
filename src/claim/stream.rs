//! An agent's decisions about one claim stream.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use uuid::{
    Builder,
    Uuid, //
};

use super::{
    Action,
    Answer,
    Attempt,
    Digest,
    Event,
    Now,
    Phase,
    Record,
    State,
    Table,
    Waiter,
    Writer,
    attempt,
    record, //
};
use crate::{
    timer::Time,
    wire::Reason, //
};

/// Timeout for the result of another agent's call. That agent may have crashed, and the client can
/// ask for the result later with the same key.
const FOREIGN_RESULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between reads of the stream while a request waits for a record.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reads of the stream while no request waits and only records that this agent
/// sent are expected.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// A request that waits for its key to be looked up, or for the result of another agent's call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lookup {
    key: Digest,
    waiter: Waiter,
    /// Number of the first read at whose end the lookup is resolved. For a new request, it is the
    /// first read that begins after the request arrived.
    read: u64,
    /// Whether another agent has claimed the key.
    foreign: bool,
}

impl Lookup {
    /// Returns the refusal for `reason`, or one with an unknown outcome if another agent has
    /// claimed the key and may run the call.
    fn refusal(&self, reason: Reason) -> Answer {
        if self.foreign {
            Answer::unknown(Reason::OutcomeUnknown)
        } else {
            Answer::not_run(reason)
        }
    }
}

/// One claim stream as seen by one agent: the state of its keys, the agent's attempts and its
/// writer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Stream {
    table: Table,
    writer: Writer,
    attempts: BTreeMap<Digest, Attempt>,
    lookups: Vec<Lookup>,
    /// Whether the log has dropped records before they were read.
    gap: bool,
    /// Time at which the read in progress began. A read continues page by page to the end of the
    /// stream.
    reading: Option<Time>,
    /// Number of reads begun so far.
    reads: u64,
    /// Time at which the next read is due.
    read_at: Option<Time>,
}

impl Stream {
    /// Processes an event and returns the actions to carry out, without side effects.
    pub fn step(&mut self, now: Now, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Arrived { key, waiter } => self.arrive(now, key, waiter, &mut actions),
            Event::Page {
                first,
                next,
                records,
            } => self.apply_page(now, (first, next), records, &mut actions),
            Event::ReadFailed => self.fail_read(now, &mut actions),
            Event::Turn => actions.extend(self.writer.next_append(now.time).map(Action::Append)),
            Event::Appended => {
                self.writer.end_append();
                self.read_at = Some(now.time);
            }
            Event::Ended { key, ending } => {
                self.step_attempt(now, key, attempt::Event::Ended(ending), &mut actions);
            }
            Event::Tick => (),
        }
        self.schedule(now, &mut actions);
        actions
    }

    /// Returns the time at which the next `Tick` is needed.
    pub fn wake(&self) -> Option<Time> {
        let read_at = self.read_at.filter(|_| self.reading.is_none());
        let lookups = self.lookups.iter().map(|lookup| lookup.waiter.deadline);
        let attempts = self.attempts.values().filter_map(Attempt::deadline);
        lookups.chain(attempts).chain(read_at).min()
    }

    /// Returns whether the stream's state can be dropped without affecting any request.
    pub fn is_idle(&self) -> bool {
        let mut attempts = self.attempts.values();
        let busy =
            attempts.any(|attempt| matches!(attempt.phase(), Phase::Claiming | Phase::Running));
        let quiet = self.writer.is_idle() && self.is_written() && self.reading.is_none();
        !busy && self.lookups.is_empty() && quiet
    }

    /// Returns whether every result and every abandonment has been read back from the stream.
    pub fn is_written(&self) -> bool {
        !self.writer.has_unconfirmed()
    }

    /// Refuses lookups whose deadline has passed, and passes a `Tick` to all attempts.
    fn expire(&mut self, now: Now, actions: &mut Vec<Action>) {
        let late = |lookup: &mut Lookup| lookup.waiter.deadline <= now.time;
        for lookup in self.lookups.extract_if(.., late) {
            let answer = lookup.refusal(Reason::Deadline);
            actions.push(Action::Answer(lookup.waiter.ticket, answer));
        }
        self.step_all_attempts(now, &attempt::Event::Tick, actions);
    }

    fn arrive(&mut self, now: Now, key: Digest, waiter: Waiter, actions: &mut Vec<Action>) {
        let lookup = Lookup {
            key,
            waiter,
            read: self.reads + 1,
            foreign: false,
        };
        let known = matches!(self.table.state(&key), State::Completed { .. });
        if known || self.gap || self.attempts.contains_key(&key) {
            self.resolve(now, lookup, actions);
        } else {
            self.lookups.push(lookup);
        }
        if self.poll_interval(now) == Some(POLL_INTERVAL) {
            self.read_at = Some(now.time);
        }
    }

    /// Answers a request from the known state of its key, adds it to this agent's attempt, begins
    /// an attempt, or waits for another agent's result.
    fn resolve(&mut self, now: Now, mut lookup: Lookup, actions: &mut Vec<Action>) {
        let (key, waiter) = (lookup.key, lookup.waiter);
        let answer = match self.table.state(&key) {
            State::Claimed { fingerprint, .. } | State::Completed { fingerprint, .. }
                if fingerprint != waiter.fingerprint =>
            {
                Answer::not_run(Reason::KeyReused)
            }
            State::Completed { response, .. } => Answer::Response(response),
            _ if self.gap => Answer::not_run(Reason::KeyExpired),
            _ if self.attempts.contains_key(&key) => {
                return self.step_attempt(now, key, attempt::Event::Joined(waiter), actions);
            }
            State::Claimed { .. } => {
                if !lookup.foreign {
                    let limit = now.time + FOREIGN_RESULT_TIMEOUT;
                    lookup.waiter.deadline = lookup.waiter.deadline.min(limit);
                }
                lookup.foreign = true;
                return self.lookups.push(lookup);
            }
            State::Free { .. } if !now.offered => Answer::not_run(Reason::Unknown),
            State::Free { abandon } => return self.begin(lookup, abandon, actions),
        };
        actions.push(Action::Answer(waiter.ticket, answer));
    }

    /// Begins an attempt for a request and submits its claim. The request gets a further id, in
    /// case it has to begin another attempt later.
    fn begin(&mut self, lookup: Lookup, abandon: u64, actions: &mut Vec<Action>) {
        let mut waiter = lookup.waiter;
        let id = waiter.attempt;
        waiter.attempt = successor(id);
        let attempt = Attempt::new(id, lookup.key, abandon, waiter);
        self.writer.submit(attempt.claim());
        self.attempts.insert(lookup.key, attempt);
        actions.push(Action::Claimed {
            attempt: id,
            ticket: waiter.ticket,
        });
    }

    fn apply_page(
        &mut self,
        now: Now,
        (first, next): (u64, u64),
        records: &[(u64, String)],
        actions: &mut Vec<Action>,
    ) {
        let from = self.table.applied() + 1;
        let Some(began) = self.reading else {
            return;
        };
        // The log has lost records that it returned before, so it may lack claims as well.
        if next < from {
            return self.fail_read(now, actions);
        }
        let mut offsets = (from..).zip(records);
        let complete = first <= from
            && offsets.all(|(offset, record)| offset == record.0)
            && (from == next || !records.is_empty());
        if !complete {
            self.gap = true;
            self.step_all_attempts(now, &attempt::Event::Failed(Reason::KeyExpired), actions);
        }
        for key in self.apply_records(records) {
            let state = self.table.state(&key);
            self.step_attempt(now, key, attempt::Event::Read(state), actions);
        }
        if records.is_empty() {
            self.table.advance(next - 1);
        }
        let next_read = self.table.applied() + 1;
        if next_read < next {
            actions.push(Action::Read(next_read));
        } else {
            self.reading = None;
            self.finish_read(now, began, actions);
        }
    }

    /// Applies records and returns their keys.
    fn apply_records(&mut self, records: &[(u64, String)]) -> BTreeSet<Digest> {
        let mut keys = BTreeSet::new();
        for (offset, body) in records {
            for (index, record) in record::decode(body) {
                self.table.apply(*offset, index, &record);
                self.writer.confirm(&record);
                keys.insert(record.key());
            }
            self.table.advance(*offset);
        }
        keys
    }

    /// Finishes a read that began at `began` and has reached the end of the stream.
    fn finish_read(&mut self, now: Now, began: Time, actions: &mut Vec<Action>) {
        let attempts = &self.attempts;
        self.writer.requeue(began, |record| match record {
            Record::Claim { attempt, key, .. } => attempts
                .get(key)
                .is_some_and(|own| own.id() == *attempt && *own.phase() == Phase::Claiming),
            Record::Abandon { .. } | Record::Result { .. } => true,
        });
        let reads = self.reads;
        let due: Vec<_> = self
            .lookups
            .extract_if(.., |lookup| lookup.read <= reads)
            .collect();
        for lookup in due {
            self.resolve(now, lookup, actions);
        }
        let unread = self.lookups.iter().any(|lookup| lookup.read > reads);
        if unread {
            self.read_at = Some(now.time);
        }
    }

    /// Refuses all lookups, and all requests whose claims have not been read back, since the read
    /// failed or the log has lost records.
    fn fail_read(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.reading = None;
        for lookup in std::mem::take(&mut self.lookups) {
            let answer = lookup.refusal(Reason::LogDown);
            actions.push(Action::Answer(lookup.waiter.ticket, answer));
        }
        self.step_all_attempts(now, &attempt::Event::Failed(Reason::LogDown), actions);
    }

    fn step_all_attempts(&mut self, now: Now, event: &attempt::Event, actions: &mut Vec<Action>) {
        let keys: Vec<_> = self.attempts.keys().copied().collect();
        for key in keys {
            self.step_attempt(now, key, event.clone(), actions);
        }
    }

    /// Passes an event to this agent's attempt for the key, if there is one.
    fn step_attempt(
        &mut self,
        now: Now,
        key: Digest,
        event: attempt::Event,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let id = attempt.id();
        let steps = attempt.step(now, event);
        // A claim that was never sent can't appear in the log, so the attempt can be removed.
        let unsent = *attempt.phase() == Phase::Cancelled && !self.writer.has_sent(id);
        let retired = steps.contains(&attempt::Action::Retire);
        for step in steps {
            self.perform(key, id, step, actions);
        }
        if unsent || retired {
            self.writer.remove_attempt(id);
            self.attempts.remove(&key);
        }
    }

    fn perform(
        &mut self,
        key: Digest,
        attempt: Uuid,
        step: attempt::Action,
        actions: &mut Vec<Action>,
    ) {
        match step {
            attempt::Action::Submit(record) => {
                if matches!(record, Record::Abandon { .. }) {
                    actions.push(Action::Abandoned(attempt));
                }
                self.writer.submit(record);
            }
            attempt::Action::Start(ticket) => actions.push(Action::Start {
                key,
                attempt,
                ticket,
            }),
            attempt::Action::Answer(ticket, answer) => {
                actions.push(Action::Answer(ticket, answer));
            }
            attempt::Action::Defer(waiter) => self.lookups.push(Lookup {
                key,
                waiter,
                read: self.reads,
                foreign: false,
            }),
            attempt::Action::Retire => (),
        }
    }

    /// Begins a read if one is due, and reserves a time for an append if records are queued.
    fn schedule(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.reading.is_none() {
            if self.read_at.is_none() {
                self.read_at = self.poll_interval(now).map(|period| now.time + period);
            }
            if self.read_at.is_some_and(|at| at <= now.time) {
                self.read_at = None;
                self.reading = Some(now.time);
                self.reads += 1;
                actions.push(Action::Read(self.table.applied() + 1));
            }
        }
        if self.writer.reserve() {
            actions.push(Action::Reserve);
        }
    }

    /// Returns the interval between reads, or `None` if no record is expected.
    fn poll_interval(&self, now: Now) -> Option<Duration> {
        let mut attempts = self.attempts.values();
        let waiting = attempts.any(|attempt| *attempt.phase() == Phase::Claiming);
        if waiting || !self.lookups.is_empty() {
            Some(POLL_INTERVAL)
        } else {
            self.writer
                .needs_read(now.time)
                .then_some(IDLE_POLL_INTERVAL)
        }
    }
}

/// Returns the id reserved for a request's next attempt after attempt `id`.
fn successor(id: Uuid) -> Uuid {
    let digest = Digest::of(&[b"successor", id.as_bytes()]);
    Builder::from_random_bytes(digest.prefix()).into_uuid()
}

//! One agent's attempt to run the call of a key.

use std::sync::Arc;

use uuid::Uuid;

use super::{
    Digest,
    Record,
    Response,
    State, //
};
use crate::{
    timer::Time,
    wire::Reason, //
};

/// The conditions under which an event is processed.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The current time.
    pub time: Time,
    /// Whether the catalogue lists the service.
    pub offered: bool,
}

/// A request that waits for the call of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Waiter {
    /// Number that identifies the request within this agent.
    pub ticket: u64,
    /// Id reserved for the attempt that this request may begin.
    pub attempt: Uuid,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Time by which the request must be answered.
    pub deadline: Time,
}

/// A request's refusal, which takes the place of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// True if the call has not run and will not run for this request, false if that is unknown.
    pub not_run: bool,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The service's response.
    Response(Arc<Response>),
    /// The request was refused.
    Refused(Refusal),
}

impl Answer {
    /// Refuses a request whose call has not run and will not run.
    pub(super) fn not_run(reason: Reason) -> Self {
        let not_run = true;
        Self::Refused(Refusal { reason, not_run })
    }

    /// Refuses a request whose call may have run or may still run.
    pub(super) fn unknown(reason: Reason) -> Self {
        let not_run = false;
        Self::Refused(Refusal { reason, not_run })
    }
}

/// How a started call ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The service responded.
    Response(Arc<Response>),
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The call was sent but no complete response arrived.
    Unknown,
}

/// Phase of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The claim was submitted and has not been read back.
    Claiming,
    /// Every request was refused before the claim was read back; the claim may still reach the log.
    Cancelled,
    /// `Abandon` was submitted; the call was not sent and never will be.
    Abandoning,
    /// The call was started.
    Running,
    /// The service responded.
    Completed(Arc<Response>),
    /// The call was started and its outcome is unknown.
    Unknown,
}

/// Input to an attempt.
#[derive(Debug, Clone)]
pub enum Event {
    /// Another request with the same key arrived.
    Joined(Waiter),
    /// Records of the stream were applied and left the key in this state.
    Read(State),
    /// The stream can't be read or has lost records, for this reason.
    Failed(Reason),
    /// The started call ended.
    Ended(Ending),
    /// Time passed or the catalogue changed.
    Tick,
}

/// Output of an attempt, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the record.
    Submit(Record),
    /// Run the call once, using the request with this ticket.
    Start(u64),
    /// Answer the request with this ticket.
    Answer(u64, Answer),
    /// Look the key up again for this request.
    Defer(Waiter),
    /// Remove the attempt: its claim is void, or the log shows its result or that it was abandoned.
    Retire,
}

/// One agent's attempt to run the call of a key.
///
/// Calls are started and abandoned only in `step`, so a request that was refused as not run can't
/// be run afterwards.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    id: Uuid,
    key: Digest,
    fingerprint: Digest,
    replaces: u64,
    phase: Phase,
    waiters: Vec<Waiter>,
}

impl Attempt {
    /// Creates an attempt; the caller has to submit its claim.
    pub fn new(id: Uuid, key: Digest, replaces: u64, waiter: Waiter) -> Self {
        Self {
            id,
            key,
            fingerprint: waiter.fingerprint,
            replaces,
            phase: Phase::Claiming,
            waiters: vec![waiter],
        }
    }

    /// Returns the attempt's id.
    pub fn id(&self) -> Uuid {
        self.id
    }

    /// Returns the attempt's phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the attempt's claim; each call returns the same record.
    pub fn claim(&self) -> Record {
        Record::Claim {
            attempt: self.id,
            key: self.key,
            fingerprint: self.fingerprint,
            replaces: self.replaces,
        }
    }

    /// Returns the earliest deadline of the waiting requests.
    pub fn deadline(&self) -> Option<Time> {
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }

    /// Processes an event and returns the actions to carry out, without side effects.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut actions = self.expire(now);
        actions.extend(match event {
            Event::Joined(waiter) => self.join(now, waiter).into_iter().collect(),
            Event::Read(state) => self.read(&state),
            Event::Failed(reason) if self.phase == Phase::Claiming => self.cancel(reason),
            Event::Ended(ending) if self.phase == Phase::Running => self.end(ending),
            Event::Failed(_) | Event::Ended(_) | Event::Tick => Vec::new(),
        });
        actions
    }

    /// Refuses requests whose deadline has passed, and all requests if the service was withdrawn
    /// before the call started.
    fn expire(&mut self, now: Now) -> Vec<Action> {
        if self.phase == Phase::Claiming && !now.offered {
            return self.cancel(Reason::Unknown);
        }
        let expired = |waiter: &mut Waiter| waiter.deadline <= now.time;
        let late: Vec<_> = self.waiters.extract_if(.., expired).collect();
        let cancelled = self.phase == Phase::Claiming && self.waiters.is_empty();
        if cancelled {
            self.phase = Phase::Cancelled;
        }
        let answer = match self.phase {
            Phase::Cancelled => Answer::not_run(Reason::Deadline),
            // The call may still start for another request with the same key.
            Phase::Claiming => Answer::unknown(Reason::Deadline),
            _ => Answer::unknown(Reason::OutcomeUnknown),
        };
        answer_all(late, &answer)
    }

    /// Refuses all requests before the call has started. The claim may still reach the log.
    fn cancel(&mut self, reason: Reason) -> Vec<Action> {
        self.phase = Phase::Cancelled;
        answer_all(self.waiters.drain(..), &Answer::not_run(reason))
    }

    /// Answers a request with the same key, adds it to those that wait, or defers it until the
    /// abandonment has been read back.
    fn join(&mut self, now: Now, waiter: Waiter) -> Option<Action> {
        let answer = |answer| Some(Action::Answer(waiter.ticket, answer));
        if waiter.fingerprint != self.fingerprint {
            return answer(Answer::not_run(Reason::KeyReused));
        }
        match &self.phase {
            Phase::Completed(response) => answer(Answer::Response(response.clone())),
            Phase::Unknown => answer(Answer::unknown(Reason::OutcomeUnknown)),
            Phase::Running => {
                self.waiters.push(waiter);
                None
            }
            _ if waiter.deadline <= now.time => answer(Answer::not_run(Reason::Deadline)),
            _ if !now.offered => answer(Answer::not_run(Reason::Unknown)),
            Phase::Claiming | Phase::Cancelled => {
                self.phase = Phase::Claiming;
                self.waiters.push(waiter);
                None
            }
            Phase::Abandoning => Some(Action::Defer(waiter)),
        }
    }

    /// Reacts to the state of the key after records of the stream were applied.
    fn read(&mut self, state: &State) -> Vec<Action> {
        let own = matches!(state, State::Claimed { attempt, .. } if *attempt == self.id);
        let open = *state
            == State::Free {
                abandon: self.replaces,
            };
        match self.phase {
            Phase::Claiming if own => self.start(),
            Phase::Cancelled if own => self.abandon(),
            Phase::Claiming | Phase::Cancelled if !open => self.supersede(),
            Phase::Abandoning if !own => vec![Action::Retire],
            Phase::Completed(_) if !own => vec![Action::Retire],
            _ => Vec::new(),
        }
    }

    /// Starts the call once the claim is valid, or abandons the claim if no request waits any more.
    fn start(&mut self) -> Vec<Action> {
        let Some(waiter) = self.waiters.first() else {
            return self.abandon();
        };
        self.phase = Phase::Running;
        vec![Action::Start(waiter.ticket)]
    }

    fn abandon(&mut self) -> Vec<Action> {
        self.phase = Phase::Abandoning;
        let (attempt, key) = (self.id, self.key);
        vec![Action::Submit(Record::Abandon { attempt, key })]
    }

    /// Ends the attempt after another record changed the key's state. The attempt's claim is void
    /// at whatever offset it appears in the log.
    fn supersede(&mut self) -> Vec<Action> {
        let deferred = self.waiters.drain(..).map(Action::Defer);
        deferred.chain([Action::Retire]).collect()
    }

    /// Answers the requests with the outcome of the call, and submits the result or, if nothing was
    /// sent, the abandonment.
    fn end(&mut self, ending: Ending) -> Vec<Action> {
        let waiters: Vec<_> = self.waiters.drain(..).collect();
        match ending {
            Ending::Response(response) => {
                let result = Record::Result {
                    attempt: self.id,
                    key: self.key,
                    response: response.stored(),
                };
                self.phase = Phase::Completed(response.clone());
                let mut actions = answer_all(waiters, &Answer::Response(response));
                actions.push(Action::Submit(result));
                actions
            }
            Ending::NotSent => {
                let mut actions = answer_all(waiters, &Answer::not_run(Reason::Backend));
                actions.extend(self.abandon());
                actions
            }
            Ending::Unknown => {
                self.phase = Phase::Unknown;
                answer_all(waiters, &Answer::unknown(Reason::OutcomeUnknown))
            }
        }
    }
}

fn answer_all(waiters: impl IntoIterator<Item = Waiter>, answer: &Answer) -> Vec<Action> {
    let waiters = waiters.into_iter();
    waiters
        .map(|waiter| Action::Answer(waiter.ticket, answer.clone()))
        .collect()
}

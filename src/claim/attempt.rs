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

/// The moment of a step.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The time.
    pub time: Time,
    /// Whether the catalogue has the service.
    pub offered: bool,
}

/// A request that waits for the call of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Waiter {
    /// Number of the request at this agent.
    pub ticket: u64,
    /// Unused id for the attempt that the request may have to begin.
    pub attempt: Uuid,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Time at which the request is answered at the latest.
    pub deadline: Time,
}

/// Why a request gets no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// True if nothing has run or will run for the request; false if that is not known.
    pub not_run: bool,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The service's response.
    Response(Arc<Response>),
    /// No response.
    Refused(Refusal),
}

impl Answer {
    /// Refuses a request for which nothing ran and nothing will run.
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
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The call was sent and has no complete response.
    Unknown,
}

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The claim was submitted and has not been read back.
    Claiming,
    /// Every request was refused before the claim was read back; the claim may still land.
    GivenUp,
    /// `Abandon` was submitted: the call never starts.
    Abandoning,
    /// The call was started.
    Running,
    /// The call has responded.
    Completed(Arc<Response>),
    /// The call was started and its outcome is not known.
    Unknown,
}

/// What happens to an attempt.
#[derive(Debug, Clone)]
pub enum Event {
    /// Another request with the key arrived.
    Joined(Waiter),
    /// A part of the stream was applied and left the key in this state.
    Read(State),
    /// The stream can't be read or has lost records.
    Failed(Reason),
    /// The started call ended.
    Ended(Ending),
    /// Time passed or the catalogue changed.
    Tick,
}

/// What an attempt asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the record.
    Submit(Record),
    /// Run the call once, with the request of this ticket.
    Start(u64),
    /// Answer the request of this ticket.
    Answer(u64, Answer),
    /// The request has to look the key up again.
    Defer(Waiter),
    /// The attempt is over; its claim can't become valid any more.
    Retire,
}

/// One agent's attempt to run the call of a key. `step` is the only place that starts a call or
/// gives it up, so no request is refused as not run and then run.
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
    /// Begins an attempt; the caller submits its claim.
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

    /// Returns how far the attempt has come.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the attempt's claim, the same at each call.
    pub fn claim(&self) -> Record {
        Record::Claim {
            attempt: self.id,
            key: self.key,
            fingerprint: self.fingerprint,
            replaces: self.replaces,
        }
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn deadline(&self) -> Option<Time> {
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut actions = self.expire(now);
        actions.extend(match event {
            Event::Joined(waiter) => self.join(now, waiter).into_iter().collect(),
            Event::Read(state) => self.read(&state),
            Event::Failed(reason) if self.phase == Phase::Claiming => self.give_up(reason),
            Event::Ended(ending) if self.phase == Phase::Running => self.end(ending),
            Event::Failed(_) | Event::Ended(_) | Event::Tick => Vec::new(),
        });
        actions
    }

    /// Refuses the requests that can't be served any more at this moment.
    fn expire(&mut self, now: Now) -> Vec<Action> {
        if self.phase == Phase::Claiming && !now.offered {
            return self.give_up(Reason::Unknown);
        }
        let expired = |waiter: &mut Waiter| waiter.deadline <= now.time;
        let late: Vec<_> = self.waiters.extract_if(.., expired).collect();
        let given_up = self.phase == Phase::Claiming && self.waiters.is_empty();
        if given_up {
            self.phase = Phase::GivenUp;
        }
        let answer = match self.phase {
            Phase::GivenUp => Answer::not_run(Reason::Deadline),
            // The call may still start for another request with the same key.
            Phase::Claiming => Answer::unknown(Reason::Deadline),
            _ => Answer::unknown(Reason::OutcomeUnknown),
        };
        answer_all(late, &answer)
    }

    fn give_up(&mut self, reason: Reason) -> Vec<Action> {
        self.phase = Phase::GivenUp;
        answer_all(self.waiters.drain(..), &Answer::not_run(reason))
    }

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
            Phase::Claiming | Phase::GivenUp => {
                self.phase = Phase::Claiming;
                self.waiters.push(waiter);
                None
            }
            Phase::Abandoning => Some(Action::Defer(waiter)),
        }
    }

    fn read(&mut self, state: &State) -> Vec<Action> {
        let own = matches!(state, State::Claimed { attempt, .. } if *attempt == self.id);
        let open = *state
            == State::Free {
                abandon: self.replaces,
            };
        match self.phase {
            Phase::Claiming if own => self.start(),
            Phase::GivenUp if own => self.abandon(),
            Phase::Claiming | Phase::GivenUp if !open => self.supersede(),
            Phase::Abandoning if !own => vec![Action::Retire],
            Phase::Completed(_) if !own => vec![Action::Retire],
            _ => Vec::new(),
        }
    }

    /// Starts the call: the claim is valid and at least one request still waits.
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

    /// Ends the attempt: the key went on without it, so its claim is void wherever it lands.
    fn supersede(&mut self) -> Vec<Action> {
        let deferred = self.waiters.drain(..).map(Action::Defer);
        deferred.chain([Action::Retire]).collect()
    }

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

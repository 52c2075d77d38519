//! Decides for each request of a model whether and when it is given to the engine. Pure.
//!
//! Each accepted request gets exactly one [`Effect::Start`] or [`Effect::Refuse`], unless its
//! caller leaves first.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    event::{
        Action,
        Event, //
    },
    ledger::Order,
    queue::{
        Key,
        Queue,
        Ticket, //
    },
    residency::Policy,
    saturation::Saturation,
    usage::Weights,
};
use crate::{
    id,
    timer::Time,
    wire::{
        Load,
        Reason, //
    },
};

/// Most requests of a model version that are given to the engine at once. The engine batches them
/// and orders them by priority; what exceeds this waits here, where institutions take turns.
pub const MAX_RUNNING: usize = 32;

/// Time before the deadline at which a waiting request is refused, so that the refusal arrives in
/// time.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(500);

/// Time beyond its retry time for which a caller that was refused is expected.
const COME_BACK: Duration = Duration::from_secs(2);

/// Share of a new observation in the service time.
const SERVICE_SHARE: f64 = 0.1;

/// Why a request is refused, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denial {
    /// The reason.
    pub reason: Reason,
    /// Milliseconds after which to come back, 0 if that does not help.
    pub retry_after_ms: u64,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Give the engine this order, for this reason.
    Order(Order, &'static str),
    /// Append `Released` for the grant at this offset.
    Released(id::Model, u64),
    /// Give the request to the engine.
    Start(Key),
    /// Refuse the request; it was not run.
    Refuse(Key, Denial),
    /// Ask the coordinator for one more slot.
    Widen(id::Model),
}

/// The requests of an agent's engine.
#[derive(Debug)]
pub struct Dispatch {
    policy: Policy,
    queue: Queue,
    /// Mean service time by model version, in seconds.
    service: BTreeMap<id::Model, f64>,
    saturation: Saturation,
    suspended: bool,
    leaving: bool,
}

impl Dispatch {
    /// Makes a dispatcher over a policy.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            queue: Queue::default(),
            service: BTreeMap::new(),
            saturation: Saturation::default(),
            suspended: false,
            leaving: false,
        }
    }

    /// Returns the residency policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Refuses new requests from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether new requests are refused because the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Stops giving requests to an engine that stalls, until the next inventory succeeds.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Returns the load as an entry wants to know it.
    pub fn load(&self, model: &id::Model, now: Time) -> Load {
        let wait = self.policy.wait(model, now).unwrap_or_default();
        let wait = wait + self.queue_time(model, self.queue.len(model));
        Load {
            resident: self.policy.is_loaded(model) && !self.suspended,
            queued: u32::try_from(self.queue.len(model)).unwrap_or(u32::MAX),
            running: u32::try_from(self.policy.running(model)).unwrap_or(u32::MAX),
            wait_ms: millis(wait),
            leaving: self.leaving,
        }
    }

    /// Accepts a request, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; it was not run.
    pub fn arrive(
        &mut self,
        ticket: Ticket,
        weights: Weights,
        now: Time,
    ) -> (Result<Key, Denial>, Vec<Effect>) {
        let model = ticket.model.clone();
        if let Err(denial) = self.admit(&ticket, now) {
            return (Err(denial), self.note_refusal(&model, denial, now));
        }
        let retry = self.retry_after(self.queue_time(&model, self.queue.len(&model)));
        let Some(key) = self.queue.push(ticket) else {
            let denial = Denial {
                reason: Reason::QueueFull,
                retry_after_ms: retry,
            };
            return (Err(denial), Vec::new());
        };
        (Ok(key), self.step(Event::Arrived(model, weights), now))
    }

    /// Notes a refusal because of load: the replica may be saturated, or its caller may come back
    /// for a model that is not loaded.
    fn note_refusal(&mut self, model: &id::Model, denial: Denial, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !matches!(denial.reason, Reason::Busy | Reason::Loading) {
            return effects;
        }
        if self.policy.is_saturated(model) && self.saturation.refused(model, now) {
            effects.push(Effect::Widen(model.clone()));
        }
        if denial.retry_after_ms > 0 && !self.policy.is_loaded(model) {
            let until = now + Duration::from_millis(denial.retry_after_ms) + COME_BACK;
            effects.extend(self.apply(Event::Wished(model.clone(), until), now));
        }
        effects
    }

    fn admit(&self, ticket: &Ticket, now: Time) -> Result<(), Denial> {
        let deny = |reason, retry_after_ms| {
            Err(Denial {
                reason,
                retry_after_ms,
            })
        };
        let model = &ticket.model;
        if self.leaving {
            return deny(Reason::Leaving, millis(SHORTEST_RETRY));
        }
        if !self.policy.is_granted(model) {
            return deny(Reason::NoSlot, 0);
        }
        if self.suspended {
            return deny(Reason::Backend, millis(SHORTEST_RETRY));
        }
        if !self.policy.has_authority() && !self.policy.is_loaded(model) {
            return deny(Reason::NoEpoch, millis(SHORTEST_RETRY));
        }
        let Some(wait) = self.predict(ticket, self.queue.ahead(ticket), now) else {
            return deny(Reason::Busy, 0);
        };
        if now + wait + ANSWER_MARGIN > ticket.deadline {
            return deny(self.too_late(ticket, now), self.retry_after(wait));
        }
        Ok(())
    }

    /// Returns the reason for a refusal because the predicted wait is too long.
    fn too_late(&self, ticket: &Ticket, now: Time) -> Reason {
        let load = self.policy.wait(&ticket.model, now);
        let too_long = load.is_some_and(|load| now + load + ANSWER_MARGIN > ticket.deadline);
        if too_long && self.policy.waits_for_own_load(&ticket.model, now) {
            Reason::Loading
        } else {
            Reason::Busy
        }
    }

    /// Returns the predicted time until a request with so many before it has been served.
    fn predict(&self, ticket: &Ticket, ahead: usize, now: Time) -> Option<Duration> {
        let load = self.policy.wait(&ticket.model, now)?;
        let running = self.policy.running(&ticket.model);
        let before = (ahead + running).saturating_sub(MAX_RUNNING - 1);
        let service = self.service_time(&ticket.model);
        Some(load + self.queue_time(&ticket.model, before) + service)
    }

    fn service_time(&self, model: &id::Model) -> Duration {
        let seconds = self.service.get(model).copied().unwrap_or_default();
        Duration::from_secs_f64(seconds)
    }

    fn queue_time(&self, model: &id::Model, length: usize) -> Duration {
        let length = u32::try_from(length).unwrap_or(u32::MAX);
        let slots = u32::try_from(MAX_RUNNING).unwrap_or(u32::MAX);
        self.service_time(model) * length / slots
    }

    fn retry_after(&self, wait: Duration) -> u64 {
        millis(wait.max(SHORTEST_RETRY))
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn cancel(&mut self, key: Key, now: Time) -> Vec<Effect> {
        match self.queue.remove(key) {
            Some(ticket) => self.step(Event::Left(ticket.model), now),
            None => Vec::new(),
        }
    }

    /// Notes that a started request has ended; `took` is its service time if it was served.
    pub fn end(&mut self, model: &id::Model, took: Option<Duration>, now: Time) -> Vec<Effect> {
        if let Some(took) = took {
            let took = took.as_secs_f64();
            let mean = self.service.entry(model.clone()).or_insert(took);
            *mean += SERVICE_SHARE * (took - *mean);
        }
        self.step(Event::Ended(model.clone()), now)
    }

    /// Applies an event to the policy, then starts and refuses requests.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        if matches!(event, Event::Inventory(..)) {
            self.suspended = false;
        }
        // The ticks come often enough, and a look at all waiting requests takes time.
        let looks = matches!(event, Event::Tick | Event::Authority(_) | Event::Slots(_));
        let mut effects = self.apply(event, now);
        if looks {
            effects.extend(self.refuse(now));
        }
        effects.extend(self.start(now));
        effects
    }

    fn apply(&mut self, event: Event, now: Time) -> Vec<Effect> {
        let actions = self.policy.step(event, now);
        actions
            .into_iter()
            .map(|action| match action {
                Action::Order(order, reason) => Effect::Order(order, reason),
                Action::Released(model, grant) => Effect::Released(model, grant),
            })
            .collect()
    }

    fn start(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.suspended {
            return effects;
        }
        for model in self.queue.models() {
            while self.policy.is_loaded(&model) && self.policy.running(&model) < MAX_RUNNING {
                let Some((key, _)) = self.queue.pop(&model) else {
                    break;
                };
                effects.extend(self.apply(Event::Began(model.clone()), now));
                effects.push(Effect::Start(key));
            }
        }
        effects
    }

    /// Refuses the waiting requests that can't be served by their deadline any more.
    fn refuse(&mut self, now: Time) -> Vec<Effect> {
        let models = self.queue.models().into_iter();
        let waits: BTreeMap<_, _> = models
            .map(|model| (model.clone(), self.policy.wait(&model, now)))
            .collect();
        let denied: Vec<_> = self
            .queue
            .iter()
            .filter_map(|(key, ticket)| {
                let wait = waits.get(&ticket.model).copied().flatten();
                Some((key, self.denial(ticket, wait, now)?))
            })
            .collect();
        let mut effects = Vec::new();
        for (key, denial) in denied {
            if let Some(ticket) = self.queue.remove(key) {
                let model = ticket.model;
                effects.extend(self.apply(Event::Left(model.clone()), now));
                effects.push(Effect::Refuse(key, denial));
                effects.extend(self.note_refusal(&model, denial, now));
            }
        }
        effects
    }

    fn denial(&self, ticket: &Ticket, wait: Option<Duration>, now: Time) -> Option<Denial> {
        if !self.policy.is_granted(&ticket.model) {
            return Some(Denial {
                reason: Reason::NoSlot,
                retry_after_ms: 0,
            });
        }
        let retry_after_ms = self.retry_after(wait.unwrap_or_default());
        let reason = if now + ANSWER_MARGIN >= ticket.deadline {
            Reason::Deadline
        } else if wait.is_none_or(|wait| now + wait + ANSWER_MARGIN > ticket.deadline) {
            self.too_late(ticket, now)
        } else {
            return None;
        };
        Some(Denial {
            reason,
            retry_after_ms,
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

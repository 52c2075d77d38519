//! Decides whether and when each request for a model is sent to the engine.
//!
//! The methods take an event and the time and return the effects for the caller to carry out; they
//! do no I/O. Each accepted request gets exactly one [`Effect::Start`] or [`Effect::Refuse`],
//! unless its client disconnects first.

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

/// Maximum number of requests of a model version in the engine at a time. The engine batches these
/// and orders them by priority; further requests wait in the queue, where institutions take turns.
pub const MAX_RUNNING: usize = 32;

/// Time before its deadline at which a waiting request is refused, so that the refusal reaches the
/// client in time. A request that is not expected to be served by then is refused earlier.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Minimum delay after which a refused client is asked to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which the retry of a refused client is still expected after its retry delay.
const RETRY_GRACE: Duration = Duration::from_secs(2);

/// Weight of a new observation in the moving average of the service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// Reason why a request is refused, and the delay before a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denial {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Delay in ms after which to retry, or 0 if a retry would not help.
    pub retry_after_ms: u64,
}

/// Effect that the dispatcher requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send this order to the engine, for this reason.
    Order(Order, &'static str),
    /// Append a `Released` record for the grant at this offset.
    Released(id::Model, u64),
    /// Send the request to the engine.
    Start(Key),
    /// Refuse the request, which has not run.
    Refuse(Key, Denial),
    /// Request one more slot from the model's coordinator.
    Widen(id::Model),
}

/// Dispatcher of the requests for an agent's engine.
#[derive(Debug)]
pub struct Dispatch {
    policy: Policy,
    queue: Queue,
    /// Moving average of the service time by model version, in seconds.
    service_times: BTreeMap<id::Model, f64>,
    saturation: Saturation,
    suspended: bool,
    leaving: bool,
}

impl Dispatch {
    /// Creates a dispatcher that uses a residency policy.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            queue: Queue::default(),
            service_times: BTreeMap::new(),
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

    /// Stops sending requests to a stalled engine until the next inventory succeeds.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Returns the load of a model version, as reported to entries.
    pub fn load(&self, model: &id::Model, now: Time) -> Load {
        let wait = self.policy.predicted_wait(model, now).unwrap_or_default();
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
    /// Returns why the request is refused; it has not run.
    pub fn arrive(
        &mut self,
        ticket: Ticket,
        weights: Weights,
        now: Time,
    ) -> (Result<Key, Denial>, Vec<Effect>) {
        let model = ticket.model.clone();
        if let Err(denial) = self.admit(&ticket, now) {
            return (Err(denial), self.record_refusal(&model, denial, now));
        }
        let retry_delay_ms = self.retry_after_ms(self.queue_time(&model, self.queue.len(&model)));
        let Some(key) = self.queue.push(ticket) else {
            let denial = Denial {
                reason: Reason::QueueFull,
                retry_after_ms: retry_delay_ms,
            };
            return (Err(denial), Vec::new());
        };
        (Ok(key), self.step(Event::Arrived(model, weights), now))
    }

    /// Records a refusal because of load or load time. It may show that the replica is saturated. If
    /// the model is not loaded, the retry that the client may make counts as demand for it.
    fn record_refusal(&mut self, model: &id::Model, denial: Denial, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !matches!(denial.reason, Reason::Busy | Reason::Loading) {
            return effects;
        }
        if self.policy.is_saturated(model) && self.saturation.record_refusal(model, now) {
            effects.push(Effect::Widen(model.clone()));
        }
        if denial.retry_after_ms > 0 && !self.policy.is_loaded(model) {
            let until = now + Duration::from_millis(denial.retry_after_ms) + RETRY_GRACE;
            effects.extend(self.apply(Event::RetryExpected(model.clone(), until), now));
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
            return deny(Reason::Leaving, millis(MIN_RETRY_DELAY));
        }
        if !self.policy.is_granted(model) {
            return deny(Reason::NoSlot, 0);
        }
        if self.suspended {
            return deny(Reason::Backend, millis(MIN_RETRY_DELAY));
        }
        if !self.policy.may_issue_orders() && !self.policy.is_loaded(model) {
            return deny(Reason::NoEpoch, millis(MIN_RETRY_DELAY));
        }
        let Some(wait) = self.predict_completion(ticket, self.queue.ahead(ticket), now) else {
            return deny(Reason::Busy, 0);
        };
        if now + wait + ANSWER_MARGIN > ticket.deadline {
            return deny(self.late_reason(ticket, now), self.retry_after_ms(wait));
        }
        Ok(())
    }

    /// Returns the reason for refusing a request whose predicted wait is too long.
    fn late_reason(&self, ticket: &Ticket, now: Time) -> Reason {
        let load_wait = self.policy.predicted_wait(&ticket.model, now);
        let is_load_too_long =
            load_wait.is_some_and(|wait| now + wait + ANSWER_MARGIN > ticket.deadline);
        if is_load_too_long && self.policy.waits_for_own_load(&ticket.model, now) {
            Reason::Loading
        } else {
            Reason::Busy
        }
    }

    /// Returns the predicted time to the completion of a request that has `ahead` waiting requests
    /// before it, or `None` if its model version cannot be loaded.
    fn predict_completion(&self, ticket: &Ticket, ahead: usize, now: Time) -> Option<Duration> {
        let load_wait = self.policy.predicted_wait(&ticket.model, now)?;
        let running = self.policy.running(&ticket.model);
        let before = (ahead + running).saturating_sub(MAX_RUNNING - 1);
        let service_time = self.service_time(&ticket.model);
        Some(load_wait + self.queue_time(&ticket.model, before) + service_time)
    }

    fn service_time(&self, model: &id::Model) -> Duration {
        let seconds = self.service_times.get(model).copied().unwrap_or_default();
        Duration::from_secs_f64(seconds)
    }

    fn queue_time(&self, model: &id::Model, length: usize) -> Duration {
        let length = u32::try_from(length).unwrap_or(u32::MAX);
        let max_running = u32::try_from(MAX_RUNNING).unwrap_or(u32::MAX);
        self.service_time(model) * length / max_running
    }

    /// Returns the delay in ms after which a client is asked to retry, for a predicted wait.
    fn retry_after_ms(&self, wait: Duration) -> u64 {
        millis(wait.max(MIN_RETRY_DELAY))
    }

    /// Removes a waiting request whose client has disconnected.
    pub fn cancel(&mut self, key: Key, now: Time) -> Vec<Effect> {
        match self.queue.remove(key) {
            Some(ticket) => self.step(Event::Removed(ticket.model), now),
            None => Vec::new(),
        }
    }

    /// Records that a started request has ended; `took` is its service time if it was served.
    pub fn end(&mut self, model: &id::Model, took: Option<Duration>, now: Time) -> Vec<Effect> {
        if let Some(took) = took {
            let took = took.as_secs_f64();
            let mean = self.service_times.entry(model.clone()).or_insert(took);
            *mean += SERVICE_TIME_SMOOTHING * (took - *mean);
        }
        self.step(Event::Ended(model.clone()), now)
    }

    /// Applies an event to the policy, then starts and refuses requests.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        if matches!(event, Event::Inventory(..)) {
            self.suspended = false;
        }
        // Checking all waiting requests is expensive, and ticks come often enough.
        let checks_deadlines = matches!(event, Event::Tick | Event::Authority(_) | Event::Slots(_));
        let mut effects = self.apply(event, now);
        if checks_deadlines {
            effects.extend(self.refuse_late(now));
        }
        effects.extend(self.start_requests(now));
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

    fn start_requests(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.suspended {
            return effects;
        }
        for model in self.queue.models() {
            while self.policy.is_loaded(&model) && self.policy.running(&model) < MAX_RUNNING {
                let Some((key, _)) = self.queue.pop(&model) else {
                    break;
                };
                effects.extend(self.apply(Event::Started(model.clone()), now));
                effects.push(Effect::Start(key));
            }
        }
        effects
    }

    /// Refuses the waiting requests that can no longer be served by their deadlines.
    fn refuse_late(&mut self, now: Time) -> Vec<Effect> {
        let models = self.queue.models().into_iter();
        let waits: BTreeMap<_, _> = models
            .map(|model| (model.clone(), self.policy.predicted_wait(&model, now)))
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
                effects.extend(self.apply(Event::Removed(model.clone()), now));
                effects.push(Effect::Refuse(key, denial));
                effects.extend(self.record_refusal(&model, denial, now));
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
        let retry_after_ms = self.retry_after_ms(wait.unwrap_or_default());
        let reason = if now + ANSWER_MARGIN >= ticket.deadline {
            Reason::Deadline
        } else if wait.is_none_or(|wait| now + wait + ANSWER_MARGIN > ticket.deadline) {
            self.late_reason(ticket, now)
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

//! Decides which models and adapters an engine loads and unloads, within its slots and its memory.
//!
//! [`Policy::step`] takes an event and the time and returns actions, without side effects.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    adapters::Adapters,
    event::{
        Action,
        Event,
        Slot, //
    },
    ledger::{
        Ledger,
        Order,
        Reply,
        Subject, //
    },
    pace::Pace,
    replica::Replica,
    usage::Weights,
};
use crate::{
    client::engine::{
        Kind,
        State, //
    },
    id,
    timer::Time,
};

/// Delay before a new order after one that was rejected or whose reply was lost.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval at which `Released` is appended again while the slot is still retiring.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which the memory of an unfinished unload is no longer expected to become free.
const MAX_UNLOAD_TIME: Duration = Duration::from_secs(10);

/// Residency policy of one engine: what it holds, may hold and should hold.
#[derive(Debug)]
pub struct Policy {
    ledger: Ledger,
    replicas: BTreeMap<id::Model, Replica>,
    adapters: Adapters,
    pace: Pace,
    /// Whether this process may send orders to the engine.
    authority: bool,
    /// Whether an inventory of the engine has been applied.
    has_inventory: bool,
    /// Time for which idle models are kept, in place of the one derived from their usage.
    fixed_keep_alive: Option<Duration>,
}

impl Policy {
    /// Creates a policy for an engine whose state is not known yet.
    pub fn new(ledger: Ledger) -> Self {
        Self {
            ledger,
            replicas: BTreeMap::new(),
            adapters: Adapters::default(),
            pace: Pace::default(),
            authority: false,
            has_inventory: false,
            fixed_keep_alive: None,
        }
    }

    /// Creates a policy that keeps every idle model for a fixed time, as a baseline for comparisons.
    pub fn with_keep_alive(ledger: Ledger, keep_alive: Duration) -> Self {
        Self {
            fixed_keep_alive: Some(keep_alive),
            ..Self::new(ledger)
        }
    }

    /// Returns the time at which the next idle model is due to be unloaded, unless it is called
    /// before, or `None` if no loaded model is idle.
    pub fn next_unload(&self) -> Option<Time> {
        let loaded = self.loaded_models().into_iter().filter_map(|model| {
            let replica = self.replicas.get(&model)?;
            let since = self.idle_since(&model, replica);
            replica
                .is_idle()
                .then(|| since + self.keep_alive(&model, replica))
        });
        loaded.min()
    }

    fn keep_alive(&self, model: &id::Model, replica: &Replica) -> Duration {
        self.fixed_keep_alive
            .unwrap_or_else(|| replica.usage.keep_alive(self.break_even_load_time(model)))
    }

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns whether the model version is loaded.
    pub fn is_loaded(&self, model: &id::Model) -> bool {
        self.state(model) == Some(State::Loaded)
    }

    /// Returns the number of loaded model versions without a running or waiting request.
    pub fn idle_replicas(&self) -> usize {
        let loaded = self
            .ledger
            .models()
            .filter(|(model, _)| self.is_loaded(model));
        let replicas = loaded.map(|(model, _)| self.replicas.get(model));
        replicas
            .filter(|replica| replica.is_none_or(Replica::is_idle))
            .count()
    }

    /// Returns whether the adapter is loaded.
    pub fn has_adapter(&self, subject: &Subject) -> bool {
        let held = self.ledger.get(subject);
        held.is_some_and(|held| held.state == State::Loaded)
    }

    /// Returns whether this server has a slot for the model version that is not retiring.
    pub fn is_granted(&self, model: &id::Model) -> bool {
        let replica = self.replicas.get(model);
        replica.is_some_and(|replica| !replica.is_retired())
    }

    /// Returns whether orders may be sent: the process has the authority and the inventory is known.
    pub fn may_issue_orders(&self) -> bool {
        self.authority && self.has_inventory
    }

    /// Returns the number of running requests of a model version.
    pub fn running(&self, model: &id::Model) -> usize {
        self.replicas
            .get(model)
            .map_or(0, |replica| replica.running)
    }

    /// Returns whether a refusal indicates that one more replica is needed: the model version is
    /// loaded, or requests wait for it but there is no room to load it. A load in progress does not
    /// indicate that.
    pub fn is_saturated(&self, model: &id::Model) -> bool {
        match self.state(model) {
            Some(state) => state == State::Loaded,
            None => self.replicas.get(model).is_some_and(|r| r.waiting > 0),
        }
    }

    fn state(&self, model: &id::Model) -> Option<State> {
        let held = self.ledger.get(&Subject::model(model))?;
        Some(held.state)
    }

    /// Applies an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.apply(event, now);
        if !self.may_issue_orders() {
            return Vec::new();
        }
        let mut actions = self.idle_unloads(now);
        actions.extend(self.releases(now));
        actions.extend(self.next_load(now));
        let orders = self.adapters.decide(&mut self.ledger, now);
        actions.extend(orders.into_iter().map(|(o, why)| Action::Order(o, why)));
        actions
    }

    fn apply(&mut self, event: Event, now: Time) {
        match event {
            Event::Authority(authority) => self.authority = authority,
            Event::Slots(slots) => self.set_slots(slots),
            Event::Arrived(model, weights) => self.request_arrived(&model, weights, now),
            Event::RetryExpected(model, until) => {
                let replica = self.replica(&model);
                replica.retry_expected_until = Some(until);
                replica.demand_since.get_or_insert(now);
            }
            Event::Started(model) => {
                self.request_removed(&model, now);
                self.replica(&model).running += 1;
            }
            Event::Removed(model) => self.request_removed(&model, now),
            Event::Ended(model) => {
                let replica = self.replica(&model);
                replica.running = replica.running.saturating_sub(1);
                replica.idle_since = Some(now);
                if replica.is_idle() {
                    replica.usage.record_idle(now);
                }
            }
            Event::AdapterNeeded(subject, size_mb) => self.adapters.acquire(subject, size_mb, now),
            Event::AdapterReleased(subject) => self.adapters.release(&subject, now),
            Event::OrderEnded(order, reply) => self.order_ended(&order, reply, now),
            Event::Inventory(mark, inventory) => {
                if self.ledger.apply_inventory(mark, &inventory, now) {
                    self.has_inventory = true;
                }
            }
            Event::Tick => (),
        }
    }

    fn replica(&mut self, model: &id::Model) -> &mut Replica {
        self.replicas.entry(model.clone()).or_default()
    }

    fn set_slots(&mut self, slots: Vec<Slot>) {
        for replica in self.replicas.values_mut() {
            replica.slot = None;
        }
        for slot in slots {
            let replica = self.replica(&slot.model);
            if replica.grant != slot.grant {
                replica.released_at = None;
            }
            replica.grant = slot.grant;
            replica.slot = Some(slot);
        }
        self.replicas
            .retain(|_, replica| replica.slot.is_some() || !replica.is_idle());
    }

    fn request_arrived(&mut self, model: &id::Model, weights: Weights, now: Time) {
        let load_time = self.break_even_load_time(model);
        let replica = self.replica(model);
        replica.waiting += 1;
        replica.demand_since.get_or_insert(now);
        replica.usage.record_call(weights, load_time, now);
    }

    fn request_removed(&mut self, model: &id::Model, now: Time) {
        let replica = self.replica(model);
        replica.waiting = replica.waiting.saturating_sub(1);
        replica.idle_since = Some(now);
        if replica.waiting == 0 {
            replica.demand_since = None;
        }
    }

    fn order_ended(&mut self, order: &Order, reply: Reply, now: Time) {
        let since = self.ledger.get(&order.subject).map(|held| held.since);
        self.ledger.complete(order, reply, now);
        if order.subject.adapter.is_some() {
            return self.adapters.order_ended(&order.subject, reply, now);
        }
        let replica = self.replica(&order.subject.model);
        if reply != Reply::Done {
            replica.retry_at = Some(now + RETRY_DELAY);
        }
        replica.idle_since = Some(now);
        let checkpoint = replica.checkpoint_mb();
        match (order.kind, reply, since) {
            (Kind::Load, Reply::Done, Some(since)) => {
                self.pace.record_load(checkpoint, now - since, now);
            }
            (Kind::Load, _, _) => self.pace.record_failure(now),
            _ => (),
        }
    }

    /// Returns the predicted load time of a model version.
    pub fn load_time(&self, model: &id::Model, now: Time) -> Duration {
        let replica = self.replicas.get(model);
        let checkpoint = replica.map_or(0, Replica::checkpoint_mb);
        self.pace.predict(checkpoint, now)
    }

    /// Returns the load time on which the break-even time is based.
    fn break_even_load_time(&self, model: &id::Model) -> Duration {
        let replica = self.replicas.get(model);
        self.pace
            .estimate(replica.map_or(0, Replica::checkpoint_mb))
    }

    /// Returns the predicted time until the model version is loaded, or `None` if it cannot be
    /// loaded: it has no slot, or its size is unknown or exceeds the memory for models.
    pub fn predicted_wait(&self, model: &id::Model, now: Time) -> Option<Duration> {
        let replica = self.replicas.get(model)?;
        match self.state(model) {
            Some(State::Loaded) => return Some(Duration::ZERO),
            Some(State::Loading) => return Some(self.remaining_load_time(model, now)),
            Some(State::Unloading) | None => (),
        }
        let (memory_mb, _) = replica.slot.as_ref()?.size?;
        if memory_mb > self.ledger.model_capacity_mb() {
            return None;
        }
        let loading = self
            .ledger
            .models()
            .filter(|(_, h)| h.state == State::Loading);
        let current_load: Duration = loading.map(|(m, _)| self.remaining_load_time(m, now)).sum();
        let since = replica.demand_since.unwrap_or(now);
        let queued = self.replicas.iter().filter(|(other, r)| {
            self.state(other).is_none()
                && *other != model
                && r.has_demand(now)
                && r.demand_since.is_some_and(|at| at < since)
        });
        let queued: Duration = queued.map(|(m, _)| self.load_time(m, now)).sum();
        Some(current_load + self.pace.remaining_pause(now) + queued + self.load_time(model, now))
    }

    /// Returns whether the load of the model version is all that its requests wait for.
    pub fn waits_for_own_load(&self, model: &id::Model, now: Time) -> bool {
        match self.state(model) {
            Some(State::Loaded) => false,
            Some(State::Loading) => true,
            Some(State::Unloading) | None => {
                let wait = self.predicted_wait(model, now);
                wait.is_some_and(|wait| wait <= self.load_time(model, now))
            }
        }
    }

    fn remaining_load_time(&self, model: &id::Model, now: Time) -> Duration {
        let Some(held) = self.ledger.get(&Subject::model(model)) else {
            return Duration::ZERO;
        };
        // A load that has exceeded its prediction by some time is expected to take that time once
        // more; otherwise its requests would be refused only shortly before their deadlines.
        self.load_time(model, now).abs_diff(now - held.since)
    }

    fn idle_unloads(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for model in self.loaded_models() {
            let replica = self.replicas.get(&model).cloned().unwrap_or_default();
            let keep_alive = self.keep_alive(&model, &replica);
            let reason = if !replica.is_idle() || replica.retry_at.is_some_and(|at| now < at) {
                continue;
            } else if replica.slot.is_none() {
                "no slot"
            } else if replica.is_retired() {
                "slot is retiring"
            } else if now - self.idle_since(&model, &replica) >= keep_alive {
                "idle past break-even"
            } else {
                continue;
            };
            actions.extend(self.unload(&model, reason, now));
        }
        actions
    }

    fn loaded_models(&self) -> Vec<id::Model> {
        let held = self.ledger.models();
        held.filter(|(_, held)| held.state == State::Loaded && !held.has_pending_order())
            .map(|(model, _)| model.clone())
            .collect()
    }

    fn idle_since(&self, model: &id::Model, replica: &Replica) -> Time {
        let loaded = self.ledger.get(&Subject::model(model)).map(|h| h.since);
        replica.idle_since.max(loaded).unwrap_or(Time::ZERO)
    }

    /// Orders the unload of a model version, unless an order about one of its adapters is pending.
    fn unload(&mut self, model: &id::Model, reason: &'static str, now: Time) -> Option<Action> {
        let adapters = self.ledger.adapters();
        let adapters = adapters.filter(|(subject, _)| subject.model == *model);
        if adapters
            .into_iter()
            .any(|(_, held)| held.has_pending_order())
        {
            return None;
        }
        let order = self.ledger.unload(&Subject::model(model), now)?;
        Some(Action::Order(order, reason))
    }

    fn releases(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for (model, replica) in &mut self.replicas {
            let is_held = self.ledger.get(&Subject::model(model)).is_some();
            let last_release = replica.released_at;
            if is_held || last_release.is_some_and(|at| now - at < RELEASE_RETRY_INTERVAL) {
                continue;
            }
            if let Some(slot) = replica.slot.as_ref().filter(|slot| slot.retiring) {
                replica.released_at = Some(now);
                actions.push(Action::Released(model.clone(), slot.grant));
            }
        }
        actions
    }

    /// Loads the model version with the oldest demand, or unloads others to make room for it. Only
    /// one load runs at a time, since all agents share the weight store.
    fn next_load(&mut self, now: Time) -> Vec<Action> {
        let loading = self.ledger.models().any(|(_, h)| h.state == State::Loading);
        if loading || !self.pace.may_load(now) {
            return Vec::new();
        }
        let mut wanted: Vec<_> = self
            .replicas
            .iter()
            .filter(|(model, r)| {
                r.has_demand(now) && !r.is_retired() && self.state(model).is_none()
            })
            .filter(|(_, r)| r.retry_at.is_none_or(|at| now >= at))
            .filter_map(|(model, r)| {
                Some((r.demand_since, model.clone(), r.slot.as_ref()?.size?.0))
            })
            .collect();
        wanted.sort();
        for (_, model, memory_mb) in wanted {
            if let Some(order) = self.ledger.load(&Subject::model(&model), memory_mb, now) {
                return vec![Action::Order(order, "requests wait")];
            }
            if let Some(actions) = self.make_room(memory_mb, now) {
                return actions;
            }
        }
        Vec::new()
    }

    /// Unloads the idle models with the lowest benefit until `memory_mb` fits, or returns `None` if
    /// that would not free enough memory.
    fn make_room(&mut self, memory_mb: u64, now: Time) -> Option<Vec<Action>> {
        let held = self.ledger.models();
        let unloading: u64 = held
            .filter(|(_, h)| h.state == State::Unloading && now - h.since < MAX_UNLOAD_TIME)
            .map(|(_, held)| held.memory_mb)
            .sum();
        let mut free = self.ledger.free_mb() + unloading;
        let mut idle: Vec<_> = self
            .loaded_models()
            .into_iter()
            .filter_map(|model| {
                let replica = self.replicas.get(&model)?;
                let memory = self.ledger.get(&Subject::model(&model))?.memory_mb;
                let benefit = replica
                    .usage
                    .benefit(self.break_even_load_time(&model), memory);
                replica.is_idle().then_some((benefit, memory, model))
            })
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut chosen = Vec::new();
        for (_, memory, model) in idle {
            if free >= memory_mb {
                break;
            }
            free += memory;
            chosen.push(model);
        }
        if free < memory_mb {
            return None;
        }
        let unloads = chosen.iter();
        Some(
            unloads
                .filter_map(|model| self.unload(model, "makes room", now))
                .collect(),
        )
    }
}

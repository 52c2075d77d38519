//! Decides what an engine loads and unloads, within its slots and its memory. Pure.

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
        Answer,
        Ledger,
        Order,
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

/// Pause before an order that was rejected or lost is given again.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which `Released` is given again while the slot still shows as retiring.
const RELEASE_AGAIN: Duration = Duration::from_secs(10);

/// Time after which an unload is not counted on to make room.
const UNLOAD_PATIENCE: Duration = Duration::from_secs(10);

/// What one engine holds, may hold and should hold.
#[derive(Debug)]
pub struct Policy {
    ledger: Ledger,
    replicas: BTreeMap<id::Model, Replica>,
    adapters: Adapters,
    pace: Pace,
    authority: bool,
    inventoried: bool,
    keep_alive: Option<Duration>,
}

impl Policy {
    /// Makes a policy for an engine of which nothing is known yet.
    pub fn new(ledger: Ledger) -> Self {
        Self {
            ledger,
            replicas: BTreeMap::new(),
            adapters: Adapters::default(),
            pace: Pace::default(),
            authority: false,
            inventoried: false,
            keep_alive: None,
        }
    }

    /// Makes a policy that keeps every idle model for a fixed time, to compare against.
    pub fn with_keep_alive(ledger: Ledger, keep_alive: Duration) -> Self {
        Self {
            keep_alive: Some(keep_alive),
            ..Self::new(ledger)
        }
    }

    /// Returns when the next idle model is due to be unloaded, if none is called before.
    pub fn next_unload(&self) -> Option<Time> {
        let loaded = self.loaded().into_iter().filter_map(|model| {
            let replica = self.replicas.get(&model)?;
            let since = self.idle_since(&model, replica);
            replica
                .is_idle()
                .then(|| since + self.hold(&model, replica))
        });
        loaded.min()
    }

    fn hold(&self, model: &id::Model, replica: &Replica) -> Duration {
        self.keep_alive
            .unwrap_or_else(|| replica.usage.hold(self.load_cost(model)))
    }

    /// Returns the memory as accounted for.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns whether the model version can serve now.
    pub fn is_loaded(&self, model: &id::Model) -> bool {
        self.state(model) == Some(State::Loaded)
    }

    /// Returns how many loaded model versions have no request.
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

    /// Returns whether the adapter can serve now.
    pub fn has_adapter(&self, subject: &Subject) -> bool {
        let held = self.ledger.get(subject);
        held.is_some_and(|held| held.state == State::Loaded)
    }

    /// Returns whether the model version may serve new requests here.
    pub fn is_granted(&self, model: &id::Model) -> bool {
        let replica = self.replicas.get(model);
        replica.is_some_and(|replica| !replica.is_retired())
    }

    /// Returns whether orders may be given.
    pub fn has_authority(&self) -> bool {
        self.authority && self.inventoried
    }

    /// Returns how many requests of a model version run.
    pub fn running(&self, model: &id::Model) -> usize {
        self.replicas.get(model).map_or(0, |replica| replica.users)
    }

    /// Returns whether a refusal shows that one more replica is needed: the model version is
    /// loaded, or requests wait for it and there is no room. A load in progress is no such sign.
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

    /// Applies an event and returns what is to be done.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.apply(event, now);
        if !self.has_authority() {
            return Vec::new();
        }
        let mut actions = self.unloads(now);
        actions.extend(self.releases(now));
        actions.extend(self.loads(now));
        let orders = self.adapters.decide(&mut self.ledger, now);
        actions.extend(orders.into_iter().map(|(o, why)| Action::Order(o, why)));
        actions
    }

    fn apply(&mut self, event: Event, now: Time) {
        match event {
            Event::Authority(authority) => self.authority = authority,
            Event::Slots(slots) => self.set_slots(slots),
            Event::Arrived(model, weights) => self.arrived(&model, weights, now),
            Event::Wished(model, until) => {
                let replica = self.replica(&model);
                replica.wished_until = Some(until);
                replica.wanted_since.get_or_insert(now);
            }
            Event::Began(model) => {
                self.left(&model, now);
                self.replica(&model).users += 1;
            }
            Event::Left(model) => self.left(&model, now),
            Event::Ended(model) => {
                let replica = self.replica(&model);
                replica.users = replica.users.saturating_sub(1);
                replica.idle_since = Some(now);
                if replica.is_idle() {
                    replica.usage.fell_idle(now);
                }
            }
            Event::AdapterNeeded(subject, memory_mb) => self.adapters.need(subject, memory_mb, now),
            Event::AdapterLeft(subject) => self.adapters.leave(&subject, now),
            Event::Answered(order, answer) => self.answered(&order, answer, now),
            Event::Inventory(mark, inventory) => {
                if self.ledger.inventory(mark, &inventory, now) {
                    self.inventoried = true;
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

    fn arrived(&mut self, model: &id::Model, weights: Weights, now: Time) {
        let load = self.load_cost(model);
        let replica = self.replica(model);
        replica.waiting += 1;
        replica.wanted_since.get_or_insert(now);
        replica.usage.called(weights, load, now);
    }

    fn left(&mut self, model: &id::Model, now: Time) {
        let replica = self.replica(model);
        replica.waiting = replica.waiting.saturating_sub(1);
        replica.idle_since = Some(now);
        if replica.waiting == 0 {
            replica.wanted_since = None;
        }
    }

    fn answered(&mut self, order: &Order, answer: Answer, now: Time) {
        let since = self.ledger.get(&order.subject).map(|held| held.since);
        self.ledger.answer(order, answer, now);
        if order.subject.adapter.is_some() {
            return self.adapters.answered(&order.subject, answer, now);
        }
        let replica = self.replica(&order.subject.model);
        if answer != Answer::Done {
            replica.retry_at = Some(now + RETRY_AFTER);
        }
        replica.idle_since = Some(now);
        let checkpoint = replica.checkpoint_mb();
        match (order.kind, answer, since) {
            (Kind::Load, Answer::Done, Some(since)) => {
                self.pace.loaded(checkpoint, now - since, now);
            }
            (Kind::Load, _, _) => self.pace.failed(now),
            _ => (),
        }
    }

    /// Returns the predicted load time of a model version.
    pub fn load_time(&self, model: &id::Model, now: Time) -> Duration {
        let replica = self.replicas.get(model);
        let checkpoint = replica.map_or(0, Replica::checkpoint_mb);
        self.pace.predict(checkpoint, now)
    }

    /// Returns the load time as break-even counts it.
    fn load_cost(&self, model: &id::Model) -> Duration {
        let replica = self.replicas.get(model);
        self.pace
            .estimate(replica.map_or(0, Replica::checkpoint_mb))
    }

    /// Returns the predicted time until the model version is loaded, or nothing if there is no
    /// room for it in any case.
    pub fn wait(&self, model: &id::Model, now: Time) -> Option<Duration> {
        let replica = self.replicas.get(model)?;
        match self.state(model) {
            Some(State::Loaded) => return Some(Duration::ZERO),
            Some(State::Loading) => return Some(self.left_of_load(model, now)),
            Some(State::Unloading) | None => (),
        }
        let (memory_mb, _) = replica.slot.as_ref()?.size?;
        if memory_mb > self.ledger.model_space_mb() {
            return None;
        }
        let loading = self
            .ledger
            .models()
            .filter(|(_, h)| h.state == State::Loading);
        let before: Duration = loading.map(|(m, _)| self.left_of_load(m, now)).sum();
        let since = replica.wanted_since.unwrap_or(now);
        let queued = self.replicas.iter().filter(|(other, r)| {
            self.state(other).is_none()
                && *other != model
                && r.is_wanted(now)
                && r.wanted_since.is_some_and(|wanted| wanted < since)
        });
        let queued: Duration = queued.map(|(m, _)| self.load_time(m, now)).sum();
        Some(before + self.pace.left(now) + queued + self.load_time(model, now))
    }

    /// Returns whether requests for the model version wait for nothing but its own load.
    pub fn waits_for_own_load(&self, model: &id::Model, now: Time) -> bool {
        match self.state(model) {
            Some(State::Loaded) => false,
            Some(State::Loading) => true,
            Some(State::Unloading) | None => {
                let wait = self.wait(model, now);
                wait.is_some_and(|wait| wait <= self.load_time(model, now))
            }
        }
    }

    fn left_of_load(&self, model: &id::Model, now: Time) -> Duration {
        let Some(held) = self.ledger.get(&Subject::model(model)) else {
            return Duration::ZERO;
        };
        // A load that overruns its prediction is expected to take as much longer again; otherwise
        // its requests would be refused only shortly before their deadlines.
        self.load_time(model, now).abs_diff(now - held.since)
    }

    fn unloads(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for model in self.loaded() {
            let replica = self.replicas.get(&model).cloned().unwrap_or_default();
            let hold = self.hold(&model, &replica);
            let reason = if !replica.is_idle() || replica.retry_at.is_some_and(|at| now < at) {
                continue;
            } else if replica.slot.is_none() {
                "no slot"
            } else if replica.is_retired() {
                "slot is retiring"
            } else if now - self.idle_since(&model, &replica) >= hold {
                "idle past break-even"
            } else {
                continue;
            };
            actions.extend(self.unload(&model, reason, now));
        }
        actions
    }

    fn loaded(&self) -> Vec<id::Model> {
        let held = self.ledger.models();
        held.filter(|(_, held)| held.state == State::Loaded && !held.has_order())
            .map(|(model, _)| model.clone())
            .collect()
    }

    fn idle_since(&self, model: &id::Model, replica: &Replica) -> Time {
        let loaded = self.ledger.get(&Subject::model(model)).map(|h| h.since);
        replica.idle_since.max(loaded).unwrap_or(Time::ZERO)
    }

    fn unload(&mut self, model: &id::Model, reason: &'static str, now: Time) -> Option<Action> {
        let busy = self.ledger.adapters();
        let busy = busy.filter(|(subject, _)| subject.model == *model);
        if busy.into_iter().any(|(_, held)| held.has_order()) {
            return None;
        }
        let order = self.ledger.unload(&Subject::model(model), now)?;
        Some(Action::Order(order, reason))
    }

    fn releases(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for (model, replica) in &mut self.replicas {
            let held = self.ledger.get(&Subject::model(model)).is_some();
            let again = replica.released_at;
            if held || again.is_some_and(|at| now - at < RELEASE_AGAIN) {
                continue;
            }
            if let Some(slot) = replica.slot.as_ref().filter(|slot| slot.retiring) {
                replica.released_at = Some(now);
                actions.push(Action::Released(model.clone(), slot.grant));
            }
        }
        actions
    }

    /// Begins the load that was wanted first, or makes room for it. One load runs at a time,
    /// since all agents share the weight store.
    fn loads(&mut self, now: Time) -> Vec<Action> {
        let loading = self.ledger.models().any(|(_, h)| h.state == State::Loading);
        if loading || !self.pace.may_load(now) {
            return Vec::new();
        }
        let mut wanted: Vec<_> = self
            .replicas
            .iter()
            .filter(|(model, r)| r.is_wanted(now) && !r.is_retired() && self.state(model).is_none())
            .filter(|(_, r)| r.retry_at.is_none_or(|at| now >= at))
            .filter_map(|(model, r)| {
                Some((r.wanted_since, model.clone(), r.slot.as_ref()?.size?.0))
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

    /// Unloads idle models of the lowest benefit until `memory_mb` fits, or returns nothing if
    /// that is not enough.
    fn make_room(&mut self, memory_mb: u64, now: Time) -> Option<Vec<Action>> {
        let held = self.ledger.models();
        let coming: u64 = held
            .filter(|(_, h)| h.state == State::Unloading && now - h.since < UNLOAD_PATIENCE)
            .map(|(_, held)| held.memory_mb)
            .sum();
        let mut free = self.ledger.free_mb() + coming;
        let mut idle: Vec<_> = self
            .loaded()
            .into_iter()
            .filter_map(|model| {
                let replica = self.replicas.get(&model)?;
                let memory = self.ledger.get(&Subject::model(&model))?.memory_mb;
                let benefit = replica.usage.benefit(self.load_cost(&model), memory);
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

//! The memory of an engine as its agent accounts for it. Pure.
//!
//! An item counts at its full size from the order that loads it until the engine confirms that it
//! is unloaded. An order whose answer was lost counts as in effect until an inventory that began
//! later shows otherwise.

use std::collections::BTreeMap;

use crate::{
    client::engine::{
        Inventory,
        Kind,
        Resident,
        State, //
    },
    id,
    timer::Time,
};

/// How an order ended, as far as the agent knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine confirmed that the order is carried out.
    Done,
    /// The order certainly had no effect.
    Rejected,
    /// The answer is missing; the order may have had its effect.
    Lost,
}

/// A model version, or an adapter of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// Model version.
    pub model: id::Model,
    /// Adapter, if it is about one.
    pub adapter: Option<id::Adapter>,
}

impl Subject {
    /// Names a model version.
    pub fn model(model: &id::Model) -> Self {
        Self {
            model: model.clone(),
            adapter: None,
        }
    }

    /// Names an adapter.
    pub fn adapter(model: &id::Model, adapter: &id::Adapter) -> Self {
        Self {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        }
    }
}

/// An order to be given to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number by which its answer is matched.
    pub number: u64,
    /// What to do.
    pub kind: Kind,
    /// Model version or adapter.
    pub subject: Subject,
    /// Memory in MiB.
    pub memory_mb: u64,
}

/// Memory that is taken, or may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// State, where an order without an answer counts as being carried out.
    pub state: State,
    /// When the state began.
    pub since: Time,
    order: Option<u64>,
    changed: u64,
}

impl Held {
    /// Returns whether an order about it has neither been answered nor lost.
    pub fn has_order(&self) -> bool {
        self.order.is_some()
    }
}

/// The memory of an engine.
#[derive(Debug)]
pub struct Ledger {
    capacity_mb: u64,
    adapter_space_mb: u64,
    held: BTreeMap<Subject, Held>,
    clock: u64,
    freed: u64,
}

impl Ledger {
    /// Makes a ledger for an engine that is not known to hold anything.
    pub fn new(capacity_mb: u64, adapter_space_mb: u64) -> Self {
        Self {
            capacity_mb,
            adapter_space_mb,
            held: BTreeMap::new(),
            clock: 0,
            freed: 0,
        }
    }

    /// Returns what is held for the subject.
    pub fn get(&self, subject: &Subject) -> Option<&Held> {
        self.held.get(subject)
    }

    /// Returns all models that are held.
    pub fn models(&self) -> impl Iterator<Item = (&id::Model, &Held)> {
        let models = self.held.iter().filter(|(s, _)| s.adapter.is_none());
        models.map(|(subject, held)| (&subject.model, held))
    }

    /// Returns all adapters that are held.
    pub fn adapters(&self) -> impl Iterator<Item = (&Subject, &Held)> {
        self.held.iter().filter(|(s, _)| s.adapter.is_some())
    }

    /// Returns whether the outcome of an order is to be learnt from an inventory.
    pub fn has_lost(&self) -> bool {
        let mut held = self.held.values();
        held.any(|held| held.order.is_none() && held.state != State::Loaded)
    }

    /// Returns the memory that is free for models, in MiB.
    pub fn free_mb(&self) -> u64 {
        let models: u64 = self.models().map(|(_, held)| held.memory_mb).sum();
        // Adopted adapters may exceed their space, whose size may have changed meanwhile.
        let adapters = self.adapter_mb().max(self.adapter_space_mb);
        self.capacity_mb.saturating_sub(models + adapters)
    }

    /// Returns the memory that models can take at most, in MiB.
    pub fn model_space_mb(&self) -> u64 {
        self.capacity_mb.saturating_sub(self.adapter_space_mb)
    }

    /// Returns the adapter space that is free, in MiB.
    pub fn free_adapter_mb(&self) -> u64 {
        self.adapter_space_mb.saturating_sub(self.adapter_mb())
    }

    fn adapter_mb(&self) -> u64 {
        self.adapters().map(|(_, held)| held.memory_mb).sum()
    }

    /// Takes the memory for a load and returns the order, or nothing if there is no room or the
    /// subject is held already.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{
    ///     agent::ledger::{Answer, Ledger, Subject},
    ///     timer::Time,
    /// };
    ///
    /// let mut ledger = Ledger::new(100, 0);
    /// let first = Subject::model(&"gear-check@1".into());
    /// let second = Subject::model(&"gear-note@1".into());
    /// let order = ledger.load(&first, 60, Time::ZERO).unwrap();
    /// ledger.answer(&order, Answer::Lost, Time::ZERO);
    /// // The first may be loading, so there is no room for the second.
    /// assert!(ledger.load(&second, 60, Time::ZERO).is_none());
    /// ```
    pub fn load(&mut self, subject: &Subject, memory_mb: u64, now: Time) -> Option<Order> {
        let (free, kind) = match subject.adapter {
            None => (self.free_mb(), Kind::Load),
            Some(_) => (self.free_adapter_mb(), Kind::LoadAdapter),
        };
        if memory_mb > free || self.held.contains_key(subject) {
            return None;
        }
        Some(self.order(kind, subject, memory_mb, now))
    }

    /// Returns the order that unloads the subject, or nothing unless it is loaded.
    pub fn unload(&mut self, subject: &Subject, now: Time) -> Option<Order> {
        let held = self.held.get(subject)?;
        if held.state != State::Loaded || held.order.is_some() {
            return None;
        }
        let kind = match subject.adapter {
            None => Kind::Unload,
            Some(_) => Kind::UnloadAdapter,
        };
        Some(self.order(kind, subject, held.memory_mb, now))
    }

    fn order(&mut self, kind: Kind, subject: &Subject, memory_mb: u64, now: Time) -> Order {
        self.clock += 1;
        let state = match kind {
            Kind::Load | Kind::LoadAdapter => State::Loading,
            Kind::Unload | Kind::UnloadAdapter => State::Unloading,
        };
        let held = Held {
            memory_mb,
            state,
            since: now,
            order: Some(self.clock),
            changed: self.clock,
        };
        self.held.insert(subject.clone(), held);
        Order {
            number: self.clock,
            kind,
            subject: subject.clone(),
            memory_mb,
        }
    }

    /// Applies the answer to an order; an answer to any other order is ignored.
    pub fn answer(&mut self, order: &Order, answer: Answer, now: Time) {
        self.clock += 1;
        let Some(held) = self.held.get_mut(&order.subject) else {
            return;
        };
        if held.order != Some(order.number) {
            return;
        }
        held.order = None;
        held.changed = self.clock;
        let loads = held.state == State::Loading;
        match answer {
            Answer::Lost => (),
            Answer::Done if loads => (held.state, held.since) = (State::Loaded, now),
            Answer::Rejected if !loads => (held.state, held.since) = (State::Loaded, now),
            Answer::Done | Answer::Rejected => self.free(&order.subject),
        }
    }

    /// Notes that an inventory is asked for and returns the mark to apply it with.
    pub fn mark(&self) -> u64 {
        self.clock
    }

    /// Returns whether an inventory that was asked for at `mark` is too old to be applied.
    pub fn is_stale(&self, mark: u64) -> bool {
        self.freed > mark
    }

    /// Applies an inventory that was asked for at `mark`, and returns whether it could be used.
    ///
    /// It is not used if something was freed meanwhile, which it may still show. Subjects whose orders were given or answered after the mark, or are still unanswered, keep
    /// their state, since the inventory may be older.
    pub fn inventory(&mut self, mark: u64, inventory: &Inventory, now: Time) -> bool {
        if self.is_stale(mark) {
            return false;
        }
        let mut present = BTreeMap::new();
        for resident in &inventory.models {
            present.extend(subjects(resident));
        }
        for (subject, (state, memory_mb)) in &present {
            self.adopt(subject, *state, *memory_mb, mark, now);
        }
        let settled = |held: &Held| held.order.is_none() && held.changed <= mark;
        self.held
            .retain(|subject, held| present.contains_key(subject) || !settled(held));
        true
    }

    fn adopt(&mut self, subject: &Subject, state: State, memory_mb: u64, mark: u64, now: Time) {
        let known = self.held.get(subject);
        if known.is_some_and(|held| held.order.is_some() || held.changed > mark) {
            return;
        }
        let since = known.filter(|held| held.state == state);
        let held = Held {
            memory_mb,
            state,
            since: since.map_or(now, |held| held.since),
            order: None,
            changed: known.map_or(mark, |held| held.changed),
        };
        self.held.insert(subject.clone(), held);
    }

    /// Frees a subject; a model's adapters are freed with it.
    fn free(&mut self, subject: &Subject) {
        self.freed = self.clock;
        self.held.remove(subject);
        if subject.adapter.is_none() {
            self.held.retain(|other, _| other.model != subject.model);
        }
    }
}

fn subjects(resident: &Resident) -> Vec<(Subject, (State, u64))> {
    let model = &resident.model;
    let adapters = resident.adapters.iter();
    let mut subjects: Vec<_> = adapters
        .map(|(adapter, memory)| (Subject::adapter(model, adapter), (State::Loaded, *memory)))
        .collect();
    subjects.push((Subject::model(model), (resident.state, resident.memory_mb)));
    subjects
}

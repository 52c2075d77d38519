//! Accounts for the memory of an engine on the agent's side; does not call the engine.
//!
//! A model version or adapter counts at its full size from the order that loads it until the
//! engine confirms that it is unloaded. An order whose reply was lost is assumed to be in
//! effect until an inventory that was requested later shows otherwise.

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

/// Reply to an order, as far as the agent knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The engine confirmed that it carried out the order.
    Done,
    /// The order is known to have had no effect.
    Rejected,
    /// No conclusive reply arrived; the order may have taken effect.
    Lost,
}

/// A model version, or an adapter of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// Model version.
    pub model: id::Model,
    /// Adapter, or `None` if the subject is the model version itself.
    pub adapter: Option<id::Adapter>,
}

impl Subject {
    /// Creates the subject of a model version.
    pub fn model(model: &id::Model) -> Self {
        Self {
            model: model.clone(),
            adapter: None,
        }
    }

    /// Creates the subject of an adapter.
    pub fn adapter(model: &id::Model, adapter: &id::Adapter) -> Self {
        Self {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        }
    }
}

/// An order to be sent to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Sequence number, which matches a reply to the order.
    pub number: u64,
    /// Kind of the order.
    pub kind: Kind,
    /// Model version or adapter that the order is about.
    pub subject: Subject,
    /// Memory of the subject in MiB.
    pub memory_mb: u64,
}

/// Memory that a model version or adapter occupies, or may occupy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// State of the subject; an order without a known reply is assumed to be in progress.
    pub state: State,
    /// Start time of the state.
    pub since: Time,
    /// Number of the order whose reply is awaited.
    pending_order: Option<u64>,
    /// Sequence number of the last change.
    changed_at: u64,
}

impl Allocation {
    /// Returns whether the reply to an order about it is still awaited.
    pub fn has_pending_order(&self) -> bool {
        self.pending_order.is_some()
    }
}

/// Memory accounts of an engine.
#[derive(Debug)]
pub struct Ledger {
    capacity_mb: u64,
    adapter_space_mb: u64,
    allocations: BTreeMap<Subject, Allocation>,
    /// Number of orders and replies so far.
    sequence: u64,
    /// Sequence number at which memory was last freed.
    last_freed: u64,
}

impl Ledger {
    /// Creates a ledger for an engine that is not known to hold anything.
    pub fn new(capacity_mb: u64, adapter_space_mb: u64) -> Self {
        Self {
            capacity_mb,
            adapter_space_mb,
            allocations: BTreeMap::new(),
            sequence: 0,
            last_freed: 0,
        }
    }

    /// Returns the allocation of a subject.
    pub fn get(&self, subject: &Subject) -> Option<&Allocation> {
        self.allocations.get(subject)
    }

    /// Returns the allocations of all model versions.
    pub fn models(&self) -> impl Iterator<Item = (&id::Model, &Allocation)> {
        let models = self.allocations.iter().filter(|(s, _)| s.adapter.is_none());
        models.map(|(subject, held)| (&subject.model, held))
    }

    /// Returns the allocations of all adapters.
    pub fn adapters(&self) -> impl Iterator<Item = (&Subject, &Allocation)> {
        self.allocations.iter().filter(|(s, _)| s.adapter.is_some())
    }

    /// Returns whether the outcome of an order has to be learnt from an inventory.
    pub fn has_unresolved_order(&self) -> bool {
        let mut allocations = self.allocations.values();
        allocations.any(|held| held.pending_order.is_none() && held.state != State::Loaded)
    }

    /// Returns the free memory for models in MiB.
    pub fn free_mb(&self) -> u64 {
        let models: u64 = self.models().map(|(_, held)| held.memory_mb).sum();
        // Adapters adopted from an inventory may exceed the adapter space, since its configured size
        // may have changed after they were loaded.
        let adapters = self.used_adapter_mb().max(self.adapter_space_mb);
        self.capacity_mb.saturating_sub(models + adapters)
    }

    /// Returns the maximum memory for models in MiB.
    pub fn model_capacity_mb(&self) -> u64 {
        self.capacity_mb.saturating_sub(self.adapter_space_mb)
    }

    /// Returns the free adapter space in MiB.
    pub fn free_adapter_mb(&self) -> u64 {
        self.adapter_space_mb.saturating_sub(self.used_adapter_mb())
    }

    fn used_adapter_mb(&self) -> u64 {
        self.adapters().map(|(_, held)| held.memory_mb).sum()
    }

    /// Allocates the memory for a load and returns the order, or `None` if the memory does not
    /// suffice or the subject already has an allocation.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{
    ///     agent::ledger::{Ledger, Reply, Subject},
    ///     timer::Time,
    /// };
    ///
    /// let mut ledger = Ledger::new(100, 0);
    /// let first = Subject::model(&"gear-check@1".into());
    /// let second = Subject::model(&"gear-note@1".into());
    /// let order = ledger.load(&first, 60, Time::ZERO).unwrap();
    /// ledger.complete(&order, Reply::Lost, Time::ZERO);
    /// // The first may still be loading, so the memory does not suffice for the second.
    /// assert!(ledger.load(&second, 60, Time::ZERO).is_none());
    /// ```
    pub fn load(&mut self, subject: &Subject, memory_mb: u64, now: Time) -> Option<Order> {
        let (free, kind) = match subject.adapter {
            None => (self.free_mb(), Kind::Load),
            Some(_) => (self.free_adapter_mb(), Kind::LoadAdapter),
        };
        if memory_mb > free || self.allocations.contains_key(subject) {
            return None;
        }
        Some(self.issue(kind, subject, memory_mb, now))
    }

    /// Returns the order that unloads the subject, or `None` unless it is loaded and no order about
    /// it is pending.
    pub fn unload(&mut self, subject: &Subject, now: Time) -> Option<Order> {
        let held = self.allocations.get(subject)?;
        if held.state != State::Loaded || held.pending_order.is_some() {
            return None;
        }
        let kind = match subject.adapter {
            None => Kind::Unload,
            Some(_) => Kind::UnloadAdapter,
        };
        Some(self.issue(kind, subject, held.memory_mb, now))
    }

    fn issue(&mut self, kind: Kind, subject: &Subject, memory_mb: u64, now: Time) -> Order {
        self.sequence += 1;
        let state = match kind {
            Kind::Load | Kind::LoadAdapter => State::Loading,
            Kind::Unload | Kind::UnloadAdapter => State::Unloading,
        };
        let held = Allocation {
            memory_mb,
            state,
            since: now,
            pending_order: Some(self.sequence),
            changed_at: self.sequence,
        };
        self.allocations.insert(subject.clone(), held);
        Order {
            number: self.sequence,
            kind,
            subject: subject.clone(),
            memory_mb,
        }
    }

    /// Applies the reply to an order. It is ignored if the order is not the subject's pending one.
    pub fn complete(&mut self, order: &Order, reply: Reply, now: Time) {
        self.sequence += 1;
        let Some(held) = self.allocations.get_mut(&order.subject) else {
            return;
        };
        if held.pending_order != Some(order.number) {
            return;
        }
        held.pending_order = None;
        held.changed_at = self.sequence;
        let is_load = held.state == State::Loading;
        match reply {
            Reply::Lost => (),
            Reply::Done if is_load => (held.state, held.since) = (State::Loaded, now),
            Reply::Rejected if !is_load => (held.state, held.since) = (State::Loaded, now),
            Reply::Done | Reply::Rejected => self.free(&order.subject),
        }
    }

    /// Returns the mark of an inventory that is about to be requested: the number of orders and
    /// replies so far.
    pub fn mark(&self) -> u64 {
        self.sequence
    }

    /// Returns whether an inventory requested at `mark` is too old to be applied.
    pub fn is_stale(&self, mark: u64) -> bool {
        self.last_freed > mark
    }

    /// Applies an inventory requested at `mark`, and returns whether it was used.
    ///
    /// An inventory is discarded if memory was freed after the mark, since it may still show what
    /// was freed. Subjects with a pending order, or whose last order was issued or completed after
    /// the mark, keep their state, since the inventory may be older.
    pub fn apply_inventory(&mut self, mark: u64, inventory: &Inventory, now: Time) -> bool {
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
        let is_settled =
            |held: &Allocation| held.pending_order.is_none() && held.changed_at <= mark;
        self.allocations
            .retain(|subject, held| present.contains_key(subject) || !is_settled(held));
        true
    }

    fn adopt(&mut self, subject: &Subject, state: State, memory_mb: u64, mark: u64, now: Time) {
        let known = self.allocations.get(subject);
        if known.is_some_and(|held| held.pending_order.is_some() || held.changed_at > mark) {
            return;
        }
        let unchanged = known.filter(|held| held.state == state);
        let held = Allocation {
            memory_mb,
            state,
            since: unchanged.map_or(now, |held| held.since),
            pending_order: None,
            changed_at: known.map_or(mark, |held| held.changed_at),
        };
        self.allocations.insert(subject.clone(), held);
    }

    /// Frees the memory of a subject; a model's adapters are freed with it.
    fn free(&mut self, subject: &Subject) {
        self.last_freed = self.sequence;
        self.allocations.remove(subject);
        if subject.adapter.is_none() {
            self.allocations
                .retain(|other, _| other.model != subject.model);
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

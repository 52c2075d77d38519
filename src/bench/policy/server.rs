//! A backend server of the replay: its policy, what waits there and what is idle.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    measure::Measure,
    setup::Keep,
    trace::Size, //
};
use crate::{
    agent::{
        event::{
            Event,
            Slot, //
        },
        ledger::{
            Ledger,
            Subject, //
        },
        residency::Policy,
    },
    client::engine::Inventory,
    id,
    timer::Time,
};

/// Accelerator memory of a server in MiB.
pub(super) const CAPACITY_MB: u64 = 4 * 24_576;

/// Accelerator memory for adapters in MiB.
const ADAPTER_SPACE_MB: u64 = 2_048;

#[derive(Debug, Clone, Copy)]
struct Replica {
    users: u32,
    idle_from: u64,
    memory_mb: u64,
}

/// A backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) policy: Policy,
    /// Requests that wait for a model.
    pub(super) waiting: BTreeMap<usize, Vec<usize>>,
    /// Requests that wait for an adapter.
    pub(super) adapter_waiting: BTreeMap<Subject, Vec<usize>>,
    /// When the next tick is due.
    pub(super) tick_at: Option<u64>,
    replicas: BTreeMap<usize, Replica>,
}

impl Server {
    /// Makes an empty server with slots for these models.
    pub(super) fn new<'a>(keep: Keep, models: impl Iterator<Item = (&'a id::Model, Size)>) -> Self {
        let ledger = Ledger::new(CAPACITY_MB, ADAPTER_SPACE_MB);
        let mut policy = match keep {
            Keep::Policy(_) => Policy::new(ledger),
            Keep::Fixed(time) => Policy::with_keep_alive(ledger, time),
        };
        let slots = models.zip(1..).map(|((model, size), grant)| Slot {
            model: model.clone(),
            grant,
            retiring: false,
            size: Some((size.memory_mb, size.checkpoint_mb)),
        });
        let empty = Inventory {
            fence: 0,
            memory_mb: CAPACITY_MB,
            models: Vec::new(),
        };
        let events = [
            Event::Slots(slots.collect()),
            Event::Authority(true),
            Event::Inventory(policy.ledger().mark(), empty),
        ];
        for event in events {
            // Nothing is held or wanted yet, so there is nothing to do.
            policy.step(event, Time::ZERO);
        }
        Self {
            policy,
            waiting: BTreeMap::new(),
            adapter_waiting: BTreeMap::new(),
            tick_at: None,
            replicas: BTreeMap::new(),
        }
    }

    /// Notes that a model has been loaded.
    pub(super) fn idle(&mut self, model: usize, memory_mb: u64, now: u64) {
        let replica = Replica {
            users: 0,
            idle_from: now,
            memory_mb,
        };
        self.replicas.insert(model, replica);
    }

    /// Notes that a request begins.
    pub(super) fn busy(&mut self, model: usize, now: u64, measure: &mut Measure) {
        if let Some(replica) = self.replicas.get_mut(&model) {
            if replica.users == 0 {
                measure.idle(replica.idle_from, now, replica.memory_mb);
            }
            replica.users += 1;
        }
    }

    /// Notes that a request has ended.
    pub(super) fn leave(&mut self, model: usize, memory_mb: u64, now: u64) {
        if let Some(replica) = self.replicas.get_mut(&model) {
            replica.users -= 1;
            if replica.users == 0 {
                self.idle(model, memory_mb, now);
            }
        }
    }

    /// Notes that a model has been unloaded.
    pub(super) fn gone(&mut self, model: usize, now: u64, measure: &mut Measure) {
        if let Some(replica) = self.replicas.remove(&model) {
            measure.idle(replica.idle_from, now, replica.memory_mb);
        }
    }

    /// Counts the idle time up to the end of the trace.
    pub(super) fn settle(&mut self, now: u64, measure: &mut Measure) {
        let idle = self.replicas.values().filter(|replica| replica.users == 0);
        for replica in idle {
            measure.idle(replica.idle_from, now, replica.memory_mb);
        }
        self.replicas.clear();
    }
}

/// Returns a keep-alive that never ends within a trace.
pub(super) const fn forever() -> Duration {
    Duration::from_secs(365 * 24 * 3_600)
}

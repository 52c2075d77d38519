//! Decides which adapters are loaded into the adapter space, and evicts the least recently used
//! ones. Returns the orders; does not call the engine.

use std::collections::BTreeMap;

use super::{
    ledger::{
        Ledger,
        Order,
        Reply,
        Subject, //
    },
    residency::RETRY_DELAY,
};
use crate::{
    client::engine::State,
    timer::Time, //
};

/// Adapter that is needed or loaded.
#[derive(Debug, Clone, Copy)]
struct Entry {
    memory_mb: u64,
    /// Number of requests that use the adapter or wait for it.
    users: usize,
    last_used: Time,
    /// Earliest time of the next order, after one that was rejected or whose reply was lost.
    retry_at: Option<Time>,
}

/// Adapters of an engine, with their users and the time of their last use.
#[derive(Debug, Default)]
pub struct Adapters {
    entries: BTreeMap<Subject, Entry>,
}

impl Adapters {
    /// Records that a request needs an adapter.
    pub fn acquire(&mut self, subject: Subject, memory_mb: u64, now: Time) {
        let entry = self.entries.entry(subject).or_insert(Entry {
            memory_mb,
            users: 0,
            last_used: now,
            retry_at: None,
        });
        entry.memory_mb = memory_mb;
        entry.users += 1;
        entry.last_used = now;
    }

    /// Records that a request no longer needs an adapter.
    pub fn release(&mut self, subject: &Subject, now: Time) {
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.users = entry.users.saturating_sub(1);
            entry.last_used = now;
        }
    }

    /// Records the reply to an order about an adapter.
    pub fn order_ended(&mut self, subject: &Subject, reply: Reply, now: Time) {
        let retry_at = (reply != Reply::Done).then(|| now + RETRY_DELAY);
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.retry_at = retry_at;
        }
    }

    /// Returns the orders that load the needed adapters or free memory for them, and enters them in
    /// the ledger.
    pub fn decide(&mut self, ledger: &mut Ledger, now: Time) -> Vec<(Order, &'static str)> {
        self.entries
            .retain(|subject, entry| entry.users > 0 || ledger.get(subject).is_some());
        let mut orders = Vec::new();
        let wanted: Vec<_> = self
            .entries
            .iter()
            .filter(|(subject, entry)| entry.users > 0 && ledger.get(subject).is_none())
            .filter(|(_, entry)| entry.retry_at.is_none_or(|at| now >= at))
            .map(|(subject, entry)| (subject.clone(), entry.memory_mb))
            .collect();
        for (subject, memory_mb) in wanted {
            let base = ledger.get(&Subject::model(&subject.model));
            if base.is_none_or(|held| held.state != State::Loaded) {
                continue;
            }
            if let Some(order) = ledger.load(&subject, memory_mb, now) {
                orders.push((order, "requests wait"));
            } else {
                orders.extend(self.make_room(ledger, memory_mb, now));
            }
        }
        orders
    }

    fn make_room(
        &self,
        ledger: &mut Ledger,
        memory_mb: u64,
        now: Time,
    ) -> Vec<(Order, &'static str)> {
        let unloading = ledger
            .adapters()
            .filter(|(_, h)| h.state == State::Unloading);
        let mut free = ledger.free_adapter_mb() + unloading.map(|(_, h)| h.memory_mb).sum::<u64>();
        let mut idle: Vec<_> = ledger
            .adapters()
            .filter(|(_, held)| held.state == State::Loaded && !held.has_pending_order())
            .map(|(subject, held)| (subject.clone(), held.memory_mb))
            .filter(|(subject, _)| {
                self.entries
                    .get(subject)
                    .is_none_or(|entry| entry.users == 0)
            })
            .collect();
        idle.sort_by_key(|(subject, _)| self.entries.get(subject).map(|entry| entry.last_used));
        let mut orders = Vec::new();
        for (subject, memory) in idle {
            if free >= memory_mb {
                break;
            }
            free += memory;
            orders.extend(
                ledger
                    .unload(&subject, now)
                    .map(|order| (order, "least recently used")),
            );
        }
        orders
    }
}

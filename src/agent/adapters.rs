//! Decides which adapters are loaded into the adapter space; the least recently used makes room.
//! Pure.

use std::collections::BTreeMap;

use super::{
    ledger::{
        Answer,
        Ledger,
        Order,
        Subject, //
    },
    residency::RETRY_AFTER,
};
use crate::{
    client::engine::State,
    timer::Time, //
};

#[derive(Debug, Clone, Copy)]
struct Use {
    memory_mb: u64,
    users: usize,
    last: Time,
    retry_at: Option<Time>,
}

/// Which adapters are in use, and when they were used last.
#[derive(Debug, Default)]
pub struct Adapters {
    uses: BTreeMap<Subject, Use>,
}

impl Adapters {
    /// Notes that a request needs an adapter.
    pub fn need(&mut self, subject: Subject, memory_mb: u64, now: Time) {
        let entry = self.uses.entry(subject).or_insert(Use {
            memory_mb,
            users: 0,
            last: now,
            retry_at: None,
        });
        entry.memory_mb = memory_mb;
        entry.users += 1;
        entry.last = now;
    }

    /// Notes that a request does not need an adapter any more.
    pub fn leave(&mut self, subject: &Subject, now: Time) {
        if let Some(entry) = self.uses.get_mut(subject) {
            entry.users = entry.users.saturating_sub(1);
            entry.last = now;
        }
    }

    /// Notes the answer to an order about an adapter.
    pub fn answered(&mut self, subject: &Subject, answer: Answer, now: Time) {
        let retry_at = (answer != Answer::Done).then(|| now + RETRY_AFTER);
        if let Some(entry) = self.uses.get_mut(subject) {
            entry.retry_at = retry_at;
        }
    }

    /// Returns the orders that load needed adapters or make room for them.
    pub fn decide(&mut self, ledger: &mut Ledger, now: Time) -> Vec<(Order, &'static str)> {
        self.uses
            .retain(|subject, entry| entry.users > 0 || ledger.get(subject).is_some());
        let mut orders = Vec::new();
        let wanted: Vec<_> = self
            .uses
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
        let coming = ledger
            .adapters()
            .filter(|(_, h)| h.state == State::Unloading);
        let mut free = ledger.free_adapter_mb() + coming.map(|(_, h)| h.memory_mb).sum::<u64>();
        let mut idle: Vec<_> = ledger
            .adapters()
            .filter(|(_, held)| held.state == State::Loaded && !held.has_order())
            .map(|(subject, held)| (subject.clone(), held.memory_mb))
            .filter(|(subject, _)| self.uses.get(subject).is_none_or(|entry| entry.users == 0))
            .collect();
        idle.sort_by_key(|(subject, _)| self.uses.get(subject).map(|entry| entry.last));
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

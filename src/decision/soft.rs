//! What a coordinator remembers between ticks. Pure.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use uuid::Uuid;

use super::coordinator::{
    Fleet,
    Proposal, //
};
use crate::{
    client::list::Instance,
    id,
    timer::Time, //
};

/// Time for which polls of the list must have lacked a server before it counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// Time for which the list must lack a server before it is polled because of that.
const SUSPECT_AFTER: Duration = Duration::from_secs(5);

/// Time after which a record that was never seen in the stream is given up.
///
/// The next record for the model has the same `replaces`, so at most one of the two holds.
const PENDING_FOR: Duration = Duration::from_secs(10);

/// Time between two ticks that shows that the process was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(10);

/// Time for which a `Widen` that could not be granted is remembered.
const WIDEN_FOR: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Model(id::Model),
    Server(id::Instance),
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Pending {
    record: Uuid,
    head: u64,
    since: Time,
}

/// When a server was last in the list.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    epoch: u64,
    last: Time,
    /// Since when polls made because of the suspicion have lacked the server.
    suspected: Option<Time>,
}

impl Sighting {
    fn new(epoch: u64, now: Time) -> Self {
        Self {
            epoch,
            last: now,
            suspected: None,
        }
    }
}

/// What a coordinator remembers between ticks; it may be lost at any time.
#[derive(Debug, Clone, Default)]
pub struct Soft {
    sightings: BTreeMap<id::Instance, Sighting>,
    observed: Option<Time>,
    pub(super) absent: BTreeMap<id::Model, Time>,
    pub(super) surplus: BTreeMap<id::Model, Time>,
    pub(super) widen: BTreeMap<id::Model, Time>,
    pub(super) pending: BTreeMap<Subject, Pending>,
}

impl Soft {
    /// Notes that a replica of the model version is saturated.
    pub fn widen(&mut self, model: &id::Model, now: Time) {
        self.widen.insert(model.clone(), now);
    }

    /// Applies a poll of the list that was made because of a suspicion, nothing if it failed.
    ///
    /// The list that the fleet is seen by may be old while polls fail, so a server is gone only
    /// after polls for this purpose have lacked it without a break.
    pub fn polled(&mut self, instances: Option<&[Instance]>, now: Time) {
        for (server, sighting) in &mut self.sightings {
            if now - sighting.last <= SUSPECT_AFTER {
                continue;
            }
            match instances {
                None => sighting.suspected = None,
                Some(list) if list.iter().any(|i| i.name == *server) => {
                    *sighting = Sighting::new(sighting.epoch, now);
                }
                Some(_) => _ = sighting.suspected.get_or_insert(now),
            }
        }
    }

    pub(super) fn suspects(&self, server: &id::Instance, now: Time) -> bool {
        let sighting = self.sightings.get(server);
        sighting.is_some_and(|sighting| now - sighting.last > SUSPECT_AFTER)
    }

    pub(super) fn is_gone(&self, server: &id::Instance, now: Time) -> bool {
        let suspected = self.sightings.get(server).and_then(|s| s.suspected);
        suspected.is_some_and(|since| now - since > GONE_AFTER)
    }

    /// Notes that a record was certainly not appended, so that its subject need not wait for it.
    pub fn dropped(&mut self, record: Uuid) {
        self.pending.retain(|_, pending| pending.record != record);
    }

    pub(super) fn observe(&mut self, fleet: &Fleet<'_>, now: Time) {
        // While this process was paused, nothing was looked at.
        let paused = self.observed.is_none_or(|at| now - at > PAUSED_AFTER);
        self.observed = Some(now);
        let listed: BTreeSet<_> = fleet.instances.iter().map(|i| &i.name).collect();
        for (server, epoch) in fleet.table.servers() {
            let known = self.sightings.get(server).map(|sighting| sighting.epoch);
            if paused || listed.contains(server) || known != Some(epoch.offset) {
                let sighting = Sighting::new(epoch.offset, now);
                self.sightings.insert(server.clone(), sighting);
            }
        }
        self.sightings
            .retain(|server, _| fleet.table.epoch(server).is_some());
        self.widen.retain(|_, asked| now - *asked <= WIDEN_FOR);
        self.pending.retain(|subject, pending| {
            let head = match subject {
                Subject::Model(model) => fleet.table.head(model),
                Subject::Server(server) => fleet.table.epoch(server).map_or(0, |e| e.offset),
            };
            let settled = head != pending.head || fleet.table.has_seen(pending.record);
            !settled && now - pending.since < PENDING_FOR
        });
    }

    pub(super) fn propose(&mut self, subject: Subject, head: u64, proposal: &Proposal, now: Time) {
        let pending = Pending {
            record: proposal.record.id,
            head,
            since: now,
        };
        self.pending.insert(subject, pending);
    }
}

//! State that a coordinator keeps between ticks. Nothing here performs I/O.

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

/// Time for which a server must be missing from every poll made for this purpose before it counts
/// as gone.
const GONE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a server must be missing from the instance list before the list is polled to
/// check whether it is gone.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a proposed record to appear in the stream; afterwards another may be proposed.
///
/// The next record for the model has the same `replaces`, so at most one of the two is valid.
const PENDING_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two ticks above which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(10);

/// Time for which a `Widen` request that could not be granted is kept.
const WIDEN_RETENTION: Duration = Duration::from_secs(5);

/// What a record is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Model(id::Model),
    Server(id::Instance),
}

/// A proposed record that has not been seen in the stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pending {
    record: Uuid,
    /// Head of the model's chain, or epoch of the server, when the record was proposed.
    head: u64,
    since: Time,
}

/// When a server was last in the instance list.
#[derive(Debug, Clone, Copy)]
struct Presence {
    epoch: u64,
    last_listed: Time,
    /// Start of the unbroken series of polls, made on suspicion, in which the server was missing.
    missing_since: Option<Time>,
}

impl Presence {
    fn new(epoch: u64, now: Time) -> Self {
        Self {
            epoch,
            last_listed: now,
            missing_since: None,
        }
    }
}

/// State that a coordinator keeps between ticks. It may be lost at any time without harm.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    presences: BTreeMap<id::Instance, Presence>,
    last_observed: Option<Time>,
    /// When model versions with granted slots were first found missing from the catalogue.
    pub(super) withdrawn_since: BTreeMap<id::Model, Time>,
    /// When the retention of surplus slots began for model versions that have any.
    pub(super) surplus_since: BTreeMap<id::Model, Time>,
    /// When the last `Widen` request arrived for model versions that have one pending.
    pub(super) widen_requests: BTreeMap<id::Model, Time>,
    pub(super) pending: BTreeMap<Subject, Pending>,
}

impl Tracker {
    /// Records that a replica of the model version is saturated.
    pub fn record_widen(&mut self, model: &id::Model, now: Time) {
        self.widen_requests.insert(model.clone(), now);
    }

    /// Applies the result of a poll that was made because a server is suspected to be gone;
    /// `instances` is `None` if the poll failed.
    ///
    /// While polls fail, the fleet's instance list may be out of date. So a server counts as gone
    /// only after it has been missing from an unbroken series of polls made for this purpose.
    pub fn apply_poll(&mut self, instances: Option<&[Instance]>, now: Time) {
        for (server, presence) in &mut self.presences {
            if now - presence.last_listed <= SUSPECT_TIMEOUT {
                continue;
            }
            match instances {
                None => presence.missing_since = None,
                Some(list) if list.iter().any(|i| i.name == *server) => {
                    *presence = Presence::new(presence.epoch, now);
                }
                Some(_) => _ = presence.missing_since.get_or_insert(now),
            }
        }
    }

    /// Returns whether the server has been missing from the list long enough to be suspected.
    pub(super) fn suspects(&self, server: &id::Instance, now: Time) -> bool {
        let presence = self.presences.get(server);
        presence.is_some_and(|presence| now - presence.last_listed > SUSPECT_TIMEOUT)
    }

    /// Returns whether the server has been missing from the polls long enough to count as gone.
    pub(super) fn is_gone(&self, server: &id::Instance, now: Time) -> bool {
        let missing_since = self.presences.get(server).and_then(|s| s.missing_since);
        missing_since.is_some_and(|since| now - since > GONE_TIMEOUT)
    }

    /// Discards a pending record that was certainly not appended, so that another may be proposed
    /// for its model or server at once.
    pub fn discard(&mut self, record: Uuid) {
        self.pending.retain(|_, pending| pending.record != record);
    }

    /// Updates the presence of the servers and drops expired `Widen` requests and settled or
    /// timed-out pending records.
    pub(super) fn observe(&mut self, fleet: &Fleet<'_>, now: Time) {
        // During a pause the list was not observed, so the time does not count as absence.
        let paused = self
            .last_observed
            .is_none_or(|at| now - at > PAUSE_THRESHOLD);
        self.last_observed = Some(now);
        let listed: BTreeSet<_> = fleet.instances.iter().map(|i| &i.name).collect();
        for (server, epoch) in fleet.table.servers() {
            let known = self.presences.get(server).map(|presence| presence.epoch);
            if paused || listed.contains(server) || known != Some(epoch.offset) {
                let presence = Presence::new(epoch.offset, now);
                self.presences.insert(server.clone(), presence);
            }
        }
        self.presences
            .retain(|server, _| fleet.table.epoch(server).is_some());
        self.widen_requests
            .retain(|_, asked| now - *asked <= WIDEN_RETENTION);
        self.pending.retain(|subject, pending| {
            let head = match subject {
                Subject::Model(model) => fleet.table.head(model),
                Subject::Server(server) => fleet.table.epoch(server).map_or(0, |e| e.offset),
            };
            let settled = head != pending.head || fleet.table.has_seen(pending.record);
            !settled && now - pending.since < PENDING_TIMEOUT
        });
    }

    /// Records a proposal, so that none is made for the same subject while it is pending.
    pub(super) fn record_pending(
        &mut self,
        subject: Subject,
        head: u64,
        proposal: &Proposal,
        now: Time,
    ) {
        let pending = Pending {
            record: proposal.record.id,
            head,
            since: now,
        };
        self.pending.insert(subject, pending);
    }
}

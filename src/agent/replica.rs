//! State of one model version in the residency policy.

use super::{
    event::Slot,
    usage::Usage, //
};
use crate::timer::Time;

/// State of one model version in the residency policy.
#[derive(Debug, Clone, Default)]
pub(super) struct Replica {
    /// Slot on this server, if there is one.
    pub(super) slot: Option<Slot>,
    /// Log offset of the last grant.
    pub(super) grant: u64,
    /// Number of waiting requests.
    pub(super) waiting: usize,
    /// Number of running requests.
    pub(super) running: usize,
    /// Start of the demand, cleared when the last waiting request leaves the queue. The model
    /// version with the oldest demand is loaded first.
    pub(super) demand_since: Option<Time>,
    /// Time until which a refused client may retry.
    pub(super) retry_expected_until: Option<Time>,
    /// Time at which a request last ended or left the queue, or an order last ended.
    pub(super) idle_since: Option<Time>,
    /// Earliest time of the next order, after one that was rejected or whose reply was lost.
    pub(super) retry_at: Option<Time>,
    /// Time at which `Released` was last appended.
    pub(super) released_at: Option<Time>,
    /// Usage pattern of the model version.
    pub(super) usage: Usage,
}

impl Replica {
    /// Returns whether no request is running or waiting.
    pub(super) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }

    /// Returns whether a request is waiting or a refused client may retry.
    pub(super) fn has_demand(&self, now: Time) -> bool {
        self.waiting > 0 || self.retry_expected_until.is_some_and(|until| now < until)
    }

    /// Returns whether no new request may be served, because there is no slot or the slot is
    /// retiring.
    pub(super) fn is_retired(&self) -> bool {
        self.slot.as_ref().is_none_or(|slot| slot.retiring)
    }

    /// Returns the size of the checkpoint in MiB, or 0 if it is unknown.
    pub(super) fn checkpoint_mb(&self) -> u64 {
        let size = self.slot.as_ref().and_then(|slot| slot.size);
        size.map_or(0, |(_, checkpoint)| checkpoint)
    }
}

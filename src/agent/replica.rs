//! What the residency policy knows of one model version.

use super::{
    event::Slot,
    usage::Usage, //
};
use crate::timer::Time;

/// What the residency policy knows of one model version.
#[derive(Debug, Clone, Default)]
pub(super) struct Replica {
    /// The slot, if there is one.
    pub(super) slot: Option<Slot>,
    /// Offset of the last grant.
    pub(super) grant: u64,
    /// Requests that wait.
    pub(super) waiting: usize,
    /// Requests that run.
    pub(super) users: usize,
    /// Since when requests have waited without a break.
    pub(super) wanted_since: Option<Time>,
    /// Until when a refused caller may come back.
    pub(super) wished_until: Option<Time>,
    /// When a request last ended or left.
    pub(super) idle_since: Option<Time>,
    /// Time before which no order is given, after one that had no effect.
    pub(super) retry_at: Option<Time>,
    /// When `Released` was last given.
    pub(super) released_at: Option<Time>,
    /// How the model version is called.
    pub(super) usage: Usage,
}

impl Replica {
    /// Returns whether no request runs or waits.
    pub(super) fn is_idle(&self) -> bool {
        self.users == 0 && self.waiting == 0
    }

    /// Returns whether a request waits, or a refused caller may come back.
    pub(super) fn is_wanted(&self, now: Time) -> bool {
        self.waiting > 0 || self.wished_until.is_some_and(|until| now < until)
    }

    /// Returns whether no new request may be served.
    pub(super) fn is_retired(&self) -> bool {
        self.slot.as_ref().is_none_or(|slot| slot.retiring)
    }

    /// Returns the checkpoint's size in MiB, 0 if it is not known.
    pub(super) fn checkpoint_mb(&self) -> u64 {
        let size = self.slot.as_ref().and_then(|slot| slot.size);
        size.map_or(0, |(_, checkpoint)| checkpoint)
    }
}

//! The lowest version of the configuration that a process which has started lately may act on.

use std::time::Duration;

use crate::timer::Time;

/// Time after the first configuration was read within which a hub that knows a version is reached,
/// if there is one.
const HEARING_TIME: Duration = Duration::from_millis(1_500);

/// The lowest version of the configuration that a process which has started lately may act on where
/// a step back would do harm: a key that was withdrawn would be in use again.
///
/// A process that runs on never goes back to an older version. One that starts anew takes what it
/// reads, and the store may have come back from a copy, or give stale answers. Hubs know the newest
/// version that any gateway has had in force, also after all gateways have ended; until this process
/// has read that version it does not act on its own. The time for this is bounded: if no such version
/// is to be had, the store is right.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use chestnuthub::timer::Time;
/// use chestnuthub::watch::Floor;
///
/// let read_at = Time::from_millis(1_000);
/// let mut floor = Floor::new(Duration::from_secs(8));
/// floor.hear(7);
/// assert!(!floor.is_met(6, read_at, read_at));
/// assert!(floor.is_met(7, read_at, read_at));
/// assert!(floor.is_met(6, read_at, read_at + Duration::from_secs(8)));
/// ```
#[derive(Debug)]
pub struct Floor {
    /// Time after the first configuration was read for which versions of others are waited for.
    lasts: Duration,
    /// Newest version that a hub knows; `None` as long as none has told one.
    newest: Option<u64>,
}

impl Floor {
    /// Creates the floor of a process that has heard from no hub yet.
    pub fn new(lasts: Duration) -> Self {
        Self {
            lasts,
            newest: None,
        }
    }

    /// Records the newest version that a hub knows.
    pub fn hear(&mut self, version: u64) {
        self.newest = self.newest.max(Some(version));
    }

    /// Returns the newest version that hubs know.
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// Returns whether the process may act on this version. `read_at` is when it read its first one.
    pub fn is_met(&self, in_force: u64, read_at: Time, now: Time) -> bool {
        let age = now - read_at;
        match self.newest {
            _ if age >= self.lasts => true,
            Some(newest) => in_force >= newest,
            None => age >= HEARING_TIME,
        }
    }
}

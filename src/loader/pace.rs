//! This server's share of the weight store's rate.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::timer::Time;

/// Loads in a window that the store allows beyond its rate.
const SLACK: f64 = 3.0;

/// Part of the allowed loads that all servers together plan to use.
const USED_PART: f64 = 0.9;

/// Counts this server's loads from the weight store.
///
/// Each server takes an equal share of what the store allows, so that no agreement is needed and
/// all shares together stay below the limit, whatever the servers know of each other's loads.
#[derive(Debug, Default)]
pub struct Pace {
    begun: VecDeque<Time>,
}

impl Pace {
    /// Returns whether a load may begin now, with `servers` sharing `loads_per_s` in each window.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::loader::Pace;
    /// use chestnuthub::timer::Time;
    ///
    /// let window = Duration::from_secs(5);
    /// let mut pace = Pace::default();
    /// assert!(pace.allows(Time::from_millis(0), 1.6, 9, window));
    /// pace.note(Time::from_millis(0));
    /// assert!(!pace.allows(Time::from_millis(100), 1.6, 9, window));
    /// assert!(pace.allows(Time::from_millis(6_000), 1.6, 9, window));
    /// ```
    pub fn allows(
        &mut self,
        now: Time,
        loads_per_s: f64,
        servers: usize,
        window: Duration,
    ) -> bool {
        if !loads_per_s.is_finite() {
            return true;
        }
        let allowed = USED_PART * (loads_per_s * window.as_secs_f64() + SLACK);
        let share = allowed / servers.max(1) as f64;
        // A share below one load in a window becomes one load in a longer one.
        let (most, span) = if share >= 1.0 {
            (share as usize, window)
        } else {
            (1, window.div_f64(share.max(0.001)))
        };
        while self.begun.front().is_some_and(|time| now - *time > span) {
            self.begun.pop_front();
        }
        self.begun.len() < most
    }

    /// Notes that a load begins.
    pub fn note(&mut self, now: Time) {
        self.begun.push_back(now);
    }
}

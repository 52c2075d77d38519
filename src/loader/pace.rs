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

/// The servers that share the store's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sharers {
    /// Number of servers.
    pub servers: usize,
    /// This server's place among them, from 0.
    pub place: usize,
    /// Loads that may begin each second, over all servers.
    pub loads_per_s: f64,
    /// Time over which the rate is held.
    pub window: Duration,
}

/// Counts this server's loads from the weight store.
///
/// Each server takes an equal share of what the store allows, so that no agreement is needed and
/// all shares together stay below the limit, whatever the servers know of each other's loads.
/// Where a share is less than one load in a window, servers take turns by the time of day.
#[derive(Debug, Default)]
pub struct Pace {
    begun: VecDeque<Time>,
}

impl Pace {
    /// Returns whether a load may begin now; `clock` is the time of day since any fixed moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::loader::{Pace, Sharers};
    /// use chestnuthub::timer::Time;
    ///
    /// let sharers = Sharers {
    ///     servers: 9,
    ///     place: 0,
    ///     loads_per_s: 1.6,
    ///     window: Duration::from_secs(5),
    /// };
    /// let mut pace = Pace::default();
    /// assert!(pace.allows(Time::from_millis(0), Duration::ZERO, &sharers));
    /// pace.note(Time::from_millis(0));
    /// assert!(!pace.allows(Time::from_millis(100), Duration::ZERO, &sharers));
    /// assert!(pace.allows(Time::from_millis(6_000), Duration::ZERO, &sharers));
    /// ```
    pub fn allows(&mut self, now: Time, clock: Duration, sharers: &Sharers) -> bool {
        if !sharers.loads_per_s.is_finite() {
            return true;
        }
        let in_window = sharers.loads_per_s * sharers.window.as_secs_f64() + SLACK;
        let share = USED_PART * in_window / sharers.servers.max(1) as f64;
        if share >= 1.0 {
            self.forget(now, sharers.window);
            return self.begun.len() < share as usize;
        }
        let round_s = sharers.window.as_secs_f64() / share.max(0.001);
        let turn_s = round_s / sharers.servers.max(1) as f64;
        let turn = (clock.as_secs_f64() % round_s / turn_s) as usize;
        // A load in the turn that is running now was begun less than half a round ago.
        self.forget(now, Duration::from_secs_f64(round_s / 2.0));
        turn == sharers.place && self.begun.is_empty()
    }

    fn forget(&mut self, now: Time, span: Duration) {
        while self.begun.front().is_some_and(|time| now - *time > span) {
            self.begun.pop_front();
        }
    }

    /// Notes that a load begins.
    pub fn note(&mut self, now: Time) {
        self.begun.push_back(now);
    }
}

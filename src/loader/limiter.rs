//! Limits this server's loads from the weight store to its share of the store's rate.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::timer::Time;

/// Number of loads in a window that the store allows in addition to its rate.
const BURST_LOADS: f64 = 3.0;

/// Fraction of the allowed loads that the shares of all servers add up to.
const USED_FRACTION: f64 = 0.9;

/// The store's rate and the servers that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Number of servers.
    pub servers: usize,
    /// Index of this server among them, from 0.
    pub index: usize,
    /// Maximum number of loads started per second by all servers together.
    pub loads_per_s: f64,
    /// Length of the sliding window to which the rate applies.
    pub window: Duration,
}

impl Limit {
    /// Returns the number of loads that this server may start in a window.
    fn share(&self) -> usize {
        let window_loads = self.loads_per_s * self.window.as_secs_f64() + BURST_LOADS;
        let servers = self.servers.max(1);
        let share = (USED_FRACTION * window_loads / servers as f64) as usize;
        // One load each needs no reserve for servers that do not know of each other: each of them
        // is busy with its load for longer than the window.
        let may_start_one = self.index < window_loads as usize;
        share.max(usize::from(may_start_one))
    }
}

/// Limits the loads that this server starts from the weight store.
///
/// Each server gets an equal share of the loads that the store allows. All servers together thus
/// stay below the limit without coordination and without a common clock, whatever they know of each
/// other's loads. If there are more servers than the store allows loads in a window, as many of
/// them as it allows, the first in `index`, may start one load each.
#[derive(Debug, Default)]
pub struct Limiter {
    started: VecDeque<Time>,
}

impl Limiter {
    /// Returns whether a load may start now.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::loader::{Limit, Limiter};
    /// use chestnuthub::timer::Time;
    ///
    /// let limit = Limit {
    ///     servers: 9,
    ///     index: 0,
    ///     loads_per_s: 1.6,
    ///     window: Duration::from_secs(5),
    /// };
    /// let mut limiter = Limiter::default();
    /// assert!(limiter.allows(Time::from_millis(0), &limit));
    /// limiter.record(Time::from_millis(0));
    /// assert!(!limiter.allows(Time::from_millis(100), &limit));
    /// assert!(limiter.allows(Time::from_millis(6_000), &limit));
    /// ```
    pub fn allows(&mut self, now: Time, limit: &Limit) -> bool {
        if !limit.loads_per_s.is_finite() {
            return true;
        }
        self.expire(now, limit.window);
        self.started.len() < limit.share()
    }

    fn expire(&mut self, now: Time, span: Duration) {
        while self.started.front().is_some_and(|time| now - *time > span) {
            self.started.pop_front();
        }
    }

    /// Records the start of a load.
    pub fn record(&mut self, now: Time) {
        self.started.push_back(now);
    }
}

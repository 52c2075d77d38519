//! The retry budget of one process: its share of the retries that all processes together may send.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::timer::Time;

/// Fraction of the total budget that the shares of all processes add up to.
///
/// The rest is a reserve for processes that do not know of each other yet.
const USED_FRACTION: f64 = 0.6;

/// Limit on the retries of all processes to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition to those.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of processes that share the budget.
    pub processes: u32,
}

/// Counts the requests and retries of one process to one service in a sliding window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Budget {
    /// Records a request and drops entries older than the window.
    pub fn record_request(&mut self, now: Time, window: Duration) {
        self.expire(now, window);
        self.requests.push_back(now);
    }

    /// Returns the number of requests and retries currently stored.
    pub fn retained(&self) -> usize {
        self.requests.len() + self.retries.len()
    }

    /// Returns whether this process's share of the budget allows a retry, and records the retry if it
    /// does.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::dispatch::{Budget, Limit};
    /// use chestnuthub::timer::Time;
    ///
    /// let limit = Limit {
    ///     ratio: 0.0,
    ///     slack: 5.0,
    ///     window: Duration::from_secs(10),
    ///     processes: 3,
    /// };
    /// let mut budget = Budget::default();
    /// assert!(budget.try_retry(Time::from_millis(0), &limit));
    /// assert!(!budget.try_retry(Time::from_millis(1), &limit));
    /// assert!(budget.try_retry(Time::from_millis(10_001), &limit));
    /// ```
    pub fn try_retry(&mut self, now: Time, limit: &Limit) -> bool {
        let is_allowed = self.allows_retry(now, limit);
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Returns whether this process's share of the budget allows a retry, without recording one.
    pub fn allows_retry(&mut self, now: Time, limit: &Limit) -> bool {
        self.expire(now, limit.window);
        let requests = self.requests.len() as f64;
        let slack = limit.slack / f64::from(limit.processes.max(1));
        let allowed = USED_FRACTION * (limit.ratio * requests + slack);
        self.retries.len() as f64 + 1.0 <= allowed
    }

    fn expire(&mut self, now: Time, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now - *time > window) {
                times.pop_front();
            }
        }
    }
}

//! The share of one process in the budget for sending requests once more.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::timer::Time;

/// Part of the whole budget that all processes together plan to use.
///
/// The rest covers processes that do not know of each other yet.
const USED_PART: f64 = 0.6;

/// The budget of all processes for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beyond those.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Processes that share the budget.
    pub processes: u32,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Budget {
    /// Counts a request; what lies before the window is forgotten.
    pub fn count(&mut self, now: Time, window: Duration) {
        self.forget(now, window);
        self.requests.push_back(now);
    }

    /// Returns the number of requests and repeats that are remembered.
    pub fn remembered(&self) -> usize {
        self.requests.len() + self.repeats.len()
    }

    /// Takes one repeat from the budget; returns false if none is left.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::dispatch::{Budget, Share};
    /// use chestnuthub::timer::Time;
    ///
    /// let share = Share {
    ///     ratio: 0.0,
    ///     slack: 5.0,
    ///     window: Duration::from_secs(10),
    ///     processes: 3,
    /// };
    /// let mut budget = Budget::default();
    /// assert!(budget.take(Time::from_millis(0), &share));
    /// assert!(!budget.take(Time::from_millis(1), &share));
    /// assert!(budget.take(Time::from_millis(10_001), &share));
    /// ```
    pub fn take(&mut self, now: Time, share: &Share) -> bool {
        self.forget(now, share.window);
        let requests = self.requests.len() as f64;
        let slack = share.slack / f64::from(share.processes.max(1));
        let allowed = USED_PART * (share.ratio * requests + slack);
        let left = self.repeats.len() as f64 + 1.0 <= allowed;
        if left {
            self.repeats.push_back(now);
        }
        left
    }

    fn forget(&mut self, now: Time, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now - *time > window) {
                times.pop_front();
            }
        }
    }
}

//! A rate that is averaged with exponentially decreasing weights.

use std::time::Duration;

use crate::timer::Time;

/// The rate at which something is used.
#[derive(Debug, Clone, Copy)]
pub(super) struct Decay {
    per_s: f64,
    updated_at: Time,
}

impl Decay {
    pub(super) fn new(now: Time) -> Self {
        Self {
            per_s: 0.0,
            updated_at: now,
        }
    }

    /// Records that `units` were used, averaged with this time constant.
    pub(super) fn record(&mut self, units: f64, time_constant: Duration, now: Time) {
        self.per_s = self.per_s(time_constant, now) + units / time_constant.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Replaces the rate.
    pub(super) fn set(&mut self, per_s: f64, now: Time) {
        self.per_s = per_s;
        self.updated_at = now;
    }

    /// Returns the rate, in units per second.
    pub(super) fn per_s(&self, time_constant: Duration, now: Time) -> f64 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        (self.per_s * (-elapsed / time_constant.as_secs_f64()).exp()).max(0.0)
    }
}

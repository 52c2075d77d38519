//! How a model version is used, and for how long it pays to keep it loaded. Pure.

use std::time::Duration;

use super::history::History;
use crate::timer::Time;

/// Idle seconds that a cold start of one second is worth at equal weights. Its worth grows with
/// the square of the cold start, since the measure is the tail of the cold-start time.
const IDLE_PER_SQUARE_SECOND: f64 = 10.0;

/// Bounds of the break-even time.
const SHORTEST_HOLD: Duration = Duration::from_secs(5);
const LONGEST_HOLD: Duration = Duration::from_secs(1_800);

/// Share of a new call in the weights and the probability.
const CALL_SHARE: f64 = 0.2;

/// Least share of the break-even time for which an idle model is kept.
const LEAST_SHARE: f64 = 0.25;

/// What the institutions that call a model weigh.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of a second of cold start.
    pub cold_start: f64,
    /// Weight of an idle accelerator hour.
    pub idle_hour: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cold_start: 1.0,
            idle_hour: 1.0,
        }
    }
}

/// How a model version is used.
#[derive(Debug, Clone)]
pub struct Usage {
    weights: Weights,
    /// Probability that the next call comes within the break-even time.
    recall: f64,
    last: Option<Time>,
    /// When the last request ended or left.
    idle_since: Option<Time>,
    history: History,
    hold: Option<Duration>,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            weights: Weights::default(),
            recall: 0.5,
            last: None,
            idle_since: None,
            history: History::default(),
            hold: None,
        }
    }
}

impl Usage {
    /// Notes a call; `load` is the predicted load time.
    pub fn called(&mut self, weights: Weights, load: Duration, now: Time) {
        if let Some(last) = self.last {
            let within = if now - last <= self.break_even(load) {
                1.0
            } else {
                0.0
            };
            self.recall += CALL_SHARE * (within - self.recall);
            let (old, new) = (&mut self.weights, weights);
            old.cold_start += CALL_SHARE * (new.cold_start - old.cold_start);
            old.idle_hour += CALL_SHARE * (new.idle_hour - old.idle_hour);
        } else {
            self.weights = weights;
        }
        self.last = Some(now);
        if let Some(since) = self.idle_since.take()
            && now - since >= SHORTEST_HOLD
        {
            self.history.record(now - since);
        }
        self.hold = self.history.keep_alive(self.break_even(load));
    }

    /// Notes that no request runs or waits any more.
    pub fn fell_idle(&mut self, now: Time) {
        self.idle_since = Some(now);
    }

    /// Returns the idle time that costs as much as a load.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{
    ///     agent::usage::{Usage, Weights},
    ///     timer::Time,
    /// };
    /// use std::time::Duration;
    ///
    /// let load = Duration::from_secs(5);
    /// let weights = Weights { cold_start: 3.0, idle_hour: 1.0 };
    /// let mut usage = Usage::default();
    /// assert_eq!(usage.break_even(load), Duration::from_secs(250));
    /// usage.called(weights, load, Time::ZERO);
    /// assert_eq!(usage.break_even(load), Duration::from_secs(750));
    /// ```
    pub fn break_even(&self, load: Duration) -> Duration {
        let ratio = self.weights.cold_start.max(0.0) / self.weights.idle_hour.max(1e-3);
        let seconds = load.as_secs_f64().powi(2) * ratio * IDLE_PER_SQUARE_SECOND;
        let longest = LONGEST_HOLD.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(SHORTEST_HOLD)
    }

    /// Returns for how long an idle replica is kept: what would have cost least over the history,
    /// or while that is short the break-even time, and less of it where calls seldom come within it.
    pub fn hold(&self, load: Duration) -> Duration {
        if let Some(hold) = self.hold {
            return hold.clamp(SHORTEST_HOLD, LONGEST_HOLD);
        }
        let share = (2.0 * self.recall).clamp(LEAST_SHARE, 1.0);
        self.break_even(load).mul_f64(share)
    }

    /// Returns the expected benefit of keeping an idle replica, per MiB.
    pub fn benefit(&self, load: Duration, memory_mb: u64) -> f64 {
        let memory = f64::from(u32::try_from(memory_mb).unwrap_or(u32::MAX)).max(1.0);
        self.weights.cold_start * load.as_secs_f64() * self.recall / memory
    }
}

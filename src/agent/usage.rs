//! Usage of a model version, and the time for which it is worth keeping it loaded while idle.

use std::time::Duration;

use super::history::History;
use crate::timer::Time;

/// Idle time in seconds that costs as much as a cold start of one second at equal weights. The cost
/// of a cold start grows with the square of its duration, since the target is the tail of the
/// distribution of cold-start times.
const IDLE_SECONDS_PER_SQUARE_SECOND: f64 = 10.0;

/// Minimum break-even time, and minimum keep-alive time derived from the history. Shorter idle
/// times are not recorded.
const MIN_BREAK_EVEN: Duration = Duration::from_secs(5);
/// Maximum break-even time, and maximum keep-alive time derived from the history.
const MAX_BREAK_EVEN: Duration = Duration::from_secs(1_800);

/// Weight of a new call in the moving averages of the weights and the reuse probability.
const CALL_SMOOTHING: f64 = 0.2;

/// Minimum fraction of the break-even time for which an idle model is kept while its history is
/// short.
const MIN_KEEP_ALIVE_FRACTION: f64 = 0.25;

/// Weights of a model's costs, as set by the institutions that call it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of one second of cold start.
    pub cold_start: f64,
    /// Weight of one idle accelerator hour.
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

/// Usage of a model version.
#[derive(Debug, Clone)]
pub struct Usage {
    /// Moving average over the calls.
    weights: Weights,
    /// Probability that the next call comes within the break-even time.
    reuse_probability: f64,
    last_call: Option<Time>,
    /// Time since which no request has been running or waiting.
    idle_since: Option<Time>,
    history: History,
    /// Keep-alive time derived from the history, if that is long enough.
    keep_alive: Option<Duration>,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            weights: Weights::default(),
            reuse_probability: 0.5,
            last_call: None,
            idle_since: None,
            history: History::default(),
            keep_alive: None,
        }
    }
}

impl Usage {
    /// Records a call; `load_time` is the estimated load time.
    pub fn record_call(&mut self, weights: Weights, load_time: Duration, now: Time) {
        if let Some(last) = self.last_call {
            let within = if now - last <= self.break_even(load_time) {
                1.0
            } else {
                0.0
            };
            self.reuse_probability += CALL_SMOOTHING * (within - self.reuse_probability);
            let (old, new) = (&mut self.weights, weights);
            old.cold_start += CALL_SMOOTHING * (new.cold_start - old.cold_start);
            old.idle_hour += CALL_SMOOTHING * (new.idle_hour - old.idle_hour);
        } else {
            self.weights = weights;
        }
        self.last_call = Some(now);
        if let Some(since) = self.idle_since.take()
            && now - since >= MIN_BREAK_EVEN
        {
            self.history.record(now - since);
        }
        self.keep_alive = self.history.keep_alive(self.break_even(load_time));
    }

    /// Records that no request is running or waiting any more.
    pub fn record_idle(&mut self, now: Time) {
        self.idle_since = Some(now);
    }

    /// Returns the break-even time: the idle time that costs as much as a load.
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
    /// let load_time = Duration::from_secs(5);
    /// let weights = Weights { cold_start: 3.0, idle_hour: 1.0 };
    /// let mut usage = Usage::default();
    /// assert_eq!(usage.break_even(load_time), Duration::from_secs(250));
    /// usage.record_call(weights, load_time, Time::ZERO);
    /// assert_eq!(usage.break_even(load_time), Duration::from_secs(750));
    /// ```
    pub fn break_even(&self, load_time: Duration) -> Duration {
        let ratio = self.weights.cold_start.max(0.0) / self.weights.idle_hour.max(1e-3);
        let seconds = load_time.as_secs_f64().powi(2) * ratio * IDLE_SECONDS_PER_SQUARE_SECOND;
        let limit = MAX_BREAK_EVEN.as_secs_f64();
        Duration::from_secs_f64(seconds.min(limit)).max(MIN_BREAK_EVEN)
    }

    /// Returns the time for which an idle replica is kept.
    ///
    /// It is the time with the lowest cost over the history. While the history is short it is the
    /// break-even time, reduced if calls seldom come within it.
    pub fn keep_alive(&self, load_time: Duration) -> Duration {
        if let Some(keep_alive) = self.keep_alive {
            return keep_alive.clamp(MIN_BREAK_EVEN, MAX_BREAK_EVEN);
        }
        let fraction = (2.0 * self.reuse_probability).clamp(MIN_KEEP_ALIVE_FRACTION, 1.0);
        self.break_even(load_time).mul_f64(fraction)
    }

    /// Returns the expected benefit of keeping an idle replica loaded, per MiB of its memory.
    pub fn benefit(&self, load_time: Duration, memory_mb: u64) -> f64 {
        let memory = f64::from(u32::try_from(memory_mb).unwrap_or(u32::MAX)).max(1.0);
        self.weights.cold_start * load_time.as_secs_f64() * self.reuse_probability / memory
    }
}

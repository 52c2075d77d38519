//! Predicts load times and spaces out the loads of an agent when the weight store is slow. Does no
//! I/O; the caller reports the loads and the time.

use std::time::Duration;

use crate::timer::Time;

/// Load rate for predictions without a recent observation, in MiB/s. It is high, so that no
/// request is refused because of a load time that was never measured.
const OPTIMISTIC_RATE: f64 = 8_192.0;

/// Load rate for the break-even time before any load was observed, in MiB/s.
const TYPICAL_RATE: f64 = 1_024.0;

/// Time for which an observed rate is used for predictions; without this limit the recovery of a
/// slow store would go unnoticed.
const RATE_VALIDITY: Duration = Duration::from_secs(60);

/// Weight of a new observation in the moving average of the load rate.
const RATE_SMOOTHING: f64 = 0.3;

/// Ratio of a load's duration to its predicted time above which the store counts as overloaded.
const SLOW_FACTOR: u32 = 2;

/// Minimum pause after a slow or failed load; doubled with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between loads.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Decrease of the pause after a load that was not slow.
const PAUSE_DECREMENT: Duration = Duration::from_millis(500);

/// Load rate of one agent, and the pause between its loads.
#[derive(Debug, Default)]
pub struct Pace {
    /// Average load rate in MiB/s, and the time of its last observation.
    rate: Option<(f64, Time)>,
    pause: Duration,
    /// Earliest time of the next load.
    next_load: Option<Time>,
}

impl Pace {
    /// Returns the predicted duration of a load, which is optimistic without a recent observation.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{agent::pace::Pace, timer::Time};
    /// use std::time::Duration;
    ///
    /// let mut pace = Pace::default();
    /// let second = Duration::from_secs(1);
    /// pace.record_load(1_000, second, Time::ZERO);
    /// assert_eq!(pace.predict(2_000, Time::ZERO), 2 * second);
    /// assert!(pace.may_load(Time::ZERO));
    /// pace.record_load(1_000, 5 * second, Time::ZERO);
    /// assert!(!pace.may_load(Time::ZERO));
    /// ```
    pub fn predict(&self, checkpoint_mb: u64, now: Time) -> Duration {
        let fresh = self.rate.filter(|(_, at)| now - *at < RATE_VALIDITY);
        let rate = fresh.map_or(OPTIMISTIC_RATE, |(rate, _)| rate);
        Duration::from_secs_f64(to_f64(checkpoint_mb) / rate)
    }

    /// Returns the duration of a load at the last observed rate, regardless of its age.
    pub fn estimate(&self, checkpoint_mb: u64) -> Duration {
        let rate = self.rate.map_or(TYPICAL_RATE, |(rate, _)| rate);
        Duration::from_secs_f64(to_f64(checkpoint_mb) / rate)
    }

    /// Returns whether the next load may start.
    pub fn may_load(&self, now: Time) -> bool {
        self.remaining_pause(now).is_zero()
    }

    /// Returns the remaining time until the next load may start.
    pub fn remaining_pause(&self, now: Time) -> Duration {
        self.next_load
            .map_or(Duration::ZERO, |next| next.remaining(now))
    }

    /// Records a successful load and its duration.
    pub fn record_load(&mut self, checkpoint_mb: u64, took: Duration, now: Time) {
        let took = took.max(Duration::from_millis(1));
        let observed = (to_f64(checkpoint_mb) / took.as_secs_f64()).max(1.0);
        if let Some((rate, _)) = self.rate {
            let predicted = Duration::from_secs_f64(to_f64(checkpoint_mb) / rate);
            if took > predicted * SLOW_FACTOR {
                self.increase_pause();
            } else {
                self.pause = self.pause.saturating_sub(PAUSE_DECREMENT);
            }
        }
        let rate = self.rate.map_or(observed, |(rate, _)| {
            rate + RATE_SMOOTHING * (observed - rate)
        });
        self.rate = Some((rate, now));
        self.next_load = Some(now + self.pause);
    }

    /// Records a failed load.
    pub fn record_failure(&mut self, now: Time) {
        self.increase_pause();
        self.next_load = Some(now + self.pause);
    }

    fn increase_pause(&mut self) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
    }
}

fn to_f64(size: u64) -> f64 {
    // Sizes stay far below 2^32 MiB.
    f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}

//! Predicts load times and paces the loads of an agent. Pure.

use std::time::Duration;

use crate::timer::Time;

/// Load rate that is assumed before a load was observed, in MiB/s. It is high, so that no request
/// is refused because of a load time that nobody has measured.
const ASSUMED_RATE: f64 = 8_192.0;

/// Load rate that break-even counts with before a load was observed, in MiB/s.
const TYPICAL_RATE: f64 = 1_024.0;

/// Time for which an observed rate is believed; a slow store recovers unnoticed otherwise.
const RATE_FOR: Duration = Duration::from_secs(60);

/// Share of a new observation in the rate.
const RATE_SHARE: f64 = 0.3;

/// A load that took this many times its prediction shows that the store is overloaded.
const SLOW_FACTOR: u32 = 2;

/// Pause after the first slow load.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between loads.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Step by which the pause shrinks after a load that was not slow.
const PAUSE_STEP: Duration = Duration::from_millis(500);

/// Load rate and pause between loads of one agent.
#[derive(Debug, Default)]
pub struct Pace {
    rate: Option<(f64, Time)>,
    pause: Duration,
    next: Option<Time>,
}

impl Pace {
    /// Returns the predicted time of a load.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{agent::pace::Pace, timer::Time};
    /// use std::time::Duration;
    ///
    /// let mut pace = Pace::default();
    /// let second = Duration::from_secs(1);
    /// pace.loaded(1_000, second, Time::ZERO);
    /// assert_eq!(pace.predict(2_000, Time::ZERO), 2 * second);
    /// assert!(pace.may_load(Time::ZERO));
    /// pace.loaded(1_000, 5 * second, Time::ZERO);
    /// assert!(!pace.may_load(Time::ZERO));
    /// ```
    pub fn predict(&self, checkpoint_mb: u64, now: Time) -> Duration {
        let fresh = self.rate.filter(|(_, at)| now - *at < RATE_FOR);
        let rate = fresh.map_or(ASSUMED_RATE, |(rate, _)| rate);
        Duration::from_secs_f64(mib(checkpoint_mb) / rate)
    }

    /// Returns the time of a load at the last known rate, however old it is.
    pub fn estimate(&self, checkpoint_mb: u64) -> Duration {
        let rate = self.rate.map_or(TYPICAL_RATE, |(rate, _)| rate);
        Duration::from_secs_f64(mib(checkpoint_mb) / rate)
    }

    /// Returns whether the next load may begin.
    pub fn may_load(&self, now: Time) -> bool {
        self.left(now).is_zero()
    }

    /// Returns the time left until the next load may begin.
    pub fn left(&self, now: Time) -> Duration {
        self.next.map_or(Duration::ZERO, |next| next.remaining(now))
    }

    /// Notes that a load has finished.
    pub fn loaded(&mut self, checkpoint_mb: u64, took: Duration, now: Time) {
        let took = took.max(Duration::from_millis(1));
        let observed = (mib(checkpoint_mb) / took.as_secs_f64()).max(1.0);
        if let Some((rate, _)) = self.rate {
            let predicted = Duration::from_secs_f64(mib(checkpoint_mb) / rate);
            if took > predicted * SLOW_FACTOR {
                self.slow_down();
            } else {
                self.pause = self.pause.saturating_sub(PAUSE_STEP);
            }
        }
        let rate = self
            .rate
            .map_or(observed, |(rate, _)| rate + RATE_SHARE * (observed - rate));
        self.rate = Some((rate, now));
        self.next = Some(now + self.pause);
    }

    /// Notes that a load has failed.
    pub fn failed(&mut self, now: Time) {
        self.slow_down();
        self.next = Some(now + self.pause);
    }

    fn slow_down(&mut self) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
    }
}

fn mib(size: u64) -> f64 {
    // Sizes stay far below 2^32 MiB.
    f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}

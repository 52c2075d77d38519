//! Monotonic time, the time of day, and periodic timers.

use std::{
    ops::{
        Add,
        Sub, //
    },
    thread,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use rustix::time::{
    ClockId,
    clock_gettime, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Milliseconds on a monotonic clock that also advances while the machine is suspended.
///
/// A lease that is checked against this clock therefore expires even if its holder is suspended.
///
/// # Examples
///
/// ```
/// use chestnuthub::timer::Time;
/// use std::time::Duration;
///
/// let start = Time::from_millis(1_000);
/// let later = start + Duration::from_secs(2);
/// assert_eq!(later - start, Duration::from_secs(2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the current time.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
        Self(u64::try_from(millis).unwrap_or(0))
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time that was `duration` earlier, at the earliest the start of the clock.
    pub fn before(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }

    /// Returns the remaining time until `self`, or zero if it has passed.
    pub fn remaining(self, now: Self) -> Duration {
        self - now
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Spawns a thread that calls `tick` every `period` until `tick` returns false.
///
/// # Errors
///
/// Returns the operating system's error if the thread can't be started.
pub fn spawn_periodic<F>(name: &str, period: Duration, mut tick: F) -> std::io::Result<()>
where
    F: FnMut(Time) -> bool + Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            while tick(Time::now()) {
                thread::sleep(period);
            }
        })
        .map(drop)
}

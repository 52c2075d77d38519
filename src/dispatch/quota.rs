//! The share of one process in the limit that a server names on the requests of all processes.

use std::time::Duration;

use fastrand::Rng;

use super::RequestRate;
use crate::timer::Time;

/// Window in which a server counts the requests of all processes.
const WINDOW: Duration = Duration::from_secs(4);

/// Multiple of its limit that a server tolerates in a window, and the number of requests that it
/// tolerates in addition.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_EXCESS: f64 = 5.0;

/// Tolerated requests that are left unused, for a process that is not counted yet.
const RESERVE: f64 = 1.0;

/// Requests beyond one second's that all processes together may keep for a burst.
const TOTAL_BURST: f64 = 4.0;

/// Fraction of the limit that is used by turns. Turns of several processes fall together by chance.
const TURN_FRACTION: f64 = 0.6;

/// Time within which a turn is taken, or lapses.
const TURN_LENGTH: Duration = Duration::from_millis(1_000);

/// Maximum time after which a client is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The limit that a server names, and the processes that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Limit on the requests of all processes.
    pub limit: RequestRate,
    /// Number of processes.
    pub processes: u32,
}

impl Share {
    /// Returns the number of processes.
    fn count(&self) -> f64 {
        f64::from(self.processes.max(1))
    }

    /// Returns the number of requests that this process may keep for a burst.
    fn burst(&self) -> f64 {
        ((self.limit.per_s() + TOTAL_BURST) / self.count()).max(1.0)
    }

    /// Returns whether processes send in turns, because together they would exceed what the server
    /// tolerates in a window if each kept one request for a burst.
    fn has_turns(&self) -> bool {
        let in_window = self.limit.per_s() * WINDOW.as_secs_f64();
        let most = (self.burst() + in_window / self.count()).floor() * self.count();
        most > TOLERATED_FACTOR * in_window + TOLERATED_EXCESS - RESERVE
    }

    /// Returns the mean time between the requests of this process.
    fn interval(&self) -> Duration {
        let fraction = if self.has_turns() { TURN_FRACTION } else { 1.0 };
        let per_s = fraction * self.limit.per_s() / self.count();
        Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(Duration::MAX)
    }
}

/// The share of one process in a server's limit.
///
/// Each process may send at an equal share of the rate. If every process may have one request in a
/// burst without exceeding the limit, unused requests are kept for a burst. Otherwise each process
/// has one turn at a random time in each of its intervals, which lapses if it is not taken: kept
/// requests of many processes would be sent together. Nothing is exchanged beyond the number of
/// processes, so the share holds while a process is cut off; if the number is out of date, it should
/// rather be too large.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::{Quota, RequestRate, Share};
/// use chestnuthub::timer::Time;
///
/// let limit = RequestRate::from_per_s(2.0).unwrap();
/// let share = Share { limit, processes: 4 };
/// let start = Time::from_millis(10_000);
/// let mut quota = Quota::new(share, start, 7);
/// // Four processes at 2 requests per second have one request every 2 s each.
/// assert_eq!(quota.wait(start).as_millis(), 2_000);
/// let later = Time::from_millis(12_000);
/// assert!(quota.try_send(later));
/// assert!(!quota.try_send(later));
/// ```
#[derive(Debug)]
pub struct Quota {
    share: Share,
    /// Requests that may be sent, at `updated_at`.
    tokens: f64,
    updated_at: Time,
    turn: Turn,
    rng: Rng,
    /// Time for which the latest refused client was told to return.
    promised_until: Time,
}

/// A time within which one request may be sent.
#[derive(Debug, Clone, Copy)]
struct Turn {
    begins_at: Time,
    /// End of the interval that this turn belongs to.
    interval_end: Time,
    is_taken: bool,
}

impl Quota {
    /// Creates the quota of a process that may send nothing yet. `seed` should differ between
    /// processes and servers.
    pub fn new(share: Share, now: Time, seed: u64) -> Self {
        let mut quota = Self {
            share,
            tokens: 0.0,
            updated_at: now,
            turn: Turn {
                begins_at: now,
                interval_end: now,
                is_taken: true,
            },
            rng: Rng::with_seed(seed),
            promised_until: now,
        };
        quota.draw_turn(now);
        quota
    }

    /// Replaces the share after a change of the limit or of the number of processes.
    pub fn set_share(&mut self, share: Share, now: Time) {
        if self.share == share {
            return;
        }
        self.refill(now);
        let had_turns = self.share.has_turns();
        self.share = share;
        self.tokens = self.tokens.min(share.burst());
        if self.share.has_turns() != had_turns {
            self.tokens = 0.0;
        }
        self.draw_turn(now);
    }

    /// Returns the limit that is shared.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the time until a request may be sent; zero if one may be sent now. A turn may lapse
    /// before it is taken.
    pub fn wait(&mut self, now: Time) -> Duration {
        self.refill(now);
        if self.share.has_turns() {
            return self.wait_for_turn(now);
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let wait_s = self.share.interval().as_secs_f64() * missing;
        // Rounded up to whole milliseconds, the resolution of the clock.
        Duration::try_from_secs_f64((wait_s * 1_000.0).ceil() / 1_000.0).unwrap_or(Duration::MAX)
    }

    /// Returns whether a request may be sent now, and counts it if it may.
    pub fn try_send(&mut self, now: Time) -> bool {
        let is_allowed = self.wait(now).is_zero();
        if is_allowed {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.turn.is_taken = true;
        }
        is_allowed
    }

    /// Returns the time after which a refused client may return. Each call reserves the time for one
    /// client, so that not all return at once.
    pub fn reserve_return(&mut self, now: Time) -> Duration {
        let earliest = now + self.wait(now).min(MAX_RETRY_AFTER);
        let returns_at = self.promised_until.max(earliest);
        let interval = self.share.interval().min(MAX_RETRY_AFTER);
        let latest = now + MAX_RETRY_AFTER;
        self.promised_until = (returns_at + interval).min(latest);
        returns_at.min(latest) - now
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now - self.updated_at;
        self.updated_at = self.updated_at.max(now);
        let gained = elapsed.as_secs_f64() / self.share.interval().as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.share.burst());
    }

    fn wait_for_turn(&mut self, now: Time) -> Duration {
        if now >= self.turn.interval_end {
            self.draw_turn(now);
        }
        let lapses_at = self.turn.begins_at + TURN_LENGTH;
        if !self.turn.is_taken && now < lapses_at {
            return self.turn.begins_at.remaining(now);
        }
        // The next turn is at a random time of the next interval.
        self.turn.interval_end.remaining(now) + self.share.interval() / 2
    }

    /// Draws the turn of an interval that begins now.
    fn draw_turn(&mut self, now: Time) {
        let interval = self.share.interval().min(Duration::from_secs(86_400));
        let latest = interval.saturating_sub(TURN_LENGTH);
        self.turn = Turn {
            begins_at: now + latest.mul_f64(self.rng.f64()),
            interval_end: now + interval,
            is_taken: false,
        };
    }
}

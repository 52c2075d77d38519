//! Timeouts and pauses of the reads by which a process follows the configuration.

use std::time::Duration;

// The times of one disruption follow one another: a waiting read that gets no response, a read that
// is lost as well, the pause after it and the read that succeeds. As fractions of the time within
// which all bounds must hold again, they add up to less than 1.

/// Fraction of that time for which a read waits for a new configuration.
const WAIT_FRACTION: f64 = 0.5;

/// Fraction of that time within which a response must begin, in addition to the wait.
const RESPONSE_FRACTION: f64 = 0.125;

/// Fraction of that time that is the maximum pause after a failed read.
const MAX_PAUSE_FRACTION: f64 = 0.125;

/// Fraction of that time up to which the timeout of a read without wait grows if the store is slow.
const MAX_RESPONSE_FRACTION: f64 = 0.375;

/// Pause after the second failed read in a row; the first one is repeated at once. It doubles with
/// each further failure, because refused reads are charged for as well.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of doublings of the pause and of the timeout.
const MAX_DOUBLINGS: u32 = 8;

/// One read of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// Maximum time for which the store waits for a new configuration.
    pub wait: Duration,
    /// Timeout for the store to begin its response, including the wait.
    pub timeout: Duration,
}

/// Chooses the timeouts of reads and the pauses between failed ones.
///
/// After a failure, reads do not wait for a new configuration until the store has responded again: a
/// waiting read can't tell a store without news from one that does not respond.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use chestnuthub::watch::Pace;
///
/// let mut pace = Pace::new(Duration::from_secs(4));
/// assert_eq!(pace.next(true).wait, Duration::from_secs(2));
/// assert_eq!(pace.record_failure(), Duration::ZERO);
/// assert_eq!(pace.next(true).wait, Duration::ZERO);
/// ```
#[derive(Debug)]
pub struct Pace {
    /// Time from the end of a disruption until all bounds hold again.
    settled_after: Duration,
    /// Failed reads in a row.
    failures: u32,
}

impl Pace {
    /// Creates the pace of a process that has read nothing yet.
    pub fn new(settled_after: Duration) -> Self {
        Self {
            settled_after,
            failures: 0,
        }
    }

    /// Returns the next read. A read can wait only if it starts at a known offset.
    pub fn next(&self, has_offset: bool) -> Read {
        let response = self.settled_after.mul_f64(RESPONSE_FRACTION);
        if has_offset && self.failures == 0 {
            let wait = self.settled_after.mul_f64(WAIT_FRACTION);
            return Read {
                wait,
                timeout: wait + response,
            };
        }
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let maximum = self.settled_after.mul_f64(MAX_RESPONSE_FRACTION);
        Read {
            wait: Duration::ZERO,
            timeout: (response * 2_u32.pow(doublings)).min(maximum),
        }
    }

    /// Records a response.
    pub fn record_response(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read and returns the pause before the next one.
    pub fn record_failure(&mut self) -> Duration {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            return Duration::ZERO;
        }
        let doublings = (self.failures - 2).min(MAX_DOUBLINGS);
        let maximum = self.settled_after.mul_f64(MAX_PAUSE_FRACTION);
        (MIN_PAUSE * 2_u32.pow(doublings)).min(maximum)
    }
}

//! Timeouts and pauses of the reads by which a process follows the configuration.

use std::time::Duration;

/// Timeout for the store to begin its response to a read that waits for nothing.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a response to a waiting read may take in addition to the wait.
const WAIT_MARGIN: Duration = Duration::from_millis(500);

/// Time reserved, before all bounds must hold again after a disruption, to time out and repeat a
/// read that got no response.
const REPEAT_MARGIN: Duration = Duration::from_millis(1_000);

/// Minimum time for which a read waits for a new configuration.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Pause after the first failed read. It doubles with each further failure up to [`MAX_PAUSE`],
/// because refused reads are charged for as well.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause after a failed read.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Number of doublings after which the pause exceeds [`MAX_PAUSE`].
const MAX_DOUBLINGS: u32 = 4;

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
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use chestnuthub::watch::Pace;
///
/// let mut pace = Pace::new(Duration::from_secs(4));
/// assert!(pace.next(true).timeout < Duration::from_secs(4));
/// assert!(!pace.record_failure().is_zero());
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
        if !has_offset {
            return Read {
                wait: Duration::ZERO,
                timeout: RESPONSE_TIMEOUT,
            };
        }
        let wait = self.settled_after.saturating_sub(REPEAT_MARGIN);
        let wait = wait.max(MIN_WAIT);
        Read {
            wait,
            timeout: wait + WAIT_MARGIN,
        }
    }

    /// Records a response.
    pub fn record_response(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read and returns the pause before the next one.
    pub fn record_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        (MIN_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE)
    }
}

//! The retry budget: limits retries to a small fraction of the requests, so that retries don't
//! multiply the load.

use std::time::Duration;

use crate::timer::Time;

/// Length of one bucket of the sliding window.
const BUCKET_LENGTH: Duration = Duration::from_secs(1);

/// Number of buckets in the sliding window.
const BUCKETS: usize = 10;

/// Maximum number of retries in the window, as a fraction of the requests in it.
const MAX_RETRY_FRACTION: f64 = 0.1;

/// Number of retries that are always allowed in the window, one per second.
const MIN_RETRIES: u32 = BUCKETS as u32;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts of requests and retries in a sliding window.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: [Bucket; BUCKETS],
}

impl Budget {
    /// Records a request at `now`.
    pub fn record_request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Returns whether the budget allows a retry at `now`, and records the retry if it does.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{entry::budget::Budget, timer::Time};
    ///
    /// let mut budget = Budget::default();
    /// let allowed = (0..100).filter(|_| budget.try_retry(Time::ZERO)).count();
    /// assert_eq!(allowed, 10);
    /// ```
    pub fn try_retry(&mut self, now: Time) -> bool {
        let newest = bucket_number(now);
        let window = BUCKETS as u64;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + window > newest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let allowed = u32::max(
            MIN_RETRIES,
            (f64::from(requests) * MAX_RETRY_FRACTION) as u32,
        );
        if retries >= allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let number = bucket_number(now);
        let index = (number % BUCKETS as u64) as usize;
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

fn bucket_number(now: Time) -> u64 {
    now.as_millis() / BUCKET_LENGTH.as_millis() as u64
}

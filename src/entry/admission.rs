//! Admission control: limits the rate and the requests in flight of each institution and target.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::{
    catalogue::Access,
    id,
    timer::Time, //
};

/// Period whose requests at the permitted rate may arrive in one burst.
const BURST_PERIOD: Duration = Duration::from_secs(1);

/// Retry time sent to a client that has too many requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The share of one entry in the limits of an institution and target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Maximum request rate, per second.
    pub requests_per_s: f64,
    /// Maximum number of requests in flight.
    pub max_in_flight: u32,
}

impl Share {
    /// Returns the share of each entry when there are `entries` of them.
    ///
    /// Every entry may have at least one request in flight unless the limit is 0, since the load
    /// balancer may send a client's only request to any of them.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{catalogue::Access, entry::admission::Share};
    ///
    /// let access = Access {
    ///     institution: "cascade".into(),
    ///     target: "gear-check".to_owned(),
    ///     max_in_flight: 12,
    ///     max_queue: 4,
    ///     requests_per_s: 3.0,
    ///     priority: 0,
    /// };
    /// assert_eq!(Share::of(&access, 3).max_in_flight, 4);
    /// assert_eq!(Share::of(&access, 330).max_in_flight, 1);
    /// ```
    pub fn of(access: &Access, entries: usize) -> Self {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        Self {
            requests_per_s: access.requests_per_s / f64::from(entries),
            max_in_flight: match access.max_in_flight {
                0 => 0,
                total => u32::max(1, total / entries),
            },
        }
    }

    fn burst(&self) -> f64 {
        f64::max(1.0, self.requests_per_s * BURST_PERIOD.as_secs_f64())
    }
}

/// Why a request was not admitted, with the time after which the client may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request rate is above the limit.
    Rate(Duration),
    /// Too many requests are in flight.
    InFlight(Duration),
}

/// Institution and name of the target, which is a model or service.
pub type Key = (id::Institution, String);

#[derive(Debug)]
struct Usage {
    tokens: f64,
    refilled_at: Time,
    in_flight: u32,
}

/// Tracks the requests that this entry has admitted.
///
/// A token bucket for each institution and target limits the request rate.
#[derive(Debug, Default)]
pub struct Admission {
    usages: HashMap<Key, Usage>,
}

impl Admission {
    /// Admits a request that arrives at `now` if it is within `share`.
    ///
    /// An admitted request counts as in flight until `release` is called.
    ///
    /// # Errors
    ///
    /// `Rejection` if `share` is used up.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{
    ///     entry::admission::{Admission, Rejection, Share},
    ///     timer::Time,
    /// };
    /// use std::time::Duration;
    ///
    /// let share = Share { requests_per_s: 0.5, max_in_flight: 9 };
    /// let key = ("cascade".into(), "gear-check".to_owned());
    /// let mut admission = Admission::default();
    /// assert_eq!(admission.admit(&key, share, Time::ZERO), Ok(()));
    /// let refused = admission.admit(&key, share, Time::ZERO);
    /// assert_eq!(refused, Err(Rejection::Rate(Duration::from_secs(2))));
    /// ```
    pub fn admit(&mut self, key: &Key, share: Share, now: Time) -> Result<(), Rejection> {
        let burst = share.burst();
        let usage = self.usages.entry(key.clone()).or_insert(Usage {
            tokens: burst,
            refilled_at: now,
            in_flight: 0,
        });
        let elapsed = (now - usage.refilled_at).as_secs_f64();
        usage.refilled_at = usage.refilled_at.max(now);
        usage.tokens = f64::min(burst, usage.tokens + elapsed * share.requests_per_s);
        if usage.in_flight >= share.max_in_flight {
            return Err(Rejection::InFlight(IN_FLIGHT_RETRY_AFTER));
        }
        if usage.tokens < 1.0 {
            return Err(Rejection::Rate(time_to_token(usage.tokens, share)));
        }
        usage.tokens -= 1.0;
        usage.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn release(&mut self, key: &Key) {
        if let Some(usage) = self.usages.get_mut(key) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Removes the state of institutions and targets that are not `listed` and have no requests in
    /// flight.
    pub fn retain(&mut self, listed: impl Fn(&Key) -> bool) {
        self.usages
            .retain(|key, usage| usage.in_flight > 0 || listed(key));
    }
}

/// Maximum retry time sent to a client.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

/// Returns the time until the token bucket holds one token.
fn time_to_token(tokens: f64, share: Share) -> Duration {
    let seconds = (1.0 - tokens) / share.requests_per_s;
    Duration::try_from_secs_f64(seconds).map_or(MAX_RETRY_AFTER, |delay| delay.min(MAX_RETRY_AFTER))
}

//! A rate of requests.

use serde::{
    Deserialize,
    Serialize, //
};

/// Requests per second in units of a thousandth, so that rates can be compared for equality.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::RequestRate;
///
/// assert_eq!(RequestRate::from_per_s(2.5).map(RequestRate::per_s), Some(2.5));
/// assert_eq!(RequestRate::from_per_s(-1.0), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Creates a rate; returns `None` unless `per_s` is a number from 0 to a few million.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let milli = per_s * 1_000.0;
        let is_valid = (0.0..=f64::from(u32::MAX)).contains(&milli);
        // Rounded down: less than the limit is safe.
        is_valid.then_some(Self(milli as u32))
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

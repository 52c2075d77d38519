//! Which part of all gateways a hub hears of.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::timer::Time;

/// Time after which the gateways of a hub that fell silent no longer count.
const RETENTION: Duration = Duration::from_secs(20);

/// Time for which gateways that are heard of again still count as missing, until their use is known.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The number of gateways that a hub hears of, over its own connections and from other hubs, and of
/// those that it no longer hears of because a hub fell silent.
///
/// A gateway that closes its connection has ended. One that falls silent, or whose hub does, may go on
/// behind a cut; if it appears at another hub, it is heard of again.
///
/// # Examples
///
/// ```
/// use chestnuthub::hub::Hearing;
/// use chestnuthub::timer::Time;
///
/// let now = Time::from_millis(1_000);
/// let mut hearing = Hearing::default();
/// hearing.set("own", 3, now);
/// hearing.set("s7", 1, now);
/// assert_eq!(hearing.fraction(now), 1.0);
/// hearing.lose("s7", now);
/// assert_eq!(hearing.fraction(now), 0.75);
/// ```
#[derive(Debug, Default)]
pub struct Hearing {
    /// Number of gateways by hub.
    heard: BTreeMap<String, u32>,
    missing: u32,
    /// When a hub last fell silent.
    lost_at: Option<Time>,
    /// The number that was missing until gateways were heard of again, and when that was.
    found: Option<(u32, Time)>,
}

impl Hearing {
    /// Records the number of gateways that are connected to a hub.
    pub fn set(&mut self, hub: &str, gateways: u32, now: Time) {
        let before = self.heard.insert(hub.to_owned(), gateways);
        let gained = gateways.saturating_sub(before.unwrap_or_default());
        self.expire(now);
        if gained > 0 && self.missing > 0 {
            let former = self.found.map_or(0, |(missing, _)| missing);
            self.found = Some((former.max(self.missing), now));
            self.missing = self.missing.saturating_sub(gained);
        }
    }

    /// Records that a hub has ended; its gateways go to others.
    pub fn remove(&mut self, hub: &str) {
        self.heard.remove(hub);
    }

    /// Records that a hub fell silent.
    pub fn lose(&mut self, hub: &str, now: Time) {
        let gateways = self.heard.remove(hub).unwrap_or_default();
        self.miss(gateways, now);
    }

    /// Records that gateways fell silent.
    pub fn miss(&mut self, gateways: u32, now: Time) {
        if gateways > 0 {
            self.expire(now);
            self.missing += gateways;
            self.lost_at = Some(now);
        }
    }

    /// Returns the part of all gateways that is heard of.
    pub fn fraction(&mut self, now: Time) -> f64 {
        self.expire(now);
        let heard = f64::from(self.heard.values().sum::<u32>());
        let found = self.found.map_or(0, |(missing, _)| missing);
        let missing = f64::from(self.missing.max(found));
        if heard > 0.0 {
            heard / (heard + missing)
        } else {
            1.0
        }
    }

    fn expire(&mut self, now: Time) {
        if self.lost_at.is_some_and(|at| now - at > RETENTION) {
            self.missing = 0;
            self.lost_at = None;
        }
        self.found = self.found.filter(|(_, at)| now - *at <= SETTLING_TIME);
    }
}

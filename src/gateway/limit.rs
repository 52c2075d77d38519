//! The limit that a server names on the requests of all gateways, and this gateway's share of it.

use std::time::Duration;

use crate::{
    dispatch::{
        Quota,
        RequestRate,
        Share, //
    },
    timer::Time,
};

/// Time for which the largest known number of gateways counts. Gateways that change their hub are
/// missing from the number for a moment.
const COUNT_HOLD_TIME: Duration = Duration::from_secs(10);

/// Number of gateways that is assumed where no loader reports one.
const UNKNOWN_COUNT: u32 = 64;

/// Time after the start of the process within which loaders report the number of gateways.
const START_TIME: Duration = Duration::from_millis(3_000);

/// Number of gateways that is assumed in that time.
const START_COUNT: u32 = 2;

/// Number of gateways that share the limits of servers and the retry budget.
#[derive(Debug, Clone, Copy)]
pub(super) struct Gateways {
    started_at: Time,
    /// The largest number within [`COUNT_HOLD_TIME`], and when it was known.
    largest: Option<(u32, Time)>,
}

impl Default for Gateways {
    fn default() -> Self {
        Self {
            started_at: Time::now(),
            largest: None,
        }
    }
}

impl Gateways {
    /// Records a number of gateways that a loader has reported.
    pub(super) fn record(&mut self, count: u32, now: Time) {
        let is_outdated =
            |(largest, at): (u32, Time)| count >= largest || now - at > COUNT_HOLD_TIME;
        if count > 0 && self.largest.is_none_or(is_outdated) {
            self.largest = Some((count, now));
        }
    }

    /// Returns the number of gateways, or a large one while it is not known.
    pub(super) fn known_or_assumed(&self) -> u32 {
        self.largest.map_or(UNKNOWN_COUNT, |(count, _)| count)
    }

    /// Returns the number of gateways that share limits and the retry budget.
    pub(super) fn count(&self, now: Time) -> u32 {
        match self.largest {
            Some((count, _)) => count,
            None if now - self.started_at < START_TIME => START_COUNT,
            None => UNKNOWN_COUNT,
        }
    }
}

/// What is known of a server's limit.
#[derive(Debug, Default)]
pub(super) struct Limit {
    /// Limit that the server named in its latest response to this gateway.
    named: Option<RequestRate>,
    /// Limit that the server's loader reports.
    reported: Option<RequestRate>,
    /// This gateway's share, while there is a limit.
    quota: Option<Quota>,
}

impl Limit {
    /// Records the limit that the server named in a response; returns whether it is new.
    pub(super) fn set_named(&mut self, limit: Option<RequestRate>) -> bool {
        let is_new = self.named != limit;
        self.named = limit;
        self.remove_unused_quota();
        is_new
    }

    /// Records the limit that the server's loader reports.
    pub(super) fn set_reported(&mut self, limit: Option<RequestRate>) {
        self.reported = limit;
        self.remove_unused_quota();
    }

    /// Returns the lowest limit that is in force.
    pub(super) fn get(&self) -> Option<RequestRate> {
        let known = [self.named, self.reported].into_iter();
        known.flatten().min()
    }

    fn remove_unused_quota(&mut self) {
        if self.get().is_none() {
            self.quota = None;
        }
    }

    fn quota(&mut self, gateways: Gateways, now: Time) -> Option<&mut Quota> {
        let share = Share {
            limit: self.get()?,
            processes: gateways.count(now),
        };
        let quota = self
            .quota
            .get_or_insert_with(|| Quota::new(share, now, fastrand::u64(..)));
        quota.set_share(share, now);
        Some(quota)
    }

    /// Returns the time until a request may be sent; zero if one may be sent now.
    pub(super) fn wait(&mut self, gateways: Gateways, now: Time) -> Duration {
        let quota = self.quota(gateways, now);
        quota.map_or(Duration::ZERO, |quota| quota.wait(now))
    }

    /// Returns whether a request may be sent now, and counts it if it may.
    pub(super) fn try_send(&mut self, gateways: Gateways, now: Time) -> bool {
        let quota = self.quota(gateways, now);
        quota.is_none_or(|quota| quota.try_send(now))
    }

    /// Returns the time after which a refused client may return.
    pub(super) fn reserve_return(&mut self, gateways: Gateways, now: Time) -> Duration {
        let quota = self.quota(gateways, now);
        quota.map_or(Duration::ZERO, |quota| quota.reserve_return(now))
    }
}

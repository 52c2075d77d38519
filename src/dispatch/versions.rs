//! Software versions of the servers of each service.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    link::ORIGIN_RETENTION,
    timer::Time, //
};

/// When servers of a software version were listed.
#[derive(Debug, Clone, Copy)]
struct Listed {
    /// First time; the start of the clock for versions that served before this process.
    first: Time,
    last: Time,
}

/// Software versions of the servers of each service.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::Versions;
/// use chestnuthub::timer::Time;
///
/// let now = Time::from_millis(5_000);
/// let versions = Versions::default();
/// assert!(versions.record("llm", "v1", now));
/// assert!(!versions.are_several("llm", now));
/// versions.record("llm", "v2", now);
/// assert!(versions.are_several("llm", now));
/// ```
#[derive(Debug, Default)]
pub struct Versions {
    services: RefCell<BTreeMap<String, BTreeMap<String, Listed>>>,
}

impl Versions {
    /// Records that a server of a version is on a list that was read at `now`; returns whether the
    /// version was not known. Versions of the first list served before.
    pub fn record(&self, service: &str, version: &str, now: Time) -> bool {
        let mut services = self.services.borrow_mut();
        let versions = services.entry(service.to_owned()).or_default();
        let is_first_list = versions
            .values()
            .all(|listed| listed.first == Time::ZERO && listed.last == now);
        if let Some(listed) = versions.get_mut(version) {
            listed.last = now;
            return false;
        }
        let listed = Listed {
            first: if is_first_list { Time::ZERO } else { now },
            last: now,
        };
        versions.insert(version.to_owned(), listed);
        true
    }

    /// Returns whether servers of several software versions of a service serve, or served within the
    /// time for which a stream may be taken up again.
    pub fn are_several(&self, service: &str, now: Time) -> bool {
        self.recent(service, now).len() > 1
    }

    /// Returns the software version of a service, unless [`Self::are_several`] holds.
    pub fn single(&self, service: &str, now: Time) -> Option<String> {
        let mut recent = self.recent(service, now);
        recent.pop().filter(|_| recent.is_empty())
    }

    fn recent(&self, service: &str, now: Time) -> Vec<String> {
        let services = self.services.borrow();
        let versions = services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, listed)| now - listed.last < ORIGIN_RETENTION);
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns whether [`Self::are_several`] holds for any service.
    pub fn any_are_several(&self, now: Time) -> bool {
        let services = self.services.borrow();
        services
            .keys()
            .any(|service| self.are_several(service, now))
    }

    /// Returns whether a version has been listed for less than `period`. Other gateways may not know
    /// of it yet, and would take its streams for those of the version that they know.
    pub fn is_new(&self, service: &str, version: &str, period: Duration, now: Time) -> bool {
        let services = self.services.borrow();
        let versions = services.get(service);
        let listed = versions.and_then(|versions| versions.get(version));
        listed.is_some_and(|listed| now - listed.first < period)
    }
}

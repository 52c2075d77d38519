//! Software versions of the servers of each service.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    link::{
        History,
        Listed,
        ORIGIN_RETENTION, //
    },
    timer::Time, //
};

/// Longest time between two lists of servers that were read, or heard of, after which the process
/// still counts as having followed them. A version comes, serves and leaves again in more.
const MAX_GAP: Duration = Duration::from_secs(20);

/// A software version whose streams may be taken up.
#[derive(Debug, Clone, Copy)]
struct Known {
    /// When it was first listed; the start of the clock for versions that served before this process,
    /// `None` for one that only other processes have read of.
    first: Option<Time>,
    /// Time after which no stream of it is taken up, unless it is listed again.
    until: Time,
}

/// Software versions of the servers of each service, and whether these are all that served lately.
///
/// A process that has just started knows what is listed, not what left before. It learns that from
/// others ([`Self::learn`]), knows it from the start if the system has just started for the first
/// time ([`Self::begin`]), or else once it has followed the list for the retention of origins.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::Versions;
/// use chestnuthub::timer::Time;
///
/// let now = Time::from_millis(5_000);
/// let versions = Versions::default();
/// versions.record_list(now);
/// assert!(versions.record("llm", "v1", now));
/// assert!(!versions.are_several("llm", now));
/// assert!(!versions.is_complete(now));
/// versions.record("llm", "v2", now);
/// assert!(versions.are_several("llm", now));
///
/// let restarted = Versions::default();
/// restarted.learn(&versions.history(now).unwrap(), now);
/// assert!(restarted.are_several("llm", now));
/// ```
#[derive(Debug, Default)]
pub struct Versions {
    services: RefCell<BTreeMap<String, BTreeMap<String, Known>>>,
    /// When a list was last read, or heard of from another process.
    listed_at: Cell<Option<Time>>,
    /// Time from which on no version is unknown that served within the retention of origins.
    complete_at: Cell<Option<Time>>,
    /// Number of changes that other processes are told.
    edition: Cell<u64>,
}

impl Versions {
    /// Records that the system starts for the first time: no stream began before.
    pub fn begin(&self) {
        self.complete_at.set(Some(Time::ZERO));
    }

    /// Records that a list of servers was read at `now`. [`Self::record`] says what it contains.
    pub fn record_list(&self, now: Time) {
        let is_followed = match self.listed_at.replace(Some(now)) {
            Some(before) => now - before <= MAX_GAP,
            None => self.complete_at.get().is_some(),
        };
        if !is_followed {
            self.complete_at.set(Some(now + ORIGIN_RETENTION));
        }
        for versions in self.services.borrow_mut().values_mut() {
            versions.retain(|_, known| known.until > now);
        }
    }

    /// Records that a server of a version is on the list of servers; returns whether the version was
    /// not listed before. Versions of the first list of a service served before.
    pub fn record(&self, service: &str, version: &str, now: Time) -> bool {
        let until = now + ORIGIN_RETENTION;
        let mut services = self.services.borrow_mut();
        let versions = services.entry(service.to_owned()).or_default();
        let is_first_list = versions
            .values()
            .filter(|known| known.first.is_some())
            .all(|known| known.first == Some(Time::ZERO) && known.until == until);
        let former = versions.get(version).copied();
        let listed = former.and_then(|known| known.first);
        let first = listed.unwrap_or(if is_first_list { Time::ZERO } else { now });
        let first = Some(first);
        versions.insert(version.to_owned(), Known { first, until });
        self.edition
            .set(self.edition.get() + u64::from(former.is_none()));
        listed.is_none()
    }

    /// Takes over what another process has seen.
    pub fn learn(&self, history: &History, now: Time) {
        let after = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let mut is_news = false;
        for listed in &history.versions {
            let mut services = self.services.borrow_mut();
            let versions = services.entry(listed.service.clone()).or_default();
            let known = versions.entry(listed.version.clone()).or_insert_with(|| {
                is_news = true;
                Known {
                    first: None,
                    until: now,
                }
            });
            known.until = known.until.max(after(listed.remaining_ms));
        }
        let complete_at = after(history.incomplete_ms);
        if self.complete_at.get().is_none_or(|at| complete_at < at) {
            self.complete_at.set(Some(complete_at));
            is_news = true;
        }
        self.listed_at.set(self.listed_at.get().max(Some(now)));
        self.edition.set(self.edition.get() + u64::from(is_news));
    }

    /// Returns what to tell other processes, once there is anything.
    pub fn history(&self, now: Time) -> Option<History> {
        let incomplete = self.complete_at.get()?.remaining(now);
        let services = self.services.borrow();
        let versions = services.iter().flat_map(|(service, versions)| {
            let recent = versions.iter().filter(|(_, known)| known.until > now);
            recent.map(|(version, known)| Listed {
                service: service.clone(),
                version: version.clone(),
                remaining_ms: millis(known.until.remaining(now)),
            })
        });
        Some(History {
            incomplete_ms: millis(incomplete),
            versions: versions.collect(),
        })
    }

    /// Returns [`Self::history`] if it has changed since `told`, the edition that a connection has
    /// been told, and advances that.
    pub fn news(&self, told: &mut u64, now: Time) -> Option<History> {
        let edition = self.edition.get() + 1;
        if *told == edition {
            return None;
        }
        let history = self.history(now)?;
        *told = edition;
        Some(history)
    }

    /// Returns whether each version is known that served within the time for which a stream may be
    /// taken up again.
    pub fn is_complete(&self, now: Time) -> bool {
        self.incomplete_for(now).is_zero()
    }

    /// Returns the time after which [`Self::is_complete`] holds, if no other process says more.
    pub fn incomplete_for(&self, now: Time) -> Duration {
        let complete_at = self.complete_at.get();
        complete_at.map_or(ORIGIN_RETENTION, |at| at.remaining(now))
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
        let recent = versions.filter(|(_, known)| known.until > now);
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
        let known = versions.and_then(|versions| versions.get(version));
        let first = known.and_then(|known| known.first);
        first.is_some_and(|first| now - first < period)
    }
}

/// Returns a time in whole milliseconds, rounded up: a version is remembered rather too long.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

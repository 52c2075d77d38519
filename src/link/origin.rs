//! Which software version began a stream.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    hash::Hasher,
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use siphasher::sip::SipHasher13;

use crate::timer::Time;

/// Time for which the origin of a stream is kept; clients take up streams within their time budget.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of origins in one message, which has a maximum size.
const MAX_BATCH: usize = 2_048;

/// The software version of the server that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Digest of the id of the request that began the stream.
    pub stream: u64,
    /// Digest of the software version.
    pub version: u64,
}

/// Returns the digest of a request's id or of a software version.
///
/// # Examples
///
/// ```
/// use chestnuthub::link;
///
/// assert_ne!(link::digest("v1"), link::digest("v2"));
/// ```
pub fn digest(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The origins of the streams that began lately.
///
/// # Examples
///
/// ```
/// use chestnuthub::link::{Origin, Origins};
/// use chestnuthub::timer::Time;
///
/// let mut origins = Origins::default();
/// origins.record(Origin { stream: 7, version: 1 }, Time::from_millis(0));
/// assert_eq!(origins.version(7), Some(1));
/// let (new, position) = origins.since(0);
/// assert_eq!(new.len(), 1);
/// assert!(origins.since(position).0.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Origins {
    versions: BTreeMap<u64, u64>,
    /// The origins in the order in which they were recorded, with the times.
    recorded: VecDeque<(Time, Origin)>,
    /// Number of origins that have been removed from the front of `recorded`.
    removed: u64,
}

impl Origins {
    /// Records the origin of a stream, unless one is known: a stream has one origin.
    pub fn record(&mut self, origin: Origin, now: Time) {
        self.expire(now);
        if self.versions.contains_key(&origin.stream) {
            return;
        }
        self.versions.insert(origin.stream, origin.version);
        self.recorded.push_back((now, origin));
    }

    /// Returns the digest of the software version that began a stream.
    pub fn version(&self, stream: u64) -> Option<u64> {
        self.versions.get(&stream).copied()
    }

    /// Returns origins that were recorded from this position on, as many as a message may contain,
    /// and the next position.
    pub fn since(&self, position: u64) -> (Vec<Origin>, u64) {
        let skipped = position.saturating_sub(self.removed) as usize;
        let new = self.recorded.iter().skip(skipped).take(MAX_BATCH);
        let new: Vec<_> = new.map(|(_, origin)| *origin).collect();
        let next = position.max(self.removed) + new.len() as u64;
        (new, next)
    }

    /// Returns whether origins were recorded from this position on.
    pub fn has_new(&self, position: u64) -> bool {
        position < self.removed + self.recorded.len() as u64
    }

    /// Returns whether a stream began within the time for which its client may take it up.
    pub fn has_recent(&self, now: Time) -> bool {
        let newest = self.recorded.back();
        newest.is_some_and(|(at, _)| now - *at <= RETENTION)
    }

    /// Returns the number of origins that are kept.
    pub fn len(&self) -> usize {
        self.recorded.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.recorded.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, origin)) = self.recorded.front()
            && now - *at > RETENTION
        {
            self.versions.remove(&origin.stream);
            self.recorded.pop_front();
            self.removed += 1;
        }
    }
}

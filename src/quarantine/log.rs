//! The facts that a process has to tell on each of its connections.

use std::collections::VecDeque;

use super::{
    Fact,
    evidence::RETENTION, //
};
use crate::timer::Time;

/// Maximum number of facts that are kept.
const MAX_FACTS: usize = 512;

/// Maximum number of facts in one message, which has a maximum size.
const MAX_BATCH: usize = 8;

/// Facts in the order in which they became known. Each connection is sent all of them, from its own
/// position on.
///
/// # Examples
///
/// ```
/// use chestnuthub::quarantine::{Fact, FactLog};
/// use chestnuthub::timer::Time;
///
/// let mut log = FactLog::default();
/// log.push(Fact::Cleared { marks: Vec::new(), age_ms: 0 }, Time::from_millis(0));
/// let mut position = 0;
/// let facts = log.since(&mut position, Time::from_millis(5));
/// assert_eq!(facts, [Fact::Cleared { marks: Vec::new(), age_ms: 5 }]);
/// assert!(!log.has_new(position));
/// ```
#[derive(Debug, Default)]
pub struct FactLog {
    facts: VecDeque<(Time, Fact)>,
    /// Number of facts that have been removed from the front.
    removed: u64,
}

impl FactLog {
    /// Adds a fact that became known now.
    pub fn push(&mut self, fact: Fact, now: Time) {
        let is_old = |known: &(Time, Fact)| now - known.0 > RETENTION;
        while self.facts.len() >= MAX_FACTS || self.facts.front().is_some_and(is_old) {
            self.facts.pop_front();
            self.removed += 1;
        }
        self.facts.push_back((now, fact));
    }

    /// Returns facts from a position on, as many as a message may contain, and advances the position.
    pub fn since(&self, position: &mut u64, now: Time) -> Vec<Fact> {
        let skipped = position.saturating_sub(self.removed) as usize;
        let new = self.facts.iter().skip(skipped).take(MAX_BATCH);
        let new: Vec<_> = new
            .map(|(at, fact)| fact.clone().after(now - *at))
            .collect();
        *position = (*position).max(self.removed) + new.len() as u64;
        new
    }

    /// Returns whether there are facts from a position on.
    pub fn has_new(&self, position: u64) -> bool {
        position < self.removed + self.facts.len() as u64
    }
}

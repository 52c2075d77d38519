//! When requests that carry a mark last got through at this gateway.

use std::collections::BTreeMap;

use crate::{
    quarantine::Mark,
    timer::Time, //
};

/// Number of marks after which those that were recorded before are moved to the older half.
const HALF_SIZE: usize = 4_096;

/// Times of the last requests that got through, by mark. Marks that keep coming are kept; of the
/// others, the oldest are dropped.
#[derive(Debug, Default)]
pub(super) struct Passes {
    newer: BTreeMap<Mark, Time>,
    older: BTreeMap<Mark, Time>,
}

impl Passes {
    /// Records that a request with these marks got through now.
    pub(super) fn record(&mut self, marks: &[Mark], now: Time) {
        if self.newer.len() + marks.len() > HALF_SIZE {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.extend(marks.iter().map(|mark| (*mark, now)));
    }

    /// Returns when a request with the mark last got through, as far as that is remembered.
    pub(super) fn last(&self, mark: Mark) -> Option<Time> {
        let last = self.newer.get(&mark).or_else(|| self.older.get(&mark));
        last.copied()
    }
}

//! Patterns as they are kept in the platform's store, for processes that start anew.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Mark,
    Pattern, //
};

/// A pattern with the time of day of the last crash that showed it.
///
/// The time of day may jump by seconds, which does not matter to a refusal that lasts for minutes. No
/// other clock outlives a machine.
///
/// # Examples
///
/// ```
/// use chestnuthub::quarantine::{Mark, Pattern, Stored};
///
/// let pattern = Pattern { marks: vec![Mark::of_part(7)], age_ms: 500, lasts_ms: 60_000 };
/// let stored = Stored::new(&pattern, 1_000_000);
/// assert_eq!(stored.pattern(1_002_000).map(|pattern| pattern.age_ms), Some(2_500));
/// assert_eq!(stored.pattern(1_060_000), None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    marks: Vec<Mark>,
    crashed_unix_ms: u64,
    lasts_ms: u32,
}

impl Stored {
    /// Returns what is kept of a pattern. `now_unix_ms` is the time of day in Unix milliseconds.
    pub fn new(pattern: &Pattern, now_unix_ms: u64) -> Self {
        Self {
            marks: pattern.marks.clone(),
            crashed_unix_ms: now_unix_ms.saturating_sub(u64::from(pattern.age_ms)),
            lasts_ms: pattern.lasts_ms,
        }
    }

    /// Returns the pattern, unless the refusal has ended by now.
    pub fn pattern(&self, now_unix_ms: u64) -> Option<Pattern> {
        let age_ms = now_unix_ms.saturating_sub(self.crashed_unix_ms);
        let age_ms = u32::try_from(age_ms).ok()?;
        (age_ms < self.lasts_ms).then(|| Pattern {
            marks: self.marks.clone(),
            age_ms,
            lasts_ms: self.lasts_ms,
        })
    }
}

/// Returns the key under which a pattern is kept. Keys of the store have at most 255 bytes.
///
/// # Examples
///
/// ```
/// use chestnuthub::quarantine::{Mark, key};
///
/// let marks = [1, 2].map(Mark::of_part);
/// assert_ne!(key(&marks), key(&marks[..1]));
/// ```
pub fn key(marks: &[Mark]) -> String {
    Mark::of_marks(marks).to_string()
}

//! Detects from the refusals of a model version that it needs one more replica.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    id,
    timer::Time, //
};

/// Length in seconds, including the current one, of the window in which refusals are counted.
const WINDOW_S: u64 = 5;

/// Minimum number of seconds with a refusal within the window that indicates saturation.
const MIN_REFUSING_S: u32 = 3;

/// Minimum time between two requests for one more slot of the same model version.
const COOLDOWN: Duration = Duration::from_secs(5);

/// Refusals of one model version within the window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    /// Second of the newest refusal.
    newest_second: u64,
    /// Bit n is set if there was a refusal n seconds before the newest one.
    refused_seconds: u32,
    /// Time of the last request for a slot.
    requested_at: Option<Time>,
}

/// Recent refusals of each model version.
#[derive(Debug, Default)]
pub struct Saturation {
    models: BTreeMap<id::Model, Window>,
}

impl Saturation {
    /// Records a refusal because of load, and returns whether to request one more slot now.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{agent::saturation::Saturation, timer::Time};
    ///
    /// let mut saturation = Saturation::default();
    /// let mut refused = |second: u64| {
    ///     saturation.record_refusal(&"gear-check@1".into(), Time::from_millis(1_000 * second))
    /// };
    /// assert!(!refused(10) && !refused(10) && !refused(12));
    /// assert!(refused(14));
    /// ```
    pub fn record_refusal(&mut self, model: &id::Model, now: Time) -> bool {
        let second = now.as_millis() / 1_000;
        let entry = self.models.entry(model.clone()).or_default();
        let age = u32::try_from(second.saturating_sub(entry.newest_second)).unwrap_or(u32::MAX);
        let mask = (1 << WINDOW_S) - 1;
        entry.refused_seconds = (entry.refused_seconds.checked_shl(age).unwrap_or(0) | 1) & mask;
        entry.newest_second = second;
        let is_cooling_down = entry.requested_at.is_some_and(|at| now - at < COOLDOWN);
        if is_cooling_down || entry.refused_seconds.count_ones() < MIN_REFUSING_S {
            return false;
        }
        entry.requested_at = Some(now);
        true
    }
}

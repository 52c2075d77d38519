//! Tells when the refusals of a model version show that it needs one more replica. Pure.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    id,
    timer::Time, //
};

/// Seconds that are looked at, the current one included.
const WINDOW_S: u64 = 5;

/// Seconds of the window with a refusal that show saturation.
const REFUSING_S: u32 = 3;

/// Pause between two requests for the same model version.
const ASK_AGAIN: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, Default)]
struct Seconds {
    newest: u64,
    /// Bit n stands for a refusal in the second n before the newest.
    refused: u32,
    asked: Option<Time>,
}

/// The recent refusals of each model version.
#[derive(Debug, Default)]
pub struct Saturation {
    models: BTreeMap<id::Model, Seconds>,
}

impl Saturation {
    /// Notes a refusal because of load, and returns whether to ask for one more slot now.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{agent::saturation::Saturation, timer::Time};
    ///
    /// let mut saturation = Saturation::default();
    /// let mut refused = |second: u64| {
    ///     saturation.refused(&"gear-check@1".into(), Time::from_millis(1_000 * second))
    /// };
    /// assert!(!refused(10) && !refused(10) && !refused(12));
    /// assert!(refused(14));
    /// ```
    pub fn refused(&mut self, model: &id::Model, now: Time) -> bool {
        let second = now.as_millis() / 1_000;
        let entry = self.models.entry(model.clone()).or_default();
        let age = u32::try_from(second.saturating_sub(entry.newest)).unwrap_or(u32::MAX);
        let mask = (1 << WINDOW_S) - 1;
        entry.refused = (entry.refused.checked_shl(age).unwrap_or(0) | 1) & mask;
        entry.newest = second;
        let asked = entry.asked.is_some_and(|at| now - at < ASK_AGAIN);
        if asked || entry.refused.count_ones() < REFUSING_S {
            return false;
        }
        entry.asked = Some(now);
        true
    }
}

//! Idle times between the calls of a model version, and the keep-alive time that would have had the
//! lowest cost over them.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of idle times in each of the two generations of the history. When one is full, the other
/// is dropped, so a changed pattern of calls replaces the previous one after one to two
/// generations.
const GENERATION_SIZE: u64 = 48;

/// Minimum number of idle times from which a keep-alive time is derived.
const MIN_GAPS: u64 = 8;

/// Maximum idle time in seconds; longer ones count as this.
const MAX_GAP_S: u64 = 86_400;

/// Significant figures of the idle times, which limit the memory of a history to about 1 KiB.
const SIGNIFICANT_FIGURES: u8 = 1;

/// Histograms of the idle times between the calls of a model version.
#[derive(Debug, Clone)]
pub struct History {
    recent: Histogram<u16>,
    older: Histogram<u16>,
}

impl Default for History {
    fn default() -> Self {
        // Cannot fail, since the constant bounds are valid.
        let empty = Histogram::new_with_max(MAX_GAP_S, SIGNIFICANT_FIGURES);
        let empty = empty.unwrap_or_else(|_| unreachable!("the bounds are constant"));
        Self {
            recent: empty.clone(),
            older: empty,
        }
    }
}

impl History {
    /// Records the idle time before a call.
    pub fn record(&mut self, gap: Duration) {
        if self.recent.len() >= GENERATION_SIZE {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
        }
        self.recent.saturating_record(gap.as_secs());
    }

    /// Returns the keep-alive time with the lowest cost over the history, where a cold start costs as
    /// much as `break_even` of idle time, or `None` while the history is short.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::agent::history::History;
    /// use std::time::Duration;
    ///
    /// let mut history = History::default();
    /// let break_even = Duration::from_secs(60);
    /// assert_eq!(history.keep_alive(break_even), None);
    /// for _ in 0..10 {
    ///     history.record(Duration::from_secs(3_600));
    /// }
    /// // No call came soon enough to be worth the idle time before it.
    /// assert_eq!(history.keep_alive(break_even), Some(Duration::ZERO));
    /// ```
    pub fn keep_alive(&self, break_even: Duration) -> Option<Duration> {
        let mut gaps: Vec<_> = [&self.recent, &self.older]
            .into_iter()
            .flat_map(Histogram::iter_recorded)
            .map(|gap| (gap.value_iterated_to(), gap.count_at_value()))
            .collect();
        gaps.sort_unstable();
        let mut remaining: u64 = gaps.iter().map(|(_, count)| u64::from(*count)).sum();
        if remaining < MIN_GAPS {
            return None;
        }
        let load_cost = break_even.as_secs_f64();
        let mut idle = 0.0;
        let mut best = (remaining as f64 * load_cost, 0);
        for (gap, count) in gaps {
            remaining -= u64::from(count);
            idle += gap as f64 * f64::from(count);
            let cost = idle + remaining as f64 * (gap as f64 + load_cost);
            if cost < best.0 {
                best = (cost, gap);
            }
        }
        // Adds one second because the gaps are rounded down to whole seconds.
        let seconds = if best.1 == 0 { 0 } else { best.1 + 1 };
        Some(Duration::from_secs(seconds))
    }
}

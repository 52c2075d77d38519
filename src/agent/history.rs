//! How long the idle times between calls of a model version were, and which keep-alive would have
//! cost least over them. Pure.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Idle times that each of the two generations of the history holds, so that a changed pattern
/// replaces the old one after this many calls.
const GENERATION: u64 = 48;

/// Idle times below which the history says too little.
const LEAST_GAPS: u64 = 8;

/// Longest idle time that is told apart, in seconds; longer ones count as this.
const LONGEST_GAP_S: u64 = 86_400;

/// Significant figures of the idle times, which bound the memory of a history to about 1 KiB.
const FIGURES: u8 = 1;

/// The idle times between calls of a model version.
#[derive(Debug, Clone)]
pub struct History {
    recent: Histogram<u16>,
    older: Histogram<u16>,
}

impl Default for History {
    fn default() -> Self {
        // Bounds that are constant make a valid histogram.
        let empty = Histogram::new_with_max(LONGEST_GAP_S, FIGURES);
        let empty = empty.unwrap_or_else(|_| unreachable!("the bounds are constant"));
        Self {
            recent: empty.clone(),
            older: empty,
        }
    }
}

impl History {
    /// Notes that a call came after this idle time.
    pub fn record(&mut self, gap: Duration) {
        if self.recent.len() >= GENERATION {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
        }
        self.recent.saturating_record(gap.as_secs());
    }

    /// Returns the keep-alive that would have cost least over the history, where a cold start
    /// costs as much as `break_even` of idle time; nothing while the history is short.
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
    /// // No call comes soon enough to be worth the idle time.
    /// assert_eq!(history.keep_alive(break_even), Some(Duration::ZERO));
    /// ```
    pub fn keep_alive(&self, break_even: Duration) -> Option<Duration> {
        let mut gaps: Vec<_> = [&self.recent, &self.older]
            .into_iter()
            .flat_map(Histogram::iter_recorded)
            .map(|gap| (gap.value_iterated_to(), gap.count_at_value()))
            .collect();
        gaps.sort_unstable();
        let mut later: u64 = gaps.iter().map(|(_, count)| u64::from(*count)).sum();
        if later < LEAST_GAPS {
            return None;
        }
        let load = break_even.as_secs_f64();
        let mut idle = 0.0;
        let mut best = (later as f64 * load, 0);
        for (gap, count) in gaps {
            later -= u64::from(count);
            idle += gap as f64 * f64::from(count);
            let cost = idle + later as f64 * (gap as f64 + load);
            if cost < best.0 {
                best = (cost, gap);
            }
        }
        // The gaps are whole seconds, rounded down.
        let seconds = if best.1 == 0 { 0 } else { best.1 + 1 };
        Some(Duration::from_secs(seconds))
    }
}

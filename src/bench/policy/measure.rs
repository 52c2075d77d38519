//! What a replay measures.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Accelerator memory of one accelerator in MiB; idle memory counts as a share of it.
const ACCELERATOR_MB: f64 = 24_576.0;

/// Milliseconds of an hour.
const HOUR_MS: f64 = 3_600_000.0;

/// Waits up to this are not a cold start: an adapter's load takes a few milliseconds.
const WARM_MS: u64 = 100;

/// Figures of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Outcome {
    /// Requests.
    pub requests: u64,
    /// Requests that no server took.
    pub refused: u64,
    /// Share of the requests that met a cold start.
    pub cold_share: f64,
    /// Median of the cold-start time over all requests, in seconds.
    pub p50_s: f64,
    /// 99th percentile of the cold-start time over all requests, in seconds; 0 for a warm one.
    pub p99_s: f64,
    /// Median of the cold-start time over the requests that met one, in seconds.
    pub cold_p50_s: f64,
    /// 99th percentile of the cold-start time over the requests that met one, in seconds.
    pub cold_p99_s: f64,
    /// Sum of the cold-start times in seconds.
    pub cold_s: f64,
    /// Accelerator hours for which a loaded model served nothing.
    pub idle_hours: f64,
    /// Loads of models.
    pub loads: u64,
    /// Unloads that made room for another model.
    pub evictions: u64,
}

/// What a replay counts after the warm-up.
#[derive(Debug, Clone)]
pub(super) struct Measure {
    from: u64,
    all: Histogram<u32>,
    cold: Histogram<u32>,
    cold_ms: u64,
    refused: u64,
    idle_ms: f64,
    loads: u64,
    evictions: u64,
}

impl Measure {
    pub(super) fn new(warm_up: Duration) -> Self {
        // An hour and three significant figures always make a valid histogram.
        let empty =
            || Histogram::new_with_max(HOUR_MS as u64, 3).unwrap_or_else(|_| unreachable!());
        Self {
            from: u64::try_from(warm_up.as_millis()).unwrap_or(u64::MAX),
            all: empty(),
            cold: empty(),
            cold_ms: 0,
            refused: 0,
            idle_ms: 0.0,
            loads: 0,
            evictions: 0,
        }
    }

    pub(super) fn served(&mut self, arrival: u64, now: u64) {
        if arrival < self.from {
            return;
        }
        let waited = now - arrival;
        if waited <= WARM_MS {
            self.all.saturating_record(0);
            return;
        }
        self.all.saturating_record(waited);
        self.cold.saturating_record(waited);
        self.cold_ms += waited;
    }

    /// Counts a refused request as one that waited for the whole deadline.
    pub(super) fn refused(&mut self, arrival: u64, deadline: Duration) {
        if arrival >= self.from {
            self.refused += 1;
            let waited = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
            self.served(arrival, arrival + waited);
        }
    }

    pub(super) fn load(&mut self, now: u64) {
        self.loads += u64::from(now >= self.from);
    }

    pub(super) fn unload(&mut self, now: u64, evicted: bool) {
        self.evictions += u64::from(now >= self.from && evicted);
    }

    pub(super) fn idle(&mut self, from: u64, until: u64, memory_mb: u64) {
        let idle = until.saturating_sub(from.max(self.from));
        self.idle_ms += idle as f64 * memory_mb as f64 / ACCELERATOR_MB;
    }

    pub(super) fn outcome(&self) -> Outcome {
        let seconds = |histogram: &Histogram<u32>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        let requests = self.all.len();
        Outcome {
            requests,
            refused: self.refused,
            cold_share: self.cold.len() as f64 / (requests as f64).max(1.0),
            p50_s: seconds(&self.all, 0.5),
            p99_s: seconds(&self.all, 0.99),
            cold_p50_s: seconds(&self.cold, 0.5),
            cold_p99_s: seconds(&self.cold, 0.99),
            cold_s: self.cold_ms as f64 / 1e3,
            idle_hours: self.idle_ms / HOUR_MS,
            loads: self.loads,
            evictions: self.evictions,
        }
    }
}

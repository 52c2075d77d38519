//! Chooses among the servers that could serve a request now.

use std::time::Duration;

/// Estimated number of prompt tokens that an engine processes per millisecond of prefill.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 38.0;

/// Estimated delay of a request per other request that an engine runs or queues, in ms.
const ENGINE_REQUEST_MS: f64 = 4.0;

/// Estimated delay of a request per request that waits for prefill at an engine, in ms.
pub(crate) const ENGINE_WAITING_MS: f64 = 60.0;

/// Estimated delay of a request to a plain service if other requests take all slots of the server,
/// in ms; fewer requests count in proportion. Also the estimated delay by a server that is still
/// slow after its start.
const SERVICE_LOAD_MS: f64 = 60.0;

/// Delay added for a server whose recent requests all failed, in ms. It is scaled by the fraction
/// that failed.
const FAILURE_PENALTY_MS: f64 = 400.0;

/// Estimated delay of a request whose server has to load the adapter first, in ms.
const ADAPTER_LOAD_MS: f64 = 30.0;

/// A server that could serve a request now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Candidate {
    /// Known number of requests that the server runs or queues.
    pub load: u32,
    /// Known number of those requests that wait.
    pub waiting: u32,
    /// Maximum number of requests that the server runs at once.
    pub slots: u32,
    /// Prompt tokens of requests sent to the server that have no response yet.
    pub pending_tokens: u64,
    /// Prompt tokens of this request that the server has not cached.
    pub prompt_tokens: u64,
    /// Network round-trip time to the server.
    pub round_trip: Duration,
    /// Remaining time for which the server is slow after its start.
    pub warmup_remaining: Duration,
    /// Fraction of its recent requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the server has to load the adapter first.
    pub lacks_adapter: bool,
    /// Whether the server is a model engine.
    pub is_engine: bool,
}

impl Candidate {
    /// Returns the estimated delay of the request at this server, in ms.
    fn delay_ms(&self) -> f64 {
        let load = f64::from(self.load);
        let work_ms = if self.is_engine {
            let excess = (load + 1.0 - f64::from(self.slots)).max(0.0);
            let pending_ms = self.pending_tokens as f64 / PREFILL_TOKENS_PER_MS;
            let reported_ms = f64::from(self.waiting) * ENGINE_WAITING_MS;
            self.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS
                + pending_ms.max(reported_ms)
                + (load + 10.0 * excess) * ENGINE_REQUEST_MS
        } else {
            let slots = f64::from(self.slots.max(1));
            let excess = (load + 1.0 - slots).max(0.0);
            SERVICE_LOAD_MS * (load + excess * 2.0) / slots
        };
        let adapter_ms = if self.lacks_adapter {
            ADAPTER_LOAD_MS
        } else {
            0.0
        };
        let warmup_ms = if self.warmup_remaining.is_zero() {
            0.0
        } else {
            SERVICE_LOAD_MS
        };
        work_ms
            + adapter_ms
            + warmup_ms
            + self.failure_rate * FAILURE_PENALTY_MS
            + self.round_trip.as_secs_f64() * 1_000.0
    }
}

/// Returns the index of the server with the shortest estimated delay. `random`, a number from 0 to
/// 1, selects one of several servers with about the same delay.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::{Candidate, choose};
///
/// let free = Candidate { slots: 6, ..Candidate::default() };
/// let full = Candidate { load: 6, ..free };
/// assert_eq!(choose(&[full, free], 0.5), Some(1));
/// assert_eq!(choose(&[], 0.5), None);
/// ```
pub fn choose(candidates: &[Candidate], random: f64) -> Option<usize> {
    let delays: Vec<_> = candidates.iter().map(Candidate::delay_ms).collect();
    let minimum = delays.iter().copied().reduce(f64::min)?;
    // Smaller differences are not significant: the inputs are not up to date.
    const TIE_MS: f64 = 1.0;
    let indices = (0..delays.len()).filter(|index| delays[*index] <= minimum + TIE_MS);
    let best: Vec<_> = indices.collect();
    let index = (random * best.len() as f64) as usize;
    best.get(index.min(best.len().saturating_sub(1))).copied()
}

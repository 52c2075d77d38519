//! The choice among servers that could answer a request now.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 38.0;

/// Delay of a request for each further one that an engine runs or queues, in ms.
const ENGINE_REQUEST_MS: f64 = 4.0;

/// Delay of a request for each one that waits at an engine for its prompt to be read, in ms.
pub(crate) const ENGINE_WAITING_MS: f64 = 60.0;

/// Delay of a request for each further one at a plain service, relative to its slots, in ms.
const SERVICE_LOAD_MS: f64 = 60.0;

/// Delay that a server whose requests failed lately counts for, in ms.
const FAILURE_MS: f64 = 400.0;

/// Delay of a request whose server first fetches the adapter, in ms.
const ADAPTER_MS: f64 = 30.0;

/// A server that could answer a request now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Candidate {
    /// Requests that the server runs or queues, as far as known.
    pub load: u32,
    /// Requests among them that wait, as far as known.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens on their way to it that were not answered yet.
    pub pending_tokens: u64,
    /// Prompt tokens of this request that it has to read.
    pub prompt_tokens: u64,
    /// One way to it and back.
    pub distance: Duration,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// Part of its recent requests that failed, from 0 to 1.
    pub failures: f64,
    /// Whether the adapter must be loaded first.
    pub lacks_adapter: bool,
    /// Whether it is a model engine.
    pub is_engine: bool,
}

impl Candidate {
    /// Returns the expected delay of a request in ms.
    fn delay_ms(&self) -> f64 {
        let load = f64::from(self.load);
        let work_ms = if self.is_engine {
            let over = (load + 1.0 - f64::from(self.slots)).max(0.0);
            let own_ms = self.pending_tokens as f64 / PREFILL_TOKENS_PER_MS;
            let told_ms = f64::from(self.waiting) * ENGINE_WAITING_MS;
            self.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS
                + own_ms.max(told_ms)
                + (load + 10.0 * over) * ENGINE_REQUEST_MS
        } else {
            let slots = f64::from(self.slots.max(1));
            let over = (load + 1.0 - slots).max(0.0);
            SERVICE_LOAD_MS * (load + over * 2.0) / slots
        };
        let adapter_ms = if self.lacks_adapter { ADAPTER_MS } else { 0.0 };
        let cold_ms = if self.cold_left.is_zero() {
            0.0
        } else {
            SERVICE_LOAD_MS
        };
        work_ms
            + adapter_ms
            + cold_ms
            + self.failures * FAILURE_MS
            + self.distance.as_secs_f64() * 1_000.0
    }
}

/// Chooses the server with the shortest expected delay; `draw`, a number from 0 to 1, settles ties.
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
pub fn choose(candidates: &[Candidate], draw: f64) -> Option<usize> {
    let delays: Vec<_> = candidates.iter().map(Candidate::delay_ms).collect();
    let least = delays.iter().copied().reduce(f64::min)?;
    // Differences below this are smaller than the age of the figures.
    const TIE_MS: f64 = 1.0;
    let indices = (0..delays.len()).filter(|index| delays[*index] <= least + TIE_MS);
    let best: Vec<_> = indices.collect();
    let index = (draw * best.len() as f64) as usize;
    best.get(index.min(best.len().saturating_sub(1))).copied()
}

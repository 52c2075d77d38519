//! A queueing model of the weight store. Loads share its rate once more than a few run at once.

use fastrand::Rng;

/// Loads that run at full speed at once.
const FULL_SPEED_LOADS: f64 = 4.0;

/// Adapter loads that run at full speed at once.
const FULL_SPEED_ADAPTERS: u64 = 32;

/// Milliseconds of an adapter load at full speed.
const ADAPTER_MS: u64 = 5;

/// Bounds of a load's time in parts of its time at full speed, since checkpoints are cached
/// unevenly in memory, on disk and remotely. The logarithm is uniform.
const CACHE_FACTOR: (f64, f64) = (0.5, 2.0);

/// Milliseconds for which the caches stay as they are.
const CACHE_MS: u64 = 600_000;

/// Keeps the seeds of different models apart.
const MODEL_STRIDE: u64 = 1 << 16;

/// A load in progress.
#[derive(Debug, Clone)]
struct Load<T> {
    left_ms: f64,
    what: T,
}

/// The weight store.
#[derive(Debug, Clone)]
pub(super) struct Store<T> {
    ms_per_mb: f64,
    at: u64,
    loads: Vec<Load<T>>,
    adapters: u64,
}

impl<T> Store<T> {
    /// Makes a store that finishes `loads_per_s` loads of `mean_mb` MiB a second at most.
    pub(super) fn new(loads_per_s: f64, mean_mb: f64) -> Self {
        Self {
            ms_per_mb: FULL_SPEED_LOADS / loads_per_s * 1e3 / mean_mb,
            at: 0,
            loads: Vec::new(),
            adapters: 0,
        }
    }

    /// Begins a load of a checkpoint.
    pub(super) fn begin(&mut self, what: T, checkpoint_mb: u64, now: u64) {
        self.advance(now);
        self.loads.push(Load {
            left_ms: checkpoint_mb as f64 * self.ms_per_mb,
            what,
        });
    }

    /// Returns the loads that have finished.
    pub(super) fn finished(&mut self, now: u64) -> Vec<T> {
        self.advance(now);
        let mut finished = Vec::new();
        let mut index = 0;
        while index < self.loads.len() {
            if self.loads[index].left_ms < 0.5 {
                finished.push(self.loads.remove(index).what);
            } else {
                index += 1;
            }
        }
        finished
    }

    /// Returns when the next load finishes if none is added before.
    pub(super) fn next(&self) -> Option<u64> {
        let lefts = self.loads.iter().map(|load| load.left_ms);
        let least = lefts.min_by(f64::total_cmp)?;
        Some(self.at + (least / self.speed()).ceil() as u64)
    }

    /// Begins the load of an adapter and returns its milliseconds.
    pub(super) fn begin_adapter(&mut self) -> u64 {
        self.adapters += 1;
        ADAPTER_MS * self.adapters.max(FULL_SPEED_ADAPTERS) / FULL_SPEED_ADAPTERS
    }

    /// Ends the load of an adapter.
    pub(super) fn end_adapter(&mut self) {
        self.adapters = self.adapters.saturating_sub(1);
    }

    fn speed(&self) -> f64 {
        (FULL_SPEED_LOADS / self.loads.len() as f64).min(1.0)
    }

    fn advance(&mut self, now: u64) {
        if !self.loads.is_empty() {
            let done = (now - self.at) as f64 * self.speed();
            for load in &mut self.loads {
                load.left_ms -= done;
            }
        }
        self.at = now;
    }
}

/// Returns the time of a load at full speed in parts of the time without caches. It depends on the
/// model and the time alone, so that all replays of a trace meet the same caches.
pub(super) fn cached(model: usize, now: u64) -> f64 {
    let mut rng = Rng::with_seed(now / CACHE_MS * MODEL_STRIDE + model as u64);
    let (low, high) = CACHE_FACTOR;
    low * f64::powf(high / low, rng.f64())
}

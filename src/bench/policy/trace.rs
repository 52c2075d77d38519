//! Seeded request traces in the shape of the users' workloads.

use std::time::Duration;

use fastrand::Rng;

use super::super::Deployment;

/// Milliseconds of an hour.
const HOUR_MS: u64 = 3_600_000;

/// Hours of a day.
const DAY_HOURS: u64 = 24;

/// Share of the models that become active or fall idle within an hour.
const CHANGE_SHARE: f64 = 0.17;

/// Share of the models that are active on average; most are idle.
const ACTIVE_SHARE: f64 = 0.2;

/// Factors on the rate at which models become active in and outside office hours. Weighted with
/// the 50 office hours of a week they give 1, so that the mean rate stays as stated.
const OFFICE_FACTOR: f64 = 2.75;
const CLOSED_FACTOR: f64 = 0.2585;

/// First and last office hour of a working day.
const OFFICE_HOURS: (u64, u64) = (8, 18);

/// Bounds of a model's mean time between visits while it is active, in seconds.
const VISIT_GAP_S: (f64, f64) = (20.0, 900.0);

/// Mean time between visits while a model is idle, in seconds.
const STRAY_GAP_S: f64 = 14_400.0;

/// Sizes of the burst that begins an active phase, and the time over which it spreads.
const BURST: (u32, u32) = (4, 16);
const BURST_MS: u64 = 2_000;

/// Bounds of checkpoint sizes in MiB.
const CHECKPOINT_MB: (f64, f64) = (6_000.0, 24_000.0);

/// Memory of a loaded model in parts of its checkpoint, since the KV cache takes memory too.
const MEMORY_FACTOR: f64 = 1.25;

/// Bounds of service times in milliseconds.
const SERVICE_MS: (u64, u64) = (1_000, 8_000);

/// Share of the requests that ask for an adapter.
const ADAPTER_SHARE: f64 = 0.5;

/// Number of adapters of a deployment.
const ADAPTERS: usize = 60;

/// Number of entry instances that requests arrive at.
pub const ENTRIES: usize = 3;

/// Shape of the workload over the trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// Every model keeps its rate of visits.
    Steady,
    /// Halfway, models swap their rates and the office hours begin six hours later.
    Shifted,
}

impl Pattern {
    /// Returns the name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shifted => "shifted",
        }
    }
}

/// Sizes of a model.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Size of the checkpoint in MiB.
    pub checkpoint_mb: u64,
    /// Accelerator memory of a replica in MiB.
    pub memory_mb: u64,
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Arrival in milliseconds since the start.
    pub at: u64,
    /// Number of the model.
    pub model: usize,
    /// Number of the adapter.
    pub adapter: Option<usize>,
    /// Number of the entry instance.
    pub entry: usize,
    /// Service time in milliseconds.
    pub service_ms: u64,
}

/// Requests in the order of their arrival.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Sizes of the models.
    pub models: Vec<Size>,
    /// The requests.
    pub requests: Vec<Request>,
    /// Share of the models that changed between active and idle, mean over the hours.
    pub changes: f64,
    /// Share of the time for which a model was active, mean over the models.
    pub active: f64,
}

impl Trace {
    /// Generates a trace of `length`, which begins on a Monday at midnight.
    pub fn generate(
        deployment: &Deployment,
        pattern: Pattern,
        seed: u64,
        length: Duration,
    ) -> Self {
        let count = deployment.models as usize;
        let mut rng = Rng::with_seed(seed);
        let models: Vec<_> = (0..count).map(|_| size(&mut rng)).collect();
        let gaps: Vec<_> = (0..count)
            .map(|_| log_uniform(&mut rng, VISIT_GAP_S))
            .collect();
        let end = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let mut maker = Maker {
            rng,
            pattern,
            end,
            gaps,
            requests: Vec::new(),
            changes: 0,
            active_ms: 0,
        };
        for model in 0..count {
            maker.model(model);
        }
        let mut requests = maker.requests;
        requests.sort_by_key(|request| request.at);
        let model_ms = end as f64 * count as f64;
        Self {
            models,
            requests,
            changes: f64::from(maker.changes) * HOUR_MS as f64 / model_ms,
            active: maker.active_ms as f64 / model_ms,
        }
    }
}

fn size(rng: &mut Rng) -> Size {
    let checkpoint = log_uniform(rng, CHECKPOINT_MB);
    Size {
        checkpoint_mb: checkpoint as u64,
        memory_mb: (checkpoint * MEMORY_FACTOR) as u64,
    }
}

/// Returns the mean size of a checkpoint in MiB, to which the store's rate refers.
pub(super) fn mean_checkpoint_mb() -> f64 {
    let (low, high) = CHECKPOINT_MB;
    (high - low) / (high / low).ln()
}

fn log_uniform(rng: &mut Rng, (low, high): (f64, f64)) -> f64 {
    low * (high / low).powf(rng.f64())
}

fn exponential_ms(rng: &mut Rng, mean_s: f64) -> u64 {
    (-(1.0 - rng.f64()).ln() * mean_s * 1e3) as u64 + 1
}

struct Maker {
    rng: Rng,
    pattern: Pattern,
    end: u64,
    gaps: Vec<f64>,
    requests: Vec<Request>,
    changes: u32,
    active_ms: u64,
}

impl Maker {
    fn model(&mut self, model: usize) {
        let mut at = 0;
        let mut active = self.rng.f64() < ACTIVE_SHARE;
        while at < self.end {
            let until = if active {
                let mean = ACTIVE_SHARE / (CHANGE_SHARE / 2.0);
                at + exponential_ms(&mut self.rng, mean * 3_600.0)
            } else {
                self.idle_until(at)
            };
            let until = until.min(self.end);
            if active {
                self.active_ms += until - at;
                self.burst(model, at);
            }
            self.visits(model, active, at, until);
            self.changes += u32::from(until < self.end);
            (at, active) = (until, !active);
        }
    }

    /// Returns when a model that falls idle becomes active again, hour by hour, since the rate
    /// depends on the time of the day.
    fn idle_until(&mut self, mut at: u64) -> u64 {
        let rate = CHANGE_SHARE / 2.0 / (1.0 - ACTIVE_SHARE);
        while at < self.end {
            let factor = if self.is_office(at) {
                OFFICE_FACTOR
            } else {
                CLOSED_FACTOR
            };
            let wait = exponential_ms(&mut self.rng, 3_600.0 / (rate * factor));
            let next_hour = (at / HOUR_MS + 1) * HOUR_MS;
            if at + wait < next_hour {
                return at + wait;
            }
            at = next_hour;
        }
        at
    }

    fn is_shifted(&self, at: u64) -> bool {
        self.pattern == Pattern::Shifted && at >= self.end / 2
    }

    fn is_office(&self, at: u64) -> bool {
        let shift = if self.is_shifted(at) { 6 } else { 0 };
        let hour = at / HOUR_MS + DAY_HOURS - shift;
        let working = (hour / DAY_HOURS + 6) % 7 < 5;
        let (first, last) = OFFICE_HOURS;
        working && (first..last).contains(&(hour % DAY_HOURS))
    }

    fn visits(&mut self, model: usize, active: bool, from: u64, until: u64) {
        let mut at = from;
        loop {
            let gap = match (active, self.is_shifted(at)) {
                (false, _) => STRAY_GAP_S,
                (true, false) => self.gaps[model],
                (true, true) => self.gaps[self.gaps.len() - 1 - model],
            };
            at += exponential_ms(&mut self.rng, gap);
            if at >= until {
                return;
            }
            self.request(model, at);
        }
    }

    fn burst(&mut self, model: usize, at: u64) {
        for _ in 0..self.rng.u32(BURST.0..=BURST.1) {
            let delay = self.rng.u64(..BURST_MS);
            self.request(model, at + delay);
        }
    }

    fn request(&mut self, model: usize, at: u64) {
        let rng = &mut self.rng;
        let adapters = ADAPTERS / self.gaps.len();
        let with_adapter = rng.f64() < ADAPTER_SHARE;
        let adapter = with_adapter.then(|| rng.usize(..adapters) * self.gaps.len() + model);
        self.requests.push(Request {
            at,
            model,
            adapter,
            entry: rng.usize(..ENTRIES),
            service_ms: rng.u64(SERVICE_MS.0..=SERVICE_MS.1),
        });
    }
}

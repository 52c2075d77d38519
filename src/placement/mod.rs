//! Placement: which server loads a model that is wanted, and which model makes room for it.
//!
//! Costs are delays of requests in milliseconds over the next [`HORIZON_S`] seconds, so that a load,
//! the wait for an order under way and the loss of an evicted replica can be compared. All
//! processes decide from the same facts by the same functions; where their facts differ for a
//! moment, a model is loaded twice at worst, and the spare replica is the first to be evicted.

mod pool;
mod room;

pub use pool::{
    Busy,
    Candidate,
    Host,
    Pool,
    Rate,
    Resident, //
};
pub use room::{
    Eviction,
    evict,
    free_mb, //
};

/// Time over which lost replicas and gained ones are weighed, in seconds.
pub const HORIZON_S: f64 = 10.0;

/// Expected delay of each request of a model with a single replica by crashes of its server, in ms.
const CRASH_MS: f64 = 60.0;

/// Gain that a further replica must bring beyond others to be worth a load from the store, in ms.
const STORE_LOAD_MS: f64 = 1_500.0;

/// Delay of new requests while an unload waits for the runs of the model, in ms.
const RUNNING_MS: f64 = 1_500.0;

/// Rate that is assumed of every model besides the observed one, in requests a second.
const PRIOR_RATE: f64 = 0.02;

/// Models that are considered at once for one more replica.
const MOST_SPARE: usize = 12;

/// Gain that a replica which nobody waits for must bring beyond its costs, in ms.
const SPARE_GAIN_MS: f64 = 60.0;

/// How much more a replica which nobody waits for must gain than the evicted ones lose. The rates
/// of rarely used models are known from a few requests only; without this they take turns in the
/// memory.
const SPARE_FACTOR: f64 = 2.0;

/// Loads from the store at once beyond which no model is loaded that nobody waits for.
const MOST_STORE_LOADS: usize = 4;

//! Placement: decides which server loads a model and which models are evicted for it.
//!
//! Costs are estimated delays of requests in milliseconds over the next [`HORIZON_S`] seconds. This
//! makes a load, the wait for an order in progress and the loss of an evicted replica comparable.
//! All processes apply the same functions to the same data. If their data differ for a moment, at
//! worst a model is loaded twice, and the superfluous replica is the first to be evicted.

mod eviction;
mod index;
mod pool;

pub use eviction::{
    Eviction,
    evict,
    free_mb, //
};
pub use pool::{
    Candidate,
    CurrentOrder,
    Host,
    Pool,
    Rate,
    Resident, //
};

/// Time over which the costs of evictions and the gains of new replicas are added up, in seconds.
pub const HORIZON_S: f64 = 10.0;

/// Estimated mean delay that server crashes cause to each request for a model with a single
/// replica, in ms.
const CRASH_DELAY_MS: f64 = 60.0;

/// Gain that a further replica needs in addition to the other minimum gains if it has to be loaded
/// from the weight store, in ms.
const MIN_STORE_LOAD_GAIN_MS: f64 = 1_500.0;

/// Estimated delay of new requests while an unload waits for the model's running requests to end,
/// in ms.
const UNLOAD_DELAY_MS: f64 = 1_500.0;

/// Request rate assumed for every model in addition to the observed rate, in requests per second.
const PRIOR_RATE_PER_S: f64 = 0.02;

/// Maximum number of models considered at once for a spare replica.
const MAX_SPARE_CANDIDATES: usize = 12;

/// Minimum net gain of a spare replica, in ms.
const MIN_SPARE_GAIN_MS: f64 = 60.0;

/// Minimum ratio of the gain of a spare replica to the cost of the evictions for it. The rates of
/// rarely used models are estimated from only a few requests; without this margin such models would
/// keep evicting each other.
const MIN_SPARE_GAIN_FACTOR: f64 = 2.0;

/// Maximum number of loads from the weight store in progress, over all servers. At this number no
/// further spare replica is loaded from it.
const MAX_STORE_LOADS: usize = 4;

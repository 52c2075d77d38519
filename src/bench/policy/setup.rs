//! How a trace is replayed.

use std::time::Duration;

use super::placement::Placement;
use crate::agent::usage::Weights;

/// What keeps an idle model loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Keep {
    /// The residency policy with the weights of an institution.
    Policy(Weights),
    /// The same time for all models.
    Fixed(Duration),
}

/// How a trace is replayed.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// What keeps an idle model loaded.
    pub keep: Keep,
    /// Which servers load.
    pub placement: Placement,
    /// Time of a load outside the weight store's region in parts of one inside it.
    pub remote_factor: f64,
    /// Start of the trace that is not measured.
    pub warm_up: Duration,
}

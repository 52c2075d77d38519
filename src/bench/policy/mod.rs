//! Replays seeded traces through the decisions "keep or unload" and "where to load".

pub mod curve;
pub mod measure;
pub mod placement;
pub mod replay;
mod report;
mod server;
mod store;
pub mod trace;

use std::time::Duration;

use self::{
    curve::Comparison,
    trace::{
        Pattern,
        Trace, //
    },
};
use super::{
    CASCADE,
    Deployment,
    Error,
    TENGIS, //
};

/// Length of a trace.
const LENGTH: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Start of a trace that is not measured.
const WARM_UP: Duration = Duration::from_secs(24 * 3_600);

/// What `chestnuthub-load policy` is told.
#[derive(Debug, Clone)]
pub(super) struct Options {
    /// Print JSON.
    pub(super) json: bool,
    /// Seed of the traces.
    pub(super) seed: u64,
}

/// Replays the traces of both institutions and prints the figures.
pub(super) fn run(options: &Options) -> Result<(), Error> {
    for deployment in [&TENGIS, &CASCADE] {
        for pattern in [Pattern::Steady, Pattern::Shifted] {
            let trace = Trace::generate(deployment, pattern, options.seed, LENGTH);
            let comparison = Comparison::run(deployment, &trace, WARM_UP);
            report::comparison(deployment, pattern, options, &trace, &comparison)?;
        }
    }
    Ok(())
}

/// Replays a trace of `length` and compares the policy with its baselines.
pub fn compare(
    deployment: &Deployment,
    pattern: Pattern,
    seed: u64,
    length: Duration,
) -> Comparison {
    let trace = Trace::generate(deployment, pattern, seed, length);
    Comparison::run(deployment, &trace, WARM_UP)
}

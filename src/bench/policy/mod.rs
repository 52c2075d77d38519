//! Replays seeded traces through the decisions "keep or unload" and "where to load".

mod chart;
pub mod curve;
pub mod measure;
pub mod placement;
pub mod replay;
mod report;
mod server;
pub mod setup;
mod store;
pub mod trace;

use std::{
    path::PathBuf,
    time::Duration, //
};

use self::{
    curve::{
        Comparison,
        POLICY_FACTORS, //
    },
    measure::Outcome,
    placement::Placement,
    setup::{
        Keep,
        Setup, //
    },
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
    /// File that gets a plot.
    pub(super) svg: Option<PathBuf>,
}

/// Factors on the time of a load outside the weight store's region, for which placements are
/// compared. The users name no factor.
const REMOTE_FACTORS: [f64; 2] = [1.0, 4.0];

/// Replays the traces of both institutions and prints the figures.
pub(super) fn run(options: &Options) -> Result<(), Error> {
    let mut panels = Vec::new();
    for deployment in [&TENGIS, &CASCADE] {
        for pattern in [Pattern::Steady, Pattern::Shifted] {
            let trace = Trace::generate(deployment, pattern, options.seed, LENGTH);
            let comparison = Comparison::run(deployment, &trace, WARM_UP, &POLICY_FACTORS);
            report::comparison(deployment, pattern, options, &trace, &comparison)?;
            if pattern == Pattern::Steady {
                let placements = placements(deployment, &trace, WARM_UP);
                report::placements(deployment, options, &placements);
            }
            panels.push((
                format!("{} {}", deployment.institution, pattern.as_str()),
                comparison,
            ));
        }
    }
    match &options.svg {
        Some(path) => chart::draw(path, &panels),
        None => Ok(()),
    }
}

/// Replays a trace of `length` and compares the policy with its baselines; the first `warm_up` is
/// not measured.
pub fn compare(
    deployment: &Deployment,
    pattern: Pattern,
    seed: u64,
    length: Duration,
    warm_up: Duration,
) -> Comparison {
    let trace = Trace::generate(deployment, pattern, seed, length);
    Comparison::run(deployment, &trace, warm_up, &[])
}

/// A placement as it was measured.
#[derive(Debug, Clone, Copy)]
pub struct Placed {
    /// Which servers load.
    pub placement: Placement,
    /// Time of a load outside the weight store's region in parts of one inside it.
    pub remote_factor: f64,
    /// What was measured.
    pub outcome: Outcome,
}

/// Replays a trace with each placement.
pub fn placements(deployment: &Deployment, trace: &Trace, warm_up: Duration) -> Vec<Placed> {
    let mut placed = Vec::new();
    for remote_factor in REMOTE_FACTORS {
        for placement in [Placement::Home, Placement::HomeNear, Placement::AnyFree] {
            let setup = Setup {
                keep: Keep::Policy(curve::weights(deployment)),
                placement,
                remote_factor,
                warm_up,
            };
            placed.push(Placed {
                placement,
                remote_factor,
                outcome: replay::run(deployment, trace, setup),
            });
        }
    }
    placed
}

//! Finds out what requests carry that crashes the servers which run them.
//!
//! Gateways report which requests were at work when a server's process ended ([`Crash`]), and which
//! suspected things got through ([`Fact::Cleared`]). Hubs collect these facts and decide
//! ([`Evidence`]); gateways then refuse requests that carry a [`Pattern`]. Facts carry their age, so
//! the order in which they arrive does not matter.

mod evidence;
mod fact;
mod log;
mod mark;
mod stored;

pub use evidence::Evidence;
pub(crate) use evidence::PROOF_TIME;
pub use fact::{
    Crash,
    Fact,
    Findings,
    MAX_MARKS,
    MAX_RUNS,
    Pattern,
    Run, //
};
pub use log::FactLog;
pub use mark::{
    Content,
    Mark, //
};
pub use stored::{
    Stored,
    key, //
};

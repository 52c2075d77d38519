//! Decides which server gets a request and whether the request may be sent again.

mod absence;
mod allowance;
mod attempts;
mod budget;
mod choose;
mod detector;
mod lineage;
mod memory;
mod prefix;
mod quota;
mod rate;
mod versions;

pub use absence::Absence;
pub use allowance::{
    Meter,
    Reach, //
};
pub use attempts::{
    Attempts,
    Ending,
    Outcome, //
};
pub use budget::{
    Budget,
    Limit, //
};
pub use choose::{
    Candidate,
    choose, //
};
pub(crate) use choose::{
    ENGINE_WAITING_MS,
    PREFILL_TOKENS_PER_MS, //
};
pub use detector::{
    Cause,
    Detector,
    Probe,
    Run, //
};
pub use lineage::{
    Continuation,
    Knowledge,
    Lineage, //
};
pub use memory::{
    Hold,
    Memory, //
};
pub use prefix::{
    Part,
    Prefixes, //
};
pub use quota::{
    Quota,
    Share, //
};
pub use rate::RequestRate;
pub use versions::Versions;

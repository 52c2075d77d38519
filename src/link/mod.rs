//! Messages between gateways and loaders: what is wanted, and what a server holds.
//!
//! Each message replaces what the same sender said before, so a lost one is made good by the next.

mod codec;
mod message;

pub(crate) use codec::{
    read,
    write, //
};
pub use message::{
    Asking,
    Demand,
    EngineDescription,
    EngineVersion,
    Holdings,
    Loading,
    Underway,
    Usage,
    Wish, //
};
pub(crate) use message::{
    RATE_S,
    RECENT_S,
    Status,
    Workload, //
};

//! Decides which model versions may be loaded on which backend servers, and records it in a log
//! stream.

pub mod coordinator;
mod record;
mod table;
mod tracker;

pub use record::{
    Body,
    Record, //
};
pub use table::{
    Epoch,
    Outcome,
    Slot,
    State,
    Table, //
};

/// Name of the log stream that contains the decisions.
pub const STREAM: &str = "decisions";

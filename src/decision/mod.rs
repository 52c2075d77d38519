//! Decisions about replicas: which model version may be loaded on which backend server.

pub mod coordinator;
mod record;
mod soft;
mod table;

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

/// Name of the log stream that holds the decisions.
pub const STREAM: &str = "decisions";

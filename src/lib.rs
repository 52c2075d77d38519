//! Serving system for rarely used models.

pub mod agent;
pub mod bench;
pub mod catalogue;
pub mod claim;
pub mod cli;
pub mod client;
pub mod context;
pub mod daemon;
pub mod decision;
pub mod emulator;
pub mod entry;
pub mod follow;
pub mod gossip;
pub mod id;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod rank;
pub mod report;
pub mod settings;
pub mod snapshot;
pub mod timer;
pub mod view;
pub mod wire;

pub(crate) mod jsonc;

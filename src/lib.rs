//! Serving system for rarely used models.

pub mod bench;
pub mod catalogue;
pub mod cli;
pub mod daemon;
pub mod decision;
pub mod emulator;
pub mod id;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod rank;
pub mod report;
pub mod settings;
pub mod timer;
pub mod view;
pub mod wire;

pub(crate) mod agent;
pub(crate) mod context;
pub(crate) mod entry;
pub(crate) mod follow;
pub(crate) mod jsonc;

//! Serving system for rarely used models.

pub mod bench;
pub mod catalogue;
pub mod cli;
pub mod daemon;
pub mod decision;
pub mod emulator;
pub mod id;
pub mod rank;
pub mod settings;
pub mod timer;
pub mod wire;

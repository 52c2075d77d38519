//! Serving system for rarely used models.
//!
//! Daemons called gateway and entry route clients' requests to backend servers. A daemon beside
//! each model engine, called loader or agent, loads and unloads the models.

pub mod agent;
pub mod bench;
pub mod catalogue;
pub mod claim;
pub mod cli;
pub mod client;
pub mod context;
pub mod credential;
pub mod daemon;
pub mod decision;
pub mod deployment;
pub mod dispatch;
pub mod emulator;
pub mod entry;
pub mod follow;
pub mod gateway;
pub mod gossip;
pub mod hosted;
pub mod hub;
pub mod id;
pub mod link;
pub mod loader;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod quarantine;
pub mod rank;
pub mod report;
pub mod settings;
pub mod snapshot;
pub mod timer;
pub mod view;
pub mod watch;
pub mod wire;

pub(crate) mod http;
pub(crate) mod jsonc;

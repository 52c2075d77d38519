//! Adapter to the users' platform: converts between the platform's wire formats and the types of
//! this crate. Each wire name is decoded here and nowhere else. The adapter makes no decisions and
//! keeps no state.

pub mod configuration;
pub mod engine;
pub mod header;
pub mod server;
pub(crate) mod store;

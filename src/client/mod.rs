//! Clients of the external systems, one module each.

pub mod engine;
mod error;
mod http;
pub mod list;
pub mod log;
pub mod service;
pub mod store;
pub mod stream;

pub use error::Error;

//! Connections between daemons, over QUIC with mutual TLS.

mod endpoint;
mod error;
mod exchange;
mod identity;
mod link;

pub use endpoint::Endpoint;
pub use error::Error;
pub use exchange::Exchange;
pub use identity::Identity;

//! Adapter to the users' platform: decodes what it says into the types of the product, once, and
//! encodes what the product says. It decides nothing and keeps no state.

pub mod configuration;
pub mod engine;
pub mod header;
pub mod server;
pub(crate) mod store;

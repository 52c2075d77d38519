//! Hubs carry the control messages between gateways and loaders.
//!
//! A connection between each gateway and each loader would grow with the square of the fleet. A few
//! loaders of each failure domain therefore act as hubs, chosen by rendezvous order from the list of
//! servers. Every loader is connected to all hubs, every gateway to one. Nothing is elected: a
//! loader serves as a hub to whoever connects to it, all state of a hub is soft, and a gateway whose
//! hub does not respond goes to the next one.

mod choice;
mod description;
mod hearing;
mod ledgers;
mod port;
mod probe;
mod quarantine;
mod relay;
mod sent;
mod table;

pub use choice::{
    Candidate,
    all,
    preferred, //
};
pub use description::Description;
pub use hearing::Hearing;
pub(crate) use ledgers::Ledgers;
pub(crate) use port::{
    Hub,
    serve, //
};
pub(crate) use quarantine::Quarantine;
pub(crate) use relay::Relay;
pub use sent::Sent;
pub use table::Table;

//! Exchange of log positions and leaving notices between daemons, each with a few neighbours.

mod neighbours;
mod node;
mod notices;

pub use neighbours::neighbours;
pub(crate) use node::Node;
pub use notices::Notices;

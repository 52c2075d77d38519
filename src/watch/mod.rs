//! What daemons follow in the platform's store: the configuration and the servers.

mod error;
mod follower;
mod roster;

pub(crate) use error::Error;
pub(crate) use follower::{
    Change,
    Follower,
    Periods, //
};
pub use roster::Roster;

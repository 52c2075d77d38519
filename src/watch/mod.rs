//! Follows the configuration and the servers in the platform's store.

mod cursor;
mod error;
mod floor;
mod follower;
mod mirror;
mod pace;
mod roster;

pub use cursor::Cursor;
pub(crate) use error::Error;
pub use floor::Floor;
pub(crate) use follower::{
    Change,
    Follower,
    Listing,
    Periods, //
};
pub use mirror::{
    Mirror,
    Received, //
};
pub use pace::{
    Pace,
    Read, //
};
pub use roster::Roster;

//! Gateways and hubs that share the allowance of one account, played by seeded schedules: requests
//! come in unevenly, messages take time and are lost with connections.

mod rival;
mod scene;
mod world;

pub(crate) use rival::Rule;
pub(crate) use scene::{
    Load,
    Outcome,
    Trouble, //
};
pub(crate) use world::World;

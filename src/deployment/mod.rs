//! Deployment on the users' platform: routes, services, models, servers and client accounts.

mod account;
mod configuration;
mod server;

pub use account::{
    Account,
    Accounts,
    Allowance,
    Unit, //
};
pub use configuration::{
    Configuration,
    Engine,
    Kind,
    Limits,
    Model,
    Route,
    Service,
    Target, //
};
pub use server::{
    Copies,
    Replica,
    Server,
    State, //
};

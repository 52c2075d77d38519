//! Messages between gateways, loaders and hubs: the demand at gateways, and the models that servers
//! hold.
//!
//! The first message on a connection contains everything, the next ones what has changed. Nothing
//! is lost with a connection: the next one begins with everything again.

mod codec;
mod connection;
mod history;
mod message;
mod origin;
mod spending;

pub(crate) use connection::{
    Reader,
    Writer,
    open,
    split, //
};
pub use history::{
    History,
    Listed, //
};
pub use message::{
    Backlog,
    Contact,
    CurrentOrder,
    Demand,
    EngineDescription,
    EngineVersion,
    Holdings,
    Listing,
    ServerDemand,
    ServerState,
    Status,
    Traffic,
    Update,
    Usage,
    Workload, //
};
pub(crate) use message::{
    Hello,
    Needs,
    RATE_TIME_CONSTANT_S,
    RECENT_TIME_CONSTANT_S, //
};
pub(crate) use origin::RETENTION as ORIGIN_RETENTION;
pub use origin::{
    Origin,
    Origins,
    digest, //
};
pub use spending::{
    Ledger,
    Pace,
    Spending,
    Told, //
};

//! Events that the residency policy handles, and the actions that it returns.

use super::{
    ledger::{
        Order,
        Reply,
        Subject, //
    },
    usage::Weights,
};
use crate::{
    client::engine::Inventory,
    id,
    timer::Time, //
};

/// Permission to load a model version on this server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Model version that may be loaded.
    pub model: id::Model,
    /// Log offset of the grant.
    pub grant: u64,
    /// Whether the model must be unloaded.
    pub retiring: bool,
    /// Memory and checkpoint size in MiB, or `None` if the catalogue lacks the model version.
    pub size: Option<(u64, u64)>,
}

/// Event that the residency policy handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// Whether this process may send orders to the engine.
    Authority(bool),
    /// All slots of this server.
    Slots(Vec<Slot>),
    /// A request for a model version arrived and was queued.
    Arrived(id::Model, Weights),
    /// A request was refused because of the predicted load time; its client may retry until this
    /// time.
    RetryExpected(id::Model, Time),
    /// A waiting request was started.
    Started(id::Model),
    /// A waiting request was refused or cancelled before it was started.
    Removed(id::Model),
    /// A started request has ended.
    Ended(id::Model),
    /// A started request needs an adapter of this size in MiB.
    AdapterNeeded(Subject, u64),
    /// A started request no longer needs its adapter.
    AdapterReleased(Subject),
    /// The reply to an order has arrived or was lost.
    OrderEnded(Order, Reply),
    /// The engine sent an inventory, which was requested at this mark of the ledger.
    Inventory(u64, Inventory),
    /// Time has passed; nothing else has changed.
    Tick,
}

/// Action that the residency policy requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this order to the engine, for this reason.
    Order(Order, &'static str),
    /// Append a `Released` record for the grant at this offset.
    Released(id::Model, u64),
}

//! What the residency policy is told and what it answers.

use super::{
    ledger::{
        Answer,
        Order,
        Subject, //
    },
    usage::Weights,
};
use crate::{
    client::engine::Inventory,
    id,
    timer::Time, //
};

/// The permission to load a model version here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Model version.
    pub model: id::Model,
    /// Offset of the grant.
    pub grant: u64,
    /// Whether the model must be unloaded.
    pub retiring: bool,
    /// Memory and checkpoint size in MiB, if the catalogue has the model version.
    pub size: Option<(u64, u64)>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Whether orders may be given has changed.
    Authority(bool),
    /// The slots of this server, all of them.
    Slots(Vec<Slot>),
    /// A request for a model version arrived and waits.
    Arrived(id::Model, Weights),
    /// A request was refused because of the load time; its caller may come back until this time.
    Wished(id::Model, Time),
    /// A waiting request has begun.
    Began(id::Model),
    /// A waiting request was refused or cancelled.
    Left(id::Model),
    /// A request that had begun has ended.
    Ended(id::Model),
    /// A request that has begun needs an adapter of this size in MiB.
    AdapterNeeded(Subject, u64),
    /// A request does not need its adapter any more.
    AdapterLeft(Subject),
    /// An order was answered.
    Answered(Order, Answer),
    /// The inventory that was asked for at this mark.
    Inventory(u64, Inventory),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give the engine this order.
    Order(Order, &'static str),
    /// Append `Released` for the grant at this offset.
    Released(id::Model, u64),
}

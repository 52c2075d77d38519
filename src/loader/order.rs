//! Reports of an engine and orders to it.

use crate::{
    deployment::{
        Copies,
        Replica, //
    },
    timer::Time,
};

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Start of the engine in Unix milliseconds.
    pub born: u64,
    /// Orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Models in accelerator memory.
    pub replicas: Vec<Replica>,
    /// Adapters on their way from the weight store, with their models.
    pub pending_adapters: Vec<(String, String)>,
    /// Copies of weights elsewhere on the server.
    pub copies: Copies,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Brings a model or an adapter into accelerator memory.
    Load,
    /// Removes it from there.
    Unload,
}

impl Operation {
    /// Returns the word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to an engine.
///
/// It takes effect only if the engine has accepted exactly as many orders as the report said from
/// which the order was decided. So an order that arrives late never meets other facts.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// What it does.
    pub operation: Operation,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the order concerns one and not the model.
    pub adapter: Option<String>,
    /// Orders that the engine must have accepted before.
    pub accepted_orders: u64,
}

/// An order that got no answer and may still be carried out.
#[derive(Debug, Clone, PartialEq)]
pub struct Unanswered {
    /// Start of the engine that the order was decided for, in Unix milliseconds.
    pub born: u64,
    /// Orders that the engine must have accepted before.
    pub accepted_orders: u64,
    /// When the order was given.
    pub given: Time,
}

impl Unanswered {
    /// Returns whether the order could meet an engine that started again under the same id and so
    /// counts its orders anew.
    pub fn threatens(&self, report: &Report) -> bool {
        self.born != report.born && self.accepted_orders >= report.accepted_orders
    }
}

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The order is being carried out.
    Accepted,
    /// What is ordered holds already.
    Holds,
    /// Another order is under way, or the engine has accepted other orders than expected.
    Conflict,
    /// Refused with this status.
    Refused(u16),
}

//! Reports of an engine, orders to it and its replies.

use crate::{
    deployment::{
        Copies,
        Replica, //
    },
    timer::Time,
};

/// Report of an engine on its state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Start time of the engine, in Unix milliseconds.
    pub started_ms: u64,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Whether it is executing an order.
    pub is_busy: bool,
    /// Whether the server has announced that it leaves.
    pub is_leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Models in accelerator memory.
    pub replicas: Vec<Replica>,
    /// Adapters being loaded from the weight store, as pairs of model and adapter.
    pub pending_adapters: Vec<(String, String)>,
    /// Copies of weights elsewhere on the server.
    pub copies: Copies,
}

/// The operation of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Loads a model or an adapter into accelerator memory.
    Load,
    /// Unloads a model or an adapter from accelerator memory.
    Unload,
}

impl Operation {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to an engine.
///
/// The engine accepts it only if it has accepted exactly as many orders as in the report that the
/// order is based on. A delayed order therefore never takes effect on a state other than the one it
/// was decided for.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Operation to carry out.
    pub operation: Operation,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the order is for an adapter of the model.
    pub adapter: Option<String>,
    /// Number of orders that the engine must have accepted before this one.
    pub accepted_orders: u64,
}

/// An order that got no reply and that the engine may still execute.
#[derive(Debug, Clone, PartialEq)]
pub struct Unanswered {
    /// Start time of the engine that the order was decided for, in Unix milliseconds.
    pub started_ms: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub accepted_orders: u64,
    /// When the order was sent.
    pub sent: Time,
}

impl Unanswered {
    /// Returns whether the engine could still execute the order after a restart under the same id.
    /// A restarted engine counts accepted orders from zero again, so it could reach the number that
    /// the order expects.
    pub fn may_apply_to(&self, report: &Report) -> bool {
        self.started_ms != report.started_ms && self.accepted_orders >= report.accepted_orders
    }
}

/// Reply of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The engine is executing the order.
    Accepted,
    /// The engine is already in the state that the order asks for.
    Holds,
    /// Another order is in progress, or the number of accepted orders is not the expected one.
    Conflict,
    /// The engine refused the order with this HTTP status.
    Refused(u16),
}

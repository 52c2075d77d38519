//! Builds the messages of orders and interprets the engine's responses.

use std::time::Duration;

use uuid::Uuid;

use super::ledger::{
    Order, //
    Reply,
};
use crate::client::{
    Error,
    engine::{
        self,
        Kind, //
    },
};

/// Timeout for the response to a load order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Timeout for the response to an unload order.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for the response to an order about an adapter.
const ADAPTER_TIMEOUT: Duration = Duration::from_secs(10);

/// Status of an engine's response if its memory does not suffice for a load.
const STATUS_NO_MEMORY: u16 = 507;

/// Returns the message for an order, with a new ID.
pub(super) fn message(order: &Order, fence: u64) -> engine::Order {
    engine::Order {
        id: Uuid::new_v4(),
        fence,
        kind: order.kind,
        model: order.subject.model.clone(),
        adapter: order.subject.adapter.clone(),
        memory_mb: order.memory_mb,
    }
}

/// Returns the reply that an engine's response represents.
pub(super) fn reply(result: &Result<(), Error>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(Error::Status { status, .. }) if *status == STATUS_NO_MEMORY => Reply::Rejected,
        Err(error) if error.had_no_effect() => Reply::Rejected,
        Err(_) => Reply::Lost,
    }
}

/// Returns the timeout for the response to an order.
pub(super) fn timeout(kind: Kind) -> Duration {
    match kind {
        Kind::Load => LOAD_TIMEOUT,
        Kind::Unload => UNLOAD_TIMEOUT,
        Kind::LoadAdapter | Kind::UnloadAdapter => ADAPTER_TIMEOUT,
    }
}

/// Returns the name of an order's log event.
pub(super) fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Load => "load",
        Kind::Unload => "unload",
        Kind::LoadAdapter => "load_adapter",
        Kind::UnloadAdapter => "unload_adapter",
    }
}

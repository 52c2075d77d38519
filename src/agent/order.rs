//! How orders are sent to an engine and what its answers mean.

use std::time::Duration;

use uuid::Uuid;

use super::ledger::{
    Answer,
    Order, //
};
use crate::client::{
    Error,
    engine::{
        self,
        Kind, //
    },
};

/// Longest waits for the answers to orders.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(30);
const ADAPTER_TIMEOUT: Duration = Duration::from_secs(10);

/// Status by which an engine says that its memory does not suffice.
const STATUS_NO_MEMORY: u16 = 507;

/// Returns the message that gives an order.
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

/// Returns what the engine's answer means for an order.
pub(super) fn answer(result: &Result<(), Error>) -> Answer {
    match result {
        Ok(()) => Answer::Done,
        Err(Error::Status { status, .. }) if *status == STATUS_NO_MEMORY => Answer::Rejected,
        Err(error) if error.had_no_effect() => Answer::Rejected,
        Err(_) => Answer::Lost,
    }
}

/// Returns the longest wait for the answer to an order.
pub(super) fn limit(kind: Kind) -> Duration {
    match kind {
        Kind::Load => LOAD_TIMEOUT,
        Kind::Unload => UNLOAD_TIMEOUT,
        Kind::LoadAdapter | Kind::UnloadAdapter => ADAPTER_TIMEOUT,
    }
}

/// Returns the name of an order in logs.
pub(super) fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Load => "load",
        Kind::Unload => "unload",
        Kind::LoadAdapter => "load_adapter",
        Kind::UnloadAdapter => "unload_adapter",
    }
}

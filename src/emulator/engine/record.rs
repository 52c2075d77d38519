//! Record of what the engine did, for tests to check.

use serde::Serialize;

use crate::id;

/// How a completion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum End {
    /// It has not ended: it waits or runs.
    Open,
    /// It produced all its events.
    Finished,
    /// It was cancelled by its id.
    Cancelled,
    /// Its caller closed the connection.
    CallerGone,
    /// Its model or adapter was unloaded while it ran.
    Cut,
    /// A fault broke its connection.
    Broken,
}

/// A completion that the engine accepted.
#[derive(Debug, Serialize)]
pub(super) struct Completion {
    /// Request id.
    pub(super) request: id::Request,
    /// Model version.
    pub(super) model: id::Model,
    /// Adapter, if any.
    pub(super) adapter: Option<id::Adapter>,
    /// Priority.
    pub(super) priority: u8,
    /// Number of events skipped because the request resumes an earlier stream.
    pub(super) resume_from: u64,
    /// Body as it was received.
    pub(super) body: String,
    /// Number of this completion in the order in which completions began to run, from 1; 0 while it
    /// waits.
    pub(super) began: u64,
    /// Number of events produced.
    pub(super) produced: u64,
    /// How it ended.
    pub(super) end: End,
}

/// What the engine did.
#[derive(Debug, Default, Serialize)]
pub(super) struct Record {
    /// Number of orders, including repeated ones.
    pub(super) orders: u64,
    /// Number of orders with an id that was received before.
    pub(super) repeated_orders: u64,
    /// Number of orders refused because of a stale fencing token.
    pub(super) refused_fence: u64,
    /// Number of loads refused for lack of memory.
    pub(super) refused_memory: u64,
    /// Model versions whose load started, in order.
    pub(super) loads_started: Vec<id::Model>,
    /// Model versions whose load finished, in order.
    pub(super) loads_finished: Vec<id::Model>,
    /// Model versions whose load failed, in order.
    pub(super) loads_failed: Vec<id::Model>,
    /// Model versions that were unloaded, in order.
    pub(super) unloads: Vec<id::Model>,
    /// Adapters that were loaded, in order.
    pub(super) adapter_loads: Vec<id::Adapter>,
    /// Memory in use at present, in MiB.
    pub(super) memory_mb: u64,
    /// Maximum memory ever in use, in MiB.
    pub(super) most_memory_mb: u64,
    /// Maximum number of model versions ever held at once.
    pub(super) most_models: usize,
    /// Number of completions that began to run.
    pub(super) began: u64,
    /// Completions that were accepted, in order.
    pub(super) completions: Vec<Completion>,
}

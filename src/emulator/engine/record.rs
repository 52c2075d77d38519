//! What really happened in the engine.

use serde::Serialize;

use crate::id;

/// How a completion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum End {
    /// It waits or runs.
    Open,
    /// All its events were produced.
    Finished,
    /// It was cancelled by its id.
    Cancelled,
    /// Its caller closed the connection.
    CallerGone,
    /// Its model was unloaded meanwhile.
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
    /// Events that were skipped on resumption.
    pub(super) resume_from: u64,
    /// Body as it was received.
    pub(super) body: String,
    /// Place in the order in which completions began to run, from 1; 0 while it waits.
    pub(super) began: u64,
    /// Events produced.
    pub(super) produced: u64,
    /// How it ended.
    pub(super) end: End,
}

/// What really happened in the engine, for tests to judge.
#[derive(Debug, Default, Serialize)]
pub(super) struct Record {
    /// Orders, repeated ones included.
    pub(super) orders: u64,
    /// Orders whose id had been seen.
    pub(super) repeated_orders: u64,
    /// Orders refused for an old fencing number.
    pub(super) refused_fence: u64,
    /// Loads refused for lack of memory.
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
    /// Memory that is held now, in MiB.
    pub(super) memory_mb: u64,
    /// Most memory ever held, in MiB.
    pub(super) most_memory_mb: u64,
    /// Most model versions ever held.
    pub(super) most_models: usize,
    /// Completions that began to run.
    pub(super) began: u64,
    /// Completions that were accepted, in order.
    pub(super) completions: Vec<Completion>,
}

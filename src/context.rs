//! What every part of a daemon shares.

use std::sync::Arc;

use tokio::{
    runtime::Handle,
    sync::watch, //
};

use crate::{
    metrics::Metrics,
    peer::Endpoint,
    platform::log::Log,
    settings::Settings,
    view::View, //
};

/// What every part of a daemon shares.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) settings: Arc<Settings>,
    pub(crate) view: Arc<View>,
    pub(crate) endpoint: Endpoint,
    pub(crate) log: Log,
    pub(crate) runtime: Handle,
    pub(crate) metrics: Arc<Metrics>,
    /// Becomes true once the daemon shuts down gracefully.
    pub(crate) stopping: watch::Receiver<bool>,
}

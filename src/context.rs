//! State that all components of a daemon share.

use std::sync::Arc;

use tokio::{
    runtime::Handle,
    sync::watch, //
};

use crate::{
    client::log::Log,
    metrics::Metrics,
    peer::Endpoint,
    settings::Settings,
    view::View, //
};

/// Settings, clients and state that all components of a daemon share.
#[derive(Debug, Clone)]
pub struct Context {
    /// Settings of this instance.
    pub settings: Arc<Settings>,
    /// Local copy of the fleet state.
    pub view: Arc<View>,
    /// Endpoint of the connections between daemons.
    pub endpoint: Endpoint,
    /// Client of the log service.
    pub log: Log,
    /// Runtime on which requests are served.
    pub runtime: Handle,
    /// Metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Set to true when the graceful shutdown begins.
    pub stopping: watch::Receiver<bool>,
}

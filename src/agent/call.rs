//! Calls of plain services.

use bytes::Bytes;

use crate::{
    context::Context,
    wire::{
        Call,
        Load,
        Reason,
        Refusal,
        Request, //
    },
};

/// A plain service's answer.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Bytes,
}

/// The calls of an agent's plain service.
#[derive(Debug)]
pub(crate) struct Calls;

impl Calls {
    /// Starts serving calls for the plain service at the base URL.
    pub(crate) fn start(_context: Context, _url: &str) -> Self {
        Self
    }

    /// Runs a call.
    ///
    /// # Errors
    ///
    /// Returns why the call was refused.
    pub(crate) async fn run(
        &self,
        _request: &Request,
        _call: &Call,
        _body: Bytes,
    ) -> Result<Reply, Refusal> {
        Err(Refusal {
            reason: Reason::Backend,
            not_run: true,
            retry_after_ms: 0,
            load: Load::default(),
        })
    }
}

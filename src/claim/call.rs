//! A call of the plain service.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;

use super::{
    Body,
    Digest,
    Ending,
    Response, //
};
use crate::{
    client::{
        Error,
        service::{
            self,
            Service, //
        },
    },
    id,
    timer::Time,
    wire::{
        self,
        MAX_BODY_BYTES, //
    },
};

/// A call, which holds one of the agent's call permits while it waits or runs.
#[derive(Debug)]
pub(crate) struct Call {
    pub(super) request: id::Request,
    pub(super) call: wire::Call,
    pub(super) body: Bytes,
    pub(super) deadline: Time,
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining(Time::now())
    }

    /// Returns the digest that distinguishes a retry from a different call with the same key.
    pub(super) fn fingerprint(&self) -> Digest {
        let (method, path) = (&self.call.method, &self.call.path);
        Digest::of(&[method.as_bytes(), path.as_bytes(), &self.body])
    }
}

/// Sends the call once and reads its response. The body is left out if it is larger than
/// [`MAX_BODY_BYTES`] or may have been cut short.
pub(crate) fn send(service: &Service, call: &Call, timeout: Duration) -> Ending {
    let outcome = service.call(&service::Call {
        method: &call.call.method,
        path: &call.call.path,
        content_type: call.call.content_type.as_deref(),
        request: call.request.as_str(),
        body: &call.body,
        timeout,
    });
    let answer = match outcome {
        Ok(answer) => answer,
        Err(Error::Unreachable(_)) => return Ending::NotSent,
        Err(_) => return Ending::Unknown,
    };
    let (status, content_type) = (answer.status, answer.content_type.clone());
    match answer.read_whole(MAX_BODY_BYTES) {
        Ok(body) => Ending::Response(Arc::new(Response {
            status,
            content_type,
            body: body.map(Body),
        })),
        Err(_) => Ending::Unknown,
    }
}

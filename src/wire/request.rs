//! Requests that entries send to agents.

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use crate::id;

/// A client's request. Its body follows in `Frame::Piece`s and ends with `Frame::End`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the request, which is the same in the log lines of all daemons.
    pub id: id::Request,
    /// Institution that the client's credential belongs to.
    pub institution: id::Institution,
    /// Time remaining until the deadline in milliseconds.
    pub timeout_ms: u64,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Maximum number of this institution's requests that may wait for the model version at the
    /// agent. Not used for calls to plain services.
    pub max_queue: u32,
    /// The requested operation.
    pub work: Work,
}

/// Operation that a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model.
    Chat(Chat),
    /// A call to a plain service.
    Call(Call),
}

/// A completion by a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// Model version.
    pub model: id::Model,
    /// Adapter, if any.
    pub adapter: Option<id::Adapter>,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// Number of pieces that the client already has when it resumes a stream, otherwise 0.
    pub resume_from: u64,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Name of the service.
    pub service: id::Service,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service's root, beginning with `/`.
    pub path: String,
    /// Content type of the body, if given.
    pub content_type: Option<String>,
    /// Idempotency key, for a call that is not idempotent.
    pub key: Option<Uuid>,
}

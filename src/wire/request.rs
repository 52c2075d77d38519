//! A request on its way from an entry to an agent.

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use crate::id;

/// A caller's request; the body follows in `Frame::Piece`s and ends with `Frame::End`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the request, the same in all logs.
    pub id: id::Request,
    /// Institution of the credential.
    pub institution: id::Institution,
    /// Time left until the deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Most requests of this institution that may wait at the agent.
    pub max_queue: u32,
    /// What is asked for.
    pub work: Work,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
}

/// A completion by a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// Model version.
    pub model: id::Model,
    /// Adapter, if any.
    pub adapter: Option<id::Adapter>,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// Number of pieces that the caller has already, when the stream is resumed.
    pub resume_from: u64,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Plain service.
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

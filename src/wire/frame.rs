//! Frames, the messages that daemons exchange.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Piece,
    Request, //
};
use crate::{
    id,
    snapshot::Part, //
};

/// A message on a QUIC stream. The first frame of a stream determines the kind of exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Starts a request; the pieces of the body and `End` follow.
    Open(Box<Request>),
    /// Log positions and leaving notices; the reply is `Heads`.
    Heads(Heads),
    /// Asks for the records of a stream after an offset; the reply is `Records` or `State`.
    Pull {
        /// Name of the log stream.
        stream: String,
        /// Offset of the last record that the requesting daemon has applied.
        after: u64,
    },
    /// Asks the coordinator for one more slot; the reply is `End`.
    Widen {
        /// Model version whose replicas are saturated.
        model: id::Model,
    },
    /// Orders an agent to accept no more work and to leave; the reply is `End`.
    Drain,
    /// Starts a response; the pieces of the body and `End` follow.
    Head(Head),
    /// Part of the body of a request or response.
    Piece(Piece),
    /// The body is complete.
    End,
    /// The request was refused.
    Refused(Refusal),
    /// The response can't be completed.
    Failed(Failure),
    /// Records of a log stream, in the order of their offsets.
    Records(Vec<(u64, String)>),
    /// Part of a state, sent instead of records that are no longer kept or too large for a frame.
    State(Part),
}

/// Start of the response to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Id of the request.
    pub request: id::Request,
    /// HTTP status of the backend server's response.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Load of the agent's backend server.
    pub load: Load,
}

/// Load of a backend server, as reported by its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Whether the requested model version is loaded.
    pub resident: bool,
    /// Number of requests that wait for the requested model version.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Estimated waiting time of a new request in milliseconds.
    pub wait_ms: u64,
    /// Whether the backend server accepts no new work because it is leaving.
    pub leaving: bool,
}

/// Refusal of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// True if the request is known not to have run; false if the outcome is unknown.
    pub not_run: bool,
    /// Time in milliseconds after which to retry; 0 if a retry does not help.
    pub retry_after_ms: u64,
    /// Load of the agent's backend server.
    pub load: Load,
}

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server is leaving.
    Leaving,
    /// The deadline can't be met, or the maximum number of calls to the plain service is in flight.
    Busy,
    /// Loading the model version takes longer than the deadline allows. A retry on another server
    /// does not help, since the version would have to be loaded there as well.
    Loading,
    /// The maximum number of requests for the model version is waiting, either of this institution
    /// or in total.
    QueueFull,
    /// The deadline passed while the request waited.
    Deadline,
    /// The backend server has no slot for the model version.
    NoSlot,
    /// The agent has no epoch, and without one it may not load models.
    NoEpoch,
    /// The log is unavailable, so a call that is not idempotent can't be claimed, or the agent's
    /// copy of the log's state is older than the service allows.
    LogDown,
    /// The model, adapter or service is not in the catalogue, or this agent does not serve it.
    Unknown,
    /// The idempotency key is missing or malformed.
    BadKey,
    /// The idempotency key has expired or its time is in the future.
    KeyExpired,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// An earlier call with this key was started, and its outcome is unknown.
    OutcomeUnknown,
    /// The backend server refused the request or could not be reached.
    Backend,
}

impl Reason {
    /// Returns the name of this reason in logs, metrics and error responses.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Busy => "busy",
            Self::Loading => "loading",
            Self::QueueFull => "queue_full",
            Self::Deadline => "deadline",
            Self::NoSlot => "no_slot",
            Self::NoEpoch => "no_epoch",
            Self::LogDown => "log_down",
            Self::Unknown => "unknown",
            Self::BadKey => "bad_key",
            Self::KeyExpired => "key_expired",
            Self::KeyReused => "key_reused",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Backend => "backend",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Failure to complete a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the backend server may have started to run the request.
    pub started: bool,
    /// Description of the failure.
    pub detail: String,
}

/// Log positions and leaving notices, exchanged between neighbours.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heads {
    /// Offset of the last applied record of the stream `decisions`.
    pub decisions: u64,
    /// Offset of the last applied record of the stream `releases`.
    pub releases: u64,
    /// Time in milliseconds since both streams were last known to be up to date, either from the
    /// log or through peers; `u64::MAX` if they never were.
    pub news_age_ms: u64,
    /// Notices of backend servers that are leaving.
    pub leaving: Vec<Leaving>,
}

/// Notice that a backend server is leaving and accepts no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The backend server.
    pub server: id::Instance,
    /// Epoch of the server's agent when it announced this.
    pub epoch: u64,
}

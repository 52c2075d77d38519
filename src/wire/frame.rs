//! Frames between daemons.

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

/// A message on a QUIC stream; the first frame of a stream says what the exchange is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a request; pieces of the body and `End` follow.
    Open(Box<Request>),
    /// Exchanges positions and notices; answered by `Heads`.
    Heads(Heads),
    /// Asks for the records of a stream after an offset; answered by `Records` or `State`.
    Pull {
        /// Name of the log stream.
        stream: String,
        /// Last offset that the asker has applied.
        after: u64,
    },
    /// Asks the coordinator for one more slot; answered by `End`.
    Widen {
        /// Model version whose replicas are saturated.
        model: id::Model,
    },
    /// Tells an agent to leave; answered by `End`.
    Drain,
    /// Begins an answer; pieces and `End` follow.
    Head(Head),
    /// Part of a body.
    Piece(Piece),
    /// The body is complete.
    End,
    /// The request was refused.
    Refused(Refusal),
    /// The answer can't be completed.
    Failed(Failure),
    /// Records of a log stream, in the order of their offsets.
    Records(Vec<(u64, String)>),
    /// Part of a fold's state, where records are no longer held.
    State(Part),
}

/// Begins the answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Id of the request that this answers.
    pub request: id::Request,
    /// HTTP status of the backend server's answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Load of the agent's backend server.
    pub load: Load,
}

/// Load of a backend server as its agent sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Whether the asked model version is loaded.
    pub resident: bool,
    /// Requests that wait for the asked model version.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Predicted wait of a new request in milliseconds.
    pub wait_ms: u64,
    /// Whether the backend server takes no new work.
    pub leaving: bool,
}

/// Says why a request was refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// True if the request was certainly not run; false if the outcome is unknown.
    pub not_run: bool,
    /// Milliseconds after which to come back, 0 if that does not help.
    pub retry_after_ms: u64,
    /// Load of the agent's backend server.
    pub load: Load,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server is leaving.
    Leaving,
    /// The deadline can't be met.
    Busy,
    /// The load of the model version takes longer than the deadline allows; on another server it
    /// would have to be loaded as well.
    Loading,
    /// The institution's queue is full.
    QueueFull,
    /// The deadline passed while the request waited.
    Deadline,
    /// The backend server has no slot for the model version.
    NoSlot,
    /// The agent has no epoch and may not load.
    NoEpoch,
    /// The log is down, so that a call that is not idempotent can't be claimed.
    LogDown,
    /// The model, adapter or service is not in the catalogue.
    Unknown,
    /// The idempotency key is missing or malformed.
    BadKey,
    /// The idempotency key is too old or lies in the future.
    KeyExpired,
    /// The idempotency key was used with another request.
    KeyReused,
    /// An earlier call with this key began and its outcome is not known.
    OutcomeUnknown,
    /// The backend server refused or could not be reached.
    Backend,
}

impl Reason {
    /// Returns the reason's name in logs, metrics and problem data.
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

/// Says that an answer can't be completed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the backend server may have begun the request.
    pub started: bool,
    /// What went wrong.
    pub detail: String,
}

/// Positions in the log and notices, exchanged between neighbours.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heads {
    /// Last applied offset of the stream `decisions`.
    pub decisions: u64,
    /// Last applied offset of the stream `releases`.
    pub releases: u64,
    /// Milliseconds since the last news of the log, directly or through peers.
    pub news_age_ms: u64,
    /// Backend servers that are leaving.
    pub leaving: Vec<Leaving>,
}

/// Says that a backend server takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The backend server.
    pub server: id::Instance,
    /// Epoch of the agent that said so.
    pub epoch: u64,
}

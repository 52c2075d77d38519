//! What requests and answers say beside their bodies.

use std::{
    fmt,
    time::Duration, //
};

use crate::dispatch::Part;

/// The model of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelName {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is used.
    pub adapter: Option<String>,
}

/// What a client says of its request.
#[derive(Debug, Clone, PartialEq)]
pub struct Asked {
    /// Id of this attempt of the client.
    pub id: String,
    /// How long the client waits.
    pub time_left: Option<Duration>,
    /// The model, for services of model engines.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Parts of the prompt in their order.
    pub prompt: Vec<Part>,
    /// The last event that the client has, if it resumes a stream.
    pub last_event: Option<String>,
}

/// What is said to a server about a request.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    /// Id of the server.
    pub server: &'a str,
    /// Time within which the answer is of use.
    pub time_left: Duration,
    /// Rank among the server's requests; 0 goes first.
    pub priority: Option<u8>,
    /// The last event that was passed on, if a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What a server says with its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Id of the request that this answers.
    pub id: Option<String>,
    /// Id of the server, where it says so.
    pub instance: Option<String>,
    /// Whether the answer bears the server's signature.
    pub is_signed: bool,
    /// Whether the server promises that the request has not run and will not.
    pub has_not_run: bool,
    /// The server's load.
    pub load: Option<Load>,
    /// Time for which the server keeps the connection while it is idle.
    pub keep: Option<Duration>,
    /// Whether the server closes the connection.
    pub closes: bool,
}

/// Why a request can't be understood safely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Malformed {
    /// The request has no id.
    NoId,
    /// A header occurs twice that may occur once.
    Repeated(String),
    /// The body has a length and is chunked as well.
    TwoLengths,
    /// The host is missing or contradicts the target.
    Host,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoId => f.write_str("the request has no id"),
            Self::Repeated(name) => write!(f, "header {name} occurs twice"),
            Self::TwoLengths => f.write_str("the body has a length and is chunked"),
            Self::Host => f.write_str("the host is missing or ambiguous"),
        }
    }
}

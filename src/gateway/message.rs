//! Data of the headers of requests and responses.

use std::{
    fmt,
    time::Duration, //
};

use crate::dispatch::{
    Part,
    RequestRate, //
};

/// The model and adapter that a request uses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelName {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is used.
    pub adapter: Option<String>,
}

/// Head of a client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Id of the request, which the client sets anew for each attempt.
    pub id: String,
    /// Time for which the client waits for the response, if it states one.
    pub timeout: Option<Duration>,
    /// The model, for services of model engines.
    pub model: Option<ModelName>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of the prompt and maximum number of tokens of the response together, if the
    /// request states them.
    pub tokens: Option<u64>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event: Option<String>,
    /// Id of the client's attempt that brought the first event of the stream, if it resumes one.
    pub resumes: Option<String>,
}

/// For whom a request is made, as its server is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The configuration names no accounts; the client's own headers are passed on.
    Unchecked,
    /// The route is public; the server is told nothing.
    Anonymous,
    /// The request bears a key of the account with this name.
    Account(&'a str),
}

/// Headers that the gateway sets on a request to a server.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    /// Id of the server.
    pub server: &'a str,
    /// Time after which the response is of no use: the remaining time until the client's deadline.
    pub timeout: Duration,
    /// Priority among the server's requests; 0 is the most urgent.
    pub priority: Option<u8>,
    /// For whom the request is made.
    pub caller: Caller<'a>,
    /// Id of the last event that was passed on, if a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Head of a server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Id of the request that the server responds to.
    pub id: Option<String>,
    /// Id of the server, if the response states it.
    pub instance: Option<String>,
    /// Whether the response has the server's signature.
    pub is_signed: bool,
    /// Whether the body has a content coding, which no client asks for.
    pub is_encoded: bool,
    /// Whether the server guarantees that the request has not run and will not.
    pub has_not_run: bool,
    /// The server's load.
    pub load: Option<Load>,
    /// Time for which the server keeps the connection open while it is idle.
    pub keep_alive: Option<Duration>,
    /// Whether the server closes the connection after the response.
    pub closes: bool,
    /// Whether the server announces that it leaves.
    pub is_leaving: bool,
    /// Time for which the server wants no requests.
    pub rest: Option<Rest>,
    /// Limit that the server names on the requests of all processes together.
    pub request_limit: Option<RequestLimit>,
}

/// Limit that a server names on the requests of all processes together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestLimit {
    /// The server states this rate.
    Rate(RequestRate),
    /// The server states a rate that can't be read; this is its text.
    Unreadable(String),
}

/// Time for which a server that is overloaded wants no requests from this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rest {
    /// The server states this time.
    For(Duration),
    /// The server states a time that can't be read; this is its text.
    Unreadable(String),
}

/// Why a request is refused as malformed: it lacks a required header or can be read in two ways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Malformed {
    /// The request has no id.
    NoId,
    /// This header occurs more than once, but is allowed only once.
    Repeated(String),
    /// The request has a content length and a chunked body.
    TwoLengths,
    /// The host header is missing or contradicts the request target.
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

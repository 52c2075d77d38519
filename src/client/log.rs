//! Client of the platform's append-only log service.

use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;

use super::{
    Error,
    http, //
};

/// Timeout for an append.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a read, in addition to the time of its long poll.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Record {
    /// Offset in the stream; the first record has offset 1.
    pub offset: u64,
    /// Content.
    pub body: String,
}

/// Records read from a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the log still retains.
    pub first: u64,
    /// Offset that the next appended record will get.
    pub next: u64,
    /// Records by ascending offset.
    pub records: Vec<Record>,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct Log {
    base: String,
    append: Agent,
}

impl Log {
    /// Creates a client for the service at the base URL.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            append: http::unpooled_client(APPEND_TIMEOUT),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// After `NoResponse` or `Malformed` the record may be in the stream or may still be appended
    /// to it; look for its id before appending again.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::{Error, log::Log};
    ///
    /// // Nothing listens at this address.
    /// let log = Log::new("http://127.0.0.1:1");
    /// let result = log.append("decisions", "{}");
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn append(&self, stream: &str, body: &str) -> Result<u64, Error> {
        let url = format!("{}/streams/{stream}", self.base);
        let response = self.append.post(&url).send(body)?;
        let appended: Appended = http::decode(response)?;
        Ok(appended.offset)
    }

    /// Reads up to `limit` records from offset `from` on, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// On any error nothing was read.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::{Error, log::Log};
    /// use std::time::Duration;
    ///
    /// // Nothing listens at this address.
    /// let log = Log::new("http://127.0.0.1:1");
    /// let result = log.read("decisions", 1, 100, Duration::ZERO);
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn read(&self, stream: &str, from: u64, limit: u32, wait: Duration) -> Result<Page, Error> {
        let url = format!(
            "{}/streams/{stream}?from={from}&limit={limit}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let agent = http::client(wait + READ_MARGIN);
        http::get(&agent, &url)
    }
}

//! Errors of reads from the store.

use std::fmt;

/// Why a read from the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// The store did not respond within the timeout.
    Timeout,
    /// The connection could not be made, or it ended before the response was complete.
    Unreachable(String),
    /// The store responded with an error status.
    Status(u16),
    /// The store no longer holds the requested records.
    Expired,
    /// The response is of an earlier era of the store than one that was read before.
    Outdated,
    /// The response can't be decoded.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
            Self::Unreachable(detail) => write!(f, "unreachable: {detail}"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Expired => f.write_str("the records are no longer held"),
            Self::Outdated => f.write_str("the answer is of an earlier era"),
            Self::Malformed(detail) => write!(f, "malformed: {detail}"),
        }
    }
}

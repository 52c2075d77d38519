//! Errors of reads from the store.

use std::fmt;

/// Why a read from the store gave nothing usable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// No answer came in time.
    Timeout,
    /// No connection, or it ended before the answer did.
    Unreachable(String),
    /// The store answered with an error status.
    Status(u16),
    /// The store no longer holds the records that were asked for.
    Forgotten,
    /// The answer can't be understood.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
            Self::Unreachable(detail) => write!(f, "unreachable: {detail}"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Forgotten => f.write_str("the records are no longer held"),
            Self::Malformed(detail) => write!(f, "malformed: {detail}"),
        }
    }
}

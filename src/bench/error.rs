//! Errors of the load tool.

use std::{
    fmt,
    io, //
};

use crate::{
    client, //
    peer,
};

/// Why the load tool can't go on.
#[derive(Debug)]
pub enum Error {
    /// A file or process operation failed.
    Io(String, io::Error),
    /// A call of an emulator or daemon failed.
    Call(String),
    /// A process or the fleet did not become ready in time.
    NotReady(String),
    /// A check of the demonstration failed.
    Check(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Call(detail) => write!(f, "call failed: {detail}"),
            Self::NotReady(what) => write!(f, "not ready in time: {what}"),
            Self::Check(what) => write!(f, "check failed: {what}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<ureq::Error> for Error {
    fn from(error: ureq::Error) -> Self {
        Self::Call(error.to_string())
    }
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        Self::Call(error.to_string())
    }
}

impl From<peer::Error> for Error {
    fn from(error: peer::Error) -> Self {
        Self::Call(error.to_string())
    }
}

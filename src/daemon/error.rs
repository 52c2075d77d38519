//! Errors that prevent the daemon from running.

use std::{
    fmt,
    io, //
};

use crate::{
    hosted,
    peer, //
};

/// Why the daemon can't run.
#[derive(Debug)]
pub(super) enum Error {
    Settings(String),
    Hosted(hosted::Error),
    Peer(peer::Error),
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(findings) => f.write_str(findings),
            Self::Hosted(error) => write!(f, "{error}"),
            Self::Peer(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl From<peer::Error> for Error {
    fn from(error: peer::Error) -> Self {
        Self::Peer(error)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

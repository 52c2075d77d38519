//! Errors of connections between daemons.

use std::fmt;

/// Why an exchange with a peer failed.
#[derive(Debug)]
pub enum Error {
    /// The keys or the address can't be used.
    Config(String),
    /// No connection was made, so nothing was sent.
    Connect(String),
    /// The connection was lost; the peer may have received what was sent.
    Lost(String),
    /// The peer sent something that is not a frame of the protocol.
    Protocol(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(detail) => write!(f, "can't use the peer settings: {detail}"),
            Self::Connect(detail) => write!(f, "can't connect to the peer: {detail}"),
            Self::Lost(detail) => write!(f, "lost the connection to the peer: {detail}"),
            Self::Protocol(detail) => write!(f, "the peer broke the protocol: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

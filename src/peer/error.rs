//! Errors of connections between daemons.

use std::fmt;

/// Why an exchange with a peer failed.
#[derive(Debug)]
pub enum Error {
    /// The certificates, the key or the address can't be used.
    Config(String),
    /// The connection could not be opened, so nothing was sent.
    Connect(String),
    /// The connection was lost; the peer may have received what was sent.
    Lost(String),
    /// The peer sent bytes that are not a frame, or a frame that the protocol doesn't allow here, or
    /// the frame to send is too large.
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

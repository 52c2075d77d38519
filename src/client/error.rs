//! Errors of calls to external systems.

use std::{
    fmt,
    io, //
};

/// Why a call to an external system returned no usable response.
#[derive(Debug)]
pub enum Error {
    /// The request was not sent, so the call certainly had no effect.
    Unreachable(String),
    /// The request may have been sent, but no complete response was received; the call may have had
    /// its effect.
    NoResponse(String),
    /// The system responded with an error status.
    Status {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
    /// The response can't be decoded; the call may have had its effect.
    Malformed(String),
}

impl Error {
    /// Returns whether the call certainly had no effect, because it was not sent or was refused
    /// with a 4xx status.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::Error;
    ///
    /// let refused = Error::Unreachable("connection refused".to_owned());
    /// assert!(refused.had_no_effect());
    ///
    /// let lost = Error::NoResponse("timeout".to_owned());
    /// assert!(!lost.had_no_effect());
    /// ```
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            Self::Status { status, .. } => (400..500).contains(status),
            Self::NoResponse(_) | Self::Malformed(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(detail) => write!(f, "can't connect: {detail}"),
            Self::NoResponse(detail) => write!(f, "no answer: {detail}"),
            Self::Status { status, body } => write!(f, "answered status {status}: {body}"),
            Self::Malformed(detail) => write!(f, "malformed answer: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<ureq::Error> for Error {
    fn from(error: ureq::Error) -> Self {
        let detail = error.to_string();
        match error {
            ureq::Error::HostNotFound
            | ureq::Error::ConnectionFailed
            | ureq::Error::BadUri(_)
            | ureq::Error::Timeout(ureq::Timeout::Resolve | ureq::Timeout::Connect) => {
                Self::Unreachable(detail)
            }
            ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
                Self::Unreachable(detail)
            }
            ureq::Error::Json(cause) if cause.is_io() => Self::NoResponse(detail),
            ureq::Error::Json(_) | ureq::Error::Protocol(_) => Self::Malformed(detail),
            _ => Self::NoResponse(detail),
        }
    }
}

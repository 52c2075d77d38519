//! Errors that prevent a daemon from running.

use std::{
    fmt,
    io, //
};

use crate::settings::Findings;

/// Why a daemon can't run.
#[derive(Debug)]
pub enum Error {
    /// The settings are invalid.
    Settings(Findings),
    /// The role requires this field of the settings.
    Missing(&'static str),
    /// A call to the operating system failed.
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(findings) => write!(f, "{findings}"),
            Self::Missing(field) => write!(f, "this role requires the setting {field}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

//! Exit codes and output of commands.

use std::{
    fmt,
    process::ExitCode, //
};

use serde_json::{
    Value,
    json, //
};

use crate::jsonc::Findings;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// There are findings, or the command failed.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another release note was accepted before this one.
    Conflict = 3,
    /// The release note was accepted, but not every daemon applied it in time.
    NotInForce = 4,
    /// The platform could not be reached, or the outcome is unknown.
    Unknown = 5,
}

impl Exit {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Usage => "usage",
            Self::Conflict => "conflict",
            Self::NotInForce => "not_in_force",
            Self::Unknown => "unknown",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Output of a command, as text and as JSON.
#[derive(Debug, Clone)]
pub(super) struct Report {
    pub(super) exit: Exit,
    pub(super) text: String,
    pub(super) json: Value,
}

impl Report {
    pub(super) fn done(text: String, json: Value) -> Self {
        Self {
            exit: Exit::Done,
            text,
            json,
        }
    }
}

/// Why a command failed.
#[derive(Debug, Clone)]
pub(super) enum Error {
    /// Errors in files.
    Findings(Findings),
    /// Anything else.
    Other {
        /// Exit code.
        exit: Exit,
        /// Description of the error.
        detail: String,
    },
}

impl Error {
    pub(super) fn new(exit: Exit, detail: impl fmt::Display) -> Self {
        Self::Other {
            exit,
            detail: detail.to_string(),
        }
    }

    pub(super) fn failed(detail: impl fmt::Display) -> Self {
        Self::new(Exit::Failed, detail)
    }

    pub(super) fn unknown(detail: impl fmt::Display) -> Self {
        Self::new(Exit::Unknown, detail)
    }

    const fn exit(&self) -> Exit {
        match self {
            Self::Findings(_) => Exit::Failed,
            Self::Other { exit, .. } => *exit,
        }
    }

    fn json(&self) -> Value {
        let outcome = self.exit().as_str();
        match self {
            Self::Findings(findings) => json!({ "outcome": "findings", "findings": findings }),
            Self::Other { detail, .. } => json!({ "outcome": outcome, "detail": detail }),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Findings(findings) => write!(f, "{findings}"),
            Self::Other { detail, .. } => write!(f, "chestnuthub: {detail}"),
        }
    }
}

impl From<Findings> for Error {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}

/// Prints the result of a command: a report to standard output, an error to standard error. With
/// `json`, standard output gets one JSON document in both cases.
pub(super) fn print(result: Result<Report, Error>, json: bool) -> Exit {
    match result {
        Ok(report) => {
            if json {
                println!("{:#}", report.json);
            } else {
                print!("{}", report.text);
            }
            report.exit
        }
        Err(error) => {
            if json {
                println!("{:#}", error.json());
            }
            eprintln!("{error}");
            error.exit()
        }
    }
}

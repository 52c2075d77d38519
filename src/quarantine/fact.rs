//! What gateways and hubs tell one another of servers that crash.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Mark,
    PROOF_TIME, //
};

/// Maximum number of marks of a request that are told. Parts of a prompt beyond it are not.
pub const MAX_MARKS: usize = 24;

/// Maximum number of requests in one [`Crash`]; more are told as several of the same process.
pub const MAX_RUNS: usize = 64;

/// A request that was at work when its server's process ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Digest of the request's id.
    pub id: u64,
    /// Time from the send of the request to the end of the process, in ms.
    pub worked_ms: u32,
    /// What the request carries.
    pub marks: Vec<Mark>,
}

/// The end of a server's process, as one gateway saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the server's id and start.
    pub process: u64,
    /// Digest of the server's address.
    pub address: u64,
    /// Time since the process ended, in ms.
    pub age_ms: u32,
    /// Requests of the gateway that were at work there and had not got through.
    pub runs: Vec<Run>,
}

/// Requests that crash servers: those that carry all of the marks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pattern {
    /// The marks, sorted.
    pub marks: Vec<Mark>,
    /// Time since the last crash that showed it, in ms.
    pub age_ms: u32,
    /// Time from that crash on for which such requests are refused, in ms.
    pub lasts_ms: u32,
}

impl Pattern {
    /// Returns whether the refusal lasts for so long that it is to outlive all processes.
    pub(crate) fn is_lasting(&self) -> bool {
        Duration::from_millis(u64::from(self.lasts_ms)) > PROOF_TIME
    }

    fn grow_older(&mut self, elapsed: Duration) {
        self.age_ms = self.age_ms.saturating_add(millis(elapsed));
    }

    /// Returns whether a request that carries `marks` matches.
    pub fn matches(&self, marks: &[Mark]) -> bool {
        self.marks.iter().all(|mark| marks.contains(mark))
    }
}

/// Something that a gateway has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// A server's process ended under requests.
    Crash(Crash),
    /// Requests that carry these marks got through on some server.
    Cleared {
        /// The marks.
        marks: Vec<Mark>,
        /// Time since then, in ms.
        age_ms: u32,
    },
    /// A pattern was found, by whatever facts.
    Found(Pattern),
}

impl Fact {
    /// Returns the fact as it is to be told after a further time.
    pub fn after(mut self, elapsed: Duration) -> Self {
        let age_ms = match &mut self {
            Self::Crash(crash) => &mut crash.age_ms,
            Self::Cleared { age_ms, .. } => age_ms,
            Self::Found(pattern) => &mut pattern.age_ms,
        };
        *age_ms = age_ms.saturating_add(millis(elapsed));
        self
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// What a hub has found out, for gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// Requests that crash servers.
    pub patterns: Vec<Pattern>,
    /// Marks of which the hub wants to know when a request that carries them gets through.
    pub suspects: Vec<Mark>,
}

impl Findings {
    /// Returns the findings as they are to be told after a further time.
    pub fn after(mut self, elapsed: Duration) -> Self {
        for pattern in &mut self.patterns {
            pattern.grow_older(elapsed);
        }
        self
    }
}

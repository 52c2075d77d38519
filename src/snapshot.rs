//! Snapshots of a fold's state, split into parts that fit into one record or frame.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::timer::unix_millis;

/// Maximum size of a part in bytes of JSON text.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// Maximum number of parts of a snapshot. Limits the memory that a malformed record can take up.
const MAX_PARTS: u32 = 1_024;

/// Maximum number of snapshots that are assembled at the same time.
const MAX_ASSEMBLIES: usize = 4;

/// Number of records since the last snapshot after which another one is due.
const DUE_RECORDS: u64 = 2_000;

/// A further snapshot is due when the last one is older than the log's retention period divided by
/// this number.
const DUE_RETENTION_DIVISOR: u32 = 4;

/// Additional delay per rank behind the first before an agent writes a snapshot.
const RANK_DELAY: Duration = Duration::from_secs(60);

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Offset of the last record that the state includes.
    pub at: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Milliseconds since the Unix epoch when the snapshot was made.
    pub written_ms: u64,
    /// This part of the state's JSON text.
    pub state: String,
}

/// Splits the JSON text of a state into parts.
///
/// # Examples
///
/// ```
/// use chestnuthub::snapshot::{self, Assembly};
///
/// let parts = snapshot::split(7, "{\"applied\":7}");
/// let mut assembly = Assembly::default();
/// assert_eq!(assembly.add(&parts[0]), Some((7, "{\"applied\":7}".to_owned())));
/// ```
pub fn split(at: u64, json: &str) -> Vec<Part> {
    let written_ms = unix_millis();
    let mut pieces = Vec::new();
    let mut rest = json;
    while rest.len() > MAX_PART_BYTES {
        let (piece, tail) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES));
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    (0..parts)
        .zip(pieces)
        .map(|(part, piece)| Part {
            at,
            part,
            parts,
            written_ms,
            state: piece.to_owned(),
        })
        .collect()
}

/// Collects the parts of snapshots until one is complete.
#[derive(Debug, Default)]
pub struct Assembly {
    parts: BTreeMap<u64, BTreeMap<u32, String>>,
}

impl Assembly {
    /// Adds a part; returns the offset and JSON text of its snapshot once that is complete.
    ///
    /// Parts from different writers of one snapshot can be combined, because the log up to `at`
    /// determines the text of each part.
    pub fn add(&mut self, part: &Part) -> Option<(u64, String)> {
        if part.parts == 0 || part.parts > MAX_PARTS || part.part >= part.parts {
            return None;
        }
        let pieces = self.parts.entry(part.at).or_default();
        pieces.insert(part.part, part.state.clone());
        if pieces.len() < part.parts as usize {
            self.drop_oldest();
            return None;
        }
        let pieces = self.parts.remove(&part.at)?;
        Some((part.at, pieces.into_values().collect()))
    }

    fn drop_oldest(&mut self) {
        while self.parts.len() > MAX_ASSEMBLIES {
            self.parts.pop_first();
        }
    }
}

/// Records and time since the last snapshot of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Age {
    /// Number of records applied since the last snapshot, or since the oldest record.
    pub records: u64,
    /// Time since the last snapshot was made, or since the process started without one.
    pub time: Duration,
}

impl Age {
    /// Returns whether the agent with this rank should write a snapshot now.
    pub fn is_due(self, retention: Duration, rank: usize) -> bool {
        if self.records == 0 {
            return false;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(rank);
        let is_old = self.time >= (retention / DUE_RETENTION_DIVISOR).saturating_add(delay);
        let has_many = self.records >= DUE_RECORDS.saturating_mul(u64::from(rank) + 1);
        is_old || has_many
    }
}

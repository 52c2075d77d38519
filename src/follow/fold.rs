//! State that is folded from the records of a log stream.

use std::fmt::Debug;

use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    catalogue::{
        self,
        Catalogue,
        Note, //
    },
    decision::{
        self,
        Body,
        Table, //
    },
    snapshot::Part,
};

/// A record of a stream: a change, or part of a snapshot of the state.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry<R> {
    /// Changes the state.
    Change(R),
    /// Holds part of the state after an earlier offset.
    Snapshot(Part),
}

/// State that is folded from the records of a log stream, the same in every daemon.
pub trait Fold: Debug + Clone + Default + Serialize + DeserializeOwned {
    /// Name of the log stream.
    const STREAM: &'static str;

    /// A record that changes the state.
    type Change: Debug;

    /// What became of a change.
    type Outcome: Debug;

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// A record that can't be decoded is skipped by every daemon.
    fn decode(body: &str) -> Result<Entry<Self::Change>, serde_json::Error>;

    /// Encodes part of a snapshot as a record.
    fn encode(part: Part) -> String;

    /// Returns the offset of the last record that was looked at.
    fn applied(&self) -> u64;

    /// Applies a change.
    fn apply_change(&mut self, offset: u64, change: &Self::Change) -> Self::Outcome;

    /// Passes over a record that changes nothing.
    fn skip(&mut self, offset: u64);
}

/// Form of a snapshot part in the stream `releases`.
#[derive(Debug, Serialize, Deserialize)]
struct ReleaseSnapshot {
    snapshot: Part,
}

impl Fold for Catalogue {
    const STREAM: &'static str = "releases";

    type Change = Note;
    type Outcome = catalogue::Outcome;

    fn decode(body: &str) -> Result<Entry<Note>, serde_json::Error> {
        if let Ok(ReleaseSnapshot { snapshot }) = serde_json::from_str(body) {
            return Ok(Entry::Snapshot(snapshot));
        }
        serde_json::from_str(body).map(Entry::Change)
    }

    fn encode(part: Part) -> String {
        encode(&ReleaseSnapshot { snapshot: part })
    }

    fn applied(&self) -> u64 {
        self.applied()
    }

    fn apply_change(&mut self, offset: u64, change: &Note) -> catalogue::Outcome {
        self.apply(offset, change)
    }

    fn skip(&mut self, offset: u64) {
        self.skip(offset);
    }
}

impl Fold for Table {
    const STREAM: &'static str = decision::STREAM;

    type Change = decision::Record;
    type Outcome = decision::Outcome;

    fn decode(body: &str) -> Result<Entry<decision::Record>, serde_json::Error> {
        let record: decision::Record = serde_json::from_str(body)?;
        Ok(match record.body {
            Body::Snapshot(part) => Entry::Snapshot(part),
            _ => Entry::Change(record),
        })
    }

    fn encode(part: Part) -> String {
        encode(&decision::Record::new(Body::Snapshot(part)))
    }

    fn applied(&self) -> u64 {
        self.applied()
    }

    fn apply_change(&mut self, offset: u64, change: &decision::Record) -> decision::Outcome {
        self.apply(offset, change)
    }

    fn skip(&mut self, offset: u64) {
        self.skip(offset);
    }
}

fn encode<T: Serialize>(value: &T) -> String {
    // These types have string keys only and no failing implementation.
    serde_json::to_string(value).unwrap_or_default()
}

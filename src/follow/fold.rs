//! The trait of states that are computed from the records of a log stream.

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

/// A decoded record of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry<R> {
    /// A change of the state.
    Change(R),
    /// Part of a snapshot of the state as of an earlier offset.
    Snapshot(Part),
}

/// A state computed by applying the records of a log stream in order. Every daemon that applies the
/// same records has the same state.
pub trait Fold: Debug + Clone + Default + Serialize + DeserializeOwned {
    /// Name of the log stream.
    const STREAM: &'static str;

    /// Type of the records that change the state.
    type Change: Debug;

    /// Result of applying a change.
    type Outcome: Debug;

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a record of this stream. Every daemon skips such records.
    fn decode(body: &str) -> Result<Entry<Self::Change>, serde_json::Error>;

    /// Encodes part of a snapshot as a record.
    fn encode(part: Part) -> String;

    /// Returns the offset of the last record that was applied or skipped.
    fn applied(&self) -> u64;

    /// Applies a change.
    fn apply_change(&mut self, offset: u64, change: &Self::Change) -> Self::Outcome;

    /// Advances past a record that does not change the state.
    fn skip(&mut self, offset: u64);
}

/// JSON form of a snapshot part in the stream `releases`.
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
    // Can't fail: maps in these types have string keys, and no `Serialize` implementation returns
    // an error.
    serde_json::to_string(value).unwrap_or_default()
}

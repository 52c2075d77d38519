//! Models, adapters, services, institutions and access rights, as published in release notes.

mod draft;
mod item;
mod lookup;
mod note;
mod publication;
mod range;
mod reference;

use std::collections::BTreeMap;

pub use draft::Draft;
pub use item::{
    Access,
    Adapter,
    Call,
    Institution,
    Item,
    Key,
    Model,
    Service, //
};
pub use lookup::{
    Target,
    Unknown, //
};
pub use note::{
    Finding,
    Note, //
};
pub use publication::{
    Action,
    End,
    Event,
    Publication, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The state after all accepted release notes. It depends on nothing but the records of the stream
/// `releases`, so that every daemon computes the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    items: BTreeMap<String, Item>,
    head: u64,
    applied: u64,
}

/// Result of applying a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The note is in force.
    Accepted,
    /// A record at this offset or a later one has been applied already; nothing changed.
    Repeated,
    /// Another note was accepted after the one that this note replaces.
    Conflict {
        /// Offset of the newest accepted note.
        head: u64,
    },
    /// The note fails the checks against the current state.
    Invalid(Vec<Finding>),
}

impl Catalogue {
    /// Returns the offset of the last accepted note, 0 if there is none.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the offset of the last record that was applied or skipped, accepted or not.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the item with this key.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.items.get(&key.to_string())
    }

    /// Returns all items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Applies the note at `offset`. The items don't change if a record at this offset was applied
    /// before, if the note does not replace the newest accepted one, or if it fails the checks.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::catalogue::{Catalogue, Note, Outcome};
    ///
    /// let mut catalogue = Catalogue::default();
    /// let note = Note::new("operator", 0);
    /// assert_eq!(catalogue.apply(1, &note), Outcome::Accepted);
    /// assert_eq!(catalogue.apply(2, &note), Outcome::Conflict { head: 1 });
    /// assert_eq!(catalogue.apply(1, &note), Outcome::Repeated);
    /// ```
    pub fn apply(&mut self, offset: u64, note: &Note) -> Outcome {
        if offset <= self.applied {
            return Outcome::Repeated;
        }
        self.applied = offset;
        if note.replaces != self.head {
            return Outcome::Conflict { head: self.head };
        }
        let findings = self.check(note);
        if !findings.is_empty() {
            return Outcome::Invalid(findings);
        }
        self.accept(offset, note);
        Outcome::Accepted
    }

    /// Advances past the record at `offset`, which does not change the items.
    pub fn skip(&mut self, offset: u64) {
        self.applied = self.applied.max(offset);
    }

    /// Returns all faults of `note` when applied to the current state.
    pub fn check(&self, note: &Note) -> Vec<Finding> {
        note.check(&self.items)
    }

    fn accept(&mut self, offset: u64, note: &Note) {
        for key in &note.withdrawn {
            self.items.remove(&key.to_string());
        }
        for item in note.changed.iter().chain(&note.added) {
            self.items.insert(item.key().to_string(), item.clone());
        }
        self.head = offset;
    }
}

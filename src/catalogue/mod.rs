//! What the institutions may call: release notes and the state that they add up to.

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

/// The state after all accepted release notes, a pure fold over the stream `releases`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    items: BTreeMap<String, Item>,
    head: u64,
    applied: u64,
}

/// What the catalogue did with a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The note is in force.
    Accepted,
    /// The note's offset had been applied before.
    Repeated,
    /// Another note was accepted after the one that this note replaces.
    Conflict {
        /// Offset of the newest accepted note.
        head: u64,
    },
    /// The note does not fit the state.
    Invalid(Vec<Finding>),
}

impl Catalogue {
    /// Returns the offset of the last accepted note, 0 if there is none.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the offset of the last note that was looked at, accepted or not.
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

    /// Applies the note at `offset`.
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

    /// Passes over the record at `offset`, which changes nothing.
    pub fn skip(&mut self, offset: u64) {
        self.applied = self.applied.max(offset);
    }

    /// Returns all that is wrong with `note` against the current state.
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

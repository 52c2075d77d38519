//! A release note and its checks.

use std::{
    collections::BTreeMap,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use super::{
    Item,
    Key, //
};

/// A release note: a record of the stream `releases`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Unique id, by which the publisher finds its note in the stream.
    #[serde(default = "Uuid::new_v4")]
    pub id: Uuid,
    /// Offset of the accepted note that this one was written against, 0 for the first.
    #[serde(default)]
    pub replaces: u64,
    /// Who published it.
    #[serde(default)]
    pub author: String,
    /// Items that must not exist yet.
    #[serde(default)]
    pub added: Vec<Item>,
    /// Items that must exist and are replaced.
    #[serde(default)]
    pub changed: Vec<Item>,
    /// Items that must exist and are removed.
    #[serde(default)]
    pub withdrawn: Vec<Key>,
}

/// Something wrong with a release note, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path to the item in the note, such as `added[3]`.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl Note {
    /// Makes an empty note that replaces the one at offset `replaces`.
    pub fn new(author: &str, replaces: u64) -> Self {
        Self {
            id: Uuid::new_v4(),
            replaces,
            author: author.to_owned(),
            added: Vec::new(),
            changed: Vec::new(),
            withdrawn: Vec::new(),
        }
    }

    /// Collects everything wrong with this note against `items`.
    pub(super) fn check(&self, items: &BTreeMap<String, Item>) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut report = |path: String, message: String| findings.push(Finding { path, message });
        for (index, item) in self.added.iter().enumerate() {
            let key = item.key().to_string();
            if items.contains_key(&key) {
                report(format!("added[{index}]"), format!("{key} already exists"));
            }
        }
        for (index, item) in self.changed.iter().enumerate() {
            let key = item.key().to_string();
            if !items.contains_key(&key) {
                report(format!("changed[{index}]"), format!("{key} does not exist"));
            }
        }
        for (index, key) in self.withdrawn.iter().enumerate() {
            if !items.contains_key(&key.to_string()) {
                report(
                    format!("withdrawn[{index}]"),
                    format!("{key} does not exist"),
                );
            }
        }
        findings
    }
}

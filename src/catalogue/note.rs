//! Release notes and their checks.

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
    Key,
    range,
    reference, //
};

/// A release note: a record of the stream `releases`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Unique id, which the publisher uses to find its note in the stream.
    #[serde(default = "Uuid::new_v4")]
    pub id: Uuid,
    /// Offset of the accepted note that was the newest when this one was written; 0 for the first
    /// note.
    #[serde(default)]
    pub replaces: u64,
    /// Name of the operator who published it.
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

/// A fault found in a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field in the note, such as `added[3].model.memory_mb`.
    pub path: String,
    /// Description of the fault.
    pub message: String,
}

impl Finding {
    pub(super) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl Note {
    /// Creates an empty note that replaces the one at offset `replaces`.
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

    /// Returns whether this note and `other` make the same changes.
    pub fn has_same_changes(&self, other: &Self) -> bool {
        self.added == other.added
            && self.changed == other.changed
            && self.withdrawn == other.withdrawn
    }

    /// Returns the faults that can be found without the catalogue: values out of range and items
    /// that are named twice.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::catalogue::{Key, Note};
    ///
    /// let mut note = Note::new("operator", 0);
    /// note.withdrawn = vec![Key::Model("gear-check@1".into()); 2];
    /// let findings = note.check_standalone();
    /// assert_eq!(
    ///     findings[0].to_string(),
    ///     "withdrawn[1]: model/gear-check@1 is already named at withdrawn[0]"
    /// );
    /// ```
    pub fn check_standalone(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (path, item) in self.items() {
            range::check(item, &path, &mut findings);
        }
        let mut first_paths: BTreeMap<String, String> = BTreeMap::new();
        let items = self.items().map(|(path, item)| (path, item.key()));
        let keys = self.withdrawn.iter().enumerate();
        let keys = keys.map(|(index, key)| (format!("withdrawn[{index}]"), key.clone()));
        for (path, key) in items.chain(keys) {
            if let Some(first) = first_paths.get(&key.to_string()) {
                findings.push(Finding::new(
                    path,
                    format!("{key} is already named at {first}"),
                ));
            } else {
                first_paths.insert(key.to_string(), path);
            }
        }
        findings
    }

    /// Returns all faults of this note when applied to `items`. All daemons must reach the same
    /// result, so a change of these checks changes the meaning of the records in the stream.
    pub(super) fn check(&self, items: &BTreeMap<String, Item>) -> Vec<Finding> {
        let mut findings = self.check_standalone();
        self.check_presence(items, &mut findings);
        reference::check(self, items, &mut findings);
        findings
    }

    /// Returns the added and changed items with their paths.
    pub(super) fn items(&self) -> impl Iterator<Item = (String, &Item)> {
        let added = self.added.iter().enumerate();
        let changed = self.changed.iter().enumerate();
        added
            .map(|(index, item)| (format!("added[{index}].{}", item.kind()), item))
            .chain(changed.map(|(index, item)| (format!("changed[{index}].{}", item.kind()), item)))
    }

    fn check_presence(&self, items: &BTreeMap<String, Item>, findings: &mut Vec<Finding>) {
        let mut require = |list: &str, index: usize, key: &Key, present: bool| {
            if items.contains_key(&key.to_string()) != present {
                let state = if present {
                    "does not exist"
                } else {
                    "already exists"
                };
                let path = format!("{list}[{index}]");
                findings.push(Finding::new(path, format!("{key} {state}")));
            }
        };
        for (index, item) in self.added.iter().enumerate() {
            require("added", index, &item.key(), false);
        }
        for (index, item) in self.changed.iter().enumerate() {
            require("changed", index, &item.key(), true);
        }
        for (index, key) in self.withdrawn.iter().enumerate() {
            require("withdrawn", index, key, true);
        }
    }
}

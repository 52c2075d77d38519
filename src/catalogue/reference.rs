//! Checks that the references between items still resolve once a note is applied.

use std::collections::BTreeMap;

use super::{
    Item,
    Key,
    Note,
    note::Finding, //
};

/// Adds a finding for each reference that would not resolve once `note` is applied.
pub(super) fn check(note: &Note, items: &BTreeMap<String, Item>, findings: &mut Vec<Finding>) {
    let preview = Preview::new(note, items);
    for (path, item) in note.items() {
        for (field, reference) in references(item) {
            if !preview.resolves(&reference) {
                let path = format!("{path}.{field}");
                findings.push(Finding::new(path, format!("{reference} does not exist")));
            }
        }
    }
    check_names(note, &preview, findings);
    if !note.withdrawn.is_empty() {
        check_remaining(note, &preview, findings);
    }
}

/// Finds models and services of the note that would share a name. An access names its target only
/// by name, so it could not distinguish them.
fn check_names(note: &Note, preview: &Preview<'_>, findings: &mut Vec<Finding>) {
    for (path, item) in note.items() {
        let other = match item {
            Item::Model(model) if preview.contains(&format!("service/{}", model.name)) => "service",
            Item::Service(service) if preview.contains_model(service.name.as_str()) => "model",
            _ => continue,
        };
        let message = format!("is also the name of a {other}");
        findings.push(Finding::new(format!("{path}.name"), message));
    }
}

/// Finds items that are not named in the note but refer to items that it withdraws.
fn check_remaining(note: &Note, preview: &Preview<'_>, findings: &mut Vec<Finding>) {
    let others = preview
        .items
        .iter()
        .filter(|(key, _)| !preview.named.contains_key(*key));
    for (key, item) in others {
        for (_, reference) in references(item) {
            if preview.resolves(&reference) {
                continue;
            }
            let withdrawn = note.withdrawn.iter();
            let found = withdrawn
                .enumerate()
                .find(|(_, key)| reference.refers_to(key));
            if let Some((index, withdrawn)) = found {
                let message = format!("{withdrawn} is still referred to by {key}");
                findings.push(Finding::new(format!("withdrawn[{index}]"), message));
            }
        }
    }
}

/// The set of items that will exist once a note is applied.
#[derive(Debug)]
struct Preview<'a> {
    /// Current items.
    items: &'a BTreeMap<String, Item>,
    /// Keys of the items that the note names, and whether they will exist.
    named: BTreeMap<String, bool>,
}

impl<'a> Preview<'a> {
    fn new(note: &Note, items: &'a BTreeMap<String, Item>) -> Self {
        let withdrawn = note.withdrawn.iter().map(|key| (key.to_string(), false));
        let kept = note.items().map(|(_, item)| (item.key().to_string(), true));
        Self {
            items,
            named: withdrawn.chain(kept).collect(),
        }
    }

    fn contains(&self, key: &str) -> bool {
        let named = self.named.get(key).copied();
        named.unwrap_or_else(|| self.items.contains_key(key))
    }

    /// Returns whether any version of the model will exist.
    fn contains_model(&self, name: &str) -> bool {
        let prefix = format!("model/{name}@");
        let matches = |key: &&String| key.starts_with(&prefix);
        let mut named = self.named.range(prefix.clone()..).map(|(key, _)| key);
        let mut items = self.items.range(prefix.clone()..).map(|(key, _)| key);
        let named = named
            .by_ref()
            .take_while(matches)
            .any(|key| self.contains(key));
        named
            || items
                .by_ref()
                .take_while(matches)
                .any(|key| self.contains(key))
    }

    fn resolves(&self, reference: &Reference) -> bool {
        match reference {
            Reference::Item(key) => self.contains(&key.to_string()),
            Reference::Target(name) => {
                self.contains(&format!("service/{name}")) || self.contains_model(name)
            }
        }
    }
}

/// Reference of an item to another one.
#[derive(Debug)]
enum Reference {
    /// The item with this key.
    Item(Key),
    /// A service or any version of a model with this name.
    Target(String),
}

impl Reference {
    /// Returns whether this refers to the item with `key`.
    fn refers_to(&self, key: &Key) -> bool {
        match (self, key) {
            (Self::Item(item), _) => item == key,
            (Self::Target(name), Key::Service(service)) => service.as_str() == name,
            (Self::Target(name), Key::Model(model)) => {
                let base = model.as_str().rsplit_once('@').map(|(base, _)| base);
                base == Some(name)
            }
            _ => false,
        }
    }
}

impl std::fmt::Display for Reference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Item(key) => write!(f, "{key}"),
            Self::Target(name) => write!(f, "a model or service named {name}"),
        }
    }
}

/// Returns the references of an item, each with the name of its field.
fn references(item: &Item) -> Vec<(&'static str, Reference)> {
    match item {
        Item::Adapter(adapter) => {
            let model = Key::Model(adapter.model.clone());
            vec![("model", Reference::Item(model))]
        }
        Item::Access(access) => {
            let institution = Key::Institution(access.institution.clone());
            vec![
                ("institution", Reference::Item(institution)),
                ("target", Reference::Target(access.target.clone())),
            ]
        }
        Item::Model(_) | Item::Service(_) | Item::Institution(_) => Vec::new(),
    }
}

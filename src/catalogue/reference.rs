//! References between items that a note would leave without their target.

use std::collections::BTreeMap;

use super::{
    Item,
    Key,
    Note,
    note::Finding, //
};

/// Collects the references that don't hold once `note` is in force.
pub(super) fn check(note: &Note, items: &BTreeMap<String, Item>, findings: &mut Vec<Finding>) {
    let after = After::new(note, items);
    for (path, item) in note.items() {
        for (field, reference) in references(item) {
            if !after.holds(&reference) {
                let path = format!("{path}.{field}");
                findings.push(Finding::new(path, format!("{reference} does not exist")));
            }
        }
    }
    check_names(note, &after, findings);
    if !note.withdrawn.is_empty() {
        check_remaining(note, &after, findings);
    }
}

/// Finds added models and services that share a name, since an access could not tell them apart.
fn check_names(note: &Note, after: &After<'_>, findings: &mut Vec<Finding>) {
    for (path, item) in note.items() {
        let other = match item {
            Item::Model(model) if after.has(&format!("service/{}", model.name)) => "service",
            Item::Service(service) if after.has_model(service.name.as_str()) => "model",
            _ => continue,
        };
        let message = format!("is also the name of a {other}");
        findings.push(Finding::new(format!("{path}.name"), message));
    }
}

/// Finds items that the note does not touch and that refer to what it withdraws.
fn check_remaining(note: &Note, after: &After<'_>, findings: &mut Vec<Finding>) {
    let untouched = after
        .items
        .iter()
        .filter(|(key, _)| !after.touched.contains_key(*key));
    for (key, item) in untouched {
        for (_, reference) in references(item) {
            if after.holds(&reference) {
                continue;
            }
            let withdrawn = note.withdrawn.iter();
            let place = withdrawn.enumerate().find(|(_, key)| reference.is_to(key));
            if let Some((index, withdrawn)) = place {
                let message = format!("{withdrawn} is still referred to by {key}");
                findings.push(Finding::new(format!("withdrawn[{index}]"), message));
            }
        }
    }
}

/// The items as they are once the note is in force.
#[derive(Debug)]
struct After<'a> {
    items: &'a BTreeMap<String, Item>,
    /// Keys of the note, with whether they exist afterwards.
    touched: BTreeMap<String, bool>,
}

impl<'a> After<'a> {
    fn new(note: &Note, items: &'a BTreeMap<String, Item>) -> Self {
        let withdrawn = note.withdrawn.iter().map(|key| (key.to_string(), false));
        let kept = note.items().map(|(_, item)| (item.key().to_string(), true));
        Self {
            items,
            touched: withdrawn.chain(kept).collect(),
        }
    }

    fn has(&self, key: &str) -> bool {
        let touched = self.touched.get(key).copied();
        touched.unwrap_or_else(|| self.items.contains_key(key))
    }

    /// Returns whether there is any version of the model.
    fn has_model(&self, name: &str) -> bool {
        let prefix = format!("model/{name}@");
        let here = |key: &&String| key.starts_with(&prefix);
        let mut touched = self.touched.range(prefix.clone()..).map(|(key, _)| key);
        let mut items = self.items.range(prefix.clone()..).map(|(key, _)| key);
        let touched = touched.by_ref().take_while(here).any(|key| self.has(key));
        touched || items.by_ref().take_while(here).any(|key| self.has(key))
    }

    fn holds(&self, reference: &Reference) -> bool {
        match reference {
            Reference::Item(key) => self.has(&key.to_string()),
            Reference::Target(name) => self.has(&format!("service/{name}")) || self.has_model(name),
        }
    }
}

/// What an item refers to.
#[derive(Debug)]
enum Reference {
    /// One item.
    Item(Key),
    /// A service or any version of a model.
    Target(String),
}

impl Reference {
    /// Returns whether the item with this key is meant.
    fn is_to(&self, key: &Key) -> bool {
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

/// Returns what an item refers to, with the fields that do.
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

//! `chestnuthub release diff`.

use std::{
    path::PathBuf,
    time::Duration, //
};

use bpaf::{
    Parser,
    construct, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    catalogue::{
        Catalogue,
        Draft,
        Item,
        Note, //
    },
    cli::{
        exit::{
            Error,
            Exit,
            Report, //
        },
        stream::Releases,
    },
};

/// Shows what a release note would change in the catalogue.
#[derive(Debug, Clone)]
pub(crate) struct Command {
    pub(super) json: bool,
    log: String,
    file: PathBuf,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = crate::cli::json();
    let log = bpaf::long("log")
        .help("Base URL of the log")
        .argument::<String>("URL");
    let file = super::file();
    construct!(Command { json, log, file })
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let draft = Draft::load(&self.file)?;
        let mut releases = Releases::new(&self.log);
        releases.read(Duration::ZERO)?;
        let catalogue = releases.catalogue();
        let head = catalogue.head();
        if draft.pinned && draft.note.replaces != head {
            let replaces = draft.note.replaces;
            let detail = format!(
                "conflict: the note replaces offset {replaces}, but the newest accepted note is \
                 at offset {head}"
            );
            return Err(Error::new(Exit::Conflict, detail));
        }
        let findings = catalogue.check(&draft.note);
        if !findings.is_empty() {
            return Err(draft.locate(&findings).into());
        }
        Ok(report(&draft.note, catalogue))
    }
}

/// A field whose value a release note changes.
#[derive(Debug)]
struct Change {
    field: String,
    before: Value,
    after: Value,
}

fn report(note: &Note, catalogue: &Catalogue) -> Report {
    let mut text = String::new();
    let mut changed = Vec::new();
    let added: Vec<_> = note
        .added
        .iter()
        .map(|item| item.key().to_string())
        .collect();
    let withdrawn: Vec<_> = note.withdrawn.iter().map(ToString::to_string).collect();
    for key in &added {
        text.push_str(&format!("+ {key}\n"));
    }
    for item in &note.changed {
        let key = item.key();
        text.push_str(&format!("~ {key}\n"));
        for change in changes(catalogue.get(&key), item) {
            let Change {
                field,
                before,
                after,
            } = change;
            text.push_str(&format!("    {field}: {before} -> {after}\n"));
            changed.push(json!({
                "key": key.to_string(),
                "field": field,
                "before": before,
                "after": after,
            }));
        }
    }
    for key in &withdrawn {
        text.push_str(&format!("- {key}\n"));
    }
    let head = catalogue.head();
    text.push_str(&format!(
        "{} added, {} changed, {} withdrawn against offset {head}\n",
        added.len(),
        note.changed.len(),
        withdrawn.len()
    ));
    Report::done(
        text,
        json!({
            "outcome": "done",
            "head": head,
            "added": added,
            "changed": changed,
            "withdrawn": withdrawn,
        }),
    )
}

/// Returns the fields that differ, sorted by name.
fn changes(before: Option<&Item>, after: &Item) -> Vec<Change> {
    let fields = |item: Option<&Item>| -> serde_json::Map<String, Value> {
        let value = item.and_then(|item| serde_json::to_value(item).ok());
        let fields = value.and_then(|value| value.get(after.kind()).cloned());
        fields
            .and_then(|fields| fields.as_object().cloned())
            .unwrap_or_default()
    };
    let (before, after) = (fields(before), fields(Some(after)));
    let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|name| Change {
            field: name.clone(),
            before: before.get(name).cloned().unwrap_or_default(),
            after: after.get(name).cloned().unwrap_or_default(),
        })
        .filter(|change| change.before != change.after)
        .collect()
}

//! Release notes before publication, read from files of JSON with comments.

use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use super::{
    Finding,
    Note, //
};
use crate::jsonc::{
    Document,
    Field,
    Findings,
    Kind,
    text, //
};

/// A release note as written by an operator, before it is published.
#[derive(Debug, Clone)]
pub struct Draft {
    /// The note. If the file has no id, a new one is generated.
    pub note: Note,
    /// Whether the file states in `replaces` which note this one replaces.
    pub pinned: bool,
    document: Document,
}

impl Draft {
    /// Reads and decodes a file.
    ///
    /// # Errors
    ///
    /// All faults of the note that can be found without the catalogue.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        Self::decode(Document::read(path)?)
    }

    /// Decodes the text of a file.
    ///
    /// # Errors
    ///
    /// All faults of the note that can be found without the catalogue, with their positions in
    /// `file`.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::catalogue::{Catalogue, Draft};
    ///
    /// let text = r#"{
    ///   // The adapter is no longer used.
    ///   "withdrawn": [{ "adapter": "check-north" }]
    /// }"#;
    /// let draft = Draft::parse("note.jsonc", text).unwrap();
    /// assert!(!draft.pinned);
    /// let findings = Catalogue::default().check(&draft.note);
    /// let expected = "note.jsonc:3:17: withdrawn[0]: adapter/check-north does not exist";
    /// assert_eq!(draft.locate(&findings).to_string(), expected);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        Self::decode(Document::new(file, text))
    }

    /// Returns findings about the note with their positions in the file.
    pub fn locate(&self, findings: &[Finding]) -> Findings {
        let findings = findings.iter();
        findings
            .map(|finding| self.document.finding(&finding.path, &finding.message))
            .collect()
    }

    fn decode(document: Document) -> Result<Self, Findings> {
        let value: Value = document.decode(&NOTE)?;
        let pinned = value.get("replaces").is_some();
        let note = Note::deserialize(value)
            .map_err(|error| Findings::from(document.finding("", error.to_string())))?;
        let draft = Self {
            note,
            pinned,
            document,
        };
        let findings = draft.note.check_standalone();
        if findings.is_empty() {
            Ok(draft)
        } else {
            Err(draft.locate(&findings))
        }
    }
}

const fn required(name: &'static str, kind: Kind) -> Field {
    Field::required(name, kind)
}

const fn optional(name: &'static str, kind: Kind) -> Field {
    Field::optional(name, kind)
}

const fn count(maximum: u64) -> Kind {
    Kind::Count {
        minimum: 0,
        maximum,
    }
}

const TEXT: Kind = Kind::Text(text::any);
const U64: Kind = count(u64::MAX);
const U32: Kind = count(u32::MAX as u64);
const U8: Kind = count(u8::MAX as u64);

const NOTE: Kind = Kind::Object(&[
    optional("id", Kind::Text(text::uuid)),
    optional("replaces", U64),
    optional("author", TEXT),
    optional("added", Kind::List(&ITEM)),
    optional("changed", Kind::List(&ITEM)),
    optional("withdrawn", Kind::List(&KEY)),
]);

const ITEM: Kind = Kind::Choice(&[
    required("model", MODEL),
    required("adapter", ADAPTER),
    required("service", SERVICE),
    required("institution", INSTITUTION),
    required("access", ACCESS),
]);

const KEY: Kind = Kind::Choice(&[
    required("model", TEXT),
    required("adapter", TEXT),
    required("service", TEXT),
    required("institution", TEXT),
    required(
        "access",
        Kind::Object(&[required("institution", TEXT), required("target", TEXT)]),
    ),
]);

const MODEL: Kind = Kind::Object(&[
    required("name", TEXT),
    required("version", U32),
    required("pool", TEXT),
    required("memory_mb", U64),
    required("checkpoint_mb", U64),
    required("max_replicas", U32),
    optional("home_slots", U32),
    optional("stale_limit_s", U64),
]);

const ADAPTER: Kind = Kind::Object(&[
    required("name", TEXT),
    required("model", TEXT),
    required("memory_mb", U64),
]);

const SERVICE: Kind = Kind::Object(&[
    required("name", TEXT),
    required("pool", TEXT),
    optional("non_idempotent", Kind::List(&CALL)),
    optional("stale_limit_s", U64),
]);

const CALL: Kind = Kind::Object(&[required("method", TEXT), required("path", TEXT)]);

const INSTITUTION: Kind = Kind::Object(&[
    required("name", TEXT),
    optional("cold_start_weight", Kind::Number),
    optional("idle_hour_weight", Kind::Number),
]);

const ACCESS: Kind = Kind::Object(&[
    required("institution", TEXT),
    required("target", TEXT),
    required("max_in_flight", U32),
    required("max_queue", U32),
    required("requests_per_s", Kind::Number),
    optional("priority", U8),
]);

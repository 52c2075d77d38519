//! The text of a file: parsing, decoding, and mapping of field paths to positions.

use std::{
    fs,
    path::Path, //
};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::Value,
    common::{
        Range,
        Ranged, //
    },
    errors::ParseError,
};
use serde::de::DeserializeOwned;

use super::{
    Finding,
    Findings,
    Kind,
    validate, //
};

/// Parser options: JSON with comments and trailing commas, and no other extension.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A file's name and text.
#[derive(Debug, Clone)]
pub(crate) struct Document {
    file: String,
    text: String,
}

impl Document {
    /// Wraps a text that is already in memory. Findings show `file` as the name of the file.
    pub(crate) fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns one finding, which says why the file can't be read.
    pub(crate) fn read(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Self { file, text }),
            Err(error) => Err(Findings::from(Finding {
                file,
                line: 0,
                column: 0,
                path: String::new(),
                message: format!("can't read the file: {error}"),
            })),
        }
    }

    /// Decodes the text after checking it against the schema.
    ///
    /// # Errors
    ///
    /// Returns the syntax error, or else every violation of the schema.
    pub(crate) fn decode<T: DeserializeOwned>(&self, schema: &Kind) -> Result<T, Findings> {
        let value = self.parse()?;
        let violations = validate::check(&value, schema);
        if !violations.is_empty() {
            let findings = violations.into_iter();
            return Err(findings
                .map(|violation| {
                    self.finding_at(violation.range, &violation.path, violation.message)
                })
                .collect());
        }
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(&self.text, &OPTIONS)
            .map_err(|error| self.syntax_error(&error))?;
        serde_json::from_value(value).map_err(|error| self.finding("", error.to_string()).into())
    }

    /// Creates a finding about the field at a path such as `added[3].model.name`. If the text has
    /// no such field, the finding points to the innermost enclosing value that exists.
    pub(crate) fn finding(&self, path: &str, message: impl Into<String>) -> Finding {
        let range = self.parse().map_or(Range::new(0, 0), |value| {
            let mut node = &value;
            for segment in segments(path) {
                match child(node, segment) {
                    Some(value) => node = value,
                    None => break,
                }
            }
            node.range()
        });
        self.finding_at(range, path, message)
    }

    fn parse(&self) -> Result<Value<'_>, Findings> {
        let parsed = jsonc_parser::parse_to_ast(&self.text, &CollectOptions::default(), &OPTIONS)
            .map_err(|error| self.syntax_error(&error))?;
        let no_value = || {
            self.finding_at(Range::new(0, 0), "", "the file holds no value")
                .into()
        };
        parsed.value.ok_or_else(no_value)
    }

    fn syntax_error(&self, error: &ParseError) -> Findings {
        self.finding_at(error.range(), "", format!("syntax: {}", error.kind()))
            .into()
    }

    fn finding_at(&self, range: Range, path: &str, message: impl Into<String>) -> Finding {
        let (line, column) = position(&self.text, range.start);
        Finding {
            file: self.file.clone(),
            line,
            column,
            path: path.to_owned(),
            message: message.into(),
        }
    }
}

/// Returns the line and column of a byte offset in the text, both starting at 1.
fn position(text: &str, byte: usize) -> (usize, usize) {
    let mut end = byte.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let before = &text[..end];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |newline| newline + 1);
    (line, before[start..].chars().count() + 1)
}

/// Splits a path such as `added[3].model` into field names and list indices.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
}

fn child<'a, 'b>(value: &'a Value<'b>, segment: &str) -> Option<&'a Value<'b>> {
    match value {
        Value::Object(object) => {
            let mut properties = object.properties.iter();
            let found = properties.find(|property| property.name.as_str() == segment)?;
            Some(&found.value)
        }
        Value::Array(array) => array.elements.get(segment.parse::<usize>().ok()?),
        _ => None,
    }
}

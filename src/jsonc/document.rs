//! The text of a file, and places in it.

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
    walk, //
};

/// JSON with comments and trailing commas, nothing looser.
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

/// The text of a file.
#[derive(Debug, Clone)]
pub(crate) struct Document {
    file: String,
    text: String,
}

impl Document {
    /// Takes a text that was read from elsewhere.
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
    /// One finding that says why the file can't be read.
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

    /// Decodes the text, which must fit the schema.
    ///
    /// # Errors
    ///
    /// The syntax error, or all that does not fit the schema.
    pub(crate) fn decode<T: DeserializeOwned>(&self, schema: &Kind) -> Result<T, Findings> {
        let value = self.parse()?;
        let faults = walk::check(&value, schema);
        if !faults.is_empty() {
            let findings = faults.into_iter();
            return Err(findings
                .map(|fault| self.at(fault.range, &fault.path, fault.message))
                .collect());
        }
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(&self.text, &OPTIONS)
            .map_err(|error| self.syntax(&error))?;
        serde_json::from_value(value).map_err(|error| self.finding("", error.to_string()).into())
    }

    /// Makes a finding about the field at a path such as `added[3].model.name`. If the path does
    /// not exist in the text, the place is that of its longest part that does.
    pub(crate) fn finding(&self, path: &str, message: impl Into<String>) -> Finding {
        let range = self.parse().map_or(Range::new(0, 0), |value| {
            let mut place = &value;
            for step in steps(path) {
                match child(place, step) {
                    Some(value) => place = value,
                    None => break,
                }
            }
            place.range()
        });
        self.at(range, path, message)
    }

    fn parse(&self) -> Result<Value<'_>, Findings> {
        let parsed = jsonc_parser::parse_to_ast(&self.text, &CollectOptions::default(), &OPTIONS)
            .map_err(|error| self.syntax(&error))?;
        let empty = || {
            self.at(Range::new(0, 0), "", "the file holds no value")
                .into()
        };
        parsed.value.ok_or_else(empty)
    }

    fn syntax(&self, error: &ParseError) -> Findings {
        self.at(error.range(), "", format!("syntax: {}", error.kind()))
            .into()
    }

    fn at(&self, range: Range, path: &str, message: impl Into<String>) -> Finding {
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

/// Returns line and column of a byte in the text, both from 1.
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

/// Splits a path at its dots and indices.
fn steps(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|step| !step.is_empty())
}

fn child<'a, 'b>(value: &'a Value<'b>, step: &str) -> Option<&'a Value<'b>> {
    match value {
        Value::Object(object) => {
            let mut properties = object.properties.iter();
            let found = properties.find(|property| property.name.as_str() == step)?;
            Some(&found.value)
        }
        Value::Array(array) => array.elements.get(step.parse::<usize>().ok()?),
        _ => None,
    }
}

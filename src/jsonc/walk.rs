//! Holds a parsed file against its schema and collects all that is wrong.

use std::collections::BTreeSet;

use jsonc_parser::{
    ast::{
        Array,
        Object,
        ObjectProp,
        Value, //
    },
    common::{
        Range,
        Ranged, //
    },
};

use super::{
    Field,
    Kind, //
};

/// Something wrong at a place in the text.
#[derive(Debug, Clone)]
pub(super) struct Fault {
    pub(super) range: Range,
    pub(super) path: String,
    pub(super) message: String,
}

/// Collects all that is wrong with `value`.
pub(super) fn check(value: &Value<'_>, kind: &Kind) -> Vec<Fault> {
    let mut walk = Walk { faults: Vec::new() };
    walk.value(value, kind, "");
    walk.faults
}

/// Returns the path of a field in an object.
pub(super) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

#[derive(Debug)]
struct Walk {
    faults: Vec<Fault>,
}

impl Walk {
    fn report(&mut self, range: Range, path: &str, message: impl Into<String>) {
        self.faults.push(Fault {
            range,
            path: path.to_owned(),
            message: message.into(),
        });
    }

    fn value(&mut self, value: &Value<'_>, kind: &Kind, path: &str) {
        match (kind, value) {
            (Kind::Text(check), Value::StringLit(text)) => {
                if let Err(message) = check(&text.value) {
                    self.report(text.range, path, message);
                }
            }
            (Kind::Count { least, most }, Value::NumberLit(number)) => {
                let count = number.value.parse::<u64>();
                if !count.is_ok_and(|count| (*least..=*most).contains(&count)) {
                    self.report(number.range, path, range_message(*least, *most));
                }
            }
            (Kind::Number, Value::NumberLit(number)) => {
                if !number.value.parse::<f64>().is_ok_and(f64::is_finite) {
                    self.report(number.range, path, "must be a finite number");
                }
            }
            (Kind::Flag, Value::BooleanLit(_)) => (),
            (Kind::Object(fields), Value::Object(object)) => self.object(object, fields, path),
            (Kind::Map { name, value }, Value::Object(object)) => {
                self.map(object, *name, value, path);
            }
            (Kind::List(kind), Value::Array(array)) => self.list(array, kind, path),
            (Kind::Choice(fields), Value::Object(object)) => self.choice(object, fields, path),
            _ => {
                let message = format!("must be {}, not {}", wanted(kind), given(value));
                self.report(value.range(), path, message);
            }
        }
    }

    fn object(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.fields(object, fields, path);
        for field in fields.iter().filter(|field| field.required) {
            let given = |property: &ObjectProp<'_>| property.name.as_str() == field.name;
            if !object.properties.iter().any(given) {
                self.report(object.range, &join(path, field.name), "missing");
            }
        }
    }

    fn choice(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.fields(object, fields, path);
        if object.properties.len() != 1 {
            let message = format!("must have exactly one field of {}", names(fields));
            self.report(object.range, path, message);
        }
    }

    fn fields(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.repeats(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join(path, name);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(&property.value, &field.kind, &path),
                None => {
                    let message = format!("unknown field, expected {}", names(fields));
                    self.report(property.range, &path, message);
                }
            }
        }
    }

    fn map(
        &mut self,
        object: &Object<'_>,
        check: fn(&str) -> Result<(), String>,
        kind: &Kind,
        path: &str,
    ) {
        self.repeats(object, path);
        for property in &object.properties {
            let path = join(path, property.name.as_str());
            if let Err(message) = check(property.name.as_str()) {
                self.report(property.range, &path, format!("name {message}"));
            }
            self.value(&property.value, kind, &path);
        }
    }

    fn list(&mut self, array: &Array<'_>, kind: &Kind, path: &str) {
        for (index, value) in array.elements.iter().enumerate() {
            self.value(value, kind, &format!("{path}[{index}]"));
        }
    }

    fn repeats(&mut self, object: &Object<'_>, path: &str) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                self.report(property.range, &join(path, name), "given more than once");
            }
        }
    }
}

fn range_message(least: u64, most: u64) -> String {
    if most == u64::MAX {
        format!("must be a whole number of at least {least}")
    } else {
        format!("must be a whole number from {least} to {most}")
    }
}

fn names(fields: &[Field]) -> String {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

const fn wanted(kind: &Kind) -> &'static str {
    match kind {
        Kind::Text(_) => "text",
        Kind::Count { .. } => "a whole number",
        Kind::Number => "a number",
        Kind::Flag => "true or false",
        Kind::Object(_) | Kind::Map { .. } | Kind::Choice(_) => "an object",
        Kind::List(_) => "a list",
    }
}

const fn given(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

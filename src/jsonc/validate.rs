//! Checks a parsed file against its schema and collects all violations.

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

/// A violation of the schema at a range of the text.
#[derive(Debug, Clone)]
pub(super) struct Violation {
    pub(super) range: Range,
    pub(super) path: String,
    pub(super) message: String,
}

/// Returns all violations of the schema `kind` in `value`.
pub(super) fn check(value: &Value<'_>, kind: &Kind) -> Vec<Violation> {
    let mut validator = Validator {
        violations: Vec::new(),
    };
    validator.check_value(value, kind, "");
    validator.violations
}

/// Returns the path of the field `name` in the object at `path`.
pub(super) fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

#[derive(Debug)]
struct Validator {
    violations: Vec<Violation>,
}

impl Validator {
    fn report(&mut self, range: Range, path: &str, message: impl Into<String>) {
        self.violations.push(Violation {
            range,
            path: path.to_owned(),
            message: message.into(),
        });
    }

    fn check_value(&mut self, value: &Value<'_>, kind: &Kind, path: &str) {
        match (kind, value) {
            (Kind::Text(check), Value::StringLit(text)) => {
                if let Err(message) = check(&text.value) {
                    self.report(text.range, path, message);
                }
            }
            (Kind::Count { minimum, maximum }, Value::NumberLit(number)) => {
                let count = number.value.parse::<u64>();
                if !count.is_ok_and(|count| (*minimum..=*maximum).contains(&count)) {
                    self.report(number.range, path, range_message(*minimum, *maximum));
                }
            }
            (Kind::Number, Value::NumberLit(number)) => {
                if !number.value.parse::<f64>().is_ok_and(f64::is_finite) {
                    self.report(number.range, path, "must be a finite number");
                }
            }
            (Kind::Flag, Value::BooleanLit(_)) => (),
            (Kind::Object(fields), Value::Object(object)) => {
                self.check_object(object, fields, path);
            }
            (Kind::Map { name, value }, Value::Object(object)) => {
                self.check_map(object, *name, value, path);
            }
            (Kind::List(kind), Value::Array(array)) => self.check_list(array, kind, path),
            (Kind::Choice(fields), Value::Object(object)) => {
                self.check_choice(object, fields, path);
            }
            _ => {
                let message = format!("must be {}, not {}", expected(kind), found(value));
                self.report(value.range(), path, message);
            }
        }
    }

    fn check_object(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.check_fields(object, fields, path);
        for field in fields.iter().filter(|field| field.required) {
            let has_name = |property: &ObjectProp<'_>| property.name.as_str() == field.name;
            if !object.properties.iter().any(has_name) {
                self.report(object.range, &join_path(path, field.name), "missing");
            }
        }
    }

    fn check_choice(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.check_fields(object, fields, path);
        if object.properties.len() != 1 {
            let message = format!("must have exactly one field of {}", field_names(fields));
            self.report(object.range, path, message);
        }
    }

    fn check_fields(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.check_duplicates(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join_path(path, name);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.check_value(&property.value, &field.kind, &path),
                None => {
                    let message = format!("unknown field, expected {}", field_names(fields));
                    self.report(property.range, &path, message);
                }
            }
        }
    }

    fn check_map(
        &mut self,
        object: &Object<'_>,
        check: fn(&str) -> Result<(), String>,
        kind: &Kind,
        path: &str,
    ) {
        self.check_duplicates(object, path);
        for property in &object.properties {
            let path = join_path(path, property.name.as_str());
            if let Err(message) = check(property.name.as_str()) {
                self.report(property.range, &path, format!("name {message}"));
            }
            self.check_value(&property.value, kind, &path);
        }
    }

    fn check_list(&mut self, array: &Array<'_>, kind: &Kind, path: &str) {
        for (index, value) in array.elements.iter().enumerate() {
            self.check_value(value, kind, &format!("{path}[{index}]"));
        }
    }

    fn check_duplicates(&mut self, object: &Object<'_>, path: &str) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                self.report(
                    property.range,
                    &join_path(path, name),
                    "given more than once",
                );
            }
        }
    }
}

fn range_message(minimum: u64, maximum: u64) -> String {
    if maximum == u64::MAX {
        format!("must be a whole number of at least {minimum}")
    } else {
        format!("must be a whole number from {minimum} to {maximum}")
    }
}

fn field_names(fields: &[Field]) -> String {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

const fn expected(kind: &Kind) -> &'static str {
    match kind {
        Kind::Text(_) => "text",
        Kind::Count { .. } => "a whole number",
        Kind::Number => "a number",
        Kind::Flag => "true or false",
        Kind::Object(_) | Kind::Map { .. } | Kind::Choice(_) => "an object",
        Kind::List(_) => "a list",
    }
}

const fn found(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

//! Schema of a file.

/// Kind of value that a schema requires.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Kind {
    /// Text that passes a check. The error of the check says what the text must be.
    Text(fn(&str) -> Result<(), String>),
    /// A whole number from `minimum` to `maximum`.
    Count {
        /// Smallest value allowed.
        minimum: u64,
        /// Largest value allowed.
        maximum: u64,
    },
    /// A finite number.
    Number,
    /// True or false.
    Flag,
    /// An object with these fields and no others.
    Object(&'static [Field]),
    /// An object with any number of fields, whose names must pass a check.
    Map {
        /// Check of each field name.
        name: fn(&str) -> Result<(), String>,
        /// Kind that every value must have.
        value: &'static Kind,
    },
    /// A list whose elements all have this kind.
    List(&'static Kind),
    /// An object with exactly one of these fields.
    Choice(&'static [Field]),
}

/// A field of an object.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Field {
    pub(super) name: &'static str,
    pub(super) kind: Kind,
    pub(super) required: bool,
}

impl Field {
    /// Creates a field that must be given.
    pub(crate) const fn required(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Creates a field that may be left out.
    pub(crate) const fn optional(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

//! What a file may hold.

/// What a value must be.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Kind {
    /// Text that passes a check; the check says what the text must be.
    Text(fn(&str) -> Result<(), String>),
    /// A whole number within bounds.
    Count {
        /// Least value.
        least: u64,
        /// Greatest value.
        most: u64,
    },
    /// A number.
    Number,
    /// True or false.
    Flag,
    /// An object with these fields and no others.
    Object(&'static [Field]),
    /// An object with any names that pass a check.
    Map {
        /// Check of each name.
        name: fn(&str) -> Result<(), String>,
        /// What each value must be.
        value: &'static Kind,
    },
    /// A list.
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
    /// Makes a field that must be given.
    pub(crate) const fn required(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Makes a field that may be left out.
    pub(crate) const fn optional(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

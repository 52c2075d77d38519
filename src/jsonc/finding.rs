//! Findings about a file.

use std::fmt;

use serde::Serialize;

/// Something wrong with a file, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 if the file could not be read.
    pub line: usize,
    /// Column in characters, from 1; 0 if the file could not be read.
    pub column: usize,
    /// Path to the field, such as `role.agent.pool`; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All that is wrong with a file; displayed one line each.
///
/// # Examples
///
/// ```
/// use chestnuthub::settings::Settings;
///
/// let text = "{\n  \"instance\": 7,\n  \"colour\": \"red\"\n}";
/// let findings = Settings::parse("entry.jsonc", text).unwrap_err();
/// let lines = findings.to_string();
/// let mut lines = lines.lines();
/// assert_eq!(lines.next(), Some("entry.jsonc:1:1: region: missing"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the findings about another file.
    pub fn append(&mut self, mut others: Self) {
        self.0.append(&mut others.0);
    }

    /// Returns the findings in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

impl FromIterator<Finding> for Findings {
    fn from_iter<I: IntoIterator<Item = Finding>>(findings: I) -> Self {
        let mut findings: Vec<_> = findings.into_iter().collect();
        findings.sort_by_key(|finding| (finding.line, finding.column));
        Self(findings)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

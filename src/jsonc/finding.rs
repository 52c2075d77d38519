//! Findings: errors in a file, with their position.

use std::fmt;

use serde::Serialize;

/// An error in a file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1; 0 if the file could not be read.
    pub line: usize,
    /// Column in characters, starting at 1; 0 if the file could not be read.
    pub column: usize,
    /// Path of the field, such as `role.agent.pool`; empty if the finding is about the whole file.
    pub path: String,
    /// Description of the error.
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

/// All findings about one or several files. Displayed with one finding per line.
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
    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Appends the findings about another file.
    pub fn append(&mut self, mut others: Self) {
        self.0.append(&mut others.0);
    }

    /// Iterates over the findings file by file, ordered by position within each file.
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

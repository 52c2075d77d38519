//! Settings of a daemon, read from a file of JSON with comments.

mod rules;
mod schema;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
};

use serde::Deserialize;

pub use crate::jsonc::{
    Finding,
    Findings, //
};
use crate::{
    id,
    jsonc::Document, //
};

/// Settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance in the instance list and in its certificate.
    pub instance: id::Instance,
    /// Region of this instance.
    pub region: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Address of the peer port (UDP).
    pub peer_addr: SocketAddr,
    /// Address of the operator port (TCP).
    pub operator_addr: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Certificates and private key for connections between daemons.
    pub tls: Tls,
    /// SHA-256 digests of the operators' bearer tokens in hex, by operator name.
    #[serde(default)]
    pub operators: BTreeMap<String, String>,
    /// Log level: error, warn, info or debug.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Role of the daemon.
    pub role: Role,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the append-only log.
    pub log: String,
    /// Number of hours for which the log keeps records.
    pub log_retention_h: u64,
    /// Base URL of the instance list.
    pub list: String,
    /// Base URL of the weight store.
    pub store: String,
}

/// PEM files for connections between daemons.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the authority that signs all daemons' certificates.
    pub authority: PathBuf,
    /// This instance's certificate.
    pub certificate: PathBuf,
    /// This instance's private key.
    pub key: PathBuf,
}

/// Role of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// Accepts clients' requests.
    Entry(Entry),
    /// Runs beside a backend server and gives it orders and requests.
    Agent(Agent),
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Address of the caller port (TCP), on which clients connect.
    pub caller_addr: SocketAddr,
    /// SHA-256 digests of clients' bearer tokens in hex, by institution.
    pub institutions: BTreeMap<id::Institution, Vec<String>>,
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Pool of the backend server.
    pub pool: id::Pool,
    /// The backend server.
    pub backend: Backend,
}

/// The backend server beside an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Backend {
    /// A model engine.
    Engine {
        /// Base URL.
        url: String,
        /// Accelerator memory, in MiB.
        memory_mb: u64,
        /// Accelerator memory reserved for adapters, in MiB; included in `memory_mb`.
        adapter_memory_mb: u64,
        /// Whether the engine refuses orders with an outdated fencing token.
        checks_fence: bool,
    },
    /// A plain service.
    Service {
        /// Base URL.
        url: String,
    },
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns all findings about the file, each with its position.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use chestnuthub::settings::Settings;
    ///
    /// let settings = Settings::load(Path::new("examples/tengis/entry.jsonc")).unwrap();
    /// assert_eq!(settings.failure_domain, "ub-east");
    /// ```
    pub fn load(path: &Path) -> Result<Self, Findings> {
        Self::decode(&Document::read(path)?)
    }

    /// Decodes settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns all findings about the text, each with its position. They show `file` as the name
    /// of the file.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::settings::Settings;
    ///
    /// let findings = Settings::parse("entry.jsonc", "[]").unwrap_err();
    /// let expected = "entry.jsonc:1:1: must be an object, not a list";
    /// assert_eq!(findings.to_string(), expected);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        Self::decode(&Document::new(file, text))
    }

    /// Checks that the PEM files named in these settings can be read and parsed. `path` is the
    /// settings file, whose fields the findings point to.
    ///
    /// # Errors
    ///
    /// Returns one finding for each file that can't be read, or that doesn't hold a certificate or
    /// key as its field requires.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use chestnuthub::settings::Settings;
    ///
    /// let path = Path::new("examples/tengis/entry.jsonc");
    /// let settings = Settings::load(path).unwrap();
    /// // The examples come without the three PEM files.
    /// let findings = settings.check_files(path).unwrap_err();
    /// assert_eq!(findings.iter().count(), 3);
    /// ```
    pub fn check_files(&self, path: &Path) -> Result<(), Findings> {
        let document = Document::read(path)?;
        rules::into_result(rules::check_files(self, &document))
    }

    fn decode(document: &Document) -> Result<Self, Findings> {
        let mut settings: Self = document.decode(&schema::SETTINGS)?;
        rules::into_result(rules::check_fields(&settings, document))?;
        settings.normalise();
        Ok(settings)
    }

    /// Converts digests to lower case, the form in which daemons compare them.
    fn normalise(&mut self) {
        for digest in self.operators.values_mut() {
            digest.make_ascii_lowercase();
        }
        if let Role::Entry(entry) = &mut self.role {
            for digest in entry.institutions.values_mut().flatten() {
                digest.make_ascii_lowercase();
            }
        }
    }
}

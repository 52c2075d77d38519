//! Items that release notes add, change and withdraw.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id;

/// Default number of slots that a model version has without any demand.
const DEFAULT_HOME_SLOTS: u32 = 2;

const fn default_home_slots() -> u32 {
    DEFAULT_HOME_SLOTS
}

const fn default_weight() -> f64 {
    1.0
}

/// A model version that may be loaded on the backend servers of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name without the version.
    pub name: String,
    /// Version. Requests that name neither a version nor an adapter are served by the highest one.
    pub version: u32,
    /// Pool of the backend servers that may load it.
    pub pool: id::Pool,
    /// Accelerator memory of a loaded replica in MiB, not counting adapters.
    pub memory_mb: u64,
    /// Size of the checkpoint in the weight store in MiB.
    pub checkpoint_mb: u64,
    /// Maximum number of slots that coordinators may grant.
    pub max_replicas: u32,
    /// Number of slots that coordinators grant even without demand.
    #[serde(default = "default_home_slots")]
    pub home_slots: u32,
    /// Maximum age in seconds of a daemon's copy of the log's state; requests are refused when it
    /// is older. No limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_limit_s: Option<u64>,
}

impl Model {
    /// Returns the id of this version, `name@version`.
    pub fn id(&self) -> id::Model {
        id::Model::from(format!("{}@{}", self.name, self.version).as_str())
    }
}

/// An adapter that can be loaded in addition to its model version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name, unique among the adapters.
    pub name: id::Adapter,
    /// Model version that it extends.
    pub model: id::Model,
    /// Accelerator memory in MiB.
    pub memory_mb: u64,
}

/// Method and path prefix of calls to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path, beginning with `/`.
    pub path: String,
}

/// A plain service, which clients reach under `/services/{name}/`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in that path.
    pub name: id::Service,
    /// Pool of its backend servers.
    pub pool: id::Pool,
    /// Calls that are not idempotent and need an idempotency key.
    #[serde(default)]
    pub non_idempotent: Vec<Call>,
    /// Maximum age in seconds of a daemon's copy of the log's state; requests are refused when it
    /// is older. No limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_limit_s: Option<u64>,
}

/// An institution, and the weights that it gives to cold-start time and idle accelerator time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Institution {
    /// Name. The settings of the daemons map credentials to this name.
    pub name: id::Institution,
    /// Weight of one second of cold start.
    #[serde(default = "default_weight")]
    pub cold_start_weight: f64,
    /// Weight of one idle accelerator hour.
    #[serde(default = "default_weight")]
    pub idle_hour_weight: f64,
}

/// Right of an institution to call a model or service, with limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Institution that may call the target.
    pub institution: id::Institution,
    /// Name of a model, which includes all its versions and adapters, or of a service.
    pub target: String,
    /// Maximum number of requests in flight in the whole fleet.
    pub max_in_flight: u32,
    /// Maximum number of the institution's requests that wait for one model version at one backend
    /// server. Not used for plain services.
    pub max_queue: u32,
    /// Maximum request rate in the whole fleet, in requests per second.
    pub requests_per_s: f64,
    /// Priority; 0 is served first.
    #[serde(default)]
    pub priority: u8,
}

/// An item of a release note.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A model version.
    Model(Model),
    /// An adapter.
    Adapter(Adapter),
    /// A plain service.
    Service(Service),
    /// An institution.
    Institution(Institution),
    /// An institution's right to call a target.
    Access(Access),
}

impl Item {
    /// Returns the kind of item, as release notes name it.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Model(_) => "model",
            Self::Adapter(_) => "adapter",
            Self::Service(_) => "service",
            Self::Institution(_) => "institution",
            Self::Access(_) => "access",
        }
    }

    /// Returns the key of this item.
    pub fn key(&self) -> Key {
        match self {
            Self::Model(model) => Key::Model(model.id()),
            Self::Adapter(adapter) => Key::Adapter(adapter.name.clone()),
            Self::Service(service) => Key::Service(service.name.clone()),
            Self::Institution(institution) => Key::Institution(institution.name.clone()),
            Self::Access(access) => Key::Access {
                institution: access.institution.clone(),
                target: access.target.clone(),
            },
        }
    }
}

/// Key of an item, unique in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// A model version.
    Model(id::Model),
    /// An adapter.
    Adapter(id::Adapter),
    /// A plain service.
    Service(id::Service),
    /// An institution.
    Institution(id::Institution),
    /// An institution's right to call a target.
    Access {
        /// The institution.
        institution: id::Institution,
        /// Name of a model or service.
        target: String,
    },
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model/{name}"),
            Self::Adapter(name) => write!(f, "adapter/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Institution(name) => write!(f, "institution/{name}"),
            Self::Access {
                institution,
                target,
            } => write!(f, "access/{institution}/{target}"),
        }
    }
}

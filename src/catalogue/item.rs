//! The items that release notes add, change and withdraw.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id;

/// Default number of slots of a model version that is not called.
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
    /// Version; the highest version of a name is the one that a call without a version gets.
    pub version: u32,
    /// Pool whose backend servers may load it.
    pub pool: id::Pool,
    /// Accelerator memory of a loaded replica in MiB, without adapters.
    pub memory_mb: u64,
    /// Size of the checkpoint in the weight store in MiB.
    pub checkpoint_mb: u64,
    /// Most slots that may be decided.
    pub max_replicas: u32,
    /// Slots that are decided ahead of need.
    #[serde(default = "default_home_slots")]
    pub home_slots: u32,
    /// Seconds without news of the log after which calls are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_limit_s: Option<u64>,
}

impl Model {
    /// Returns the id of this version, `name@version`.
    pub fn id(&self) -> id::Model {
        id::Model::from(format!("{}@{}", self.name, self.version).as_str())
    }
}

/// An adapter that can be loaded into the adapter space of a model version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name, unique among the adapters.
    pub name: id::Adapter,
    /// Model version that it belongs to.
    pub model: id::Model,
    /// Accelerator memory in MiB.
    pub memory_mb: u64,
}

/// A method and path prefix of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path, beginning with `/`.
    pub path: String,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the path `/services/{name}/`.
    pub name: id::Service,
    /// Pool of its backend servers.
    pub pool: id::Pool,
    /// Calls that are not idempotent and need an idempotency key.
    #[serde(default)]
    pub non_idempotent: Vec<Call>,
    /// Seconds without news of the log after which calls are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_limit_s: Option<u64>,
}

/// An institution and how it weighs the two measures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Institution {
    /// Name; the daemons' settings map credentials to it.
    pub name: id::Institution,
    /// Weight of a second of cold start.
    #[serde(default = "default_weight")]
    pub cold_start_weight: f64,
    /// Weight of an idle accelerator hour.
    #[serde(default = "default_weight")]
    pub idle_hour_weight: f64,
}

/// The right of an institution to call a model or service, with its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// The institution.
    pub institution: id::Institution,
    /// Name of a model (all its versions and adapters) or service.
    pub target: String,
    /// Most requests in flight in the whole fleet.
    pub max_in_flight: u32,
    /// Most requests that wait at one backend server.
    pub max_queue: u32,
    /// Requests a second in the whole fleet.
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
    /// Returns the kind of item, as it is named in a release note.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Model(_) => "model",
            Self::Adapter(_) => "adapter",
            Self::Service(_) => "service",
            Self::Institution(_) => "institution",
            Self::Access(_) => "access",
        }
    }

    /// Returns the key that names this item.
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

/// Names an item.
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

//! Configuration that operators publish: routes, services and limits.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use super::account::Accounts;

/// Kind of request, which determines whether a second server may run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of a client.
    NonIdempotent,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another server may resume after the last complete event.
    ResumableStream,
}

impl Kind {
    /// Returns whether a second server may run the request.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::Kind;
    ///
    /// assert!(Kind::ResumableStream.is_repeatable());
    /// assert!(!Kind::Stream.is_repeatable());
    /// ```
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::Kind;
    ///
    /// assert!(Kind::Stream.is_stream());
    /// ```
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of the share, relative to the route's other targets.
    pub weight: f64,
}

/// A rule that assigns requests to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name of the requests in lower case.
    pub host: String,
    /// Prefix of the requests' paths; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests.
    pub kind: Kind,
    /// Maximum time that a request waits for its response.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub latency_objective: Duration,
    /// Longest silence before the first event or between two events after which clients leave.
    pub max_silence: Option<Duration>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers to which one attempt of a client is sent.
    pub attempts: u32,
    /// Whether the requests need no key. Of no effect if the configuration names no accounts.
    pub is_public: bool,
    /// Services that handle the requests; at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for a request. `draw` is a random number, uniformly distributed from 0
    /// to 1.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}

/// A model that an engine can load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory that the weights occupy in MB.
    pub weights_mb: f64,
    /// Memory that one adapter occupies in MB.
    pub adapter_mb: f64,
    /// Duration of a load from the weight store.
    pub store_load: Duration,
    /// Duration of a load from the server's disk.
    pub disk_load: Duration,
    /// Duration of a load from the server's main memory.
    pub memory_load: Duration,
}

/// Properties that all engines of a service share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests that an engine runs at once.
    pub slots: u32,
    /// Accelerator memory for weights and adapters in MB.
    #[serde(rename = "weights_mb")]
    pub memory_mb: f64,
    /// Maximum number of adapters that an engine holds.
    pub adapter_slots: u32,
    /// Maximum rate at which loads from the weight store may start, per second over all servers.
    pub loads_per_s: f64,
    /// Models that may be loaded, sorted by name.
    pub models: Vec<Model>,
}

impl Engine {
    /// Finds a model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let found = self
            .models
            .binary_search_by(|model| model.name.as_str().cmp(name));
        found.ok().map(|index| &self.models[index])
    }
}

/// A group of servers that handle the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one server, over all callers.
    pub max_connections: u32,
    /// Properties of the engines; present if the servers are model engines.
    pub engine: Option<Engine>,
}

/// Limits on the requests and connections of clients.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub header_timeout: Duration,
    /// Maximum time that a connection stays idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The routes, services and limits that operators have published.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of clients.
    pub limits: Limits,
    /// Client accounts. `None` if the configuration names none: requests then need no key.
    pub accounts: Option<Accounts>,
}

impl Configuration {
    /// Finds the route of a request: the one with the longest matching prefix among the host's
    /// routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::Configuration;
    ///
    /// assert!(Configuration::default().route("a.example", "/x/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns whether a request needs a key of an account.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::Configuration;
    ///
    /// assert!(!Configuration::default().needs_key("a.example", "/x/"));
    /// ```
    pub fn needs_key(&self, host: &str, path: &str) -> bool {
        let route = self.accounts.as_ref().and_then(|_| self.route(host, path));
        route.is_some_and(|route| !route.is_public)
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

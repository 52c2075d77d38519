//! The operators' configuration.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    NonIdempotent,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another server may continue after the last whole event.
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

    /// Returns whether the answer is an event stream.
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

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share relative to the route's other targets.
    pub weight: f64,
}

/// Says which service answers which requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the requests' paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub latency_objective: Duration,
    /// Rank of the requests; 0 goes first.
    pub priority: u8,
    /// Most servers to which one attempt of a client is sent.
    pub attempts: u32,
    /// Services that answer; at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for a request, by a number drawn evenly from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * total;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}

/// A model that an engine can load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory of the weights in MB.
    pub weights_mb: f64,
    /// Memory of one adapter in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the server's disk.
    pub disk_load: Duration,
    /// Time of a load from the server's main memory.
    pub memory_load: Duration,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Accelerator memory for weights and adapters in MB.
    pub weights_mb: f64,
    /// Most adapters that an engine holds.
    pub adapter_slots: u32,
    /// Loads from the weight store that may begin each second, over all servers.
    pub loads_per_s: f64,
    /// Models that may be loaded, ordered by name.
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

/// Servers that answer the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Most connections of all callers to one server.
    pub max_connections: u32,
    /// Present if the servers are model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays idle.
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

/// What operators want to be served.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version; grows with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

impl Configuration {
    /// Finds the route of a request: the longest prefix of its path among the host's routes.
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

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

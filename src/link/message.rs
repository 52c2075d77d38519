//! The messages between gateways and loaders.

use std::{
    hash::Hasher,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use siphasher::sip::SipHasher13;

use crate::deployment::{
    Copies,
    Engine,
    Replica, //
};

/// Time constant in seconds with which the request rate of a model decays.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 12.0;

/// Time constant in seconds of the recent request rate, short enough to show a shift of demand.
pub(crate) const RECENT_TIME_CONSTANT_S: f64 = 2.5;

/// Use of a model or adapter at a server by the requests of one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the requests use one.
    pub adapter: Option<String>,
    /// Number of requests in flight.
    pub in_flight: u32,
}

/// Requests at a gateway that wait until a model or adapter is loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the requests need one.
    pub adapter: Option<String>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Priority of the most urgent of them; 0 is the most urgent.
    pub priority: u8,
}

/// Message of a gateway to the loader of a server: what its requests need there, and its traffic.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Models and adapters that its requests at the server use.
    pub usage: Vec<Usage>,
    /// Models and adapters that its requests wait for at the server.
    #[serde(rename = "wishes")]
    pub backlogs: Vec<Backlog>,
    /// Traffic of each model for which it changed since the previous message.
    pub rates: Vec<Traffic>,
    /// Loads in progress on all servers.
    pub loads: Vec<Loading>,
    /// Version of the engine description that the gateway has for the server.
    pub engine_version: Option<EngineVersion>,
    /// That description, if the loader has requested it.
    pub engine: Option<EngineDescription>,
}

/// Version of an engine description.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineVersion {
    /// Version of the configuration that contains the description.
    pub configuration: u64,
    /// Hash of the description. Most new configurations leave the description unchanged, so the
    /// hash shows whether it has to be sent again.
    pub digest: u64,
}

impl EngineVersion {
    /// Returns the version of a description that a configuration contains.
    pub fn new(configuration: u64, engine: &Engine) -> Self {
        // Encoding can't fail: postcard encodes every type in the description.
        let bytes = postcard::to_stdvec(engine).unwrap_or_default();
        let mut hasher = SipHasher13::new();
        hasher.write(&bytes);
        Self {
            configuration,
            digest: hasher.finish(),
        }
    }
}

/// The description of the engines of a service, with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDescription {
    /// Version of the description.
    pub version: EngineVersion,
    /// Properties that all engines of the service share.
    pub engine: Engine,
}

/// A load in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loading {
    /// Id of the server.
    pub server: String,
    /// The order that loads the model.
    pub order: CurrentOrder,
}

/// Traffic of a model at a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Name of the model.
    pub model: String,
    /// Requests per second, averaged over a time long enough for a rarely used model to get more
    /// than one request.
    pub per_s: f32,
    /// Requests per second, averaged over a short time to show a shift of demand.
    pub recent_per_s: f32,
    /// Time that engines spend on prefill for these requests, in ms per second, averaged over the
    /// same short time.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: f32,
    /// Number of requests in flight at servers.
    pub in_flight: u32,
}

impl Traffic {
    /// Returns the traffic of a model without requests.
    pub(crate) fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            per_s: 0.0,
            recent_per_s: 0.0,
            prefill_ms: 0.0,
            in_flight: 0,
        }
    }

    /// Returns the traffic after a time without new requests: the rates decay, the number in flight
    /// stays.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::link::Traffic;
    ///
    /// let traffic = Traffic {
    ///     model: "m".to_owned(),
    ///     per_s: 1.0,
    ///     recent_per_s: 1.0,
    ///     prefill_ms: 100.0,
    ///     in_flight: 0,
    /// };
    /// let later = traffic.after(Duration::from_secs(5));
    /// assert!(later.recent_per_s < later.per_s);
    /// ```
    pub fn after(&self, age: Duration) -> Self {
        let age_s = age.as_secs_f64();
        let slow = (-age_s / RATE_TIME_CONSTANT_S).exp() as f32;
        let fast = (-age_s / RECENT_TIME_CONSTANT_S).exp() as f32;
        Self {
            model: self.model.clone(),
            per_s: self.per_s * slow,
            recent_per_s: self.recent_per_s * fast,
            prefill_ms: self.prefill_ms * fast,
            in_flight: self.in_flight,
        }
    }
}

/// An order that a server's engine is executing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CurrentOrder {
    /// Name of the model.
    pub model: String,
    /// Whether the order loads the model; otherwise it unloads it.
    pub is_load: bool,
    /// Estimated remaining time of the order, in ms.
    pub remaining_ms: u32,
}

/// The models and weights that a server holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    /// Id of the server.
    pub server: String,
    /// Start time of the server in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Whether the server responds to its loader.
    #[serde(rename = "answers")]
    pub is_responsive: bool,
    /// Whether the server has announced that it leaves.
    #[serde(rename = "leaves")]
    pub is_leaving: bool,
    /// Models loaded in accelerator memory.
    pub replicas: Vec<Replica>,
    /// Copies of weights in the server's main memory and on its disk.
    pub copies: Copies,
    /// The order that the server's engine is executing.
    #[serde(rename = "underway")]
    pub current_order: Option<CurrentOrder>,
}

/// The workload of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Workload {
    /// Number of running requests.
    pub(crate) running: u32,
    /// Number of requests that wait for a slot.
    pub(crate) queued: u32,
    /// Number of gateways connected to the loader.
    pub(crate) gateways: u32,
}

/// Message of a loader to a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// The workload of the server.
    pub(crate) workload: Workload,
    /// The models and weights that the server holds, if they changed since the previous message.
    pub(crate) holdings: Option<Holdings>,
    /// Whether the loader requests the gateway's description of the engine.
    pub(crate) wants_engine: bool,
}

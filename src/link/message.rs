//! The messages.

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

/// Time constant of the rates of models, in seconds.
pub(crate) const RATE_S: f64 = 12.0;

/// Time constant of the rates that show a shift of demand, in seconds.
pub(crate) const RECENT_S: f64 = 2.5;

/// Requests of a gateway that a server runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is used.
    pub adapter: Option<String>,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A model or adapter that requests at a gateway wait for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wish {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is wanted.
    pub adapter: Option<String>,
    /// Requests that wait.
    pub waiting: u32,
    /// Rank of the most urgent of them; 0 goes first.
    pub priority: u8,
}

/// What a gateway wants of a server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// What its requests use.
    pub usage: Vec<Usage>,
    /// What its requests wait for.
    pub wishes: Vec<Wish>,
    /// What is asked of each model at this gateway, if it was asked for since the message before.
    pub rates: Vec<Asking>,
    /// Loads under way at all servers.
    pub loads: Vec<Loading>,
    /// Which description of the server's engine the gateway has.
    pub engine_version: Option<EngineVersion>,
    /// That description, if the loader wants it.
    pub engine: Option<EngineDescription>,
}

/// Tells descriptions of engines apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineVersion {
    /// Version of the configuration that holds the description.
    pub configuration: u64,
    /// Hash of the description, which most new configurations leave as it is.
    pub digest: u64,
}

impl EngineVersion {
    /// Returns the version of a description in a configuration.
    pub fn new(configuration: u64, engine: &Engine) -> Self {
        // All numbers and texts of a description have an encoding.
        let bytes = postcard::to_stdvec(engine).unwrap_or_default();
        let mut hasher = SipHasher13::new();
        hasher.write(&bytes);
        Self {
            configuration,
            digest: hasher.finish(),
        }
    }
}

/// A description of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDescription {
    /// Version of the description.
    pub version: EngineVersion,
    /// What the engines have in common.
    pub engine: Engine,
}

/// A load under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loading {
    /// Id of the server.
    pub server: String,
    /// What is loaded.
    pub order: Underway,
}

/// What is asked of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Asking {
    /// Name of the model.
    pub model: String,
    /// Requests a second over a time in which rarely used models are asked for more than once.
    pub per_s: f32,
    /// Requests a second over a short time, which shows a shift of demand.
    pub recent_per_s: f32,
    /// Time that engines read prompts for them over the same short time, in ms a second.
    pub reading_ms: f32,
    /// Requests at servers.
    pub in_flight: u32,
}

impl Asking {
    /// Returns that nothing is asked of a model.
    pub(crate) fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            per_s: 0.0,
            recent_per_s: 0.0,
            reading_ms: 0.0,
            in_flight: 0,
        }
    }

    /// Returns what is asked for after a time without requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::link::Asking;
    ///
    /// let asking = Asking {
    ///     model: "m".to_owned(),
    ///     per_s: 1.0,
    ///     recent_per_s: 1.0,
    ///     reading_ms: 100.0,
    ///     in_flight: 0,
    /// };
    /// let later = asking.after(Duration::from_secs(5));
    /// assert!(later.recent_per_s < later.per_s);
    /// ```
    pub fn after(&self, age: Duration) -> Self {
        let age_s = age.as_secs_f64();
        let slow = (-age_s / RATE_S).exp() as f32;
        let fast = (-age_s / RECENT_S).exp() as f32;
        Self {
            model: self.model.clone(),
            per_s: self.per_s * slow,
            recent_per_s: self.recent_per_s * fast,
            reading_ms: self.reading_ms * fast,
            in_flight: self.in_flight,
        }
    }
}

/// An order that a server carries out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Underway {
    /// Name of the model.
    pub model: String,
    /// Whether the order loads the model; otherwise it unloads it.
    pub is_load: bool,
    /// Expected time until it is complete, in milliseconds.
    pub remaining_ms: u32,
}

/// What a server holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    /// Id of the server.
    pub server: String,
    /// Start of the server in Unix milliseconds.
    pub born: u64,
    /// Whether the server answers the loader beside it.
    pub answers: bool,
    /// Models in accelerator memory.
    pub replicas: Vec<Replica>,
    /// Copies of weights elsewhere on the server.
    pub copies: Copies,
    /// The order under way.
    pub underway: Option<Underway>,
}

/// How busy a server is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Workload {
    /// Requests that run.
    pub(crate) running: u32,
    /// Requests that wait for a slot.
    pub(crate) queued: u32,
    /// Gateways that are connected to the loader.
    pub(crate) gateways: u32,
}

/// What a loader tells gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// How busy the server is.
    pub(crate) workload: Workload,
    /// What the server holds, if that changed since the last message.
    pub(crate) holdings: Option<Holdings>,
    /// Whether the gateway is asked for its description of the engine.
    pub(crate) wants_engine: bool,
}

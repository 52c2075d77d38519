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

use super::{
    History,
    Origin,
    Spending, //
};
use crate::{
    deployment::{
        Copies,
        Engine,
        Replica,
        Server, //
    },
    dispatch::RequestRate,
    quarantine::{
        Fact,
        Findings, //
    },
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
    /// Time for which the one that arrived first has waited, in ms.
    pub oldest_ms: u32,
    /// Times until the latency objectives of the requests that can still meet them, in ms.
    pub due_ms: Vec<u32>,
    /// Time until the client of the one that arrived first leaves, in ms.
    pub leaves_ms: u32,
}

impl Backlog {
    /// Maximum number of latency objectives that are told.
    pub(crate) const MAX_DUE: usize = 16;

    /// Returns the backlog after a time in which no request arrived or left.
    pub(crate) fn after(&self, age: Duration) -> Self {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Self {
            oldest_ms: self.oldest_ms.saturating_add(age_ms),
            due_ms: self
                .due_ms
                .iter()
                .filter_map(|due| due.checked_sub(age_ms))
                .collect(),
            leaves_ms: self.leaves_ms.saturating_sub(age_ms),
            ..self.clone()
        }
    }
}

/// What the requests of one gateway, or of several, need at a server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerDemand {
    /// Id of the server.
    pub server: String,
    /// Models and adapters that requests at the server use.
    pub usage: Vec<Usage>,
    /// Models and adapters that requests wait for at the server.
    #[serde(rename = "wishes")]
    pub backlogs: Vec<Backlog>,
}

/// First message on a connection to a hub: what the sender is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Hello {
    /// A gateway, which sends [`Demand`] and receives [`Update`].
    Gateway,
    /// A loader, which sends [`Status`] and receives [`Needs`].
    Loader,
    /// A hub that checks whether the receiver responds, which receives one empty [`Needs`].
    Probe,
}

/// Message of a gateway to a hub: what its requests need at servers, and its traffic.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Demand at each server for which it changed since the previous message.
    pub servers: Vec<ServerDemand>,
    /// Traffic of each model for which it changed since the previous message.
    pub rates: Vec<Traffic>,
    /// Version of the engine description that the gateway has.
    pub engine_version: Option<EngineVersion>,
    /// That description, if the hub has requested it.
    pub engine: Option<EngineDescription>,
    /// Whether there are signs that the list of servers has changed.
    pub wants_listing: bool,
    /// Origins of streams that began lately, while servers of several software versions serve.
    pub origins: Vec<Origin>,
    /// Streams whose origins the gateway asks for.
    pub unknown_streams: Vec<u64>,
    /// What the gateway has seen of requests that crash servers.
    pub facts: Vec<Fact>,
    /// What requests of accounts have used at the gateway.
    pub spendings: Vec<Spending>,
    /// Software versions that the gateway has seen, if that changed.
    pub history: Option<History>,
}

/// Message of a hub to a loader: what the requests of the hub's gateways need.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Needs {
    /// Models and adapters that requests at the loader's server use.
    pub(crate) usage: Vec<Usage>,
    /// Models and adapters that requests wait for at the loader's server.
    pub(crate) backlogs: Vec<Backlog>,
    /// Traffic of each model for which it changed since the previous message that had rates, summed
    /// over the hub's gateways.
    pub(crate) rates: Vec<Traffic>,
    /// Number of gateways connected to the hub.
    pub(crate) gateways: u32,
    /// Version of the engine description that the hub has.
    pub(crate) engine_version: Option<EngineVersion>,
    /// That description, if the loader has requested it.
    pub(crate) engine: Option<EngineDescription>,
    /// Changes of the servers, if the loader follows them at this hub.
    pub(crate) update: Option<Update>,
}

/// Whether a hub is in contact with the loader of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Contact {
    /// The loader is connected.
    Connected,
    /// The loader closed its connection; its machine may still be up.
    Lost,
    /// The loader's machine does not respond.
    Silent,
}

/// What a hub knows of a server from its loader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerState {
    /// The models that the server holds. The copies of weights are left empty.
    pub holdings: Holdings,
    /// Copies of weights, if they changed.
    pub copies: Option<Copies>,
    /// The workload of the server.
    pub workload: Workload,
    /// Whether the loader is connected.
    pub contact: Contact,
}

/// The list of servers in the store, as changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Time since the list was read from the store, in ms.
    pub age_ms: u32,
    /// Descriptions that have changed.
    pub servers: Vec<Server>,
    /// Ids of servers that are no longer listed.
    pub removed: Vec<String>,
}

/// Changes of the servers since the previous update on the connection.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether this is the first update, which contains everything.
    pub is_full: bool,
    /// States that have changed.
    pub servers: Vec<ServerState>,
    /// Ids of servers whose loaders the hub no longer knows.
    pub removed: Vec<String>,
    /// The list of servers, if it was read again.
    pub listing: Option<Listing>,
    /// Whether the hub requests the gateway's description of the engine.
    pub wants_engine: bool,
    /// Origins of streams that the gateway has asked for.
    pub origins: Vec<Origin>,
    /// Whether the hub knows origins of streams, because a gateway knows several software versions;
    /// `None` if the hub can't tell yet.
    pub has_origins: Option<bool>,
    /// Newest version of the configuration that a gateway has had in force, as far as the hub knows.
    pub configuration: Option<u64>,
    /// What the hub has found out of requests that crash servers, if it changed.
    pub findings: Option<Findings>,
    /// What requests of accounts have used at the other gateways.
    pub spendings: Vec<Spending>,
    /// Part of all gateways that the hub hears of, itself or from other hubs.
    pub heard_fraction: f32,
    /// Software versions that the hub has seen, if that changed.
    pub history: Option<History>,
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
pub struct Workload {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of gateways that the loader knows of through hubs.
    pub gateways: u32,
    /// Estimated time of the loads that requests at all gateways wait for at the server, in ms.
    pub backlog_ms: u32,
    /// Limit that the server names on the requests of all gateways.
    pub request_limit: Option<RequestRate>,
}

/// Message of a loader to a hub.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The workload of the server.
    pub workload: Workload,
    /// The models and weights that the server holds, if they changed since the previous message.
    pub holdings: Option<Holdings>,
    /// Whether the loader follows the servers at this hub.
    pub is_observer: bool,
    /// Whether the loader requests the hub's description of the engine.
    pub wants_engine: bool,
    /// Origins that gateways have sent to the hub in the loader's process.
    pub origins: Vec<Origin>,
    /// What gateways have told that hub of requests that crash servers.
    pub facts: Vec<Fact>,
    /// What requests of accounts have used at that hub's gateways.
    pub spendings: Vec<Spending>,
    /// Number of that hub's gateways.
    pub gateways: u32,
    /// Software versions that the loader has seen, if that changed.
    pub history: Option<History>,
}

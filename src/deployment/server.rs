//! Backend servers as they describe themselves.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// State of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and then shuts down.
    Draining,
}

/// A model in a server's accelerator memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the model.
    pub model: String,
    /// Names of the adapters that are loaded with it.
    pub adapters: Vec<String>,
}

/// Copies of weights outside the accelerator memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copies {
    /// Models in main memory.
    pub in_memory: Vec<String>,
    /// Models on the disk.
    pub on_disk: Vec<String>,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the server.
    pub id: String,
    /// Start time of the server in Unix milliseconds.
    pub started_ms: u64,
    /// Sequence number that increases with each description of the same start.
    pub seq: u64,
    /// Name of its service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain in which the server runs.
    pub failure_domain: String,
    /// Version of its software, which has no order; what two versions write does not fit together.
    pub software: String,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining time for which it is slow after its start.
    pub warmup_remaining: Duration,
    /// Models in accelerator memory.
    pub replicas: Vec<Replica>,
    /// Copies of weights elsewhere on the server.
    pub copies: Copies,
}

impl Server {
    /// Returns whether two descriptions differ in more than what changes with every heartbeat of
    /// the server.
    pub fn differs_from(&self, other: &Self) -> bool {
        let is_same = self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
            && self.failure_domain == other.failure_domain
            && self.software == other.software
            && self.slots == other.slots
            && self.state == other.state
            && self.warmup_remaining.is_zero() == other.warmup_remaining.is_zero()
            && self.replicas == other.replicas
            && self.copies == other.copies;
        !is_same
    }

    /// Finds a loaded model.
    pub fn replica(&self, model: &str) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.model == model)
    }
}

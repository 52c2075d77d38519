//! Wire format of the descriptions that servers write into the platform's store.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::deployment::{
    Copies,
    Replica,
    Server,
    State, //
};

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireServer {
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    /// Version of the server's software, not of its models' weights.
    version: Option<Value>,
    slots: f64,
    state: String,
    /// Remaining time for which the server is slow after its start, not an amount of work.
    #[serde(default)]
    cold_left_ms: f64,
    seq: u64,
    born: Option<u64>,
    #[serde(default)]
    models: Vec<WireReplica>,
    cached_models: Option<WireCopies>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WireReplica {
    pub(super) name: String,
    #[serde(default)]
    pub(super) adapters: Vec<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireCopies {
    #[serde(default)]
    in_memory: Vec<String>,
    #[serde(default)]
    on_disk: Vec<String>,
}

impl From<WireReplica> for Replica {
    fn from(wire: WireReplica) -> Self {
        Self {
            model: wire.name,
            adapters: wire.adapters,
        }
    }
}

impl From<WireCopies> for Copies {
    fn from(wire: WireCopies) -> Self {
        Self {
            in_memory: wire.in_memory,
            on_disk: wire.on_disk,
        }
    }
}

/// Decodes the description of the server with this id.
///
/// Returns `None` for an entry of another writer, which is one with a field that is missing, has
/// the wrong type or holds an unknown value.
///
/// # Examples
///
/// ```
/// use chestnuthub::platform::server;
///
/// assert!(server::decode("i-1", b"{\"service\":5}").is_none());
/// ```
pub fn decode(id: &str, bytes: &[u8]) -> Option<Server> {
    let wire: WireServer = serde_json::from_slice(bytes).ok()?;
    let state = match wire.state.as_str() {
        "ready" => State::Ready,
        "draining" => State::Draining,
        _ => return None,
    };
    let cold_left_ms = wire.cold_left_ms.max(0.0);
    Some(Server {
        id: id.to_owned(),
        started_ms: wire.born.unwrap_or_default(),
        seq: wire.seq,
        address: wire.address.parse().ok()?,
        service: wire.service,
        failure_domain: wire.zone,
        software: wire.version.map_or_else(String::new, software),
        slots: wire.slots as u32,
        state,
        warmup_remaining: Duration::try_from_secs_f64(cold_left_ms / 1_000.0).ok()?,
        replicas: wire.models.into_iter().map(Replica::from).collect(),
        copies: wire.cached_models.unwrap_or_default().into(),
    })
}

/// Returns the name of a software version; numbers are taken as they are written.
fn software(version: Value) -> String {
    match version {
        Value::String(name) => name,
        other => other.to_string(),
    }
}

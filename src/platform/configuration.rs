//! Wire format of the operators' configuration in the platform's store.

use std::{
    error::Error,
    fmt,
    time::Duration, //
};

use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::error::Category;

use crate::{
    deployment::{
        Account,
        Accounts,
        Allowance,
        Configuration,
        Engine,
        Kind,
        Limits,
        Model,
        Route,
        Service,
        Target,
        Unit, //
    },
    report,
};

#[derive(Deserialize)]
struct WireConfiguration {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    tenants: Option<Vec<WireAccount>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: f64,
    target_latency_ms: Option<f64>,
    gap_target_ms: Option<f64>,
    #[serde(default)]
    priority: f64,
    service: Option<String>,
    #[serde(default)]
    split: Vec<WireTarget>,
    attempts: Option<f64>,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    public: bool,
}

#[derive(Debug, Deserialize)]
struct WireTarget {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    max_conns: Option<f64>,
    engine: Option<WireEngine>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    slots: Option<f64>,
    /// Memory of a server for weights and adapters in MB, not the size of a model.
    weights_mb: Option<f64>,
    adapter_slots: Option<f64>,
    loads_per_s: Option<f64>,
    #[serde(default)]
    models: Vec<WireModel>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireModel {
    name: String,
    /// Size of the model in MB.
    weights_mb: f64,
    load_s: f64,
    adapter_mb: Option<f64>,
    warm_s: Option<f64>,
    disk_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: Option<f64>,
    max_body_bytes: Option<f64>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// An account with its keys, which must never be formatted.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireAccount {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<f64>,
    unit: Option<String>,
    plain_tokens: Option<f64>,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
}

/// Where a configuration can't be read. The decoder's own text may repeat a value, which may be a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    is_json: bool,
    line: usize,
    column: usize,
}

impl From<serde_json::Error> for Unreadable {
    fn from(error: serde_json::Error) -> Self {
        Self {
            is_json: error.classify() == Category::Data,
            line: error.line(),
            column: error.column(),
        }
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = if self.is_json {
            "a field is missing or has a wrong type"
        } else {
            "not JSON"
        };
        write!(f, "{reason} at line {} column {}", self.line, self.column)
    }
}

impl Error for Unreadable {}

/// Decodes a configuration.
///
/// # Errors
///
/// Fails if the bytes are not a valid configuration of the platform.
///
/// # Examples
///
/// ```
/// use chestnuthub::platform::configuration;
///
/// let decoded = configuration::decode(br#"{"version":7,"routes":[],"services":[]}"#).unwrap();
/// assert_eq!(decoded.version, 7);
/// assert!(configuration::decode(b"{}").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<Configuration, Unreadable> {
    let wire: WireConfiguration = serde_json::from_slice(bytes)?;
    Ok(Configuration {
        version: wire.version,
        routes: wire.routes.into_iter().map(route).collect(),
        services: wire.services.into_iter().map(service).collect(),
        limits: wire.limits.map_or_else(Limits::default, limits),
        accounts: wire.tenants.map(accounts),
    })
}

/// Returns the newest of the configurations that can be decoded; `values` are in the order in which
/// they were written. A value that can't be decoded is logged and skipped, so that it holds back no
/// other.
///
/// # Examples
///
/// ```
/// use chestnuthub::platform::configuration;
///
/// let values: [&[u8]; 2] = [br#"{"version":7}"#, b"{"];
/// let newest = configuration::newest(values.into_iter());
/// assert_eq!(newest.map(|newest| newest.version), Some(7));
/// ```
pub fn newest<'a>(values: impl DoubleEndedIterator<Item = &'a [u8]>) -> Option<Configuration> {
    // A record without value says that the key was dropped.
    let mut values = values.rev().filter(|value| !value.is_empty());
    values.find_map(|value| match decode(value) {
        Ok(configuration) => Some(configuration),
        Err(error) => {
            report::warn("configuration_unreadable", &[("error", &error)]);
            None
        }
    })
}

fn route(wire: WireRoute) -> Route {
    let timeout = millis(wire.timeout_ms);
    let max_silence = max_silence(&wire);
    let mut targets: Vec<_> = wire.split.into_iter().map(target).collect();
    if let Some(service) = wire.service.filter(|_| targets.is_empty()) {
        let weight = 1.0;
        targets.push(Target { service, weight });
    }
    Route {
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        path_prefix: wire.path_prefix,
        kind: kind(&wire.kind, wire.resumable),
        timeout,
        latency_objective: wire.target_latency_ms.map_or(timeout, millis),
        max_silence,
        priority: wire.priority as u8,
        attempts: wire.attempts.map_or(1, |attempts| attempts as u32),
        is_public: wire.public,
        targets,
    }
}

/// Returns the longest silence that clients bear on a route for streams.
fn max_silence(wire: &WireRoute) -> Option<Duration> {
    /// Silence that every client bears.
    const MIN_SILENCE: Duration = Duration::from_secs(2);
    /// Multiple of the latency objective that clients bear.
    const OBJECTIVE_FACTOR: u32 = 4;
    /// Multiple of the longest pause between events that clients bear.
    const GAP_FACTOR: u32 = 8;
    let objective = wire.target_latency_ms.map(millis).unwrap_or_default();
    let gap = wire.gap_target_ms.map(millis).unwrap_or_default();
    let max_silence = MIN_SILENCE
        .max(objective * OBJECTIVE_FACTOR)
        .max(gap * GAP_FACTOR);
    (wire.kind == "stream").then_some(max_silence)
}

fn target(wire: WireTarget) -> Target {
    Target {
        service: wire.service,
        weight: wire.weight,
    }
}

/// Decodes a kind. Requests of an unknown kind run at most once.
fn kind(name: &str, resumable: bool) -> Kind {
    match name {
        "safe" => Kind::Idempotent,
        "stream" if resumable => Kind::ResumableStream,
        "stream" => Kind::Stream,
        _ => Kind::NonIdempotent,
    }
}

fn service(wire: WireService) -> Service {
    Service {
        name: wire.name,
        max_connections: wire.max_conns.map_or(u32::MAX, |maximum| maximum as u32),
        engine: wire.engine.map(engine),
    }
}

fn engine(wire: WireEngine) -> Engine {
    let mut models: Vec<_> = wire.models.into_iter().map(model).collect();
    models.sort_by(|a, b| a.name.cmp(&b.name));
    Engine {
        slots: wire.slots.map_or(1, |slots| slots as u32),
        memory_mb: wire.weights_mb.unwrap_or_default(),
        adapter_slots: wire.adapter_slots.map_or(0, |slots| slots as u32),
        loads_per_s: wire.loads_per_s.unwrap_or(f64::INFINITY),
        models,
    }
}

fn model(wire: WireModel) -> Model {
    let store_load = Duration::from_secs_f64(wire.load_s.max(0.0));
    let or_store_load = |seconds: Option<f64>| {
        seconds.map_or(store_load, |seconds| {
            Duration::from_secs_f64(seconds.max(0.0))
        })
    };
    Model {
        weights_mb: wire.weights_mb,
        adapter_mb: wire.adapter_mb.unwrap_or_default(),
        store_load,
        disk_load: or_store_load(wire.disk_s),
        memory_load: or_store_load(wire.warm_s),
        name: wire.name,
    }
}

/// Decodes the accounts and logs what is wrong with them. Neither keys nor their digests are logged.
fn accounts(wire: Vec<WireAccount>) -> Accounts {
    let mut accounts = Accounts::default();
    for wire in wire {
        if !is_header_value(&wire.name) {
            // Its requests could not bear the name at the servers, so its keys open nothing.
            report::warn("account_refused", &[("name", &wire.name.escape_debug())]);
            continue;
        }
        let account = accounts.add(Account {
            priority: wire.priority.map(|priority| priority as u8),
            allowance: allowance(&wire),
            name: wire.name,
        });
        for key in wire.api_keys.iter().filter(|key| !key.is_empty()) {
            let former = accounts.add_key(key, &account);
            if let Some(former) = former.filter(|former| former.name != account.name) {
                report::warn(
                    "key_of_two_accounts",
                    &[("account", &account.name), ("not_of", &former.name)],
                );
            }
        }
    }
    accounts
}

/// Returns whether a server reads the name from a header as it is.
fn is_header_value(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && HeaderValue::try_from(name).is_ok()
}

/// Decodes an allowance. A rate of 0 means that there is no limit.
fn allowance(wire: &WireAccount) -> Option<Allowance> {
    /// Tokens that a request counts as if neither it nor the account states a number.
    const PLAIN_TOKENS: f64 = 1.0;
    let per_s = wire.rate_per_s.filter(|rate| *rate > 0.0)?;
    let unit = match wire.unit.as_deref() {
        Some("tokens") => Unit::Tokens {
            plain: wire.plain_tokens.unwrap_or(PLAIN_TOKENS).max(0.0),
        },
        _ => Unit::Requests,
    };
    Some(Allowance {
        per_s,
        burst: wire.burst.unwrap_or_default().max(0.0),
        unit,
    })
}

fn limits(wire: WireLimits) -> Limits {
    let default = Limits::default();
    Limits {
        header_bytes: wire
            .max_header_bytes
            .map_or(default.header_bytes, |bytes| bytes as usize),
        body_bytes: wire
            .max_body_bytes
            .map_or(default.body_bytes, |bytes| bytes as usize),
        header_timeout: wire
            .header_timeout_ms
            .map_or(default.header_timeout, millis),
        idle_timeout: wire.idle_timeout_ms.map_or(default.idle_timeout, millis),
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}

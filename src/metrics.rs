//! Metrics of a daemon in OpenMetrics text.

use std::sync::{
    Mutex,
    PoisonError, //
};

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

/// Labels of counted outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// What was asked for: `chat`, `call` or a part of the control plane.
    pub kind: String,
    /// How it ended.
    pub outcome: String,
}

/// Metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Requests by kind and outcome.
    pub requests: Family<Outcome, Counter>,
    /// Requests in flight.
    pub in_flight: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("chestnuthub");
        let requests = Family::default();
        let in_flight = Gauge::default();
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        Self {
            registry: Mutex::new(registry),
            requests,
            in_flight,
        }
    }
}

impl Metrics {
    /// Lets a part of the daemon register metrics of its own.
    pub fn register<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        register(&mut registry)
    }

    /// Counts an outcome.
    pub fn count(&self, kind: &str, outcome: &str) {
        let labels = Outcome {
            kind: kind.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

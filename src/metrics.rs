//! Metrics of a daemon in the OpenMetrics text format.

use std::{
    sync::{
        Mutex,
        PoisonError,
        atomic::AtomicU64, //
    },
    time::Duration,
};

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::{
        Registry,
        Unit, //
    },
};

/// Labels of the counter of requests and other outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Kind of the counted event: `chat` or `call` for a request, `request` for one at a gateway,
    /// `order` at a loader, or another kind such as `connection`.
    pub kind: String,
    /// Outcome of the event; for a request at a gateway, the HTTP status of the response.
    pub outcome: String,
}

/// Label of metrics that are split by kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Kind {
    /// Kind of request: `chat` or `call`; at a gateway, `stream` or `call`.
    pub kind: String,
}

/// Upper bounds of the histogram buckets for the time to the first piece, in seconds. They include
/// the required 0.42 s.
const FIRST_PIECE_BUCKETS_S: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.42, 1.0, 2.0, 5.0, 10.0, 20.0, 40.0, 100.0, 300.0,
];

/// Upper bounds of the histogram buckets for the time between pieces, in seconds. They include the
/// required 0.051 s.
const BETWEEN_PIECES_BUCKETS_S: [f64; 10] =
    [0.005, 0.01, 0.02, 0.035, 0.051, 0.1, 0.25, 1.0, 4.0, 10.0];

/// Upper bounds of the histogram buckets for the duration of cold starts, in seconds.
const COLD_START_BUCKETS_S: [f64; 10] = [0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 40.0, 100.0, 300.0];

/// Metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Number of requests by kind and outcome.
    pub requests: Family<Outcome, Counter>,
    /// Number of requests in flight.
    pub in_flight: Gauge,
    /// Time from a request to the first piece of its response in seconds, by kind.
    pub first_piece: Family<Kind, Histogram, fn() -> Histogram>,
    /// Time between the pieces of an event stream in seconds.
    pub between_pieces: Histogram,
    /// Time that requests waited for the load of a model that was not resident, in seconds.
    pub cold_start: Histogram,
    /// Total time that loaded replicas spent without a request, in seconds.
    pub idle_replica: Counter<f64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("chestnuthub");
        let requests = Family::default();
        let in_flight = Gauge::default();
        let first_piece = Family::new_with_constructor(new_first_piece as fn() -> Histogram);
        let between_pieces = Histogram::new(BETWEEN_PIECES_BUCKETS_S);
        let cold_start = Histogram::new(COLD_START_BUCKETS_S);
        let idle_replica = Counter::default();
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        registry.register_with_unit(
            "first_piece",
            "Time from a request to the first piece of its answer",
            Unit::Seconds,
            first_piece.clone(),
        );
        registry.register_with_unit(
            "between_pieces",
            "Time between the pieces of an event stream",
            Unit::Seconds,
            between_pieces.clone(),
        );
        registry.register_with_unit(
            "cold_start",
            "Time that requests waited for the load of a model that was not resident",
            Unit::Seconds,
            cold_start.clone(),
        );
        registry.register_with_unit(
            "idle_replica",
            "Time that loaded replicas spent without a request",
            Unit::Seconds,
            idle_replica.clone(),
        );
        Self {
            registry: Mutex::new(registry),
            requests,
            in_flight,
            first_piece,
            between_pieces,
            cold_start,
            idle_replica,
        }
    }
}

fn new_first_piece() -> Histogram {
    Histogram::new(FIRST_PIECE_BUCKETS_S)
}

impl Metrics {
    /// Calls `register` with the registry, so that a component of the daemon can add its own
    /// metrics.
    pub fn register<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        register(&mut registry)
    }

    /// Increments the counter of requests with this kind and outcome.
    pub fn count(&self, kind: &str, outcome: &str) {
        let labels = Outcome {
            kind: kind.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to the first piece of a response.
    pub fn observe_first_piece(&self, kind: &str, time: Duration) {
        let kind = kind.to_owned();
        let histogram = self.first_piece.get_or_create(&Kind { kind });
        histogram.observe(time.as_secs_f64());
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

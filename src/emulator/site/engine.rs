//! A model engine of the users' platform.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    sync::mpsc,
    time::sleep, //
};

use super::{
    super::http::{
        Call,
        Response, //
    },
    Plan,
    Records,
    Run,
    lock,
    values, //
};

/// Accelerator memory of each model in MB.
const MODEL_MB: f64 = 40.0;

/// Version of the software of an engine that has not been upgraded.
const FIRST_VERSION: &str = "v1";

/// Maximum number of chunks of a response that are buffered until the caller reads them.
const MAX_BUFFERED_CHUNKS: usize = 2;

/// An order from a loader.
#[derive(Debug, Deserialize)]
struct Order {
    operation: String,
    model: String,
    adapter: Option<String>,
    /// Number of orders that the sender expects the engine to have accepted so far.
    expect: Option<u64>,
    /// Name under which the loader sends its orders.
    holder: Option<String>,
    #[serde(rename = "fencingToken")]
    fencing_token: Option<u64>,
}

/// A loaded model and its loaded adapters.
#[derive(Debug, Clone)]
struct LoadedModel {
    name: String,
    adapters: Vec<String>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of orders accepted so far. An order that expects another number is refused.
    accepted: u64,
    /// Whether a load is in progress.
    is_busy: bool,
    models: Vec<LoadedModel>,
    on_disk: Vec<String>,
    /// Holder that gave the first order. An order from another holder is a violation.
    holder: Option<String>,
    /// Index of the event in which the next stream breaks.
    break_after: Option<u32>,
    running_streams: u32,
    /// Number of requests that the engine has refused because it lacks their model.
    refusals: u32,
    /// Version of the software; the events of a stream name it unless it is the first one.
    software: Option<String>,
    /// Number of times that the engine has started anew.
    restarts: u64,
    /// Limit on requests that all responses name, as the text of its header.
    limit: Option<String>,
}

/// A model engine.
#[derive(Debug)]
pub(super) struct Engine {
    id: String,
    plan: Plan,
    state: Mutex<State>,
    records: Arc<Mutex<Records>>,
}

impl Engine {
    pub(super) fn new(
        id: &str,
        plan: &Plan,
        models: &[&str],
        records: Arc<Mutex<Records>>,
    ) -> Self {
        let loaded = models.iter().map(|name| LoadedModel {
            name: (*name).to_owned(),
            adapters: Vec::new(),
        });
        let state = State {
            models: loaded.collect(),
            on_disk: models.iter().map(|name| (*name).to_owned()).collect(),
            ..State::default()
        };
        Self {
            id: id.to_owned(),
            plan: plan.clone(),
            state: Mutex::new(state),
            records,
        }
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) fn break_next_stream(&self, after: u32) {
        self.lock().break_after = Some(after);
    }

    pub(super) fn running_streams(&self) -> u32 {
        self.lock().running_streams
    }

    pub(super) fn refusals(&self) -> u32 {
        self.lock().refusals
    }

    /// Starts the engine anew with another version of its software. It holds the same models, and the
    /// streams that it runs break.
    pub(super) fn upgrade(&self, version: &str) {
        self.lock().software = Some(version.to_owned());
        self.restart();
    }

    /// Starts the engine anew with the same models. The streams that it runs break.
    pub(super) fn restart(&self) {
        let mut state = self.lock();
        state.restarts += 1;
        state.accepted = 0;
        state.is_busy = false;
    }

    pub(super) fn name_limit(&self, text: Option<&str>) {
        self.lock().limit = text.map(str::to_owned);
    }

    pub(super) fn drop_model(&self, name: &str) {
        self.lock().models.retain(|model| model.name != name);
    }

    pub(super) fn clear_break(&self) {
        self.lock().break_after = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_violation(&self, what: String) {
        lock(&self.records).violations.push(what);
    }

    /// Returns the description of the engine that the store holds.
    pub(super) fn description(
        &self,
        service: &str,
        address: SocketAddr,
        state: &str,
        seq: u64,
    ) -> Value {
        let models = self.models();
        json!({
            "service": service, "address": address.to_string(), "zone": "z1",
            "version": self.lock().software.as_deref().unwrap_or(FIRST_VERSION), "slots": 8, "state": state,
            "coldLeftMs": 0, "seq": seq, "born": self.started_ms(), "models": models,
            "cachedModels": { "inMemory": [], "onDisk": self.lock().on_disk },
        })
    }

    /// Returns the time of the engine's start in Unix milliseconds.
    fn started_ms(&self) -> u64 {
        1 + self.lock().restarts
    }

    fn models(&self) -> Vec<Value> {
        let state = self.lock();
        let models = state.models.iter();
        models
            .map(|model| json!({ "name": model.name, "version": 1, "adapters": model.adapters }))
            .collect()
    }

    /// Returns the status report of the engine.
    fn report(&self) -> Response {
        let models = self.models();
        let started_ms = self.started_ms();
        let state = self.lock();
        Response::json(
            200,
            &json!({
                "stage": "unified", "models": models, "busy": state.is_busy, "seq": state.accepted,
                "queued": 0, "running": state.running_streams, "kvUsed": 0, "kvTotal": 1000,
                "born": started_ms, "cachedModels": { "inMemory": [], "onDisk": state.on_disk },
                "pending": [],
            }),
        )
    }

    /// Executes an order or refuses it. Returns the HTTP status, and whether the order started a load
    /// of a model, which `finish_load` must complete.
    fn order(&self, order: &Order) -> (u16, bool) {
        let mut state = self.lock();
        let (Some(holder), Some(_)) = (&order.holder, order.fencing_token) else {
            return (400, false);
        };
        let first = state.holder.get_or_insert_with(|| holder.clone());
        if first != holder {
            self.record_violation(format!("orders from two holders: {first} and {holder}"));
        }
        if order.expect.is_some_and(|expect| expect != state.accepted) || state.is_busy {
            return (409, false);
        }
        let used = state.models.len() as f64 * MODEL_MB;
        if order.operation == "load" && order.adapter.is_none() {
            if used + MODEL_MB > self.plan.weights_mb {
                self.record_violation(format!("load of {} exceeds the memory", order.model));
            }
            state.accepted += 1;
            state.is_busy = true;
            return (202, true);
        }
        state.accepted += 1;
        match (&order.adapter, order.operation.as_str()) {
            (Some(adapter), "load") => {
                let model = state.models.iter_mut().find(|m| m.name == order.model);
                let Some(model) = model else {
                    return (421, false);
                };
                model.adapters.push(adapter.clone());
                (202, false)
            }
            (Some(adapter), _) => {
                for model in &mut state.models {
                    model.adapters.retain(|name| name != adapter);
                }
                (200, false)
            }
            (None, _) => {
                state.models.retain(|model| model.name != order.model);
                (202, false)
            }
        }
    }

    /// Completes the load that [`Self::order`] started.
    fn finish_load(&self, model: String) {
        let mut state = self.lock();
        state.is_busy = false;
        if !state.on_disk.contains(&model) {
            state.on_disk.push(model.clone());
        }
        state.models.push(LoadedModel {
            name: model,
            adapters: Vec::new(),
        });
    }

    /// Returns whether a model, or an adapter named `<model>/<adapter>`, is loaded.
    fn holds(&self, name: &str) -> bool {
        let (model, adapter) = match name.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        };
        let state = self.lock();
        let mut models = state.models.iter();
        let loaded = models.find(|loaded| loaded.name == model);
        loaded.is_some_and(|loaded| {
            adapter.is_none_or(|name| loaded.adapters.iter().any(|a| a == name))
        })
    }
}

/// Handles a call. An engine that has a limit names it in every response.
pub(super) async fn handle(engine: Arc<Engine>, call: Call) -> Response {
    let limit = engine.lock().limit.clone();
    let response = respond(engine, call).await;
    match limit {
        Some(limit) => response.with_header("Server-Limit", limit),
        None => response,
    }
}

async fn respond(engine: Arc<Engine>, call: Call) -> Response {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/api/report") => engine.report(),
        ("POST", "/api/order") => order(&engine, &call),
        _ => run(engine, call).await,
    }
}

fn order(engine: &Arc<Engine>, call: &Call) -> Response {
    if call
        .header("Target-Instance")
        .is_some_and(|id| id != engine.id)
    {
        return Response::error(421, "addressed to another server");
    }
    let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
        return Response::error(400, "body is not an order");
    };
    let (status, is_load) = engine.order(&order);
    if is_load {
        let engine = engine.clone();
        let started_ms = engine.started_ms();
        tokio::spawn(async move {
            sleep(engine.plan.load).await;
            // A new start has ended the load.
            if engine.started_ms() == started_ms {
                engine.finish_load(order.model);
            }
        });
    }
    Response::json(status, &json!({}))
}

/// Runs a request whose model is loaded here, and returns its events.
async fn run(engine: Arc<Engine>, call: Call) -> Response {
    let Some(request) = call.header("Request-Id").map(str::to_owned) else {
        return Response::error(400, "no Request-Id header")
            .with_header("Not-Executed", "1".to_owned());
    };
    let is_misdirected = call
        .header("Target-Instance")
        .is_some_and(|id| id != engine.id);
    if !is_misdirected && !engine.holds(call.header("Model").unwrap_or_default()) {
        engine.lock().refusals += 1;
    }
    if is_misdirected || !engine.holds(call.header("Model").unwrap_or_default()) {
        return Response::error(421, "addressed to another server, or model not loaded")
            .with_header("Instance-Id", engine.id.clone());
    }
    let last_received = call.header("Last-Event-Id").and_then(|id| id.parse().ok());
    let first: u32 = last_received.map_or(0, |last_received: u32| last_received + 1);
    let break_after = engine.lock().break_after.take();
    let (chunks, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let signature = format!("signature-{request}");
    let echoed = request.clone();
    tokio::spawn(async move {
        let abandoned = stream(&engine, &chunks, first, break_after).await;
        let run = Run {
            server: engine.id.clone(),
            request,
            path: call.path.clone(),
            body: call.body.to_vec(),
            abandoned,
            accounts: values(&call, "tenant"),
            credentials: values(&call, "authorization"),
        };
        lock(&engine.records).runs.push(run);
    });
    Response::events(receiver)
        .with_header("Request-Id", echoed)
        .with_header("Response-Signature", signature)
}

/// Sends events from index `first` on; returns whether the caller left before the last one.
async fn stream(
    engine: &Engine,
    chunks: &mpsc::Sender<super::super::http::Chunk>,
    first: u32,
    break_after: Option<u32>,
) -> bool {
    engine.lock().running_streams += 1;
    let mut abandoned = false;
    let started_ms = engine.started_ms();
    for event in first..engine.plan.events {
        if break_after == Some(event) || engine.started_ms() != started_ms {
            // A crashing server may break the stream in the middle of an event.
            let _ = chunks
                .send(Ok(Bytes::from(format!("id: {event}\nda"))))
                .await;
            let _ = chunks
                .send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .await;
            break;
        }
        let suffix = match engine.lock().software.as_deref() {
            Some(version) => format!("-{version}"),
            None => String::new(),
        };
        let text = format!("id: {event}\ndata: e{event}{suffix}\n\n");
        if chunks.send(Ok(Bytes::from(text))).await.is_err() {
            abandoned = true;
            break;
        }
        sleep(engine.plan.event_interval).await;
    }
    engine.lock().running_streams -= 1;
    abandoned
}

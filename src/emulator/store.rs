//! Emulator of the weight store.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use tokio::time::{
    sleep,
    sleep_until, //
};

use super::{
    fault::Faults,
    http::{
        self,
        Call,
        Response, //
    },
};

/// Size in bytes of a checkpoint whose size was not set.
const DEFAULT_BYTES: u64 = 64 << 20;

/// Interval at which the speed of a transfer is recomputed.
const STEP: Duration = Duration::from_millis(5);

/// Limits of the store.
#[derive(Debug, Clone)]
pub(super) struct Limits {
    /// Maximum number of transfers that start per second.
    pub(super) loads_per_s: f64,
    /// Maximum number of concurrent transfers at full speed; more transfers share the same total
    /// speed.
    pub(super) full_speed: u32,
    /// Full speed of a transfer in bytes per second.
    pub(super) bytes_per_s: u64,
    /// Maximum number of adapters sent concurrently at full speed, over all engines.
    pub(super) adapters_full_speed: u32,
    /// Time to send an adapter at full speed.
    pub(super) adapter_time: Duration,
}

/// Size of a model's checkpoint in bytes.
#[derive(Debug, Serialize, Deserialize)]
struct Checkpoint {
    bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Size in bytes of each model's checkpoint.
    checkpoints: BTreeMap<String, u64>,
    /// Earliest time at which the next transfer may start.
    next_start: Option<Instant>,
    /// Number of transfers in progress.
    running: u32,
    /// Maximum number of transfers ever in progress at once.
    max_running: u32,
    /// Models whose transfers started, in order.
    started: Vec<String>,
    /// Number of completed transfers.
    finished: u64,
    /// Number of transfers whose caller closed the connection.
    abandoned: u64,
    /// Number of adapters being sent.
    adapters_running: u32,
    /// Maximum number of adapters ever being sent at once.
    max_adapters_running: u32,
    /// Number of adapters sent.
    adapters_sent: u64,
}

/// The weight store.
#[derive(Debug)]
struct Store {
    limits: Limits,
    faults: Arc<Faults>,
    state: Mutex<State>,
}

/// Serves the store.
pub(super) fn serve(listen: SocketAddr, limits: Limits) -> io::Result<()> {
    let faults = Arc::new(Faults::new());
    let store = Arc::new(Store {
        limits,
        faults: faults.clone(),
        state: Mutex::default(),
    });
    http::serve(listen, faults, move |call| handle(store.clone(), call))
}

async fn handle(store: Arc<Store>, call: Call) -> Response {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["record"]) => store.record(),
        ("GET", ["checkpoints", model]) => {
            let bytes = store.bytes(model);
            Response::json(200, &Checkpoint { bytes })
        }
        ("PUT", ["checkpoints", model]) => store.put(model, &call.body),
        ("GET", ["checkpoints", model, "data"]) => store.send(model, &call).await,
        ("GET", ["adapters", _, "data"]) => store.send_adapter().await,
        _ => Response::error(404, "no such path"),
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes(&self, model: &str) -> u64 {
        let state = self.lock();
        state
            .checkpoints
            .get(model)
            .copied()
            .unwrap_or(DEFAULT_BYTES)
    }

    fn put(&self, model: &str, body: &[u8]) -> Response {
        match serde_json::from_slice::<Checkpoint>(body) {
            Ok(checkpoint) => {
                let checkpoints = &mut self.lock().checkpoints;
                checkpoints.insert(model.to_owned(), checkpoint.bytes);
                Response::json(200, &json!({}))
            }
            Err(error) => Response::error(400, &error.to_string()),
        }
    }

    /// Waits as long as the transfer of the model's weights takes, and returns a short body in
    /// place of the weights.
    async fn send(&self, model: &str, call: &Call) -> Response {
        let start = self.reserve_start(Instant::now());
        tokio::select! {
            () = sleep_until(start.into()) => {}
            () = call.caller_gone() => return self.abandon(),
        }
        self.start(model);
        let finished = tokio::select! {
            () = self.transfer(model) => true,
            () = call.caller_gone() => false,
        };
        self.lock().running -= 1;
        if !finished {
            return self.abandon();
        }
        self.lock().finished += 1;
        Response::buffered(
            200,
            "application/octet-stream",
            Bytes::from_static(b"weights"),
        )
    }

    /// Reserves the earliest start that the limit on starts per second permits, and returns its
    /// time.
    fn reserve_start(&self, now: Instant) -> Instant {
        let mut state = self.lock();
        let start = state.next_start.map_or(now, |next| next.max(now));
        let spacing = Duration::from_secs_f64(1.0 / self.limits.loads_per_s);
        state.next_start = Some(start + spacing);
        start
    }

    /// Records the start of a transfer.
    fn start(&self, model: &str) {
        let mut state = self.lock();
        state.started.push(model.to_owned());
        state.running += 1;
        state.max_running = state.max_running.max(state.running);
    }

    /// Waits until the model's bytes have been transferred. The speed changes with the number of
    /// transfers and with the faults, so it is recomputed every `STEP`.
    async fn transfer(&self, model: &str) {
        let mut remaining_bytes = self.bytes(model) as f64;
        let mut last = Instant::now();
        while remaining_bytes > 0.0 {
            sleep(STEP).await;
            let now = Instant::now();
            remaining_bytes -= now.duration_since(last).as_secs_f64() * self.speed();
            last = now;
        }
    }

    /// Returns the present speed of each transfer in bytes per second.
    fn speed(&self) -> f64 {
        let running = f64::from(self.lock().running.max(1));
        let fraction = (f64::from(self.limits.full_speed) / running).min(1.0);
        self.limits.bytes_per_s as f64 * fraction / self.faults.slow_factor()
    }

    /// Sends an adapter. While the number of adapters in flight exceeds the limit for full speed,
    /// the time to send one grows in proportion to that number.
    async fn send_adapter(&self) -> Response {
        let running = {
            let mut state = self.lock();
            state.adapters_running += 1;
            state.max_adapters_running = state.max_adapters_running.max(state.adapters_running);
            state.adapters_running
        };
        let overload = f64::from(running) / f64::from(self.limits.adapters_full_speed.max(1));
        let slowdown = overload.max(1.0) * self.faults.slow_factor();
        sleep(self.limits.adapter_time.mul_f64(slowdown)).await;
        let mut state = self.lock();
        state.adapters_running -= 1;
        state.adapters_sent += 1;
        Response::buffered(
            200,
            "application/octet-stream",
            Bytes::from_static(b"adapter"),
        )
    }

    /// Records a transfer whose caller closed the connection.
    fn abandon(&self) -> Response {
        self.lock().abandoned += 1;
        Response::error(499, "caller closed connection")
    }

    fn record(&self) -> Response {
        let state = self.lock();
        Response::json(
            200,
            &json!({
                "started": state.started,
                "finished": state.finished,
                "abandoned": state.abandoned,
                "running": state.running,
                "most_running": state.max_running,
                "adapters_sent": state.adapters_sent,
                "most_adapters_running": state.max_adapters_running,
            }),
        )
    }
}

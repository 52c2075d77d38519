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
        Answer,
        Call, //
    },
};

/// Size of a checkpoint that was not set, in bytes.
const DEFAULT_BYTES: u64 = 64 << 20;

/// Step at which the speed of a transfer is computed anew.
const STEP: Duration = Duration::from_millis(5);

/// Limits of the store.
#[derive(Debug, Clone)]
pub(super) struct Limits {
    /// Transfers that start in a second.
    pub(super) loads_per_s: f64,
    /// Transfers that run at full speed at once; more share the same total.
    pub(super) full_speed: u32,
    /// Full speed of a transfer in bytes a second.
    pub(super) bytes_per_s: u64,
    /// Adapters that are sent at full speed at once, over all engines.
    pub(super) adapters_full_speed: u32,
    /// Time that an adapter takes at full speed.
    pub(super) adapter_time: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
struct Checkpoint {
    bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    checkpoints: BTreeMap<String, u64>,
    next_start: Option<Instant>,
    running: u32,
    most_running: u32,
    started: Vec<String>,
    finished: u64,
    abandoned: u64,
    adapters_running: u32,
    most_adapters_running: u32,
    adapters_sent: u64,
}

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

async fn handle(store: Arc<Store>, call: Call) -> Answer {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["record"]) => store.record(),
        ("GET", ["checkpoints", model]) => {
            let bytes = store.bytes(model);
            Answer::json(200, &Checkpoint { bytes })
        }
        ("PUT", ["checkpoints", model]) => store.put(model, &call.body),
        ("GET", ["checkpoints", model, "data"]) => store.send(model, &call).await,
        ("GET", ["adapters", _, "data"]) => store.send_adapter().await,
        _ => Answer::error(404, "no such path"),
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

    fn put(&self, model: &str, body: &[u8]) -> Answer {
        match serde_json::from_slice::<Checkpoint>(body) {
            Ok(checkpoint) => {
                let checkpoints = &mut self.lock().checkpoints;
                checkpoints.insert(model.to_owned(), checkpoint.bytes);
                Answer::json(200, &json!({}))
            }
            Err(error) => Answer::error(400, &error.to_string()),
        }
    }

    async fn send(&self, model: &str, call: &Call) -> Answer {
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
        Answer::whole(
            200,
            "application/octet-stream",
            Bytes::from_static(b"weights"),
        )
    }

    /// Returns when the next transfer may start.
    fn reserve_start(&self, now: Instant) -> Instant {
        let mut state = self.lock();
        let start = state.next_start.map_or(now, |next| next.max(now));
        let spacing = Duration::from_secs_f64(1.0 / self.limits.loads_per_s);
        state.next_start = Some(start + spacing);
        start
    }

    fn start(&self, model: &str) {
        let mut state = self.lock();
        state.started.push(model.to_owned());
        state.running += 1;
        state.most_running = state.most_running.max(state.running);
    }

    /// Takes the time that the model's bytes take at the speeds of the moment.
    async fn transfer(&self, model: &str) {
        let mut left = self.bytes(model) as f64;
        let mut last = Instant::now();
        while left > 0.0 {
            sleep(STEP).await;
            let now = Instant::now();
            left -= now.duration_since(last).as_secs_f64() * self.speed();
            last = now;
        }
    }

    /// Returns the speed of each transfer in bytes a second.
    fn speed(&self) -> f64 {
        let running = f64::from(self.lock().running.max(1));
        let share = (f64::from(self.limits.full_speed) / running).min(1.0);
        self.limits.bytes_per_s as f64 * share / self.faults.slow_factor()
    }

    /// Sends an adapter, proportionally slower while more than the limit are in flight.
    async fn send_adapter(&self) -> Answer {
        let running = {
            let mut state = self.lock();
            state.adapters_running += 1;
            state.most_adapters_running = state.most_adapters_running.max(state.adapters_running);
            state.adapters_running
        };
        let crowd = f64::from(running) / f64::from(self.limits.adapters_full_speed.max(1));
        let slowdown = crowd.max(1.0) * self.faults.slow_factor();
        sleep(self.limits.adapter_time.mul_f64(slowdown)).await;
        let mut state = self.lock();
        state.adapters_running -= 1;
        state.adapters_sent += 1;
        Answer::whole(
            200,
            "application/octet-stream",
            Bytes::from_static(b"adapter"),
        )
    }

    fn abandon(&self) -> Answer {
        self.lock().abandoned += 1;
        Answer::error(499, "the caller went away")
    }

    fn record(&self) -> Answer {
        let state = self.lock();
        Answer::json(
            200,
            &json!({
                "started": state.started,
                "finished": state.finished,
                "abandoned": state.abandoned,
                "running": state.running,
                "most_running": state.most_running,
                "adapters_sent": state.adapters_sent,
                "most_adapters_running": state.most_adapters_running,
            }),
        )
    }
}

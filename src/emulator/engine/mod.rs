//! Emulator of a model engine.

mod chat;
mod order;
mod queue;
mod record;
mod state;
mod token;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use tokio::sync::{
    Semaphore,
    watch, //
};

pub use token::token;

use super::{
    fault::Faults,
    http::{
        self,
        Answer,
        Call, //
    },
};
use crate::id;
use order::Outcomes;
use queue::Queue;
use state::State;

/// Settings of the engine.
#[derive(Debug, Clone)]
pub(super) struct Settings {
    /// Base URL of the weight store.
    pub(super) store: String,
    /// Accelerator memory in MiB.
    pub(super) memory_mb: u64,
    /// Whether orders with an old fencing number are refused.
    pub(super) checks_fence: bool,
    /// Time between two tokens of a completion.
    pub(super) token_interval: Duration,
    /// Completions that run at once.
    pub(super) max_running: u32,
    /// Time that an adapter takes after the store has sent it.
    pub(super) adapter_time: Duration,
    /// Age of the load report.
    pub(super) load_lag: Duration,
}

/// A model engine.
#[derive(Debug)]
struct Engine {
    settings: Settings,
    state: Mutex<State>,
    outcomes: Mutex<Outcomes>,
    queue: Arc<Queue>,
    cancels: Mutex<HashMap<id::Request, watch::Sender<bool>>>,
    /// Events that held streams may still send.
    released: Semaphore,
}

#[derive(Debug, Deserialize)]
struct Cancel {
    id: id::Request,
}

#[derive(Debug, Deserialize)]
struct Release {
    tokens: usize,
}

/// Serves the engine.
pub(super) fn serve(listen: SocketAddr, settings: Settings) -> io::Result<()> {
    let engine = Arc::new(Engine::new(settings));
    http::serve(listen, Arc::new(Faults::new()), move |call| {
        handle(engine.clone(), call)
    })
}

async fn handle(engine: Arc<Engine>, call: Call) -> Answer {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/record") => Answer::json(200, &engine.lock().record()),
        ("POST", "/release") => engine.release(&call),
        ("GET", "/v1/inventory") => Answer::json(200, &engine.lock().inventory()),
        ("GET", "/v1/load") => Answer::json(200, &engine.queue.report(engine.settings.load_lag)),
        ("POST", "/v1/orders") => order::answer(&engine, &call).await,
        ("POST", "/v1/cancel") => engine.cancel(&call),
        ("POST", "/v1/chat/completions") => chat::answer(engine, call).await,
        _ => Answer::error(404, "no such path"),
    }
}

impl Engine {
    fn new(settings: Settings) -> Self {
        Self {
            state: Mutex::new(State::new(settings.memory_mb, settings.checks_fence)),
            outcomes: Mutex::default(),
            queue: Arc::new(Queue::new(settings.max_running)),
            cancels: Mutex::default(),
            released: Semaphore::new(0),
            settings,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that becomes true when the request is cancelled.
    fn watch_cancel(&self, request: &id::Request) -> watch::Receiver<bool> {
        let mut cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        cancels
            .entry(request.clone())
            .or_insert_with(|| watch::Sender::new(false))
            .subscribe()
    }

    /// Forgets a request that has ended.
    fn forget_cancel(&self, request: &id::Request) {
        let mut cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        cancels.remove(request);
    }

    fn cancel(&self, call: &Call) -> Answer {
        let Ok(cancel) = serde_json::from_slice::<Cancel>(&call.body) else {
            return Answer::error(400, "a cancellation has an id");
        };
        let cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        let found = cancels.get(&cancel.id);
        if let Some(sender) = found {
            sender.send_replace(true);
        }
        Answer::json(200, &json!({ "cancelled": found.is_some() }))
    }

    fn release(&self, call: &Call) -> Answer {
        let Ok(release) = serde_json::from_slice::<Release>(&call.body) else {
            return Answer::error(400, "a release has a number of tokens");
        };
        self.released.add_permits(release.tokens);
        Answer::json(200, &json!({}))
    }
}

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
        Call,
        Response, //
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
    /// Whether orders with a stale fencing token are refused.
    pub(super) checks_fence: bool,
    /// Time between two tokens of a completion.
    pub(super) token_interval: Duration,
    /// Maximum number of completions that run concurrently.
    pub(super) max_running: u32,
    /// Time to apply an adapter after it was fetched from the store.
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
    /// Senders that cancel the completions in progress, by request id.
    cancels: Mutex<HashMap<id::Request, watch::Sender<bool>>>,
    /// Permits for the events that held streams may send.
    released: Semaphore,
}

/// Body of `POST /v1/cancel`.
#[derive(Debug, Deserialize)]
struct Cancel {
    id: id::Request,
}

/// Body of `POST /release`.
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

async fn handle(engine: Arc<Engine>, call: Call) -> Response {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/record") => Response::json(200, &engine.lock().record()),
        ("POST", "/release") => engine.release(&call),
        ("GET", "/v1/inventory") => Response::json(200, &engine.lock().inventory()),
        ("GET", "/v1/load") => Response::json(200, &engine.queue.report(engine.settings.load_lag)),
        ("POST", "/v1/orders") => order::handle(&engine, &call).await,
        ("POST", "/v1/cancel") => engine.cancel(&call),
        ("POST", "/v1/chat/completions") => chat::handle(engine, call).await,
        _ => Response::error(404, "no such path"),
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

    /// Removes the sender of a request that has ended.
    fn remove_cancel(&self, request: &id::Request) {
        let mut cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        cancels.remove(request);
    }

    /// Cancels the completions with the request id.
    fn cancel(&self, call: &Call) -> Response {
        let Ok(cancel) = serde_json::from_slice::<Cancel>(&call.body) else {
            return Response::error(400, "body has no valid request id");
        };
        let cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        let found = cancels.get(&cancel.id);
        if let Some(sender) = found {
            sender.send_replace(true);
        }
        Response::json(200, &json!({ "cancelled": found.is_some() }))
    }

    /// Allows held streams to send more events.
    fn release(&self, call: &Call) -> Response {
        let Ok(release) = serde_json::from_slice::<Release>(&call.body) else {
            return Response::error(400, "body has no valid number of tokens");
        };
        self.released.add_permits(release.tokens);
        Response::json(200, &json!({}))
    }
}

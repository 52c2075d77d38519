//! Orders to the engine.

use std::{
    collections::HashMap,
    sync::PoisonError,
    time::Duration, //
};

use serde_json::json;
use tokio::{
    sync::watch,
    task,
    time::sleep, //
};
use uuid::Uuid;

use super::{
    Engine,
    state::Outcome, //
};
use crate::{
    client::engine::{
        Kind,
        Order, //
    },
    emulator::http::{
        Call,
        Response, //
    },
    id,
};

/// Timeout for fetching weights from the store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);

/// Outcomes of the orders by order id; `None` while an order is in progress.
pub(super) type Outcomes = HashMap<Uuid, watch::Receiver<Option<Outcome>>>;

/// Handles an order. An order with a repeated id is not executed again; its response has the
/// outcome of the first one.
pub(super) async fn handle(engine: &Engine, call: &Call) -> Response {
    let order = match serde_json::from_slice::<Order>(&call.body) {
        Ok(order) => order,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    let (sender, receiver) = watch::channel(None);
    let previous = {
        let mut outcomes = engine
            .outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let previous = outcomes.get(&order.id).cloned();
        if previous.is_none() {
            outcomes.insert(order.id, receiver);
        }
        previous
    };
    engine.lock().count_order(previous.is_some());
    let outcome = match previous {
        Some(mut first) => first.wait_for(Option::is_some).await.ok().and_then(|o| *o),
        None => {
            let outcome = Some(engine.execute(&order, call).await);
            sender.send_replace(outcome);
            outcome
        }
    };
    match outcome {
        Some((200, _)) => Response::json(200, &json!({})),
        Some((status, detail)) => Response::error(status, detail),
        None => Response::error(500, "order ended without an outcome"),
    }
}

impl Engine {
    async fn execute(&self, order: &Order, call: &Call) -> Outcome {
        if let Err(refusal) = self.lock().check_fence(order) {
            return refusal;
        }
        match (order.kind, &order.adapter) {
            (Kind::Load, _) => self.load(order).await,
            (Kind::Unload, _) => self.unload(order, call).await,
            (Kind::LoadAdapter, Some(adapter)) => self.load_adapter(order, adapter).await,
            (Kind::UnloadAdapter, Some(adapter)) => {
                self.lock().unload_adapter(&order.model, adapter)
            }
            (Kind::LoadAdapter | Kind::UnloadAdapter, None) => (400, "order names no adapter"),
        }
    }

    async fn load(&self, order: &Order) -> Outcome {
        if let Err(outcome) = self.lock().begin_load(order) {
            return outcome;
        }
        let path = format!("checkpoints/{}/data", order.model);
        let fetched = self.fetch(&path).await;
        self.lock().end_load(&order.model, fetched)
    }

    async fn unload(&self, order: &Order, call: &Call) -> Outcome {
        if let Err(outcome) = self.lock().begin_unload(&order.model) {
            return outcome;
        }
        if call.injection.stuck_unload {
            call.faults_cleared().await;
        }
        self.lock().end_unload(&order.model)
    }

    async fn load_adapter(&self, order: &Order, adapter: &id::Adapter) -> Outcome {
        if let Err(outcome) = self.lock().begin_adapter(order, adapter) {
            return outcome;
        }
        let fetched = self.fetch(&format!("adapters/{adapter}/data")).await;
        sleep(self.settings.adapter_time).await;
        self.lock().end_adapter(order, adapter, fetched)
    }

    /// Fetches a path of the weight store and returns whether all of it arrived.
    async fn fetch(&self, path: &str) -> bool {
        let url = format!("{}/{path}", self.settings.store.trim_end_matches('/'));
        let fetched = task::spawn_blocking(move || fetch(&url)).await;
        fetched.unwrap_or(false)
    }
}

/// Fetches a URL and returns whether the whole body arrived.
fn fetch(url: &str) -> bool {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(FETCH_TIMEOUT))
        .proxy(None)
        .build()
        .into();
    let response = agent.get(url).call();
    response.is_ok_and(|mut response| response.body_mut().read_to_vec().is_ok())
}

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
        Answer,
        Call, //
    },
    id,
};

/// Longest time for which the engine waits for weights.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);

/// Outcomes of the orders by id, nothing while an order is in progress.
pub(super) type Outcomes = HashMap<Uuid, watch::Receiver<Option<Outcome>>>;

/// Carries out an order once and answers with its outcome, also when its id is repeated.
pub(super) async fn answer(engine: &Engine, call: &Call) -> Answer {
    let order = match serde_json::from_slice::<Order>(&call.body) {
        Ok(order) => order,
        Err(error) => return Answer::error(400, &error.to_string()),
    };
    let (sender, receiver) = watch::channel(None);
    let known = {
        let mut outcomes = engine
            .outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = outcomes.get(&order.id).cloned();
        if known.is_none() {
            outcomes.insert(order.id, receiver);
        }
        known
    };
    engine.lock().count_order(known.is_some());
    let outcome = match known {
        Some(mut first) => first.wait_for(Option::is_some).await.ok().and_then(|o| *o),
        None => {
            let outcome = Some(engine.carry_out(&order, call).await);
            sender.send_replace(outcome);
            outcome
        }
    };
    match outcome {
        Some((200, _)) => Answer::json(200, &json!({})),
        Some((status, detail)) => Answer::error(status, detail),
        None => Answer::error(500, "the order ended without an outcome"),
    }
}

impl Engine {
    async fn carry_out(&self, order: &Order, call: &Call) -> Outcome {
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
            (Kind::LoadAdapter | Kind::UnloadAdapter, None) => (400, "the order names no adapter"),
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
        if call.plan.stuck_unload {
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

fn fetch(url: &str) -> bool {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(FETCH_TIMEOUT))
        .proxy(None)
        .build()
        .into();
    let response = agent.get(url).call();
    response.is_ok_and(|mut response| response.body_mut().read_to_vec().is_ok())
}

//! The agent's work as a coordinator, its requests for slots and the records that it appends.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use super::registration::Registration;
use crate::{
    catalogue::{
        Item,
        Key, //
    },
    client::{
        Error,
        list::{
            Instance,
            List, //
        },
    },
    context::Context,
    decision::{
        self, Body, Record,
        coordinator::{
            self,
            Fleet,
            Proposal,
            Tracker, //
        },
    },
    id, report,
    timer::{
        self,
        Time, //
    },
    wire::Frame,
};

/// Period of the coordinator's ticks.
const TICK: Duration = Duration::from_secs(1);

/// Timeout for a coordinator's confirmation of a request for a slot.
const WIDEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Coordination work of this agent.
#[derive(Debug, Clone)]
pub(super) struct Coordination {
    context: Context,
    list: List,
    tracker: Arc<Mutex<Tracker>>,
}

impl Coordination {
    /// Starts the periodic tick of the coordinator.
    pub(super) fn start(
        context: Context,
        registration: Arc<Registration>,
    ) -> std::io::Result<Self> {
        let coordination = Self {
            list: List::new(&context.settings.platform.list),
            context,
            tracker: Arc::default(),
        };
        let ticking = coordination.clone();
        timer::spawn_periodic("coordinator", TICK, move |now| {
            // An agent that has not seen its own epoch has not read the stream up to its own start
            // yet, so its table is out of date.
            if registration.epoch().is_some() {
                ticking.tick(now);
            }
            true
        })?;
        Ok(coordination)
    }

    /// Records that a replica of the model version is saturated.
    pub(super) fn widen(&self, model: &id::Model) {
        let head = self.context.view.table().head(model);
        report::info("widen", &[("model", model), ("offset", &head)]);
        self.lock().record_widen(model, Time::now());
    }

    /// Requests one more slot from the model's coordinator.
    pub(super) fn request_widen(&self, model: &id::Model) {
        let Some(coordinator) = self.coordinator(model) else {
            return;
        };
        report::info(
            "ask_widen",
            &[
                ("model", model),
                ("coordinator", &coordinator.name),
                ("reason", &"requests are refused because of load"),
            ],
        );
        if coordinator.name == self.context.settings.instance {
            return self.widen(model);
        }
        let context = self.context.clone();
        let model = model.clone();
        self.context.runtime.spawn(async move {
            let request =
                tokio::time::timeout(WIDEN_TIMEOUT, send_widen(&context, &coordinator, model));
            if request.await.is_err() {
                report::warn("widen_unanswered", &[("coordinator", &coordinator.name)]);
            }
        });
    }

    /// Appends a `Released` record, which states that the model of a retiring slot is unloaded.
    pub(super) fn release(&self, model: &id::Model, grant: u64) {
        let proposal = Proposal {
            record: Record::new(Body::Released {
                model: model.clone(),
                server: self.context.settings.instance.clone(),
                grant,
            }),
            reason: "unloaded",
        };
        self.append(&proposal);
    }

    fn coordinator(&self, model: &id::Model) -> Option<Instance> {
        let pool = match self
            .context
            .view
            .catalogue()
            .get(&Key::Model(model.clone()))
        {
            Some(Item::Model(model)) => model.pool.clone(),
            _ => return None,
        };
        let instances = self.context.view.instances();
        coordinator::coordinator(model, &pool, &instances).cloned()
    }

    fn tick(&self, now: Time) {
        let mut proposals = self.plan(now).into_iter();
        let is_unconfirmed = proposals.any(|proposal| !self.append(&proposal));
        if is_unconfirmed {
            // The log did not confirm a record, so the remaining proposals wait for the next tick.
            proposals.for_each(|proposal| self.lock().discard(proposal.record.id));
        }
    }

    fn plan(&self, now: Time) -> Vec<Proposal> {
        if self.with_fleet(|fleet| coordinator::suspects(fleet, &self.lock(), now)) {
            let listing = self.list.poll(None).ok().flatten();
            let instances = listing.as_ref().map(|listing| listing.instances.as_slice());
            self.lock().apply_poll(instances, now);
        }
        self.with_fleet(|fleet| coordinator::plan(fleet, &mut self.lock(), now))
    }

    fn with_fleet<T>(&self, f: impl FnOnce(&Fleet<'_>) -> T) -> T {
        let view = &self.context.view;
        let (catalogue, table, instances) = (view.catalogue(), view.table(), view.instances());
        f(&Fleet {
            table: &table,
            catalogue: &catalogue,
            instances: &instances,
            own: &self.context.settings.instance,
        })
    }

    /// Appends the record of a proposal and returns whether the log confirmed it.
    fn append(&self, proposal: &Proposal) -> bool {
        let Ok(body) = serde_json::to_string(&proposal.record) else {
            return false;
        };
        let result = self.context.log.append(decision::STREAM, &body);
        if result.as_ref().is_err_and(Error::had_no_effect) {
            self.lock().discard(proposal.record.id);
        }
        log_append(proposal, &result);
        result.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_widen(context: &Context, coordinator: &Instance, model: id::Model) {
    let opened = context.endpoint.open(&coordinator.name, coordinator.addr);
    let Ok(mut exchange) = opened.await else {
        return;
    };
    if exchange.send(&Frame::Widen { model }).await.is_ok() {
        exchange.finish();
        let _ = exchange.next().await;
    }
}

fn log_append(proposal: &Proposal, result: &Result<u64, Error>) {
    let (name, subject, server) = match &proposal.record.body {
        Body::Grant { model, server, .. } => ("grant", model.as_str(), server),
        Body::Retire { model, server, .. } => ("retire", model.as_str(), server),
        Body::Released { model, server, .. } => ("released", model.as_str(), server),
        Body::Gone { server, .. } => ("gone", "", server),
        Body::Register { server, .. } => ("register", "", server),
        Body::Snapshot { .. } => return,
    };
    let outcome = match result {
        Ok(offset) => offset.to_string(),
        Err(error) => error.to_string(),
    };
    report::info(
        name,
        &[
            ("model", &subject),
            ("server", server),
            ("record", &proposal.record.id),
            ("reason", &proposal.reason),
            ("offset", &outcome),
        ],
    );
}

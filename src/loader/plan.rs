//! Decides the next order to an engine.

use std::collections::BTreeMap;

use super::{
    Operation,
    Order,
    Report,
    Unanswered, //
};
use crate::{
    deployment::{
        Engine,
        Model, //
    },
    link::Backlog,
    placement::{
        Pool,
        evict,
        free_mb, //
    },
    timer::Time,
};

/// Estimated delay of a request if another model is loaded before the one it waits for, in ms.
const WAITING_COST_MS: f64 = 3_000.0;

/// Delay that each ms of waiting of the first request for a model counts as, in ms.
const AGE_WEIGHT: f64 = 2.0;

/// Maximum number of adapters being loaded by one server at once.
const MAX_PENDING_ADAPTERS: usize = 4;

/// Plans the next order to an engine from its latest report, the servers of the service and the
/// requests that wait.
#[derive(Debug)]
pub struct Planner<'a> {
    /// All servers of the service.
    pub pool: Pool<'a>,
    /// Index of this server in the pool.
    pub host: usize,
    /// The latest report of this server's engine.
    pub report: &'a Report,
    /// Models and adapters that requests wait for, the most urgent first.
    pub backlogs: &'a [Backlog],
    /// Time of the last use of each adapter, by model and adapter.
    pub adapter_use: &'a BTreeMap<(String, String), Time>,
    /// Orders without a reply that the engine may still execute.
    pub unanswered: &'a [Unanswered],
    /// Whether a load from the weight store may start now.
    pub may_use_store: bool,
    /// Whether a spare replica, which no request waits for, may be loaded now.
    pub may_load_spare: bool,
}

/// Returns the next order, if any. The function has no side effects; the caller sends the order.
pub fn plan(planner: &Planner<'_>) -> Option<Order> {
    let report = planner.report;
    if planner
        .unanswered
        .iter()
        .any(|order| order.may_apply_to(report))
    {
        return None;
    }
    let is_busy = report.is_busy;
    if is_busy && planner.pool.hosts[planner.host].current_order.is_none() {
        // The engine is executing an order that got no reply; the memory that it takes is unknown.
        return None;
    }
    let adapter = planner
        .backlogs
        .iter()
        .find_map(|backlog| planner.adapter_order(backlog));
    if adapter.is_some() || is_busy {
        return adapter;
    }
    let may_load_spare = planner.may_load_spare.then_some(());
    let spare = may_load_spare.and_then(|()| planner.pool.spare_replica(planner.host));
    if let Some((model, gain_ms)) = spare
        && gain_ms > planner.waiting_cost_ms()
        && let Some(order) = planner.load_order(model, f64::INFINITY)
    {
        return Some(order);
    }
    let mut backlogs = planner.backlogs.iter();
    backlogs.find_map(|backlog| {
        let model = planner.missing_model(&backlog.model)?;
        planner.load_order(model, planner.worth_ms(model))
    })
}

impl Planner<'_> {
    fn engine(&self) -> &Engine {
        self.pool.engine
    }

    /// Returns the model if the engine supports it and it is not resident.
    fn missing_model(&self, model: &str) -> Option<&Model> {
        let replicas = &self.report.replicas;
        if replicas.iter().any(|replica| replica.model == model) {
            return None;
        }
        self.engine().model(model)
    }

    /// Returns the total estimated delay of the requests that wait for models here if another model
    /// is loaded first, in ms.
    fn waiting_cost_ms(&self) -> f64 {
        let backlogs = self.backlogs.iter();
        let missing = backlogs.filter(|backlog| self.missing_model(&backlog.model).is_some());
        missing
            .map(|backlog| f64::from(backlog.waiting) * WAITING_COST_MS)
            .sum()
    }

    /// Returns the delay that loading a model saves the requests that wait for it here and those to
    /// come, in ms. It grows with the time that the first has waited, so that none waits for ever.
    fn worth_ms(&self, model: &Model) -> f64 {
        let backlogs = self.backlogs.iter();
        let own = backlogs.filter(|backlog| backlog.model == model.name);
        let (waiting, oldest_ms) = own.fold((0, 0), |(waiting, oldest_ms), backlog| {
            (waiting + backlog.waiting, backlog.oldest_ms.max(oldest_ms))
        });
        let waiting_ms = f64::from(waiting) * WAITING_COST_MS;
        self.pool.gain_ms(model) + waiting_ms + f64::from(oldest_ms) * AGE_WEIGHT
    }

    /// Returns the next order towards loading a model: its load, or an unload that frees memory for
    /// it.
    fn load_order(&self, model: &Model, max_cost_ms: f64) -> Option<Order> {
        let from_store = self.pool.hosts[self.host].loads_from_store(&model.name);
        if from_store && !(self.may_use_store && self.pool.may_load_from_store()) {
            return None;
        }
        let eviction = evict(&self.pool, self.host, model.weights_mb)?;
        if eviction.cost_ms > max_cost_ms {
            return None;
        }
        match eviction.victims.first() {
            Some(victim) => Some(self.order(Operation::Unload, victim, None)),
            None => Some(self.order(Operation::Load, &model.name, None)),
        }
    }

    /// Returns the next order towards loading the adapter that requests wait for, if its model is
    /// resident: the load, or an unload of another adapter.
    fn adapter_order(&self, backlog: &Backlog) -> Option<Order> {
        let adapter = backlog.adapter.as_deref()?;
        let mut replicas = self.report.replicas.iter();
        let replica = replicas.find(|replica| replica.model == backlog.model)?;
        if !self.pool.hosts[self.host].holds(&backlog.model) {
            // The model is being unloaded together with its adapters.
            return None;
        }
        let pending = &self.report.pending_adapters;
        let is_pending =
            |(model, name): &(String, String)| *model == backlog.model && name == adapter;
        let is_loaded = replica.adapters.iter().any(|name| name == adapter);
        if is_loaded || pending.iter().any(is_pending) || pending.len() >= MAX_PENDING_ADAPTERS {
            return None;
        }
        let model = self.engine().model(&backlog.model)?;
        let loaded: usize = self.report.replicas.iter().map(|r| r.adapters.len()).sum();
        let has_slot = loaded + pending.len() < self.engine().adapter_slots as usize;
        if has_slot && self.free_mb() >= model.adapter_mb {
            return Some(self.order(Operation::Load, &backlog.model, Some(adapter)));
        }
        let (model, victim) = self.idle_adapter()?;
        Some(self.order(Operation::Unload, &model, Some(&victim)))
    }

    /// Returns the free accelerator memory of this server, in MB.
    fn free_mb(&self) -> f64 {
        free_mb(&self.pool, self.host)
    }

    /// Returns the least recently used of the loaded adapters that no request waits for, with its
    /// model first.
    fn idle_adapter(&self) -> Option<(String, String)> {
        let replicas = self.report.replicas.iter();
        let loaded = replicas.flat_map(|replica| {
            let adapters = replica.adapters.iter();
            adapters.map(|adapter| (replica.model.clone(), adapter.clone()))
        });
        let is_wanted = |key: &(String, String)| {
            let mut backlogs = self.backlogs.iter();
            backlogs
                .any(|backlog| backlog.model == key.0 && backlog.adapter.as_ref() == Some(&key.1))
        };
        loaded
            .filter(|key| !is_wanted(key))
            .min_by_key(|key| self.adapter_use.get(key).copied())
    }

    fn order(&self, operation: Operation, model: &str, adapter: Option<&str>) -> Order {
        Order {
            operation,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            accepted_orders: self.report.accepted_orders,
        }
    }
}

//! Tests of a loader: its orders to an engine that executes orders late, loses replies and
//! restarts, what a load has to be worth, and the decay of request rates.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chestnuthub::{
    deployment::{
        Copies,
        Engine,
        Model,
        Replica, //
    },
    link::{
        Backlog,
        Traffic, //
    },
    loader::{
        Operation,
        Order,
        Planner,
        Report,
        Unanswered,
        plan, //
    },
    placement::{
        CurrentOrder,
        Host,
        Pool,
        Rate,
        Resident, //
    },
    timer::Time,
};

const MODELS: usize = 12;
const MEMORY_MB: f64 = 100.0;
const ADAPTER_SLOTS: usize = 3;

/// Number of steps within which an order without a reply may still be executed.
const MAX_DELAY_STEPS: u64 = 12;

fn engine() -> Engine {
    let models = (0..MODELS).map(|index| Model {
        name: format!("m{index:02}"),
        weights_mb: 20.0 + 5.0 * (index % 6) as f64,
        adapter_mb: 2.0,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(800),
        memory_load: Duration::from_millis(300),
    });
    Engine {
        slots: 8,
        memory_mb: MEMORY_MB,
        adapter_slots: ADAPTER_SLOTS as u32,
        loads_per_s: 2.0,
        models: models.collect(),
    }
}

/// An engine that may execute orders late.
#[derive(Debug, Default)]
struct FakeEngine {
    started_ms: u64,
    accepted: u64,
    replicas: Vec<Replica>,
    /// The order being executed and its remaining steps.
    current_order: Option<(Order, u32)>,
    /// Orders without a reply and the remaining steps until they arrive.
    delayed: Vec<(Order, u32)>,
    /// Adapters being loaded: model, adapter and remaining steps.
    pending: Vec<(String, String, u32)>,
}

impl FakeEngine {
    fn occupied_mb(&self, engine: &Engine) -> f64 {
        let model = |name: &str| engine.model(name).expect("a known model");
        let loaded = self.replicas.iter().map(|replica| {
            let model = model(&replica.model);
            model.weights_mb + replica.adapters.len() as f64 * model.adapter_mb
        });
        let pending = self.pending.iter().map(|(name, ..)| model(name).adapter_mb);
        loaded.sum::<f64>() + pending.sum::<f64>()
    }

    fn adapter_count(&self) -> usize {
        let loaded: usize = self.replicas.iter().map(|r| r.adapters.len()).sum();
        loaded + self.pending.len()
    }

    /// Handles an order; returns whether it was accepted.
    ///
    /// Panics if the order would load more than fits into the memory or the adapter slots.
    fn accept(&mut self, order: Order, engine: &Engine, seed: u64) -> bool {
        if order.accepted_orders != self.accepted {
            return false;
        }
        let model = engine.model(&order.model).expect("a known model");
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => {
                if self.current_order.is_some() {
                    return false;
                }
                let needed = self.occupied_mb(engine) + model.weights_mb;
                assert!(needed <= MEMORY_MB, "seed {seed}: {needed} MB, {order:?}");
            }
            (Operation::Load, Some(_)) => {
                let needed = self.occupied_mb(engine) + self.loading_mb(engine) + model.adapter_mb;
                assert!(needed <= MEMORY_MB, "seed {seed}: {needed} MB, {order:?}");
                assert!(
                    self.adapter_count() < ADAPTER_SLOTS,
                    "seed {seed}: {order:?}"
                );
            }
            (Operation::Unload, _) if self.current_order.is_some() => return false,
            (Operation::Unload, _) => (),
        }
        self.accepted += 1;
        self.execute(order);
        true
    }

    fn loading_mb(&self, engine: &Engine) -> f64 {
        let loading = self
            .current_order
            .iter()
            .filter(|(order, _)| order.operation == Operation::Load);
        loading
            .map(|(order, _)| engine.model(&order.model).expect("known").weights_mb)
            .sum()
    }

    fn execute(&mut self, order: Order) {
        let Order { model, adapter, .. } = &order;
        match (order.operation, adapter) {
            (Operation::Load, Some(adapter)) => {
                self.pending.push((model.clone(), adapter.clone(), 1));
            }
            (Operation::Unload, Some(adapter)) => {
                for replica in self.replicas.iter_mut().filter(|r| r.model == *model) {
                    replica.adapters.retain(|name| name != adapter);
                }
            }
            (_, None) => self.current_order = Some((order, 3)),
        }
    }

    fn step(&mut self, engine: &Engine, seed: u64) {
        if let Some((_, remaining)) = &mut self.current_order {
            *remaining -= 1;
        }
        if let Some((order, _)) = self.current_order.take_if(|(_, remaining)| *remaining == 0) {
            match order.operation {
                Operation::Load => self.replicas.push(Replica {
                    model: order.model,
                    adapters: Vec::new(),
                }),
                Operation::Unload => self.replicas.retain(|r| r.model != order.model),
            }
        }
        for (model, adapter, remaining) in &mut self.pending {
            *remaining = remaining.saturating_sub(1);
            if *remaining == 0 {
                for replica in self.replicas.iter_mut().filter(|r| r.model == *model) {
                    replica.adapters.push(adapter.clone());
                }
            }
        }
        self.pending.retain(|(_, _, remaining)| *remaining > 0);
        let due = self.delayed.iter_mut().filter_map(|(order, remaining)| {
            *remaining -= 1;
            (*remaining == 0).then(|| order.clone())
        });
        let due: Vec<_> = due.collect();
        self.delayed.retain(|(_, remaining)| *remaining > 0);
        for order in due {
            self.accept(order, engine, seed);
        }
    }

    fn report(&self) -> Report {
        Report {
            started_ms: self.started_ms,
            accepted_orders: self.accepted,
            is_busy: self.current_order.is_some(),
            is_leaving: false,
            replicas: self.replicas.clone(),
            pending_adapters: self
                .pending
                .iter()
                .map(|(model, adapter, _)| (model.clone(), adapter.clone()))
                .collect(),
            copies: Copies::default(),
            ..Report::default()
        }
    }
}

fn planner<'a>(
    engine: &'a Engine,
    report: &'a Report,
    backlogs: &'a [Backlog],
    uses: &'a BTreeMap<(String, String), Time>,
    last_accepted: Option<&Order>,
    unanswered: &'a [Unanswered],
) -> Planner<'a> {
    let resident = |replica: &Replica| {
        let pending = report.pending_adapters.iter();
        let pending = pending.filter(|(model, _)| *model == replica.model).count();
        let adapters = (replica.adapters.len() + pending) as f64;
        let resident = Resident {
            adapters_mb: adapters * 2.0,
            wanted: backlogs
                .iter()
                .any(|backlog| backlog.model == replica.model),
            ..Resident::default()
        };
        (replica.model.clone(), resident)
    };
    let host = Host {
        id: "s".to_owned(),
        reachable: true,
        resident: report.replicas.iter().map(resident).collect(),
        current_order: last_accepted
            .filter(|_| report.is_busy)
            .map(|order| CurrentOrder {
                model: order.model.clone(),
                is_load: order.operation == Operation::Load,
                remaining_ms: 0.0,
            }),
        ..Host::default()
    };
    Planner {
        pool: Pool {
            engine,
            hosts: vec![host],
            rates: BTreeMap::new(),
        },
        host: 0,
        report,
        backlogs,
        adapter_use: uses,
        unanswered,
        may_use_store: true,
        may_load_spare: true,
    }
}

fn backlog(random: &mut fastrand::Rng) -> Backlog {
    Backlog {
        model: format!("m{:02}", random.usize(..MODELS)),
        adapter: random.bool().then(|| format!("a{}", random.usize(..5))),
        waiting: 1,
        priority: random.u8(..3),
        oldest_ms: 0,
        due_ms: Vec::new(),
        leaves_ms: 10_000,
    }
}

fn run_schedule(seed: u64, engine: &Engine) -> u64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut fake = FakeEngine::default();
    let uses = BTreeMap::new();
    let mut backlogs = Vec::new();
    let mut orders = 0;
    let mut last_accepted = None;
    let mut unanswered: Vec<Unanswered> = Vec::new();
    for step in 0..150 {
        let now = Time::from_millis(step);
        unanswered.retain(|order| now - order.sent < Duration::from_millis(MAX_DELAY_STEPS));
        fake.step(engine, seed);
        if random.f64() < 0.03 {
            // The engine restarts under the same id: it holds nothing, counts orders from zero, and
            // delayed orders can still arrive.
            last_accepted = None;
            fake = FakeEngine {
                started_ms: fake.started_ms + 1,
                delayed: std::mem::take(&mut fake.delayed),
                ..FakeEngine::default()
            };
        }
        if random.f64() < 0.3 {
            backlogs = (0..random.usize(..4))
                .map(|_| backlog(&mut random))
                .collect();
        }
        let report = fake.report();
        let Some(order) = plan(&planner(
            engine,
            &report,
            &backlogs,
            &uses,
            last_accepted.as_ref(),
            &unanswered,
        )) else {
            continue;
        };
        orders += 1;
        let is_model = order.adapter.is_none();
        if random.f64() < 0.3 {
            last_accepted = None;
            unanswered.push(Unanswered {
                started_ms: report.started_ms,
                accepted_orders: order.accepted_orders,
                sent: now,
            });
            fake.delayed
                .push((order, random.u32(1..MAX_DELAY_STEPS as u32)));
        } else if fake.accept(order.clone(), engine, seed) && is_model {
            last_accepted = Some(order);
        }
    }
    orders
}

/// Guards against orders that load more than fits into the engine's memory, because of delayed
/// orders, restarts, adapters still being loaded and loads in progress. Runs 3,000 seeded
/// schedules.
#[test]
fn orders_never_exceed_the_memory() {
    let engine = engine();
    let orders: u64 = (0..3_000).map(|seed| run_schedule(seed, &engine)).sum();
    println!("3,000 schedules, {orders} orders");
    assert!(orders > 30_000, "{orders} orders");
}

/// Guards against requests that wait forever because their model and adapter are not loaded,
/// although evictions could free enough memory.
#[test]
fn requested_model_and_adapter_are_loaded() {
    let engine = engine();
    for index in 0..MODELS {
        let mut fake = FakeEngine::default();
        for name in ["m03", "m04"] {
            fake.replicas.push(Replica {
                model: name.to_owned(),
                adapters: Vec::new(),
            });
        }
        let model = format!("m{index:02}");
        let adapter = Some("a1".to_owned());
        let backlogs = [Backlog {
            model: model.clone(),
            adapter,
            waiting: 1,
            priority: 1,
            oldest_ms: 0,
            due_ms: Vec::new(),
            leaves_ms: 10_000,
        }];
        let uses = BTreeMap::new();
        let is_loaded = |fake: &FakeEngine| {
            let mut replicas = fake.replicas.iter();
            replicas.any(|replica| replica.model == model && replica.adapters == ["a1"])
        };
        for _ in 0..40 {
            fake.step(&engine, 0);
            let report = fake.report();
            if let Some(order) = plan(&planner(&engine, &report, &backlogs, &uses, None, &[])) {
                fake.accept(order, &engine, 0);
            }
        }
        assert!(is_loaded(&fake), "{model}: {fake:?}");
    }
}

/// Guards against a busy model that keeps a single overloaded replica because single requests for
/// rarely used models always take precedence. This happens after a restart of all servers.
#[test]
fn spare_replica_of_a_busy_model_precedes_a_load_for_one_request() {
    let engine = engine();
    let report = Report::default();
    let backlogs = [Backlog {
        model: "m05".to_owned(),
        adapter: None,
        waiting: 1,
        priority: 1,
        oldest_ms: 0,
        due_ms: Vec::new(),
        leaves_ms: 10_000,
    }];
    let uses = BTreeMap::new();
    let mut planner = planner(&engine, &report, &backlogs, &uses, None, &[]);
    let other = Host {
        id: "other".to_owned(),
        reachable: true,
        resident: BTreeMap::from([("m00".to_owned(), Resident::default())]),
        ..Host::default()
    };
    planner.pool.hosts.push(other);
    let ordered = |planner: &Planner<'_>| plan(planner).map(|order| order.model);
    assert_eq!(ordered(&planner).as_deref(), Some("m05"));
    let busy = Rate {
        per_s: 5.0,
        recent_per_s: 5.0,
        prefill_ms: 1_200.0,
        in_flight: 0.0,
    };
    planner.pool.rates.insert("m00".to_owned(), busy);
    assert_eq!(ordered(&planner).as_deref(), Some("m00"));
}

/// Guards against outdated request rates: gateways report the rate of a model only after new
/// requests for it, so the loader has to let the last reported rate decay.
#[test]
fn rates_decay_between_messages() {
    let traffic = Traffic {
        model: "m".to_owned(),
        per_s: 2.0,
        recent_per_s: 2.0,
        prefill_ms: 50.0,
        in_flight: 3,
    };
    assert_eq!(traffic.after(Duration::ZERO), traffic);
    let at_once = traffic.after(Duration::from_secs(6));
    let in_steps = traffic
        .after(Duration::from_secs(2))
        .after(Duration::from_secs(4));
    assert!((at_once.per_s - in_steps.per_s).abs() < 1e-4);
    assert!(at_once.recent_per_s < 0.2 && at_once.per_s > 1.0);
}

/// Guards against the only copy of a busy model that is unloaded for a request for a rare one, and
/// against a rare one that waits for ever beside it: what its requests have waited counts as well.
#[test]
fn a_busy_model_is_unloaded_only_for_what_it_is_worth() {
    let engine = engine();
    // Both busy models and one more fill the memory; requests wait for the third as well.
    let replica = |name: &str| Replica {
        model: name.to_owned(),
        adapters: Vec::new(),
    };
    let report = Report {
        replicas: ["m05", "m04"].map(replica).to_vec(),
        ..Report::default()
    };
    let uses = BTreeMap::new();
    let ordered = |per_s: f64, waiting: u32, oldest_ms: u32| {
        let backlog = |model: &str, waiting, oldest_ms| Backlog {
            model: model.to_owned(),
            adapter: None,
            waiting,
            priority: 1,
            oldest_ms,
            due_ms: Vec::new(),
            leaves_ms: 10_000,
        };
        let backlogs = [backlog("m03", waiting, oldest_ms), backlog("m04", 1, 0)];
        let mut planner = planner(&engine, &report, &backlogs, &uses, None, &[]);
        let busy = Rate {
            per_s,
            recent_per_s: per_s,
            prefill_ms: 0.0,
            in_flight: 0.0,
        };
        planner.pool.rates.insert("m05".to_owned(), busy);
        plan(&planner).map(|order| (order.operation, order.model))
    };
    assert_eq!(ordered(10.0, 1, 0), None);
    assert_eq!(ordered(10.0, 1, 10_000), None);
    let unload = Some((Operation::Unload, "m05".to_owned()));
    assert_eq!(ordered(0.0, 1, 0), unload);
    assert_eq!(ordered(10.0, 40, 0), unload);
    assert_eq!(ordered(10.0, 1, 60_000), unload);
}

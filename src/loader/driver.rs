//! Polls the engine's reports, decides orders and sends them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    Limit, Limiter, Operation, Order, Planner, Reply, Report, Unanswered,
    engine::Engine,
    plan,
    state::State,
    view::{
        self,
        Own, //
    },
};
use crate::{
    deployment::{
        self,
        Server, //
    },
    hosted::Live,
    link::{
        Backlog,
        CurrentOrder as LinkOrder,
        Holdings,
        Workload, //
    },
    metrics::Metrics,
    placement::CurrentOrder,
    report,
    timer::Time,
};

/// Poll interval for reports while an order is in progress or requests wait.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Poll interval for reports otherwise.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between the last order and the load of a spare replica.
const SPARE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for which an order without a reply may still be executed.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(13_000);

/// Time after a server has joined in which no spare replica is loaded: servers that start together
/// report their models one after the other.
const SETTLING_TIME: Duration = Duration::from_millis(1_300);

/// Delay after a failed poll, and minimum time to the next order after one that was refused or got
/// no reply.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between checks whether an engine that wants no calls has started anew.
const REST_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the driver; never returns.
pub(super) async fn run(
    settings: Rc<Live>,
    engine: SocketAddr,
    state: Rc<State>,
    metrics: Rc<Metrics>,
) {
    let mut driver = Driver {
        engine: Engine::new(engine, &settings.get().instance),
        settings,
        state,
        metrics,
        report: Report::default(),
        execution: None,
        limiter: Limiter::default(),
        adapter_use: BTreeMap::new(),
        unanswered: Vec::new(),
        last_seen: BTreeMap::new(),
        last_join: Time::now(),
        has_report: false,
        next_spare: Time::now(),
        retry_at: Time::now(),
    };
    loop {
        let pause = if driver.poll().await {
            ACTIVE_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        // Requests that wait for a model, or a new engine description, end the pause early.
        let _ = timeout(pause, driver.state.wake.notified()).await;
    }
}

/// Logs what the decision for an order was based on.
fn log_placement(planner: &Planner<'_>, order: &Order, from_store: bool) {
    let pool = &planner.pool;
    let Some(model) = pool.engine.model(&order.model) else {
        return;
    };
    let rate = pool.rate(&order.model);
    let resident = pool.hosts[planner.host].resident.iter();
    let losses: Vec<_> = resident
        .map(|(name, _)| format!("{name}:{}", pool.loss_ms(name, planner.host).round()))
        .collect();
    let waiting = planner.backlogs.iter();
    let waiting = waiting.filter(|backlog| backlog.model == order.model);
    report::info(
        "placement",
        &[
            ("operation", &order.operation.as_str()),
            ("model", &order.model),
            ("from_store", &from_store),
            (
                "waiting",
                &waiting.map(|backlog| backlog.waiting).sum::<u32>(),
            ),
            ("resident_loss_ms", &losses.join(",")),
            ("replicas", &pool.replicas(&order.model)),
            ("in_flight", &rate.in_flight),
            ("per_s", &rate.per_s),
            ("recent_per_s", &rate.recent_per_s),
            ("gain_ms", &pool.gain_ms(model).round()),
            ("loss_ms", &pool.loss_ms(&order.model, planner.host).round()),
        ],
    );
}

/// An order that the engine is executing, or an unload that is about to be sent.
#[derive(Debug)]
struct Execution {
    order: Order,
    expected_end: Time,
}

struct Driver {
    engine: Engine,
    settings: Rc<Live>,
    state: Rc<State>,
    metrics: Rc<Metrics>,
    /// The latest report of the engine.
    report: Report,
    execution: Option<Execution>,
    limiter: Limiter,
    /// Time of the last use of each adapter, by model and adapter.
    adapter_use: BTreeMap<(String, String), Time>,
    /// Orders without a reply that the engine may still execute.
    unanswered: Vec<Unanswered>,
    /// When each server of the service was last in the roster, by server id.
    last_seen: BTreeMap<String, Time>,
    /// When a server last joined the service.
    last_join: Time,
    /// Whether any report has been read.
    has_report: bool,
    /// Earliest time for the load of a spare replica.
    next_spare: Time,
    /// Earliest time for the next order.
    retry_at: Time,
}

impl Driver {
    /// Reads a report and sends the next order, if any. Returns whether to poll again after the
    /// shorter interval.
    async fn poll(&mut self) -> bool {
        let rest = self.engine.rest_remaining(Time::now());
        if !rest.is_zero() && !self.has_restarted() {
            sleep(rest.min(REST_CHECK_INTERVAL)).await;
            return false;
        }
        let Some(report) = self.engine.report().await else {
            self.publish_unresponsive();
            sleep(RETRY_DELAY).await;
            return false;
        };
        self.report = report;
        if !self.report.is_busy {
            self.execution = None;
        }
        let now = Time::now();
        if !self.has_report && self.report.accepted_orders > 0 {
            // An earlier process on this machine may just have started a load from the store.
            self.limiter.record(now);
        }
        self.has_report = true;
        self.unanswered
            .retain(|order| now - order.sent < MAX_ORDER_DELAY);
        self.record_adapter_use(now);
        let server = self.state.server();
        let backlogs = self.state.backlogs();
        self.publish(server.as_ref(), &backlogs, now);
        let Some(server) = server else { return false };
        if now >= self.retry_at
            && let Some(order) = self.decide(&server, &backlogs, now)
        {
            self.send_order(order, &server, now).await;
            return true;
        }
        self.report.is_busy || !backlogs.is_empty()
    }

    /// Returns whether the roster lists a later start of the engine than its latest report.
    fn has_restarted(&self) -> bool {
        let server = self.state.server();
        server.is_some_and(|server| server.started_ms > self.report.started_ms)
    }

    fn record_adapter_use(&mut self, now: Time) {
        let uses = &mut self.adapter_use;
        self.state.for_each_usage(|model, adapter, _| {
            if let Some(adapter) = adapter {
                uses.insert((model.to_owned(), adapter.to_owned()), now);
            }
        });
    }

    /// Reports to gateways that the engine does not respond, long before its roster entry expires.
    fn publish_unresponsive(&self) {
        // The server's id may have become known only after the last report.
        let Some(server) = self.state.server() else {
            return;
        };
        if server.state != deployment::State::Ready || self.report.is_leaving {
            // A server that leaves closes its port while it still ends its requests.
            return;
        }
        let holdings = self.state.holdings.borrow().clone();
        if holdings.is_responsive || holdings.server != server.id {
            report::warn("engine_silent", &[("server", &server.id)]);
            self.state.holdings.send_replace(Rc::new(Holdings {
                server: server.id,
                is_responsive: false,
                ..holdings.as_ref().clone()
            }));
        }
    }

    fn publish(&self, server: Option<&Server>, backlogs: &[Backlog], now: Time) {
        let current_order = self.execution.as_ref().map(|execution| LinkOrder {
            model: execution.order.model.clone(),
            is_load: execution.order.operation == Operation::Load,
            remaining_ms: execution.expected_end.remaining(now).as_millis() as u32,
        });
        let holdings = Holdings {
            server: server.map(|server| server.id.clone()).unwrap_or_default(),
            started_ms: self.report.started_ms,
            is_responsive: true,
            is_leaving: self.report.is_leaving,
            replicas: self.report.replicas.clone(),
            copies: self.report.copies.clone(),
            current_order,
        };
        let is_same = |old: &Holdings| {
            let model = |holdings: &Holdings| {
                let current_order = holdings.current_order.as_ref();
                current_order.map(|order| (order.model.clone(), order.is_load))
            };
            old.server == holdings.server
                && old.started_ms == holdings.started_ms
                && old.is_responsive == holdings.is_responsive
                && old.is_leaving == holdings.is_leaving
                && old.replicas == holdings.replicas
                && old.copies == holdings.copies
                && model(old) == model(&holdings)
        };
        if !is_same(&self.state.holdings.borrow()) {
            self.state.holdings.send_replace(Rc::new(holdings));
        }
        self.state.workload.send_replace(Workload {
            running: self.report.running,
            queued: self.report.queued,
            gateways: self.state.gateways(),
            backlog_ms: self.backlog_ms(backlogs),
            request_limit: self.engine.request_limit(),
        });
    }

    /// Returns the estimated time of the loads that requests wait for, in ms.
    fn backlog_ms(&self, backlogs: &[Backlog]) -> u32 {
        let Some(engine) = self.state.engine() else {
            return 0;
        };
        let own = view::host("", &self.report.replicas, &self.report.copies);
        let models: BTreeSet<_> = backlogs.iter().map(|backlog| &backlog.model).collect();
        let is_loading = |model: &str| {
            let execution = self.execution.as_ref();
            execution.is_some_and(|execution| execution.order.model == model)
        };
        let missing = models
            .into_iter()
            .filter(|model| !own.resident.contains_key(*model) && !is_loading(model));
        let models = missing.filter_map(|model| engine.model(model));
        models.map(|model| own.load_ms(model)).sum::<f64>() as u32
    }

    fn decide(&mut self, server: &Server, backlogs: &[Backlog], now: Time) -> Option<Order> {
        if server.state != deployment::State::Ready || self.report.is_leaving {
            return None;
        }
        let engine = self.state.engine()?;
        let store_limit = self.store_limit(&engine, server, now);
        let is_settled = now - self.last_join >= SETTLING_TIME;
        let may_load_spare = now >= self.next_spare && is_settled && !self.report.is_busy;
        // A busy engine takes orders for adapters only.
        let mut backlogs_to_serve = backlogs.iter();
        let may_serve_backlog =
            backlogs_to_serve.any(|backlog| !self.report.is_busy || backlog.adapter.is_some());
        if !may_serve_backlog && !may_load_spare {
            return None;
        }
        let pool = view::pool(
            &self.state,
            &engine,
            Own {
                server,
                report: &self.report,
                current_order: self.current_order(now),
                backlogs,
            },
        );
        let host = pool.hosts.iter().position(|host| host.id == server.id)?;
        let may_use_store = self.limiter.allows(now, &store_limit);
        if !is_settled && self.state.observed.get().is_none() {
            self.state.follower.refresh_servers();
        }
        let planner = Planner {
            pool,
            host,
            report: &self.report,
            backlogs,
            adapter_use: &self.adapter_use,
            unanswered: &self.unanswered,
            may_use_store,
            may_load_spare,
        };
        if may_load_spare {
            self.next_spare = now + IDLE_POLL_INTERVAL;
        }
        let order = plan(&planner)?;
        let from_store = order.operation == Operation::Load
            && order.adapter.is_none()
            && planner.pool.hosts[host].loads_from_store(&order.model);
        if from_store {
            self.limiter.record(now);
        }
        if order.adapter.is_none() {
            log_placement(&planner, &order, from_store);
        }
        self.next_spare = now + SPARE_INTERVAL;
        Some(order)
    }

    /// Returns the limit on loads from the weight store. It is shared by all servers that may have
    /// started a load within the window, including those that left during it.
    fn store_limit(&mut self, engine: &deployment::Engine, own: &Server, now: Time) -> Limit {
        let window = self.settings.get().store_load_window();
        let (seen, joined) = (&mut self.last_seen, &mut self.last_join);
        self.state.follower.with_roster(|roster| {
            let servers = roster.servers().values();
            for server in servers.filter(|server| server.service == own.service) {
                if seen.insert(server.id.clone(), now).is_none() {
                    *joined = now;
                }
            }
        });
        seen.retain(|_, at| now - *at <= window);
        Limit {
            servers: seen.len(),
            index: seen.keys().filter(|id| **id < own.id).count(),
            loads_per_s: engine.loads_per_s,
            window,
        }
    }

    fn current_order(&self, now: Time) -> Option<CurrentOrder> {
        let execution = self.execution.as_ref()?;
        Some(CurrentOrder {
            model: execution.order.model.clone(),
            is_load: execution.order.operation == Operation::Load,
            remaining_ms: execution.expected_end.remaining(now).as_millis() as f64,
        })
    }

    async fn send_order(&mut self, order: Order, server: &Server, now: Time) {
        if order.operation == Operation::Unload && order.adapter.is_none() {
            // Gateways stop sending requests to the replica before the engine refuses them.
            self.announce_unload(&order, server, now);
        }
        let reply = self.engine.order(&order, &server.id).await;
        let outcome = match reply {
            Some(Reply::Accepted) => "accepted",
            Some(Reply::Holds) => "holds",
            Some(Reply::Conflict) => "conflict",
            Some(Reply::Refused(_)) => "refused",
            None => "no_answer",
        };
        self.metrics.count("order", outcome);
        report::info(
            "order",
            &[
                ("operation", &order.operation.as_str()),
                ("server", &server.id),
                ("model", &order.model),
                ("adapter", &order.adapter.as_deref().unwrap_or("")),
                ("accepted_orders", &order.accepted_orders),
                ("replicas", &self.report.replicas.len()),
                ("outcome", &outcome),
            ],
        );
        match reply {
            Some(Reply::Accepted) if order.adapter.is_none() => self.start_execution(order, now),
            Some(Reply::Accepted | Reply::Holds) => self.execution = None,
            _ => {
                if reply.is_none() {
                    self.unanswered.push(Unanswered {
                        started_ms: self.report.started_ms,
                        accepted_orders: order.accepted_orders,
                        sent: now,
                    });
                }
                self.execution = None;
                self.retry_at = now + RETRY_DELAY;
            }
        }
    }

    fn announce_unload(&mut self, order: &Order, server: &Server, now: Time) {
        self.execution = Some(Execution {
            order: order.clone(),
            expected_end: now,
        });
        self.publish(Some(server), &self.state.backlogs(), now);
    }

    fn start_execution(&mut self, order: Order, now: Time) {
        let expected_end = now + self.estimated_duration(&order);
        self.execution = Some(Execution {
            order,
            expected_end,
        });
    }

    fn estimated_duration(&self, order: &Order) -> Duration {
        if order.operation == Operation::Unload {
            return Duration::from_millis(500);
        }
        let engine = self.state.engine();
        let model = engine
            .as_ref()
            .and_then(|engine| engine.model(&order.model));
        let own = view::host("", &[], &self.report.copies);
        model.map_or(Duration::ZERO, |model| {
            Duration::from_secs_f64(own.load_ms(model) / 1_000.0)
        })
    }
}

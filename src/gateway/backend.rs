//! State that a gateway keeps for a backend server.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration,
};

use tokio::sync::watch;

use super::{
    crash::BrokenRun,
    demand::{
        Key,
        Waiting, //
    },
    limit::Limit,
    link::Link,
    message::Load,
    presence::Presence,
};
use crate::{
    deployment::{
        Replica,
        Server,
        State, //
    },
    dispatch::{
        Absence,
        Prefixes,
        RequestRate, //
    },
    http::{
        Channel,
        Pool, //
    },
    link::{
        Contact,
        Holdings,
        ServerState, //
    },
    placement::CurrentOrder,
    report,
    timer::Time,
};

/// Time for which a server gets no requests after a failed connection.
const CONNECT_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Time after a broken connection within which a loader reports that its server has started anew.
const RESTART_REPORT_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a server is assumed to keep an idle connection if its response does not state
/// one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(1_500);

/// An idle connection is no longer used this long before the server closes it, so that no request
/// is sent while it closes.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Weight of the newest request in the moving average of failed requests.
const FAILURE_WEIGHT: f64 = 0.2;

/// Maximum age at which the load that the server reported is still used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// Time within which an unreachable loader is expected to be reachable again, for example because
/// it is starting.
const LOADER_RECOVERY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// State that a gateway keeps for a backend server.
#[derive(Debug)]
pub(super) struct Backend {
    /// The newest description that the server registered.
    pub(super) server: RefCell<Rc<Server>>,
    /// Connections to the server.
    pub(super) pool: Pool,
    /// Prompt parts that were sent to the server and that it may have cached.
    pub(super) prefixes: RefCell<Prefixes>,
    /// Prompt tokens of the requests to which the server has not begun to respond.
    pub(super) pending_tokens: Cell<u64>,
    pub(super) in_flight: Cell<u32>,
    /// Number of requests in flight.
    pub(super) usage: RefCell<BTreeMap<Key, u32>>,
    pub(super) backlog: RefCell<BTreeMap<Key, Waiting>>,
    /// Load that the server reported last, and when.
    load: Cell<Option<(Load, Time)>>,
    failure_rate: Cell<f64>,
    cooldown_until: Cell<Time>,
    /// When a connection to the server broke while a request was at work.
    broken_at: Cell<Option<Time>>,
    /// Requests whose connections broke, until it is known whether the process has ended.
    pub(super) broken_runs: RefCell<Vec<BrokenRun>>,
    /// Whether the processes at which requests are at work still exist.
    pub(super) presence: Presence,
    /// Whether the server is unresponsive: either its machine is silent, or the server does not
    /// respond to its loader.
    is_unresponsive: watch::Sender<bool>,
    is_replaced: Cell<bool>,
    /// Whether the server has announced in a response that it leaves.
    is_leaving: Cell<bool>,
    /// End of the time for which the server wants no requests.
    resting_until: Cell<Time>,
    /// The server's limit on the requests of all gateways.
    pub(super) limit: RefCell<Limit>,
    /// Whether the store lists a server at the same address that started later.
    is_superseded: Cell<bool>,
    /// What the loader reported, while the link to it is up.
    pub(super) holdings: RefCell<Option<Holdings>>,
    /// When the loader became unreachable; at first, when this gateway learned of the server.
    loader_lost_at: Cell<Time>,
    /// When the order that the engine is executing was first reported.
    order_seen_at: Cell<Time>,
    /// Estimated time of the loads that requests at all gateways wait for, in ms.
    pub(super) backlog_ms: Cell<u32>,
    /// Number of gateways that the loader knows of.
    pub(super) gateways: Cell<u32>,
    /// Models that the server has said it lacks.
    pub(super) absence: RefCell<Absence>,
    /// Link to the hub that is sent the demand at this server.
    pub(super) link: Rc<Link>,
    /// Whether the demand has changed since it was last sent.
    pub(super) is_demand_changed: Cell<bool>,
    /// Models under which the server is indexed.
    pub(super) indexed: RefCell<BTreeSet<String>>,
}

impl Backend {
    pub(super) fn new(server: Server, link: Rc<Link>) -> Self {
        Self {
            pool: Pool::new(server.address),
            server: RefCell::new(Rc::new(server)),
            prefixes: RefCell::default(),
            pending_tokens: Cell::new(0),
            in_flight: Cell::new(0),
            usage: RefCell::default(),
            backlog: RefCell::default(),
            load: Cell::new(None),
            failure_rate: Cell::new(0.0),
            cooldown_until: Cell::new(Time::ZERO),
            broken_at: Cell::new(None),
            broken_runs: RefCell::default(),
            presence: Presence::default(),
            is_unresponsive: watch::Sender::new(false),
            is_replaced: Cell::new(false),
            is_leaving: Cell::new(false),
            resting_until: Cell::new(Time::ZERO),
            limit: RefCell::default(),
            is_superseded: Cell::new(false),
            holdings: RefCell::default(),
            loader_lost_at: Cell::new(Time::now()),
            order_seen_at: Cell::new(Time::ZERO),
            backlog_ms: Cell::new(0),
            gateways: Cell::new(0),
            absence: RefCell::default(),
            link,
            is_demand_changed: Cell::new(false),
            indexed: RefCell::default(),
        }
    }

    pub(super) fn server(&self) -> Rc<Server> {
        self.server.borrow().clone()
    }

    /// Updates the description of the server. A restarted server has an empty cache and no
    /// connections.
    pub(super) fn update(&self, server: &Server) {
        let known = self.server();
        if known.started_ms != server.started_ms {
            self.is_replaced.set(false);
            self.is_leaving.set(false);
            self.absence.borrow_mut().clear();
            self.resting_until.set(Time::ZERO);
            self.limit.take();
            self.prefixes.borrow_mut().clear();
            self.pool.clear();
        }
        if *known != *server {
            *self.server.borrow_mut() = Rc::new(server.clone());
        }
    }

    /// Keeps a connection for further requests, unless the server is about to close it. `idle_time` is
    /// the time for which the server keeps idle connections, if it has stated one.
    pub(super) fn keep(&self, channel: Channel, idle_time: Option<Duration>) {
        let idle_time = idle_time
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if !self.is_leaving() && !idle_time.is_zero() {
            self.pool.put(channel, idle_time);
        }
    }

    /// Returns whether new requests may be sent to the server.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        let is_replaced = self.is_replaced.get() || self.is_superseded.get();
        let is_present = !*self.is_unresponsive.borrow() && !is_replaced;
        let is_open = now >= self.cooldown_until.get() && !self.is_resting(now);
        self.is_ready() && is_open && is_present
    }

    /// Records that a connection broke while a request was at work.
    pub(super) fn record_broken(&self, now: Time) {
        self.record_outcome(true);
        self.broken_at.set(Some(now));
    }

    /// Returns whether the server may have started anew without this gateway having heard of it.
    pub(super) fn may_have_restarted(&self, now: Time) -> bool {
        let broken_at = self.broken_at.get();
        broken_at.is_some_and(|at| now - at < RESTART_REPORT_TIME) || self.is_start_undescribed()
    }

    /// Returns whether the server's loader has reported a start that is later than the one that is
    /// described. The software version of such a server is not known.
    pub(super) fn is_start_undescribed(&self) -> bool {
        let holdings = self.holdings.borrow();
        let described_ms = self.server.borrow().started_ms;
        holdings
            .as_ref()
            .is_some_and(|holdings| holdings.started_ms > described_ms)
    }

    /// Records that another server has the address. This server gets no requests until it is seen
    /// to have restarted.
    pub(super) fn mark_replaced(&self) {
        self.is_replaced.set(true);
    }

    /// Records whether a server that started later has the address.
    pub(super) fn set_superseded(&self, is_superseded: bool) {
        self.is_superseded.set(is_superseded);
    }

    /// Returns whether the server has registered as ready for requests and has not announced that
    /// it leaves.
    pub(super) fn is_ready(&self) -> bool {
        self.server.borrow().state == State::Ready && !self.is_leaving.get()
    }

    /// Records that the server has announced that it leaves. It gets no requests until it is seen
    /// to have restarted, whatever its entry in the store says.
    pub(super) fn mark_leaving(&self) {
        if !self.is_leaving.replace(true) {
            report::info("server_leaving", &[("server", &self.server().id)]);
            self.pool.clear();
        }
    }

    /// Returns whether the server has announced that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Records that the server wants no requests from this gateway for a time.
    pub(super) fn record_rest(&self, rest: Duration, now: Time) {
        self.resting_until
            .set(self.resting_until.get().max(now + rest));
        let rest_ms = rest.as_millis();
        let server = self.server();
        report::info(
            "server_rests",
            &[("server", &server.id), ("rest_ms", &rest_ms)],
        );
    }

    /// Returns whether the server wants no requests from this gateway at present.
    fn is_resting(&self, now: Time) -> bool {
        now < self.resting_until.get()
    }

    /// Returns the remaining time for which the server wants no requests from this gateway, if it
    /// would take them otherwise.
    pub(super) fn rest_remaining(&self, now: Time) -> Option<Duration> {
        let is_resting = self.is_resting(now) && self.is_ready();
        is_resting.then(|| self.resting_until.get().remaining(now))
    }

    /// Records the limit that the server names in a response, or that it names none.
    pub(super) fn record_limit(&self, limit: Option<RequestRate>) {
        if !self.limit.borrow_mut().set_named(limit) {
            return;
        }
        let server = self.server();
        match limit {
            Some(limit) => report::info(
                "server_limit",
                &[("server", &server.id), ("per_s", &limit.per_s())],
            ),
            None => report::info("server_limit_ended", &[("server", &server.id)]),
        }
    }

    /// Returns whether the server limits the requests of all gateways.
    pub(super) fn is_limited(&self) -> bool {
        self.limit.borrow().get().is_some()
    }

    /// Records whether the server is unresponsive.
    pub(super) fn set_unresponsive(&self, is_unresponsive: bool) {
        self.is_unresponsive.send_replace(is_unresponsive);
    }

    /// Waits until the server is unresponsive.
    pub(super) async fn unresponsive(&self) {
        let mut is_unresponsive = self.is_unresponsive.subscribe();
        // Waiting can't fail: the sender lives as long as this backend.
        let _ = is_unresponsive
            .wait_for(|is_unresponsive| *is_unresponsive)
            .await;
    }

    /// Returns whether the loader of the server is connected, so that loads can be requested there.
    pub(super) fn has_loader(&self) -> bool {
        self.holdings.borrow().is_some()
    }

    /// Returns the order that the engine is executing, with the time that remains now.
    pub(super) fn current_order(&self, now: Time) -> Option<CurrentOrder> {
        let holdings = self.holdings.borrow();
        let order = holdings.as_ref()?.current_order.as_ref()?;
        let elapsed_ms = (now - self.order_seen_at.get()).as_millis() as f64;
        Some(CurrentOrder {
            model: order.model.clone(),
            is_load: order.is_load,
            remaining_ms: (f64::from(order.remaining_ms) - elapsed_ms).max(0.0),
        })
    }

    /// Records when the loader became unreachable.
    pub(super) fn record_loader_lost(&self, now: Time) {
        self.loader_lost_at.set(now);
    }

    /// Returns whether the loader is unreachable, but expected to be reachable soon.
    pub(super) fn expects_loader(&self, now: Time) -> bool {
        let is_recent = now - self.loader_lost_at.get() < LOADER_RECOVERY_TIMEOUT;
        is_recent && !self.has_loader() && self.is_ready() && !self.is_superseded.get()
    }

    /// Calls `read` with the replica of a model, if the model is loaded and not being unloaded.
    pub(super) fn replica<T>(&self, model: &str, read: impl FnOnce(&Replica) -> T) -> Option<T> {
        if let Some(holdings) = self.holdings.borrow().as_ref() {
            let mut current_order = holdings.current_order.iter();
            if current_order.any(|order| !order.is_load && order.model == model) {
                return None;
            }
            let mut replicas = holdings.replicas.iter();
            return replicas.find(|replica| replica.model == model).map(read);
        }
        self.server.borrow().replica(model).map(read)
    }

    /// Returns the number of requests that the server runs or queues: the number that it reported
    /// recently, or the number in flight from this gateway if that is larger.
    pub(super) fn load(&self, now: Time) -> u32 {
        let reported = self.load.get().filter(|(_, at)| now - *at < MAX_LOAD_AGE);
        let reported = reported.map_or(0, |(load, _)| load.running + load.waiting);
        reported.max(self.in_flight.get())
    }

    /// Returns the number of waiting requests that the server reported recently.
    pub(super) fn waiting(&self, now: Time) -> u32 {
        let reported = self.load.get().filter(|(_, at)| now - *at < MAX_LOAD_AGE);
        reported.map_or(0, |(load, _)| load.waiting)
    }

    pub(super) fn record_load(&self, load: Load, now: Time) {
        self.load.set(Some((load, now)));
    }

    /// Replaces what is known from the loader; `None` if no hub knows the loader. Returns the models
    /// for which this matters.
    pub(super) fn apply_state(&self, state: Option<&ServerState>, now: Time) -> BTreeSet<String> {
        let own = state.filter(|state| state.holdings.server == self.server.borrow().id);
        let connected = own.filter(|state| state.contact == Contact::Connected);
        let is_silent = own.is_some_and(|state| state.contact == Contact::Silent);
        let is_unresponsive = connected.is_some_and(|state| !state.holdings.is_responsive);
        // A server that leaves closes its port while it still ends its requests.
        self.set_unresponsive((is_silent || is_unresponsive) && self.is_ready());
        if let Some(state) = connected {
            self.gateways.set(state.workload.gateways);
            self.backlog_ms.set(state.workload.backlog_ms);
            let (running, waiting) = (state.workload.running, state.workload.queued);
            self.record_load(Load { running, waiting }, now);
            let mut limit = self.limit.borrow_mut();
            limit.set_reported(state.workload.request_limit);
            let holdings = &state.holdings;
            if holdings.is_leaving && holdings.started_ms == self.server.borrow().started_ms {
                self.mark_leaving();
            }
        }
        if connected.is_none() {
            self.limit.borrow_mut().set_reported(None);
        }
        let new = connected.map(|state| state.holdings.clone());
        let old = self.holdings.replace(new);
        let new = self.holdings.borrow();
        let order = |holdings: &Option<Holdings>| holdings.as_ref()?.current_order.clone();
        if order(&old) != order(&new) {
            self.order_seen_at.set(now);
        }
        if let Some(new) = new.as_ref() {
            self.presence.record_reported_start(new.started_ms);
        }
        if old.is_some() && new.is_none() {
            report::warn("loader_lost", &[("server", &self.server.borrow().id)]);
            self.record_loader_lost(now);
        }
        let changed = changed_models(old.as_ref(), new.as_ref());
        let mut absence = self.absence.borrow_mut();
        match (&old, &*new) {
            (Some(_), Some(_)) => changed.iter().for_each(|model| absence.forget(model)),
            (None, Some(_)) => changed
                .iter()
                .for_each(|model| absence.end_pause(model, now)),
            // A loader that is lost says nothing about its server.
            (_, None) => (),
        }
        changed
            .into_iter()
            .chain(self.backlog_models().into_iter().filter(|_| is_silent))
            .collect()
    }

    /// Returns the models that the server holds, as far as is known.
    pub(super) fn models(&self) -> BTreeSet<String> {
        let names = |replicas: &[Replica]| replicas.iter().map(|r| r.model.clone()).collect();
        match self.holdings.borrow().as_ref() {
            Some(holdings) => names(&holdings.replicas),
            None => names(&self.server.borrow().replicas),
        }
    }

    /// Records whether a request at the server failed.
    pub(super) fn record_outcome(&self, failed: bool) {
        let newest = if failed { 1.0 } else { 0.0 };
        let old = self.failure_rate.get();
        self.failure_rate.set(old + (newest - old) * FAILURE_WEIGHT);
    }

    /// Records a failed connection, after which the server gets no requests for a time.
    pub(super) fn record_unreachable(&self, now: Time) {
        self.record_outcome(true);
        self.cooldown_until.set(now + CONNECT_COOLDOWN);
    }

    /// Returns the fraction of recent requests that failed.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }
}

/// Returns the models whose replica or order differs between two descriptions of a server.
fn changed_models(old: Option<&Holdings>, new: Option<&Holdings>) -> BTreeSet<String> {
    let replicas = |holdings: Option<&Holdings>| -> Vec<Replica> {
        holdings.map_or(Vec::new(), |holdings| holdings.replicas.clone())
    };
    let order = |holdings: Option<&Holdings>| {
        let order = holdings.and_then(|holdings| holdings.current_order.as_ref());
        order.map(|order| (order.model.clone(), order.is_load))
    };
    let (old_replicas, new_replicas) = (replicas(old), replicas(new));
    let lost = old_replicas.iter().filter(|r| !new_replicas.contains(r));
    let gained = new_replicas.iter().filter(|r| !old_replicas.contains(r));
    let mut models: BTreeSet<String> = lost.chain(gained).map(|r| r.model.clone()).collect();
    if order(old) != order(new) {
        let orders = [order(old), order(new)].into_iter().flatten();
        models.extend(orders.map(|(model, _)| model));
    }
    models
}

//! State shared by the tasks of a gateway.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::watch;

use super::{
    allowances::Allowances,
    engines::EngineVersions,
    fleet::Fleet,
    link::Link,
    quarantine::Quarantine,
    rates::Rates,
    waiters::Waiters, //
};
use crate::{
    dispatch::{
        Budget,
        Limit,
        Memory, //
    },
    hosted::Live,
    link::{
        EngineDescription,
        EngineVersion,
        ServerState, //
    },
    metrics::Metrics,
    timer::Time,
    watch::{
        Floor,
        Follower, //
    },
};

/// Maximum number of bytes of requests' bodies that are held at a time.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Number of bytes of unread responses from which on each client may have one piece at a time. At
/// half as much again no request is begun.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// State shared by the tasks of a gateway.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Rc<Live>,
    pub(super) follower: Rc<Follower>,
    pub(super) fleet: Fleet,
    pub(super) metrics: Rc<Metrics>,
    /// Traffic of each model at this gateway.
    pub(super) rates: Rc<Rates>,
    /// Wakes requests that wait for a server.
    pub(super) waiters: Waiters,
    /// Requests that are refused because requests like them crash servers.
    pub(super) quarantine: Quarantine,
    /// What the requests of client accounts have used.
    pub(super) allowances: Allowances,
    /// Memory that the bodies of requests take.
    pub(super) bodies: Rc<Memory>,
    /// Memory that responses take which clients have not read.
    pub(super) answers: Rc<Memory>,
    /// Lowest version of the configuration on which keys are accepted.
    pub(super) floor: RefCell<Floor>,
    /// Links to hubs by service.
    links: RefCell<BTreeMap<String, Rc<Link>>>,
    /// Becomes true when the gateway begins to stop.
    pub(super) stopping: watch::Sender<bool>,
    budgets: RefCell<BTreeMap<String, Budget>>,
    engines: RefCell<EngineVersions>,
    in_flight: Cell<usize>,
    /// Time after which requests that no server has taken are refused; set when the gateway begins
    /// to stop.
    search_deadline: Cell<Option<Time>>,
}

impl State {
    pub(super) fn new(settings: Rc<Live>, follower: Rc<Follower>, metrics: Rc<Metrics>) -> Self {
        let floor = RefCell::new(Floor::new(settings.get().revival()));
        Self {
            settings,
            follower,
            fleet: Fleet::default(),
            metrics,
            waiters: Waiters::default(),
            quarantine: Quarantine::default(),
            allowances: Allowances::default(),
            bodies: Memory::new(MAX_BODY_BYTES),
            answers: Memory::new(MAX_ANSWER_BYTES),
            floor,
            links: RefCell::default(),
            stopping: watch::Sender::new(false),
            budgets: RefCell::default(),
            rates: Rc::default(),
            engines: RefCell::default(),
            in_flight: Cell::new(0),
            search_deadline: Cell::new(None),
        }
    }

    /// Returns the link of a service to its hubs.
    pub(super) fn link(&self, service: &str) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(service.to_owned());
        link.or_insert_with(|| Rc::new(Link::new(service))).clone()
    }

    /// Returns the link that carries the origins of a service's streams. A service without hubs uses
    /// those of another one.
    pub(super) fn origin_link(&self, service: &str) -> Rc<Link> {
        let own = self.link(service);
        if own.is_started() {
            return own;
        }
        let links = self.links.borrow();
        let other = links.values().find(|link| link.is_started());
        other.cloned().unwrap_or(own)
    }

    /// Returns whether the link of this service carries what accounts have used: one link does, so that
    /// nothing is counted twice.
    pub(super) fn carries_spendings(&self, service: &str) -> bool {
        let links = self.links.borrow();
        let first = links.iter().find(|(_, link)| link.is_started());
        first.is_some_and(|(first, _)| first == service)
    }

    /// Tells hubs what was recorded of requests that crash servers; without a hub, decides by it here.
    pub(super) fn tell_facts(&self) {
        let links = self.links.borrow();
        let mut has_hub = false;
        for link in links.values().filter(|link| link.is_up()) {
            link.demand_changed.notify_one();
            has_hub = true;
        }
        if !has_hub {
            self.quarantine.decide_alone(Time::now());
        }
    }

    /// Asks for a newer list of servers, on signs that it has changed: a hub if there is one, else
    /// the store.
    pub(super) fn refresh_servers(&self) {
        let links = self.links.borrow();
        let mut links = links.values();
        if !links.any(|link| link.request_listing()) {
            self.follower.refresh_servers();
        }
    }

    /// Replaces what is known of a server from its loader and wakes the requests that this
    /// concerns.
    pub(super) fn apply_state(&self, id: &str, known: Option<&ServerState>) {
        let Some(backend) = self.fleet.get(id) else {
            return;
        };
        let now = Time::now();
        if let Some(known) = known {
            self.fleet.record_gateways(known.workload.gateways, now);
        }
        let models = backend.apply_state(known, now);
        self.fleet.index(&backend);
        for model in models {
            self.waiters.wake(&model);
        }
    }

    /// Returns whether the load balancer may send clients to this gateway.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.follower.is_synced()
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Begins to stop. Requests may search for a server until `search_deadline`.
    pub(super) fn stop(&self, search_deadline: Time) {
        self.search_deadline.set(Some(search_deadline));
        self.stopping.send_replace(true);
    }

    /// Returns whether the gateway is stopping and requests that no server has taken are to be
    /// refused.
    pub(super) fn is_search_over(&self, now: Time) -> bool {
        self.search_deadline.get().is_some_and(|end| now >= end)
    }

    /// Returns the number of requests in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(super) fn add_in_flight(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    pub(super) fn remove_in_flight(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Counts a request in the retry budget of its service.
    pub(super) fn count_request(&self, service: &str, now: Time) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(now, self.settings.get().retry_window());
    }

    /// Returns whether the retry budget of a service allows a retry, and records the retry if it does.
    pub(super) fn try_retry(&self, service: &str, now: Time) -> bool {
        let limit = self.retry_limit(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.try_retry(now, &limit)
    }

    /// Returns whether the retry budget of a service allows a retry, without recording one.
    pub(super) fn allows_retry(&self, service: &str, now: Time) -> bool {
        let limit = self.retry_limit(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.allows_retry(now, &limit)
    }

    fn retry_limit(&self, now: Time) -> Limit {
        let settings = self.settings.get();
        Limit {
            ratio: settings.retry.ratio,
            slack: settings.retry.slack,
            window: settings.retry_window(),
            processes: self.fleet.sharers().count(now),
        }
    }

    /// Returns the version of the engine description of a service, if its servers are engines.
    pub(super) fn engine_version(&self, service: &str) -> Option<EngineVersion> {
        let configuration = self.follower.configuration();
        self.engines.borrow_mut().of(&configuration, service)
    }

    /// Returns the engine description of a service, if its servers are engines.
    pub(super) fn engine_description(&self, service: &str) -> Option<EngineDescription> {
        let configuration = self.follower.configuration();
        Some(EngineDescription {
            version: self.engine_version(service)?,
            engine: configuration.service(service)?.engine.clone()?,
        })
    }
}

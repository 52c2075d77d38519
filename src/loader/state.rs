//! State shared by the tasks of a loader.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use tokio::sync::{
    Notify,
    watch, //
};

use super::precedence;
use crate::{
    deployment::{
        Engine,
        Server, //
    },
    hosted::Live,
    hub::{
        Description,
        Ledgers,
        Quarantine,
        Relay, //
    },
    link::{
        Backlog,
        EngineDescription,
        Holdings,
        Needs,
        ServerState,
        Traffic,
        Workload, //
    },
    placement::Rate,
    report,
    timer::Time,
    watch::{
        Follower,
        Mirror, //
    },
};

/// Traffic of the models at the gateways of one hub, with the time of each report.
type Rates = BTreeMap<String, (Traffic, Time)>;

/// State shared by the tasks of a loader.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Rc<Live>,
    /// Address of the engine.
    pub(super) engine_addr: SocketAddr,
    pub(super) follower: Rc<Follower>,
    /// Latest message of each hub and when it arrived, by connection.
    needs: RefCell<BTreeMap<u64, (Needs, Time)>>,
    /// Traffic at the gateways of each hub, by connection.
    rates: RefCell<BTreeMap<u64, Rates>>,
    /// The description of the engine, which the hub in this process uses as well.
    pub(super) description: Rc<RefCell<Description>>,
    /// The origins of streams that the hub in this process passes on.
    pub(super) relay: Rc<Relay>,
    /// What the hub in this process knows of requests that crash servers.
    pub(super) quarantine: Rc<Quarantine>,
    /// What accounts have used, as the hub in this process knows it.
    pub(super) ledgers: Rc<Ledgers>,
    /// When the list was read whose software versions were recorded last.
    versions_listed_at: Cell<Option<Time>>,
    next_connection: Cell<u64>,
    /// The hub at which the loader follows the other servers.
    pub(super) observed: Cell<Option<SocketAddr>>,
    /// Servers as that hub describes them.
    pub(super) mirror: RefCell<Mirror>,
    /// Ends the driver's pause between polls.
    pub(super) wake: Notify,
    /// Models and weights that the server holds, as reported to hubs.
    pub(super) holdings: watch::Sender<Rc<Holdings>>,
    /// Workload of the server, as reported to hubs.
    pub(super) workload: watch::Sender<Workload>,
}

impl State {
    pub(super) fn new(settings: Rc<Live>, engine_addr: SocketAddr, follower: Rc<Follower>) -> Self {
        Self {
            settings,
            engine_addr,
            follower,
            needs: RefCell::default(),
            rates: RefCell::default(),
            description: Rc::default(),
            relay: Rc::default(),
            quarantine: Rc::default(),
            ledgers: Rc::default(),
            versions_listed_at: Cell::new(None),
            next_connection: Cell::new(0),
            observed: Cell::new(None),
            mirror: RefCell::default(),
            wake: Notify::new(),
            holdings: watch::Sender::new(Rc::new(Holdings::default())),
            workload: watch::Sender::new(Workload::default()),
        }
    }

    /// Returns the roster's entry of the engine, which contains the engine's id.
    pub(super) fn server(&self) -> Option<Server> {
        self.follower.with_roster(|roster| {
            let servers = roster.servers().values();
            // Of two entries with the same address, the one with the later start is current.
            let at_address = servers.filter(|server| server.address == self.engine_addr);
            at_address.max_by_key(|server| server.started_ms).cloned()
        })
    }

    /// Records the software versions of the servers if the list of servers was read again.
    pub(super) fn record_versions(&self) {
        let listed_at = self.follower.listed_at();
        if listed_at.is_none() || self.versions_listed_at.replace(listed_at) == listed_at {
            return;
        }
        let now = Time::now();
        self.relay.versions.record_list(now);
        self.follower.with_roster(|roster| {
            for server in roster.servers().values() {
                self.relay
                    .versions
                    .record(&server.service, &server.software, now);
            }
        });
    }

    /// Adds a connection to a hub and returns its key.
    pub(super) fn connect(&self) -> u64 {
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        connection
    }

    /// Replaces the needs that a hub reported. Their rates update only the models they contain.
    pub(super) fn set_needs(&self, connection: u64, mut needs: Needs) {
        let now = Time::now();
        let is_urgent = !needs.backlogs.is_empty();
        let mut rates = self.rates.borrow_mut();
        let rates = rates.entry(connection).or_default();
        for traffic in needs.rates.drain(..) {
            rates.insert(traffic.model.clone(), (traffic, now));
        }
        if let Some(update) = needs.update.take()
            && let Some(listing) = self.mirror.borrow_mut().apply(connection, update, now)
        {
            self.follower.feed(listing);
        }
        if let Some(description) = needs.engine.take() {
            self.set_description(description);
        } else if let Some(version) = needs.engine_version {
            self.description
                .borrow_mut()
                .offer(connection | HUB_CONNECTION, version, now);
        }
        self.needs.borrow_mut().insert(connection, (needs, now));
        if is_urgent {
            self.wake.notify_one();
        }
    }

    /// Removes a hub whose connection has ended.
    pub(super) fn disconnect(&self, connection: u64) {
        self.needs.borrow_mut().remove(&connection);
        self.rates.borrow_mut().remove(&connection);
        self.description
            .borrow_mut()
            .remove_gateway(connection | HUB_CONNECTION);
    }

    fn set_description(&self, description: EngineDescription) {
        report::info(
            "engine_described",
            &[
                ("configuration", &description.version.configuration),
                ("models", &description.engine.models.len()),
            ],
        );
        self.description.borrow_mut().update(description);
        self.wake.notify_one();
    }

    /// Returns whether a request for the description of the engine to this hub is pending.
    pub(super) fn wants_engine(&self, connection: u64) -> bool {
        let description = self.description.borrow();
        description.is_requested(connection | HUB_CONNECTION)
    }

    /// Returns the engine's properties, if they are known.
    pub(super) fn engine(&self) -> Option<Rc<Engine>> {
        self.description.borrow().engine()
    }

    /// Returns the number of gateways connected to the hubs.
    pub(super) fn gateways(&self) -> u32 {
        self.needs
            .borrow()
            .values()
            .map(|(needs, _)| needs.gateways)
            .sum()
    }

    /// Returns the models and adapters that requests wait for at any gateway, the most urgent
    /// first.
    pub(super) fn backlogs(&self) -> Vec<Backlog> {
        let now = Time::now();
        let needs = self.needs.borrow();
        let backlogs = needs.values().flat_map(|(needs, at)| {
            let backlogs = needs.backlogs.iter();
            backlogs.map(|backlog| backlog.after(now - *at))
        });
        let mut merged: Vec<Backlog> = Vec::new();
        for backlog in backlogs {
            let is_same = |other: &&mut Backlog| {
                other.model == backlog.model && other.adapter == backlog.adapter
            };
            match merged.iter_mut().find(is_same) {
                Some(other) => {
                    other.waiting += backlog.waiting;
                    other.priority = other.priority.min(backlog.priority);
                    other.oldest_ms = other.oldest_ms.max(backlog.oldest_ms);
                    other.due_ms.extend(backlog.due_ms);
                    other.leaves_ms = other.leaves_ms.min(backlog.leaves_ms);
                }
                None => merged.push(backlog),
            }
        }
        let engine = self.engine();
        let holdings = self.holdings.borrow();
        let load_ms = |model: &str| {
            let model = engine.as_ref()?.model(model)?;
            let has = |copies: &[String]| copies.contains(&model.name);
            let load = match &holdings.copies {
                copies if has(&copies.in_memory) => model.memory_load,
                copies if has(&copies.on_disk) => model.disk_load,
                _ => model.store_load,
            };
            u32::try_from(load.as_millis()).ok()
        };
        precedence::sort(&mut merged, |model| load_ms(model).unwrap_or_default());
        merged
    }

    /// Returns the traffic of each model, summed over all gateways.
    pub(super) fn rates(&self) -> BTreeMap<String, Rate> {
        let now = Time::now();
        let mut rates: BTreeMap<String, Rate> = BTreeMap::new();
        for (traffic, at) in self.rates.borrow().values().flat_map(BTreeMap::values) {
            let traffic = traffic.after(now - *at);
            let rate = rates.entry(traffic.model).or_default();
            rate.per_s += f64::from(traffic.per_s);
            rate.recent_per_s += f64::from(traffic.recent_per_s);
            rate.prefill_ms += f64::from(traffic.prefill_ms);
            rate.in_flight += f64::from(traffic.in_flight);
        }
        rates
    }

    /// Calls `read` with the state of another server, if the observed hub has it from its loader.
    pub(super) fn with_state<T>(
        &self,
        id: &str,
        read: impl FnOnce(&ServerState) -> T,
    ) -> Option<T> {
        self.mirror.borrow().state(id).map(read)
    }

    /// Calls `visit` with each model in use, its adapter if one is used, and the number of requests
    /// in flight.
    pub(super) fn for_each_usage(&self, mut visit: impl FnMut(&str, Option<&str>, u32)) {
        for usage in self.needs.borrow().values().flat_map(|(n, _)| &n.usage) {
            visit(&usage.model, usage.adapter.as_deref(), usage.in_flight);
        }
    }
}

/// Distinguishes connections to hubs from connections of gateways to the hub in this process: both
/// are asked for the description of the engine.
const HUB_CONNECTION: u64 = 1 << 63;

//! The backend servers that the gateway knows.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use super::{
    backend::Backend,
    limit::Gateways,
    link,
    state::State, //
};
use crate::{
    deployment::{
        self,
        Engine, //
    },
    dispatch::{
        ENGINE_WAITING_MS,
        Versions, //
    },
    link::Traffic,
    placement::{
        Host,
        Pool,
        Rate,
        Resident, //
    },
    report,
    timer::Time,
};

/// The backend servers by id.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    backends: RefCell<BTreeMap<String, Rc<Backend>>>,
    by_service: RefCell<BTreeMap<String, Rc<Vec<Rc<Backend>>>>>,
    /// Servers that hold a model, by model.
    holders: RefCell<BTreeMap<String, Vec<Rc<Backend>>>>,
    /// Software versions of the servers of each service.
    pub(super) versions: Versions,
    /// When the list was read that was taken over last.
    listed_at: Cell<Option<Time>>,
    /// Number of gateways that share the limits of servers and the retry budget.
    sharers: Cell<Gateways>,
}

impl Fleet {
    /// Returns the servers of a service.
    pub(super) fn of_service(&self, service: &str) -> Rc<Vec<Rc<Backend>>> {
        let by_service = self.by_service.borrow();
        by_service.get(service).cloned().unwrap_or_default()
    }

    /// Returns the servers of a service that hold a model.
    pub(super) fn holders(&self, service: &str, model: &str) -> Vec<Rc<Backend>> {
        let holders = self.holders.borrow();
        let holders = holders.get(model).into_iter().flatten();
        let of_service = holders.filter(|backend| backend.server.borrow().service == service);
        of_service.cloned().collect()
    }

    /// Updates the index of servers by model after a change of what a server holds.
    pub(super) fn index(&self, backend: &Rc<Backend>) {
        let models = backend.models();
        let known = backend.indexed.replace(models.clone());
        let mut holders = self.holders.borrow_mut();
        for model in known.difference(&models) {
            if let Some(servers) = holders.get_mut(model) {
                servers.retain(|server| !Rc::ptr_eq(server, backend));
                if servers.is_empty() {
                    holders.remove(model);
                }
            }
        }
        for model in models.difference(&known) {
            let servers = holders.entry(model.clone()).or_default();
            servers.push(backend.clone());
        }
    }

    /// Records that the machine with this address does not respond.
    pub(super) fn mark_unresponsive(&self, ip: IpAddr) {
        let backends = self.backends.borrow();
        let mut backends = backends.values();
        if let Some(backend) = backends.find(|backend| backend.server().address.ip() == ip) {
            backend.set_unresponsive(true);
        }
    }

    /// Returns the failure domain of the server with this address.
    pub(super) fn failure_domain(&self, ip: IpAddr) -> Option<String> {
        let backends = self.backends.borrow();
        let mut backends = backends.values();
        let backend = backends.find(|backend| backend.server().address.ip() == ip)?;
        Some(backend.server().failure_domain.clone())
    }

    /// Finds a server by its id.
    pub(super) fn get(&self, id: &str) -> Option<Rc<Backend>> {
        self.backends.borrow().get(id).cloned()
    }

    /// Returns the maximum number of gateways connected to one loader, at least 1 for this gateway.
    pub(super) fn gateways(&self) -> u32 {
        let backends = self.backends.borrow();
        let known = backends.values().map(|backend| backend.gateways.get());
        known.max().unwrap_or_default().max(1)
    }

    /// Returns the gateways that share the limits of servers and the retry budget.
    pub(super) fn sharers(&self) -> Gateways {
        self.sharers.get()
    }

    /// Records a number of gateways that a loader has reported.
    pub(super) fn record_gateways(&self, count: u32, now: Time) {
        let mut sharers = self.sharers.get();
        sharers.record(count, now);
        self.sharers.set(sharers);
    }

    /// Returns whether a server has a software version that other gateways may not know yet, and that
    /// therefore begins no streams.
    pub(super) fn has_new_version(&self, server: &deployment::Server, spread: Duration) -> bool {
        let (service, version) = (&server.service, &server.software);
        self.versions.is_new(service, version, spread, Time::now())
    }

    fn record_version(&self, server: &deployment::Server, now: Time) {
        let (service, version) = (&server.service, &server.software);
        if self.versions.record(service, version, now) {
            report::info(
                "software_version",
                &[
                    ("service", service),
                    ("version", version),
                    ("server", &server.id),
                ],
            );
        }
    }

    /// Updates the servers from the list that was read from the store.
    fn update(&self, state: &Rc<State>) {
        let mut backends = self.backends.borrow_mut();
        let now = Time::now();
        let listed_at = state.follower.listed_at();
        if listed_at.is_some() && self.listed_at.replace(listed_at) != listed_at {
            self.versions.record_list(now);
        }
        let spread = state.settings.get().listing_spread();
        state.follower.with_roster(|roster| {
            let servers = roster.servers();
            backends.retain(|id, backend| {
                let stays = servers.contains_key(id);
                if !stays {
                    report::info("server_gone", &[("server", id)]);
                    backend.presence.record_unlisted();
                    self.unindex(backend);
                }
                stays
            });
            for (id, server) in servers {
                self.record_version(server, now);
                match backends.get(id) {
                    Some(backend) if backend.server().address == server.address => {
                        log_state_change(backend, server);
                        backend.update(server);
                        backend.presence.record_start(server.started_ms, spread);
                        self.index(backend);
                    }
                    known => {
                        if let Some(former) = known {
                            self.unindex(former);
                            former.presence.record_unlisted();
                            former.presence.record_start(server.started_ms, spread);
                        }
                        let link = state.link(&server.service);
                        let backend = Rc::new(Backend::new(server.clone(), link.clone()));
                        backend.presence.record_start(server.started_ms, spread);
                        log_new_server(server);
                        let mirror = link.mirror.borrow();
                        backend.apply_state(mirror.state(id), Time::now());
                        self.index(&backend);
                        backends.insert(id.clone(), backend);
                    }
                }
            }
            for (id, backend) in backends.iter() {
                backend.set_superseded(roster.is_superseded(id));
            }
        });
        let mut by_service: BTreeMap<String, Rc<Vec<_>>> = BTreeMap::new();
        for backend in backends.values() {
            let service = backend.server().service.clone();
            let servers = by_service.entry(service).or_default();
            Rc::make_mut(servers).push(backend.clone());
        }
        *self.by_service.borrow_mut() = by_service;
    }

    /// Removes a server from the index of servers by model.
    fn unindex(&self, backend: &Rc<Backend>) {
        let models = backend.indexed.take();
        let mut holders = self.holders.borrow_mut();
        for model in models {
            if let Some(servers) = holders.get_mut(&model) {
                servers.retain(|server| !Rc::ptr_eq(server, backend));
            }
        }
    }
}

fn log_new_server(server: &deployment::Server) {
    report::info(
        "server_new",
        &[
            ("server", &server.id),
            ("service", &server.service),
            ("addr", &server.address),
            ("models", &server.replicas.len()),
        ],
    );
}

fn log_state_change(backend: &Backend, server: &deployment::Server) {
    if backend.server().state != server.state {
        let state = format!("{:?}", server.state);
        report::info("server_state", &[("server", &server.id), ("state", &state)]);
    }
}

/// Updates the fleet at each change of the roster; never returns.
pub(super) async fn follow(state: Rc<State>) {
    loop {
        state.fleet.update(&state);
        maintain_links(&state);
        state.waiters.wake_all();
        state.follower.changed.notified().await;
    }
}

/// Starts a link to a hub for each service of model engines that has none yet.
fn maintain_links(state: &Rc<State>) {
    let configuration = state.follower.configuration();
    let services = configuration.services.iter();
    for service in services.filter(|service| service.engine.is_some()) {
        let link = state.link(&service.name);
        if link.start() {
            tokio::task::spawn_local(link::maintain(state.clone(), link));
        }
    }
}

/// Builds the view of a service's servers on which placement decisions are based.
pub(super) fn pool<'a>(state: &State, service: &str, engine: &'a Engine, now: Time) -> Pool<'a> {
    let backends = state.fleet.of_service(service);
    let hosts = backends.iter().map(|backend| host(backend, engine, now));
    let gateways = f64::from(state.fleet.gateways());
    let rates = state.rates.since(0, now).into_iter();
    Pool {
        engine,
        hosts: hosts.collect(),
        // Clients are spread over the gateways, so each gateway gets about the same share.
        rates: rates.map(|traffic| scaled(traffic, gateways)).collect(),
    }
}

fn scaled(traffic: Traffic, gateways: f64) -> (String, Rate) {
    let rate = Rate {
        per_s: f64::from(traffic.per_s) * gateways,
        recent_per_s: f64::from(traffic.recent_per_s) * gateways,
        prefill_ms: f64::from(traffic.prefill_ms) * gateways,
        in_flight: f64::from(traffic.in_flight) * gateways,
    };
    (traffic.model, rate)
}

/// Builds the view of one server.
pub(super) fn host(backend: &Rc<Backend>, engine: &Engine, now: Time) -> Host {
    let server = backend.server();
    let holdings = backend.holdings.borrow();
    let (replicas, copies) = match holdings.as_ref() {
        Some(holdings) => (&holdings.replicas, &holdings.copies),
        None => (&server.replicas, &server.copies),
    };
    // The replicas of a server that leaves do not count as replicas of their models.
    let replicas = replicas.iter().filter(|_| backend.is_ready());
    let resident = |replica: &deployment::Replica| Resident {
        in_flight: 0,
        wanted: backend.has_backlog(&replica.model),
        adapters_mb: engine.model(&replica.model).map_or(0.0, |model| {
            model.adapter_mb * replica.adapters.len() as f64
        }),
    };
    let names = |names: &[String]| names.iter().cloned().collect::<BTreeSet<_>>();
    let mut host = Host {
        id: server.id.clone(),
        reachable: backend.has_loader() && backend.is_usable(now),
        expected: backend.expects_loader(now),
        resident: replicas
            .map(|replica| (replica.model.clone(), resident(replica)))
            .collect(),
        in_memory: names(&copies.in_memory),
        on_disk: names(&copies.on_disk),
        current_order: backend.current_order(now),
        backlog_ms: 0.0,
        queue_ms: f64::from(backend.waiting(now)) * ENGINE_WAITING_MS,
    };
    let wanted = backend.backlog_models().into_iter();
    let missing =
        wanted.filter(|model| !host.resident.contains_key(model) && !host.is_loading(model));
    let own_ms: f64 = missing
        .filter_map(|model| engine.model(&model))
        .map(|model| host.load_ms(model))
        .sum();
    // What the loader reports includes the requests of other gateways, but not the newest ones.
    host.backlog_ms = own_ms.max(f64::from(backend.backlog_ms.get()));
    host
}

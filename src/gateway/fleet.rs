//! The backend servers that the gateway knows.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
};

use super::{
    backend::Backend,
    link,
    state::State, //
};
use crate::{
    deployment::{
        self,
        Engine, //
    },
    dispatch::ENGINE_WAITING_MS,
    link::{
        Loading,
        Traffic, //
    },
    placement::{
        CurrentOrder,
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
}

impl Fleet {
    /// Returns the servers of a service.
    pub(super) fn of_service(&self, service: &str) -> Vec<Rc<Backend>> {
        let backends = self.backends.borrow();
        let backends = backends.values();
        let of_service = backends.filter(|backend| backend.server.borrow().service == service);
        of_service.cloned().collect()
    }

    /// Finds a server by its id.
    pub(super) fn get(&self, id: &str) -> Option<Rc<Backend>> {
        self.backends.borrow().get(id).cloned()
    }

    /// Returns the loads in progress that the loaders reported.
    pub(super) fn loads(&self) -> Vec<Loading> {
        let backends = self.backends.borrow();
        let loads = backends.iter().filter_map(|(id, backend)| {
            let holdings = backend.holdings.borrow();
            let order = holdings.as_ref()?.current_order.clone()?;
            let server = id.clone();
            order.is_load.then_some(Loading { server, order })
        });
        loads.collect()
    }

    /// Returns the maximum number of gateways connected to one loader, at least 1 for this gateway.
    pub(super) fn gateways(&self) -> u32 {
        let backends = self.backends.borrow();
        let known = backends.values().map(|backend| backend.gateways.get());
        known.max().unwrap_or_default().max(1)
    }

    /// Updates the servers from the list that was read from the store.
    fn update(&self, state: &Rc<State>) {
        let mut backends = self.backends.borrow_mut();
        state.follower.with_roster(|roster| {
            let servers = roster.servers();
            backends.retain(|id, backend| {
                let stays = servers.contains_key(id);
                if !stays {
                    report::info("server_gone", &[("server", id)]);
                    backend.demand_changed.notify_one();
                }
                stays
            });
            for (id, server) in servers {
                match backends.get(id) {
                    Some(backend) if backend.server().address == server.address => {
                        log_state_change(backend, server);
                        backend.update(server);
                    }
                    _ => {
                        let backend = Rc::new(Backend::new(server.clone()));
                        log_new_server(server);
                        tokio::task::spawn_local(link::maintain(state.clone(), backend.clone()));
                        backends.insert(id.clone(), backend);
                    }
                }
            }
            for (id, backend) in backends.iter() {
                backend.set_superseded(roster.is_superseded(id));
            }
        });
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
        state.residency_changed.notify_waiters();
        state.follower.changed.notified().await;
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

fn host(backend: &Rc<Backend>, engine: &Engine, now: Time) -> Host {
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
    let current_order = holdings
        .as_ref()
        .and_then(|holdings| holdings.current_order.as_ref());
    let mut host = Host {
        id: server.id.clone(),
        reachable: backend.has_loader() && backend.is_usable(now),
        expected: backend.expects_loader(now),
        resident: replicas
            .map(|replica| (replica.model.clone(), resident(replica)))
            .collect(),
        in_memory: names(&copies.in_memory),
        on_disk: names(&copies.on_disk),
        current_order: current_order.map(|order| CurrentOrder {
            model: order.model.clone(),
            is_load: order.is_load,
            remaining_ms: f64::from(order.remaining_ms),
        }),
        backlog_ms: 0.0,
        queue_ms: f64::from(backend.waiting(now)) * ENGINE_WAITING_MS,
    };
    let wanted = backend.backlog_models().into_iter();
    let missing =
        wanted.filter(|model| !host.resident.contains_key(model) && !host.is_loading(model));
    host.backlog_ms = missing
        .filter_map(|model| engine.model(&model))
        .map(|model| host.load_ms(model))
        .sum();
    host
}

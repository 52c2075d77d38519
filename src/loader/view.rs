//! A loader's view of the servers of its service, on which its decisions are based.

use std::collections::BTreeSet;

use super::{
    Report,
    state::State, //
};
use crate::{
    deployment::{
        self,
        Copies,
        Engine,
        Replica,
        Server, //
    },
    link::{
        Backlog,
        Contact,
        ServerState, //
    },
    placement::{
        CurrentOrder,
        Host,
        Pool,
        Resident, //
    },
};

/// What the view of a loader's own server is built from.
pub(super) struct Own<'a> {
    pub(super) server: &'a Server,
    pub(super) report: &'a Report,
    pub(super) current_order: Option<CurrentOrder>,
    pub(super) backlogs: &'a [Backlog],
}

/// Returns the servers of the service that are ready, the loader's own one last.
pub(super) fn pool<'a>(state: &State, engine: &'a Engine, own: Own<'_>) -> Pool<'a> {
    let mut hosts: Vec<_> = state.follower.with_roster(|roster| {
        let servers = roster.servers().values();
        let peers = servers.filter(|other| {
            other.service == own.server.service && other.state == deployment::State::Ready
        });
        let others = peers.filter(|other| other.id != own.server.id);
        others.map(|other| peer_host(state, other)).collect()
    });
    hosts.push(own_host(state, engine, own));
    Pool {
        engine,
        hosts,
        rates: state.rates(),
    }
}

/// Returns the view of another server: as its loader describes it if that is connected to the hub,
/// else as the list of servers does.
fn peer_host(state: &State, server: &Server) -> Host {
    let described = state.with_state(&server.id, |known| match known.contact {
        Contact::Connected => Some(host_of_state(known)),
        Contact::Silent => Some(Host {
            reachable: false,
            ..host(&server.id, &server.replicas, &server.copies)
        }),
        Contact::Lost => None,
    });
    let described = described.flatten();
    described.unwrap_or_else(|| host(&server.id, &server.replicas, &server.copies))
}

fn host_of_state(state: &ServerState) -> Host {
    let holdings = &state.holdings;
    let order = holdings.current_order.as_ref();
    Host {
        current_order: order.map(|order| CurrentOrder {
            model: order.model.clone(),
            is_load: order.is_load,
            remaining_ms: f64::from(order.remaining_ms),
        }),
        ..host(&holdings.server, &holdings.replicas, &holdings.copies)
    }
}

fn own_host(state: &State, engine: &Engine, own: Own<'_>) -> Host {
    let report = own.report;
    let mut host = host(&own.server.id, &report.replicas, &report.copies);
    state.for_each_usage(|model, _, in_flight| {
        if let Some(resident) = host.resident.get_mut(model) {
            resident.in_flight += in_flight;
        }
    });
    for backlog in own.backlogs {
        if let Some(resident) = host.resident.get_mut(&backlog.model) {
            resident.wanted = true;
        }
    }
    for replica in &report.replicas {
        let pending = report.pending_adapters.iter();
        let pending = pending.filter(|(model, _)| *model == replica.model);
        let adapters = (replica.adapters.len() + pending.count()) as f64;
        let adapter_mb = engine.model(&replica.model).map_or(0.0, |m| m.adapter_mb);
        if let Some(resident) = host.resident.get_mut(&replica.model) {
            resident.adapters_mb = adapters * adapter_mb;
        }
    }
    host.current_order = own.current_order;
    host
}

/// Creates the view of a server from the models that it holds.
pub(super) fn host(id: &str, replicas: &[Replica], copies: &Copies) -> Host {
    let resident = replicas.iter();
    let names = |names: &[String]| names.iter().cloned().collect::<BTreeSet<_>>();
    Host {
        id: id.to_owned(),
        reachable: true,
        expected: false,
        resident: resident
            .map(|replica| (replica.model.clone(), Resident::default()))
            .collect(),
        in_memory: names(&copies.in_memory),
        on_disk: names(&copies.on_disk),
        current_order: None,
        backlog_ms: 0.0,
        queue_ms: 0.0,
    }
}

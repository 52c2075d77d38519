//! Which loaders are hubs, and which of them a process prefers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use crate::{
    deployment::{
        Server,
        State, //
    },
    rank,
};

/// Number of hubs in each failure domain.
const HUBS_PER_DOMAIN: usize = 2;

/// Key of the rendezvous order of the servers of a failure domain.
const RANK_KEY: &str = "hub";

/// A loader that is a hub.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Address of the server beside the loader.
    pub address: SocketAddr,
    /// Failure domain of its machine.
    pub failure_domain: String,
    /// Address of its machine as text. A machine keeps its rank when its server starts anew under
    /// another id.
    machine: String,
}

impl Candidate {
    fn new(server: &Server) -> Self {
        Self {
            address: server.address,
            failure_domain: server.failure_domain.clone(),
            machine: server.address.ip().to_string(),
        }
    }
}

/// Returns the hubs of a service: in each failure domain, the loaders that are hubs, by rank. Every
/// process chooses the same ones from the same list of servers.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
///
/// use chestnuthub::hub;
///
/// assert!(hub::all(&BTreeMap::new(), "llm").is_empty());
/// ```
pub fn all(servers: &BTreeMap<String, Server>, service: &str) -> BTreeMap<String, Vec<Candidate>> {
    let ready = servers
        .values()
        .filter(|server| server.service == service && server.state == State::Ready);
    let mut domains: BTreeMap<String, BTreeSet<Candidate>> = BTreeMap::new();
    for server in ready {
        let machines = domains.entry(server.failure_domain.clone()).or_default();
        machines.insert(Candidate::new(server));
    }
    let ranked = domains.into_iter().map(|(domain, machines)| {
        let mut hubs = rank::order_by(RANK_KEY, machines, |hub| &hub.machine);
        hubs.truncate(HUBS_PER_DOMAIN);
        (domain, hubs)
    });
    ranked.collect()
}

/// Returns the addresses of the servers whose loaders are hubs, in the order in which the process
/// `name` connects to them: those of its failure domain, those of its region, then the others.
/// Processes spread over the hubs of a failure domain by their names.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
///
/// use chestnuthub::hub;
///
/// let regions = BTreeMap::new();
/// assert!(hub::preferred(&BTreeMap::new(), "llm", "front-1", "z1", &regions).is_empty());
/// ```
pub fn preferred(
    servers: &BTreeMap<String, Server>,
    service: &str,
    name: &str,
    domain: &str,
    regions: &BTreeMap<String, String>,
) -> Vec<SocketAddr> {
    let region = regions.get(domain);
    let distance = |hub: &Candidate| {
        if hub.failure_domain == domain {
            0
        } else if region.is_some() && regions.get(&hub.failure_domain) == region {
            1
        } else {
            2
        }
    };
    let hubs = all(servers, service).into_values().flatten();
    let mut ranked = rank::order_by(name, hubs, |hub| &hub.machine);
    // The sort is stable: hubs at the same distance stay in the process's own order.
    ranked.sort_by_key(distance);
    ranked.into_iter().map(|hub| hub.address).collect()
}

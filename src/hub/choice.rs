//! Which loaders are hubs, and which of them a process prefers.

use std::{
    collections::BTreeMap,
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

/// Returns the hubs of a service: in each failure domain, the servers whose loaders are hubs, by
/// rank. Every process chooses the same ones from the same list of servers.
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
pub fn all<'a>(
    servers: &'a BTreeMap<String, Server>,
    service: &str,
) -> BTreeMap<&'a str, Vec<&'a Server>> {
    let ready = servers
        .values()
        .filter(|server| server.service == service && server.state == State::Ready);
    let mut domains: BTreeMap<&str, Vec<&Server>> = BTreeMap::new();
    for server in ready {
        domains
            .entry(&server.failure_domain)
            .or_default()
            .push(server);
    }
    for servers in domains.values_mut() {
        let all = std::mem::take(servers);
        *servers = rank::order_by(RANK_KEY, all, |server| &server.id);
        servers.truncate(HUBS_PER_DOMAIN);
    }
    domains
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
    let distance = |server: &Server| {
        if server.failure_domain == domain {
            0
        } else if region.is_some() && regions.get(&server.failure_domain) == region {
            1
        } else {
            2
        }
    };
    let hubs = all(servers, service).into_values().flatten();
    let mut ranked = rank::order_by(name, hubs, |server| &server.id);
    // The sort is stable: hubs at the same distance stay in the process's own order.
    ranked.sort_by_key(|server| distance(server));
    ranked.into_iter().map(|server| server.address).collect()
}

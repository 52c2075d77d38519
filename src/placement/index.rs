//! Which servers hold a model or a copy of its weights, by model.

use std::collections::HashMap;

use super::Host;
use crate::{
    deployment::Model,
    rank, //
};

/// Indices of servers by model.
type Hosts<'p> = HashMap<&'p str, Vec<usize>>;

/// Index of the servers of a pool by model, so that an estimate for one model does not look at all
/// servers.
#[derive(Debug)]
pub(super) struct Index<'p> {
    hosts: &'p [Host],
    /// Servers on which the model is resident and not being unloaded.
    holders: Hosts<'p>,
    /// Servers that are loading the model.
    loading: Hosts<'p>,
    /// Reachable servers with the weights in main memory.
    in_memory: Hosts<'p>,
    /// Reachable servers with the weights on their disk.
    on_disk: Hosts<'p>,
    /// Number of loads from the weight store in progress.
    pub(super) store_loads: usize,
}

impl<'p> Index<'p> {
    pub(super) fn new(hosts: &'p [Host]) -> Self {
        let mut index = Self {
            hosts,
            holders: HashMap::new(),
            loading: HashMap::new(),
            in_memory: HashMap::new(),
            on_disk: HashMap::new(),
            store_loads: store_loads(hosts),
        };
        for (number, host) in hosts.iter().enumerate() {
            let held = host.resident.keys().filter(|model| host.holds(model));
            add(&mut index.holders, held, number);
            let order = host.current_order.iter().filter(|order| order.is_load);
            add(&mut index.loading, order.map(|order| &order.model), number);
            if host.reachable {
                add(&mut index.in_memory, host.in_memory.iter(), number);
                add(&mut index.on_disk, host.on_disk.iter(), number);
            }
        }
        index
    }

    /// Returns the number of servers on which a model is resident or being loaded.
    pub(super) fn replicas(&self, model: &str) -> usize {
        let holders = of(&self.holders, model);
        let loading = of(&self.loading, model).iter();
        holders.len() + loading.filter(|host| !holders.contains(host)).count()
    }

    /// Returns whether a server is loading a model.
    pub(super) fn is_loading(&self, model: &str) -> bool {
        !of(&self.loading, model).is_empty()
    }

    /// Returns whether `host` is the last in the rendezvous order of several holders of a model.
    pub(super) fn is_last_holder(&self, model: &str, host: usize) -> bool {
        let holders = of(&self.holders, model);
        if holders.len() < 2 {
            return false;
        }
        let ids = holders.iter().map(|holder| self.hosts[*holder].id.as_str());
        rank::order(model, ids).last() == Some(&self.hosts[host].id.as_str())
    }

    /// Returns the minimum duration of a load over all reachable servers but `except`, in ms.
    pub(super) fn min_load_ms(&self, model: &Model, except: Option<usize>) -> f64 {
        let has_other = |hosts: &Hosts<'_>| {
            let mut hosts = of(hosts, &model.name).iter();
            hosts.any(|host| Some(*host) != except)
        };
        let mut load = model.store_load;
        if has_other(&self.on_disk) {
            load = load.min(model.disk_load);
        }
        if has_other(&self.in_memory) {
            load = load.min(model.memory_load);
        }
        load.as_secs_f64() * 1_000.0
    }
}

/// Returns the number of loads from the weight store in progress.
fn store_loads(hosts: &[Host]) -> usize {
    let loading = hosts.iter().filter(|host| {
        let order = host.current_order.as_ref().filter(|order| order.is_load);
        order.is_some_and(|order| host.loads_from_store(&order.model))
    });
    loading.count()
}

fn add<'p>(hosts: &mut Hosts<'p>, models: impl Iterator<Item = &'p String>, host: usize) {
    for model in models {
        hosts.entry(model).or_default().push(host);
    }
}

fn of<'a>(hosts: &'a Hosts<'_>, model: &str) -> &'a [usize] {
    hosts.get(model).map_or(&[], Vec::as_slice)
}

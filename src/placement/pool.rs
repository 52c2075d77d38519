//! The servers of a service, and estimates of what loads and evictions cost there.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    CRASH_DELAY_MS,
    HORIZON_S,
    MAX_SPARE_CANDIDATES,
    MAX_STORE_LOADS,
    MIN_SPARE_GAIN_FACTOR,
    MIN_SPARE_GAIN_MS,
    MIN_STORE_LOAD_GAIN_MS,
    PRIOR_RATE_PER_S,
    eviction::indexed_evict,
    index::Index, //
};
use crate::{
    deployment::{
        Engine,
        Model, //
    },
    rank,
};

/// Expected fraction of a server's backlog that it loads before a model of that backlog.
const BACKLOG_AHEAD: f64 = 0.5;

/// Traffic of a model, summed over all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    /// Requests per second, averaged over a time in which even a rarely used model gets more than
    /// one request.
    pub per_s: f64,
    /// Requests per second, averaged over a short time, so that shifts of demand show quickly.
    pub recent_per_s: f64,
    /// Time that engines spend on prefill for the model, in ms per second, averaged over the same
    /// short time.
    pub prefill_ms: f64,
    /// Number of requests in flight at servers.
    pub in_flight: f64,
}

impl Rate {
    /// Returns the estimated delay in ms that other requests for the model cause to a request, if
    /// the model has `replicas` on engines with `slots` each.
    fn delay_ms(self, replicas: usize, slots: u32) -> f64 {
        self.prefill_delay_ms(replicas) + self.slot_delay_ms(replicas, slots)
    }

    /// Returns the fraction of the slots of `replicas` that requests in flight occupy.
    fn occupancy(self, replicas: usize, slots: u32) -> f64 {
        self.in_flight / (replicas as f64 * f64::from(slots.max(1)))
    }

    /// Returns the estimated wait of a request for a free slot, in ms.
    fn slot_delay_ms(self, replicas: usize, slots: u32) -> f64 {
        /// Occupancy above which requests wait for a slot. It is below 1 because requests are
        /// spread unevenly over the replicas.
        const MAX_OCCUPANCY: f64 = 0.7;
        /// Maximum of the estimate, in ms.
        const MAX_DELAY_MS: f64 = 3_000.0;
        let excess = self.occupancy(replicas, slots) - MAX_OCCUPANCY;
        if excess <= 0.0 || self.recent_per_s <= 0.0 {
            return 0.0;
        }
        // The mean time of a request at its server, by Little's law.
        let service_ms = 1_000.0 * self.in_flight / self.recent_per_s;
        (excess * service_ms).min(MAX_DELAY_MS)
    }

    /// Returns the estimated wait of a request for the prefill of other requests, in ms.
    fn prefill_delay_ms(self, replicas: usize) -> f64 {
        /// Fraction of the engines' time spent on prefill from which the delay is estimated as
        /// `MAX_DELAY_MS` times this fraction; the formula for lower fractions diverges near 1.
        const MAX_UTILIZATION: f64 = 0.95;
        /// Maximum of the estimate for lower fractions, in ms.
        const MAX_DELAY_MS: f64 = 3_000.0;
        let utilization = self.prefill_ms / 1_000.0 / replicas as f64;
        if utilization >= MAX_UTILIZATION || self.recent_per_s <= 0.0 {
            return if utilization >= MAX_UTILIZATION {
                MAX_DELAY_MS * utilization
            } else {
                0.0
            };
        }
        let per_request_ms = self.prefill_ms / self.recent_per_s;
        (per_request_ms * utilization / (1.0 - utilization)).min(MAX_DELAY_MS)
    }

    /// Returns the delay that one replica in addition to `replicas` saves each request, in ms.
    fn replica_gain_ms(self, replicas: usize, slots: u32) -> f64 {
        let crash_ms = if replicas == 1 { CRASH_DELAY_MS } else { 0.0 };
        self.delay_ms(replicas, slots) - self.delay_ms(replicas + 1, slots) + crash_ms
    }
}

/// A model in a server's accelerator memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resident {
    /// Number of requests for the model that run or are on their way to the server.
    pub in_flight: u32,
    /// Whether requests wait for the replica or for one of its adapters.
    pub wanted: bool,
    /// Memory that its adapters occupy, in MB.
    pub adapters_mb: f64,
}

/// An order that a server's engine is executing.
#[derive(Debug, Clone, PartialEq)]
pub struct CurrentOrder {
    /// Name of the model.
    pub model: String,
    /// Whether the order loads the model; otherwise it unloads it.
    pub is_load: bool,
    /// Estimated remaining time of the order, in ms.
    pub remaining_ms: f64,
}

/// The properties of a server that placement depends on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Host {
    /// Id of the server.
    pub id: String,
    /// Whether its loader is connected and takes requests for loads.
    pub reachable: bool,
    /// Whether its loader is not reachable but is expected back soon.
    pub expected: bool,
    /// Models in accelerator memory.
    pub resident: BTreeMap<String, Resident>,
    /// Models in main memory.
    pub in_memory: BTreeSet<String>,
    /// Models on the disk.
    pub on_disk: BTreeSet<String>,
    /// The order that its engine is executing.
    pub current_order: Option<CurrentOrder>,
    /// Total estimated time of the loads that requests wait for here and that have not started, in
    /// ms.
    pub backlog_ms: f64,
    /// Estimated delay that the requests waiting at the server cause to a new one, in ms.
    pub queue_ms: f64,
}

impl Host {
    /// Returns whether a model is resident and not being unloaded.
    pub fn holds(&self, model: &str) -> bool {
        self.resident.contains_key(model)
            && !self
                .current_order
                .as_ref()
                .is_some_and(|order| !order.is_load && order.model == model)
    }

    /// Returns whether a model is being loaded.
    pub fn is_loading(&self, model: &str) -> bool {
        let order = self.current_order.as_ref();
        order.is_some_and(|order| order.is_load && order.model == model)
    }

    /// Returns the duration of a load in ms, which depends on where the weights are.
    pub fn load_ms(&self, model: &Model) -> f64 {
        let time = if self.in_memory.contains(&model.name) {
            model.memory_load
        } else if self.on_disk.contains(&model.name) {
            model.disk_load
        } else {
            model.store_load
        };
        time.as_secs_f64() * 1_000.0
    }

    /// Returns whether a load would come from the weight store.
    pub fn loads_from_store(&self, model: &str) -> bool {
        !self.in_memory.contains(model) && !self.on_disk.contains(model)
    }
}

/// A server that could load a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Index of the server in the pool.
    pub host: usize,
    /// Estimated time until the model is resident, in ms.
    pub ready_ms: f64,
    /// `ready_ms` plus the delay that the load causes for other models, in ms.
    pub cost_ms: f64,
}

/// The servers of a service, the models on them and the request rates.
#[derive(Debug, Clone)]
pub struct Pool<'a> {
    /// Properties common to the engines of all servers.
    pub engine: &'a Engine,
    /// The servers.
    pub hosts: Vec<Host>,
    /// Observed traffic of each model.
    pub rates: BTreeMap<String, Rate>,
}

impl Pool<'_> {
    /// Returns the traffic of a model. Its rate includes the rate assumed for every model.
    pub fn rate(&self, model: &str) -> Rate {
        let mut rate = self.rates.get(model).copied().unwrap_or_default();
        rate.per_s += PRIOR_RATE_PER_S;
        rate
    }

    /// Returns the number of servers on which a model is resident or being loaded.
    pub fn replicas(&self, model: &str) -> usize {
        Index::new(&self.hosts).replicas(model)
    }

    /// Returns whether the requests in flight occupy all slots of a model's replicas.
    fn is_full(&self, index: &Index<'_>, model: &str) -> bool {
        let replicas = index.replicas(model).max(1);
        self.rate(model).occupancy(replicas, self.engine.slots) >= 1.0
    }

    /// Returns the delay that requests incur if the replica on `host` is evicted, in ms over
    /// [`HORIZON_S`](super::HORIZON_S) seconds.
    pub fn loss_ms(&self, model: &str, host: usize) -> f64 {
        self.indexed_loss_ms(&Index::new(&self.hosts), model, host)
    }

    pub(super) fn indexed_loss_ms(&self, index: &Index<'_>, model: &str, host: usize) -> f64 {
        let Some(model) = self.engine.model(model) else {
            return 0.0;
        };
        let rate = self.rate(&model.name);
        // What servers know of each other is up to a second old. If each relied on the others to
        // keep the model, all of them could evict a busy model at the same time. One server, of
        // several that hold the model, may therefore evict it.
        if index.is_last_holder(&model.name, host) {
            let others = index.replicas(&model.name).saturating_sub(1).max(1);
            return rate.recent_per_s * HORIZON_S * rate.replica_gain_ms(others, self.engine.slots);
        }
        // The weights stay on the server's disk, so a reload takes at most a load from the disk.
        let reload_ms = index.min_load_ms(model, Some(host));
        rate.per_s * HORIZON_S * reload_ms.min(model.disk_load.as_secs_f64() * 1_000.0)
    }

    /// Returns the delay that one more replica saves the requests for a model, in ms over
    /// [`HORIZON_S`](super::HORIZON_S) seconds.
    pub fn gain_ms(&self, model: &Model) -> f64 {
        self.indexed_gain_ms(&Index::new(&self.hosts), model)
    }

    fn indexed_gain_ms(&self, index: &Index<'_>, model: &Model) -> f64 {
        let rate = self.rate(&model.name);
        match index.replicas(&model.name) {
            0 => rate.per_s * HORIZON_S * index.min_load_ms(model, None),
            replicas => {
                rate.recent_per_s * HORIZON_S * rate.replica_gain_ms(replicas, self.engine.slots)
            }
        }
    }

    /// Returns the reachable servers that could load `model`, the lowest cost first.
    pub fn rank(&self, model: &str) -> Vec<Candidate> {
        self.indexed_rank(&Index::new(&self.hosts), model)
    }

    fn indexed_rank(&self, index: &Index<'_>, model: &str) -> Vec<Candidate> {
        let Some(model) = self.engine.model(model) else {
            return Vec::new();
        };
        let hosts = self.hosts.iter().enumerate();
        let by_weight = rank::order_by(&model.name, hosts, |(_, host)| host.id.as_str());
        let mut ranked: Vec<_> = by_weight
            .into_iter()
            .filter_map(|(host, _)| self.candidate(index, model, host))
            .collect();
        // The sort is stable: servers with equal costs stay in the order of their rendezvous
        // weights.
        ranked.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        ranked
    }

    fn candidate(&self, index: &Index<'_>, model: &Model, number: usize) -> Option<Candidate> {
        let host = &self.hosts[number];
        if !host.reachable || host.holds(&model.name) {
            return None;
        }
        if let Some(order) = host
            .current_order
            .as_ref()
            .filter(|_| host.is_loading(&model.name))
        {
            return Some(Candidate {
                host: number,
                ready_ms: order.remaining_ms,
                cost_ms: order.remaining_ms,
            });
        }
        let eviction = indexed_evict(self, index, number, model.weights_mb)?;
        let order_ms = host
            .current_order
            .as_ref()
            .map_or(0.0, |order| order.remaining_ms);
        let wait_ms = host.backlog_ms
            + host.queue_ms
            + eviction.wait_ms
            + Self::store_wait_ms(index, host, model);
        let ready_ms = order_ms + wait_ms + host.load_ms(model);
        Some(Candidate {
            host: number,
            ready_ms,
            cost_ms: ready_ms + eviction.cost_ms,
        })
    }

    /// Returns the estimated wait until a load from the weight store may start, in ms.
    fn store_wait_ms(index: &Index<'_>, host: &Host, model: &Model) -> f64 {
        if !host.loads_from_store(&model.name) {
            return 0.0;
        }
        let excess = (index.store_loads + 1).saturating_sub(MAX_STORE_LOADS);
        let load_ms = model.store_load.as_secs_f64() * 1_000.0;
        excess as f64 * load_ms / MAX_STORE_LOADS as f64
    }

    /// Returns whether the weight store has a free place for one more load. All loads share its
    /// bandwidth: with more of them, each only takes longer.
    pub fn may_load_from_store(&self) -> bool {
        Index::new(&self.hosts).store_loads < MAX_STORE_LOADS
    }

    /// Returns the estimated time until a model is loaded on a server at which requests wait for
    /// it, in ms.
    pub fn ready_ms(host: &Host, model: &Model) -> f64 {
        let order_ms = host
            .current_order
            .as_ref()
            .map_or(0.0, |order| order.remaining_ms);
        if host.holds(&model.name) {
            return 0.0;
        }
        if host.is_loading(&model.name) {
            return order_ms;
        }
        let load_ms = host.load_ms(model);
        // The server may load the model before others that requests wait for.
        order_ms + load_ms + (host.backlog_ms - load_ms).max(0.0) * BACKLOG_AHEAD
    }

    /// Returns whether a load from the weight store at `candidate` should be postponed because a
    /// server that is expected back soon has a copy of the weights.
    ///
    /// After a power failure the loaders become reachable one after the other within about a
    /// second. Loads from the store in that time use up its rate, which is needed for models that
    /// no server has a copy of.
    pub fn should_wait_for_copy(&self, model: &str, candidate: &Candidate) -> bool {
        let from_store = self.hosts[candidate.host].loads_from_store(model);
        let mut expected = self.hosts.iter().filter(|host| host.expected);
        from_store && expected.any(|host| !host.loads_from_store(model))
    }

    /// Returns the spare replica that a server should load, if any, and its net gain in ms. A spare
    /// replica is one that no request waits for.
    ///
    /// Every server runs the same assignment: each model, in order of gain, goes to the server with
    /// the lowest cost. Servers with the same data therefore neither load a model twice nor leave
    /// one to a server that has other models to load. State that only the server itself knows is
    /// left out of the assignment. Otherwise each server would see running requests only on itself
    /// and leave the load to the others. This state decides only whether the load is worth its cost
    /// on this server.
    pub fn spare_replica(&self, host: usize) -> Option<(&Model, f64)> {
        let index = Index::new(&self.hosts);
        let mut planned = self.without_local_state();
        // The plan changes neither where models and weights are nor which orders are in progress.
        let shared = planned.clone();
        let shared_index = Index::new(&shared.hosts);
        let mut store_loads = index.store_loads;
        for (model, gain_ms) in self.spare_candidates(&index) {
            let ranked = planned.indexed_rank(&shared_index, &model.name);
            let Some(best) = ranked.into_iter().next() else {
                continue;
            };
            let from_store = planned.hosts[best.host].loads_from_store(&model.name);
            let is_first = index.replicas(&model.name) == 0;
            let store_ms = if from_store && !is_first {
                MIN_STORE_LOAD_GAIN_MS
            } else {
                0.0
            };
            let eviction_ms = best.cost_ms - best.ready_ms;
            if gain_ms < MIN_SPARE_GAIN_FACTOR * eviction_ms + store_ms + MIN_SPARE_GAIN_MS {
                continue;
            }
            // Unless the other replicas are full, a further one is loaded only while no other load
            // uses the store: all loads share its bandwidth, and models without a replica need it
            // first.
            let is_urgent = is_first || self.is_full(&index, &model.name);
            let max_loads = if is_urgent { MAX_STORE_LOADS } else { 1 };
            if from_store && store_loads >= max_loads {
                continue;
            }
            store_loads += usize::from(from_store);
            if best.host == host
                && let Some(local) = indexed_evict(self, &index, host, model.weights_mb)
            {
                let net_gain_ms =
                    gain_ms - MIN_SPARE_GAIN_FACTOR * (local.cost_ms + local.wait_ms) - store_ms;
                if net_gain_ms >= MIN_SPARE_GAIN_MS {
                    return Some((model, net_gain_ms));
                }
            }
            planned.hosts[best.host].backlog_ms += best.ready_ms;
        }
        None
    }

    /// Returns the pool without the state that each server knows only of itself.
    fn without_local_state(&self) -> Self {
        let mut shared = self.clone();
        for host in &mut shared.hosts {
            host.backlog_ms = 0.0;
            host.queue_ms = 0.0;
            host.resident.values_mut().for_each(|resident| {
                *resident = Resident::default();
            });
        }
        shared
    }

    /// Returns the models that gain most from one more replica, with the gain in ms.
    fn spare_candidates(&self, index: &Index<'_>) -> Vec<(&Model, f64)> {
        let models = self.engine.models.iter();
        let is_loading = |model: &Model| index.is_loading(&model.name);
        let mut candidates: Vec<_> = models
            .map(|model| (model, self.indexed_gain_ms(index, model)))
            .filter(|(model, gain_ms)| *gain_ms >= MIN_SPARE_GAIN_MS && !is_loading(model))
            .collect();
        // The sort is stable: models with equal gains stay in the order of their names.
        candidates.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        candidates.truncate(MAX_SPARE_CANDIDATES);
        candidates
    }
}

//! The servers of a service and what they hold.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    CRASH_MS,
    HORIZON_S,
    MOST_SPARE,
    MOST_STORE_LOADS,
    PRIOR_RATE,
    SPARE_FACTOR,
    SPARE_GAIN_MS,
    STORE_LOAD_MS,
    evict, //
};
use crate::{
    deployment::{
        Engine,
        Model, //
    },
    rank,
};

/// What is asked of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    /// Requests a second over a time in which rarely used models are asked for more than once.
    pub per_s: f64,
    /// Requests a second over a short time, which shows a shift of demand.
    pub recent_per_s: f64,
    /// Time that engines read prompts for them over the same short time, in ms a second.
    pub reading_ms: f64,
    /// Requests at servers.
    pub in_flight: f64,
}

impl Rate {
    /// Returns the delay of a request behind others with `replicas` on engines of so many slots, in
    /// ms.
    fn delay_ms(self, replicas: usize, slots: u32) -> f64 {
        self.reading_delay_ms(replicas) + self.slot_delay_ms(replicas, slots)
    }

    /// Returns the part of the slots of `replicas` that the requests occupy.
    fn occupancy(self, replicas: usize, slots: u32) -> f64 {
        self.in_flight / (replicas as f64 * f64::from(slots.max(1)))
    }

    /// Returns the delay of a request for which no slot is free, in ms.
    fn slot_delay_ms(self, replicas: usize, slots: u32) -> f64 {
        /// Occupancy from which requests wait: they spread unevenly over the replicas.
        const FULL: f64 = 0.7;
        const LONGEST_MS: f64 = 3_000.0;
        let over = self.occupancy(replicas, slots) - FULL;
        if over <= 0.0 || self.recent_per_s <= 0.0 {
            return 0.0;
        }
        // By Little's law, the mean time of a request at its server.
        let run_ms = 1_000.0 * self.in_flight / self.recent_per_s;
        (over * run_ms).min(LONGEST_MS)
    }

    /// Returns the delay of a request behind the prompts of others with `replicas`, in ms.
    fn reading_delay_ms(self, replicas: usize) -> f64 {
        /// Share of an engine's time from which the delay counts as the longest.
        const FULL: f64 = 0.95;
        const LONGEST_MS: f64 = 3_000.0;
        let share = self.reading_ms / 1_000.0 / replicas as f64;
        if share >= FULL || self.recent_per_s <= 0.0 {
            return if share >= FULL {
                LONGEST_MS * share
            } else {
                0.0
            };
        }
        let each_ms = self.reading_ms / self.recent_per_s;
        (each_ms * share / (1.0 - share)).min(LONGEST_MS)
    }

    /// Returns what one more replica than `replicas` saves each request, in ms.
    fn spread_ms(self, replicas: usize, slots: u32) -> f64 {
        let crash_ms = if replicas == 1 { CRASH_MS } else { 0.0 };
        self.delay_ms(replicas, slots) - self.delay_ms(replicas + 1, slots) + crash_ms
    }
}

/// A model in a server's accelerator memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resident {
    /// Requests that run or are on their way.
    pub in_use: u32,
    /// Whether requests wait for this replica or one of its adapters.
    pub wanted: bool,
    /// Memory of its adapters in MB.
    pub adapters_mb: f64,
}

/// An order that a server carries out.
#[derive(Debug, Clone, PartialEq)]
pub struct Busy {
    /// Model that the order concerns.
    pub model: String,
    /// Whether the order loads it; otherwise it unloads it.
    pub is_load: bool,
    /// Time until the order is expected to be complete, in ms.
    pub remaining_ms: f64,
}

/// A server as far as placement is concerned.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Host {
    /// Id of the server.
    pub id: String,
    /// Whether its agent takes wishes for loads.
    pub reachable: bool,
    /// Whether its agent is not reachable, but expected to be soon.
    pub expected: bool,
    /// Models in accelerator memory.
    pub resident: BTreeMap<String, Resident>,
    /// Models in main memory.
    pub in_memory: BTreeSet<String>,
    /// Models on the disk.
    pub on_disk: BTreeSet<String>,
    /// The order under way.
    pub busy: Option<Busy>,
    /// Time of the loads that are wanted here and not begun, in ms.
    pub backlog_ms: f64,
    /// Delay of a request behind others that the server runs or queues, in ms.
    pub queue_ms: f64,
}

impl Host {
    /// Returns whether a model is resident and not being unloaded.
    pub fn holds(&self, model: &str) -> bool {
        self.resident.contains_key(model)
            && !self
                .busy
                .as_ref()
                .is_some_and(|busy| !busy.is_load && busy.model == model)
    }

    /// Returns whether a model is being loaded.
    pub fn is_loading(&self, model: &str) -> bool {
        let busy = self.busy.as_ref();
        busy.is_some_and(|busy| busy.is_load && busy.model == model)
    }

    /// Returns the time of a load in ms, by where the weights are.
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
    /// Time until the model is expected to be resident, in ms.
    pub ready_ms: f64,
    /// That time and the delays that the load causes for other models, in ms.
    pub cost_ms: f64,
}

/// The servers of a service, what they hold and what is asked of them.
#[derive(Debug, Clone)]
pub struct Pool<'a> {
    /// What the engines have in common.
    pub engine: &'a Engine,
    /// The servers.
    pub hosts: Vec<Host>,
    /// What is asked of each model.
    pub rates: BTreeMap<String, Rate>,
}

impl Pool<'_> {
    /// Returns what is asked of a model, at least the rate that is assumed of each.
    pub fn rate(&self, model: &str) -> Rate {
        let mut rate = self.rates.get(model).copied().unwrap_or_default();
        rate.per_s += PRIOR_RATE;
        rate
    }

    /// Returns the number of servers that hold a model or load it.
    pub fn replicas(&self, model: &str) -> usize {
        let hosts = self.hosts.iter();
        hosts
            .filter(|host| host.holds(model) || host.is_loading(model))
            .count()
    }

    /// Returns whether requests occupy all slots of a model's replicas.
    fn is_full(&self, model: &str) -> bool {
        let replicas = self.replicas(model).max(1);
        self.rate(model).occupancy(replicas, self.engine.slots) >= 1.0
    }

    /// Returns the shortest time of a load over all servers but one, in ms.
    fn shortest_load_ms(&self, model: &Model, except: Option<usize>) -> f64 {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(index, host)| host.reachable && Some(*index) != except)
            .map(|(_, host)| host.load_ms(model))
            .fold(model.store_load.as_secs_f64() * 1_000.0, f64::min)
    }

    /// Returns whether this server is the one of several holders of a model that may drop it.
    ///
    /// The holders' facts about each other are a second old. Were each to count on the others, all
    /// of them could drop a busy model at the same time.
    fn is_dispensable(&self, model: &str, host: usize) -> bool {
        let hosts = self.hosts.iter();
        let holders = hosts
            .filter(|host| host.holds(model))
            .map(|host| host.id.as_str());
        let ranked = rank::order(model, holders);
        ranked.len() > 1 && ranked.last() == Some(&self.hosts[host].id.as_str())
    }

    /// Returns the delay that one replica fewer causes, in ms.
    pub fn loss_ms(&self, model: &str, host: usize) -> f64 {
        let Some(model) = self.engine.model(model) else {
            return 0.0;
        };
        let rate = self.rate(&model.name);
        if self.is_dispensable(&model.name, host) {
            let others = self.replicas(&model.name).saturating_sub(1).max(1);
            return rate.recent_per_s * HORIZON_S * rate.spread_ms(others, self.engine.slots);
        }
        // The evicted copy stays on the disk of its server.
        let reload_ms = self.shortest_load_ms(model, Some(host));
        rate.per_s * HORIZON_S * reload_ms.min(model.disk_load.as_secs_f64() * 1_000.0)
    }

    /// Returns the delay that one more replica saves, in ms.
    pub fn gain_ms(&self, model: &Model) -> f64 {
        let rate = self.rate(&model.name);
        match self.replicas(&model.name) {
            0 => rate.per_s * HORIZON_S * self.shortest_load_ms(model, None),
            replicas => rate.recent_per_s * HORIZON_S * rate.spread_ms(replicas, self.engine.slots),
        }
    }

    /// Ranks the reachable servers by what a load of `model` costs there.
    pub fn rank(&self, model: &str) -> Vec<Candidate> {
        let Some(model) = self.engine.model(model) else {
            return Vec::new();
        };
        let hosts = self.hosts.iter().enumerate();
        let by_weight = rank::order_by(&model.name, hosts, |(_, host)| host.id.as_str());
        let mut ranked: Vec<_> = by_weight
            .into_iter()
            .filter_map(|(index, _)| self.candidate(model, index))
            .collect();
        // The sort is stable: equal costs stay in the order of the rendezvous weights.
        ranked.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        ranked
    }

    fn candidate(&self, model: &Model, index: usize) -> Option<Candidate> {
        let host = &self.hosts[index];
        if !host.reachable || host.holds(&model.name) {
            return None;
        }
        if let Some(busy) = host.busy.as_ref().filter(|_| host.is_loading(&model.name)) {
            return Some(Candidate {
                host: index,
                ready_ms: busy.remaining_ms,
                cost_ms: busy.remaining_ms,
            });
        }
        let eviction = evict(self, index, model.weights_mb)?;
        let order_ms = host.busy.as_ref().map_or(0.0, |busy| busy.remaining_ms);
        let wait_ms = host.backlog_ms + host.queue_ms + eviction.wait_ms;
        let ready_ms = order_ms + wait_ms + host.load_ms(model);
        Some(Candidate {
            host: index,
            ready_ms,
            cost_ms: ready_ms + eviction.cost_ms,
        })
    }

    /// Returns whether a load from the weight store at a candidate should wait, since a server that
    /// is expected soon has the weights.
    ///
    /// After a loss of power the agents come back one after the other. Loads from the store in that
    /// second take the store's rate from models of which no server has a copy.
    pub fn awaits_copy(&self, model: &str, candidate: &Candidate) -> bool {
        let from_store = self.hosts[candidate.host].loads_from_store(model);
        let mut expected = self.hosts.iter().filter(|host| host.expected);
        from_store && expected.any(|host| !host.loads_from_store(model))
    }

    /// Returns the model that a server should load although nobody waits for it, if any, and what
    /// that gains beyond its costs in ms.
    ///
    /// All servers are given models in the same order, each the model that it loads at the least
    /// cost; so servers with the same facts neither load a model twice nor leave one to a server
    /// that is busy with others. What only a server itself knows has no part in the choice of the
    /// place: its own running requests would make each server leave the load to the others. It
    /// decides only whether the load is worth it there.
    pub fn spare(&self, host: usize) -> Option<(&Model, f64)> {
        let mut planned = self.without_own_facts();
        let mut store_loads = self.store_loads();
        for (model, gain_ms) in self.wanting() {
            let Some(best) = planned.rank(&model.name).into_iter().next() else {
                continue;
            };
            let from_store = planned.hosts[best.host].loads_from_store(&model.name);
            let is_first = self.replicas(&model.name) == 0;
            let store_ms = if from_store && !is_first {
                STORE_LOAD_MS
            } else {
                0.0
            };
            let eviction_ms = best.cost_ms - best.ready_ms;
            if gain_ms < SPARE_FACTOR * eviction_ms + store_ms + SPARE_GAIN_MS {
                continue;
            }
            // A further replica waits until the store has nothing else to do, unless the others
            // are full: all loads share its bandwidth, and models without a replica need it first.
            let is_urgent = is_first || self.is_full(&model.name);
            let most = if is_urgent { MOST_STORE_LOADS } else { 1 };
            if from_store && store_loads >= most {
                continue;
            }
            store_loads += usize::from(from_store);
            if best.host == host
                && let Some(own) = evict(self, host, model.weights_mb)
            {
                let net_ms = gain_ms - SPARE_FACTOR * (own.cost_ms + own.wait_ms) - store_ms;
                if net_ms >= SPARE_GAIN_MS {
                    return Some((model, net_ms));
                }
            }
            planned.hosts[best.host].backlog_ms += best.ready_ms;
        }
        None
    }

    /// Returns the pool without what servers know of themselves only.
    fn without_own_facts(&self) -> Self {
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

    /// Returns the number of loads from the weight store under way.
    fn store_loads(&self) -> usize {
        let hosts = self.hosts.iter();
        let loading = hosts.filter(|host| {
            let busy = host.busy.as_ref().filter(|busy| busy.is_load);
            busy.is_some_and(|busy| host.loads_from_store(&busy.model))
        });
        loading.count()
    }

    /// Returns the models that gain most by one more replica, with their gain in ms.
    fn wanting(&self) -> Vec<(&Model, f64)> {
        let models = self.engine.models.iter();
        let is_loading = |model: &Model| self.hosts.iter().any(|h| h.is_loading(&model.name));
        let mut wanting: Vec<_> = models
            .map(|model| (model, self.gain_ms(model)))
            .filter(|(model, gain_ms)| *gain_ms >= SPARE_GAIN_MS && !is_loading(model))
            .collect();
        // The sort is stable, so equal gains stay in the order of the names.
        wanting.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        wanting.truncate(MOST_SPARE);
        wanting
    }
}

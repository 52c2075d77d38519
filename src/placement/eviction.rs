//! Chooses the models to evict when a server's accelerator memory lacks space for another one.

use super::{
    Pool,
    UNLOAD_DELAY_MS,
    index::Index, //
};

/// Models to unload to free memory, and the cost of this.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Eviction {
    /// Models to unload, the lowest cost per MB first.
    pub victims: Vec<String>,
    /// Total estimated delay caused by the unloads, in ms.
    pub cost_ms: f64,
    /// Estimated time until the victims' running requests have ended, in ms.
    pub wait_ms: f64,
}

/// Returns models whose unload leaves `need_mb` free on a server, chosen by the lowest cost per MB.
///
/// Models that requests wait for are never unloaded. Returns `None` if unloading all others does
/// not free enough memory.
pub fn evict(pool: &Pool<'_>, host: usize, need_mb: f64) -> Option<Eviction> {
    indexed_evict(pool, &Index::new(&pool.hosts), host, need_mb)
}

pub(super) fn indexed_evict(
    pool: &Pool<'_>,
    index: &Index<'_>,
    host: usize,
    need_mb: f64,
) -> Option<Eviction> {
    let mut free_mb = free_mb(pool, host);
    if free_mb >= need_mb {
        return Some(Eviction::default());
    }
    let mut victims: Vec<(String, f64, f64)> = Vec::new();
    for (name, mb, cost_ms) in eviction_candidates(pool, index, host) {
        if free_mb >= need_mb {
            break;
        }
        free_mb += mb;
        victims.push((name, mb, cost_ms));
    }
    if free_mb < need_mb {
        return None;
    }
    // A later, larger victim can make an earlier, smaller one unnecessary.
    let mut needed = Vec::new();
    for (name, mb, cost_ms) in victims {
        if free_mb - mb >= need_mb {
            free_mb -= mb;
        } else {
            needed.push((name, cost_ms));
        }
    }
    let is_in_use = |name: &String| pool.hosts[host].resident[name].in_flight > 0;
    let wait_ms = if needed.iter().any(|(name, _)| is_in_use(name)) {
        UNLOAD_DELAY_MS
    } else {
        0.0
    };
    Some(Eviction {
        cost_ms: needed.iter().map(|(_, cost_ms)| cost_ms).sum(),
        wait_ms,
        victims: needed.into_iter().map(|(name, _)| name).collect(),
    })
}

/// Returns the accelerator memory in MB that is left by the resident models, their adapters and a
/// model that is being loaded.
pub fn free_mb(pool: &Pool<'_>, host: usize) -> f64 {
    let host = &pool.hosts[host];
    let mut free_mb = pool.engine.memory_mb;
    for (name, resident) in &host.resident {
        let weights_mb = pool
            .engine
            .model(name)
            .map_or(0.0, |model| model.weights_mb);
        free_mb -= weights_mb + resident.adapters_mb;
    }
    let loading = host.current_order.as_ref().filter(|order| order.is_load);
    if let Some(order) = loading.filter(|order| !host.resident.contains_key(&order.model)) {
        let model = pool.engine.model(&order.model);
        free_mb -= model.map_or(0.0, |model| model.weights_mb);
    }
    free_mb
}

/// Returns the models that may be unloaded, with their size in MB and their cost in ms, the lowest
/// cost per MB first.
fn eviction_candidates(pool: &Pool<'_>, index: &Index<'_>, host: usize) -> Vec<(String, f64, f64)> {
    let residents = pool.hosts[host].resident.iter();
    let mut candidates: Vec<_> = residents
        .filter(|(_, resident)| !resident.wanted)
        .map(|(name, resident)| {
            let weights_mb = pool
                .engine
                .model(name)
                .map_or(1.0, |model| model.weights_mb);
            let running_ms = f64::from(resident.in_flight.min(1)) * UNLOAD_DELAY_MS;
            let cost_ms = pool.indexed_loss_ms(index, name, host) + running_ms;
            (name.clone(), weights_mb + resident.adapters_mb, cost_ms)
        })
        .collect();
    candidates.sort_by(|a, b| (a.2 / a.1).total_cmp(&(b.2 / b.1)));
    candidates
}

//! What a small system consists of.

use super::super::Deployment;

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent.
    pub engines: usize,
    /// Number of backend servers of the plain service, each with an agent.
    pub services: usize,
    /// Accelerator memory of each engine in MiB.
    pub memory_mb: u64,
    /// Time between tokens of an engine in milliseconds.
    pub token_interval_ms: u64,
    /// Completions that an engine runs at once.
    pub max_running: u32,
    /// Whether the engines refuse orders with an old fencing number.
    pub checks_fence: bool,
    /// Bytes a second that the weight store sends at full speed.
    pub store_bytes_per_s: u64,
    /// Seconds for which the log keeps records.
    pub log_retention_s: u64,
    /// Whether the bytes between daemons and the log and list are counted.
    pub metered: bool,
}

impl Plan {
    /// Returns a plan with two entries, two engines and one plain service.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            entries: 2,
            engines: 2,
            services: 1,
            memory_mb: 40_000,
            token_interval_ms: 20,
            max_running: 8,
            checks_fence: true,
            store_bytes_per_s: 20 << 30,
            log_retention_s: 86_400,
            metered: false,
        }
    }
}

//! Settings of a daemon on the users' platform, in JSON with comments.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::Path,
    time::Duration,
};

use serde::Deserialize;

use super::schema;
use crate::{
    deployment::Allowance,
    jsonc::Document,
    settings::Findings, //
};

/// Addresses on which a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for clients.
    pub callers: SocketAddr,
    /// Address on which the load balancer polls whether the gateway is ready.
    pub ready: SocketAddr,
}

/// Retry budget of all gateways together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Number of additional retries allowed in each window.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_ms: f64,
}

/// What is tolerated beyond the allowances of client accounts, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Excess {
    /// Part of what an account may use in a window.
    pub ratio: f64,
    /// Units in a window in addition.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_ms: f64,
}

impl Excess {
    /// Part of what is tolerated that accounts may use. The rest is for what gateways admit before
    /// they have heard of each other.
    const USED_FRACTION: f64 = 0.1;

    /// Returns an allowance with the part of the excess that its account may use. Requests come in by
    /// chance: a sound account needs more than the burst of a small one now and then.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::{Allowance, Unit};
    /// use chestnuthub::hosted::Excess;
    ///
    /// let excess = Excess { ratio: 0.1, slack: 20.0, window_ms: 8_000.0 };
    /// let allowance = Allowance { per_s: 20.0, burst: 40.0, unit: Unit::Requests };
    /// assert_eq!(excess.added_to(allowance).burst, 44.0);
    /// ```
    pub fn added_to(&self, allowance: Allowance) -> Allowance {
        let in_window = allowance.in_window(millis(self.window_ms));
        allowance.with_excess(Self::USED_FRACTION * (self.ratio * in_window + self.slack))
    }
}

/// How withdrawn keys of client accounts are treated while the store does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revocation {
    /// Whether no key is accepted once the store has not answered for `after_ms`.
    pub strict: bool,
    /// Time within which a withdrawn key is no longer accepted, in milliseconds.
    pub after_ms: f64,
}

/// Settings of a daemon on the users' platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Regions by failure domain.
    pub regions: BTreeMap<String, String>,
    /// Address of this instance.
    pub peer_ip: IpAddr,
    /// Port on which loaders listen for gateways; the same on all instances.
    pub peer_port: u16,
    /// Port on which metrics are served.
    pub metrics_port: u16,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Addresses on which a gateway listens.
    pub listen: Option<Listen>,
    /// Address of the engine beside a loader.
    pub engine_addr: Option<SocketAddr>,
    /// Time from the stop signal until the process is killed, in milliseconds.
    pub grace_ms: f64,
    /// Retry budget of all gateways together.
    pub retry: Retry,
    /// Window over which the rate of loads from the weight store is limited, in milliseconds.
    pub store_load_window_ms: f64,
    /// Time for which a server continues to run after it announces that it leaves, in milliseconds.
    pub server_drain_ms: f64,
    /// Time from the end of a disruption until all bounds hold again, in milliseconds.
    pub settled_after_ms: f64,
    /// How withdrawn keys of client accounts are treated while the store does not answer.
    pub revocation: Option<Revocation>,
    /// What is tolerated beyond the allowances of client accounts.
    pub excess: Option<Excess>,
    /// Whether the whole system starts for the first time: no request was served before.
    #[serde(default, rename = "first_start")]
    pub is_first_start: bool,
    /// Log level: error, warn, info or debug.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the file, with the positions.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        Document::read(path)?.decode(&schema::SETTINGS)
    }

    /// Decodes settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the text, with the positions in `file`.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::hosted::Settings;
    ///
    /// let findings = Settings::parse("node.jsonc", "[]").unwrap_err();
    /// let expected = "node.jsonc:1:1: must be an object, not a list";
    /// assert_eq!(findings.to_string(), expected);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        Document::new(file, text).decode(&schema::SETTINGS)
    }

    /// Returns the address on which a loader listens for gateways.
    pub(crate) fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.peer_ip, self.peer_port)
    }

    /// Returns the address on which metrics are served.
    pub(crate) fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.peer_ip, self.metrics_port)
    }

    /// Returns the time from the stop signal until the process is killed.
    pub(crate) fn grace(&self) -> Duration {
        millis(self.grace_ms)
    }

    /// Returns the window over which the rate of loads from the weight store is limited.
    pub(crate) fn store_load_window(&self) -> Duration {
        millis(self.store_load_window_ms)
    }

    /// Returns the time for which a server continues to run after it announces that it leaves.
    pub(crate) fn server_drain(&self) -> Duration {
        millis(self.server_drain_ms)
    }

    /// Returns the interval at which a process that reads the list of servers for others does so.
    pub(crate) fn listing_interval(&self) -> Duration {
        /// Fraction of the time for which a server keeps serving after it has announced that it
        /// leaves. It is below 1 so that the list is read again before the server stops serving.
        const INTERVAL_FRACTION: f64 = 0.4;
        self.server_drain().mul_f64(INTERVAL_FRACTION)
    }

    /// Returns the age of the list of servers at which a gateway reads it itself, because it gets
    /// none from a hub.
    pub(crate) fn gateway_listing_age(&self) -> Duration {
        /// Time for a list to arrive that another process has read.
        const DELIVERY_TIME: Duration = Duration::from_millis(400);
        self.listing_interval() + DELIVERY_TIME
    }

    /// Returns the time after which all gateways know of a server that this one has read of.
    pub(crate) fn listing_spread(&self) -> Duration {
        /// Time for a read of the list that is delayed or repeated.
        const READ_TIME: Duration = Duration::from_millis(1_000);
        self.gateway_listing_age() + READ_TIME
    }

    /// Returns the age of the list of servers at which a loader reads it itself, because it gets
    /// none from a hub.
    pub(crate) fn loader_listing_age(&self) -> Duration {
        /// Time for a list to arrive that another process has read. Loaders get it with the hub's
        /// next heartbeat.
        const DELIVERY_TIME: Duration = Duration::from_millis(1_800);
        self.listing_interval() + DELIVERY_TIME
    }

    /// Returns the time from the end of a disruption until all bounds hold again.
    pub(crate) fn settled_after(&self) -> Duration {
        millis(self.settled_after_ms)
    }

    /// Returns the time without an answer of the store after which no key of a client account is
    /// accepted, if there is such a time.
    pub(crate) fn strict_revocation(&self) -> Option<Duration> {
        let strict = self.revocation.filter(|revocation| revocation.strict);
        strict.map(|revocation| millis(revocation.after_ms))
    }

    /// Returns the time within which a new version of the configuration is in force after a
    /// disruption.
    pub(crate) fn configuration_bound(&self) -> Duration {
        let settled_after = self.settled_after();
        let strict = self.strict_revocation();
        strict.map_or(settled_after, |bound| bound.min(settled_after))
    }

    /// Returns the time after its start in which a gateway does not accept keys on a version of the
    /// configuration that is older than one that others have had in force.
    pub(crate) fn revival(&self) -> Duration {
        /// Times to settle: one until the store responds again, one until what it lost is written
        /// again and read.
        const SETTLINGS: u32 = 2;
        self.settled_after() * SETTLINGS
    }

    /// Returns the length of the window of the retry budget.
    pub(crate) fn retry_window(&self) -> Duration {
        millis(self.retry.window_ms)
    }

    /// Returns the estimated round-trip time to a failure domain.
    pub(crate) fn round_trip(&self, failure_domain: &str) -> Duration {
        /// Estimated round-trip time between instances of one failure domain.
        const WITHIN_DOMAIN: Duration = Duration::from_micros(200);
        /// Estimated round-trip time between failure domains of one region.
        const WITHIN_REGION: Duration = Duration::from_millis(3);
        /// Estimated round-trip time between regions.
        const BETWEEN_REGIONS: Duration = Duration::from_millis(45);
        let region = |domain: &str| self.regions.get(domain);
        if failure_domain == self.failure_domain {
            WITHIN_DOMAIN
        } else if region(failure_domain) == region(&self.failure_domain) {
            WITHIN_REGION
        } else {
            BETWEEN_REGIONS
        }
    }
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

//! Checks that the values of items are within their ranges.

use super::{
    Access,
    Adapter,
    Call,
    Institution,
    Item,
    Model,
    Service,
    note::Finding, //
};
use crate::jsonc::text;

/// Maximum memory or checkpoint size of one item in MiB (16 TiB).
const MAX_MEMORY_MB: u64 = 16 << 20;

/// Maximum number of slots of a model version.
const MAX_REPLICAS: u32 = 10_000;

/// Maximum request rate of an institution at one target, in requests per second.
const MAX_RATE: f64 = 1_000_000.0;

/// Maximum weight of cold-start time or idle accelerator time.
const MAX_WEIGHT: f64 = 1_000_000.0;

/// Adds a finding for each value of the item at `path` that is out of range.
pub(super) fn check(item: &Item, path: &str, findings: &mut Vec<Finding>) {
    let mut check = Check { path, findings };
    match item {
        Item::Model(model) => check.model(model),
        Item::Adapter(adapter) => check.adapter(adapter),
        Item::Service(service) => check.service(service),
        Item::Institution(institution) => check.institution(institution),
        Item::Access(access) => check.access(access),
    }
}

#[derive(Debug)]
struct Check<'a> {
    path: &'a str,
    findings: &'a mut Vec<Finding>,
}

impl Check<'_> {
    fn require(&mut self, holds: bool, field: &str, message: impl Into<String>) {
        if !holds {
            let path = format!("{}.{field}", self.path);
            self.findings.push(Finding::new(path, message));
        }
    }

    fn name(&mut self, field: &str, name: &str) {
        if let Err(message) = text::name(name) {
            self.require(false, field, message);
        }
    }

    fn memory(&mut self, field: &str, memory_mb: u64) {
        self.require(
            (1..=MAX_MEMORY_MB).contains(&memory_mb),
            field,
            format!("must be from 1 to {MAX_MEMORY_MB}"),
        );
    }

    fn stale_limit(&mut self, limit: Option<u64>) {
        self.require(limit != Some(0), "stale_limit_s", "must be at least 1");
    }

    fn number(&mut self, field: &str, number: f64, maximum: f64) {
        self.require(
            (0.0..=maximum).contains(&number),
            field,
            format!("must be from 0 to {maximum}"),
        );
    }

    fn model(&mut self, model: &Model) {
        self.name("name", &model.name);
        self.require(model.version > 0, "version", "must be at least 1");
        self.name("pool", model.pool.as_str());
        self.memory("memory_mb", model.memory_mb);
        self.memory("checkpoint_mb", model.checkpoint_mb);
        self.require(
            (1..=MAX_REPLICAS).contains(&model.max_replicas),
            "max_replicas",
            format!("must be from 1 to {MAX_REPLICAS}"),
        );
        self.require(
            model.home_slots <= model.max_replicas,
            "home_slots",
            format!(
                "must be at most max_replicas, {}, and is {} here",
                model.max_replicas, model.home_slots
            ),
        );
        self.stale_limit(model.stale_limit_s);
    }

    fn adapter(&mut self, adapter: &Adapter) {
        self.name("name", adapter.name.as_str());
        self.memory("memory_mb", adapter.memory_mb);
    }

    fn service(&mut self, service: &Service) {
        self.name("name", service.name.as_str());
        self.name("pool", service.pool.as_str());
        self.stale_limit(service.stale_limit_s);
        for (index, call) in service.non_idempotent.iter().enumerate() {
            self.call(index, call);
            let repeated = service.non_idempotent[..index].contains(call);
            let field = format!("non_idempotent[{index}]");
            self.require(!repeated, &field, "is given more than once");
        }
    }

    fn call(&mut self, index: usize, call: &Call) {
        let upper = |c: char| c.is_ascii_uppercase();
        self.require(
            !call.method.is_empty() && call.method.chars().all(upper),
            &format!("non_idempotent[{index}].method"),
            "must be an HTTP method in upper case",
        );
        let plain = |c: char| c.is_ascii_graphic() && c != '?' && c != '#';
        self.require(
            call.path.starts_with('/') && call.path.chars().all(plain),
            &format!("non_idempotent[{index}].path"),
            "must begin with '/' and hold no query",
        );
    }

    fn institution(&mut self, institution: &Institution) {
        self.name("name", institution.name.as_str());
        let (cold, idle) = (institution.cold_start_weight, institution.idle_hour_weight);
        self.number("cold_start_weight", cold, MAX_WEIGHT);
        self.number("idle_hour_weight", idle, MAX_WEIGHT);
    }

    fn access(&mut self, access: &Access) {
        let at_least_one = "must be at least 1";
        self.require(access.max_in_flight > 0, "max_in_flight", at_least_one);
        let rate = access.requests_per_s;
        self.number("requests_per_s", rate, MAX_RATE);
        self.require(rate != 0.0, "requests_per_s", "must be greater than 0");
    }
}

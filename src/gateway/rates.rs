//! Traffic of each model at this gateway.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
};

use crate::{
    dispatch::PREFILL_TOKENS_PER_MS,
    link::{
        RATE_TIME_CONSTANT_S,
        RECENT_TIME_CONSTANT_S,
        Traffic, //
    },
    timer::Time,
};

/// Rate in requests per second below which a model without requests in flight is removed. The rate
/// after a single request decays to this within about a minute.
const MIN_RATE: f32 = 0.0005;

/// Traffic of a model at the time of its newest change; its rates decay from then on.
#[derive(Debug)]
struct Entry {
    traffic: Traffic,
    at: Time,
    /// Number of this change in the sequence of the changes of all models.
    number: u64,
}

impl Entry {
    fn at(&self, now: Time) -> Traffic {
        self.traffic.after(now - self.at)
    }
}

/// Traffic of each model at this gateway.
#[derive(Debug, Default)]
pub(super) struct Rates {
    entries: RefCell<BTreeMap<String, Entry>>,
    newest: Cell<u64>,
}

impl Rates {
    /// Counts a request for a model.
    pub(super) fn record_request(&self, model: &str, now: Time) {
        self.update(model, now, |traffic| {
            traffic.per_s += (1.0 / RATE_TIME_CONSTANT_S) as f32;
            traffic.recent_per_s += (1.0 / RECENT_TIME_CONSTANT_S) as f32;
        });
    }

    /// Counts a request that is sent to a server, and the prompt tokens that the server must
    /// process.
    pub(super) fn record_send(&self, model: &str, tokens: u64, now: Time) {
        let prefill_ms = tokens as f64 / PREFILL_TOKENS_PER_MS;
        self.update(model, now, |traffic| {
            traffic.prefill_ms += (prefill_ms / RECENT_TIME_CONSTANT_S) as f32;
            traffic.in_flight += 1;
        });
    }

    /// Counts the end of a request at a server.
    pub(super) fn record_end(&self, model: &str, now: Time) {
        self.update(model, now, |traffic| {
            traffic.in_flight = traffic.in_flight.saturating_sub(1);
        });
    }

    fn update(&self, model: &str, now: Time, add: impl FnOnce(&mut Traffic)) {
        let number = self.newest.get() + 1;
        self.newest.set(number);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(model.to_owned()).or_insert_with(|| Entry {
            traffic: Traffic::new(model),
            at: now,
            number,
        });
        let mut traffic = entry.at(now);
        add(&mut traffic);
        *entry = Entry {
            traffic,
            at: now,
            number,
        };
    }

    /// Returns the number of the newest change.
    pub(super) fn newest(&self) -> u64 {
        self.newest.get()
    }

    /// Returns the traffic of each model that changed after the change with this number.
    pub(super) fn since(&self, number: u64, now: Time) -> Vec<Traffic> {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, entry| {
            let traffic = entry.at(now);
            traffic.per_s > MIN_RATE || traffic.in_flight > 0
        });
        let changed = entries.values().filter(|entry| entry.number > number);
        changed.map(|entry| entry.at(now)).collect()
    }
}

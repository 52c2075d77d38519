//! What the parts of a gateway share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::{
    Notify,
    watch, //
};

use super::{
    engines::EngineVersions,
    fleet::Fleet, //
};
use crate::{
    dispatch::{
        Budget,
        Share, //
    },
    hosted::Settings,
    link::{
        Asking,
        EngineDescription,
        EngineVersion,
        RATE_S,
        RECENT_S, //
    },
    metrics::Metrics,
    timer::Time,
    watch::Follower,
};

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 38.0;

/// What is asked of a model, with weights that decay.
#[derive(Debug, Clone, Copy)]
struct Asked {
    per_s: f64,
    recent_per_s: f64,
    reading_ms: f64,
    at: Time,
    /// Number of the newest request among all.
    number: u64,
}

impl Asked {
    fn at(self, now: Time) -> Self {
        let age_s = (now - self.at).as_secs_f64();
        Self {
            per_s: self.per_s * (-age_s / RATE_S).exp(),
            recent_per_s: self.recent_per_s * (-age_s / RECENT_S).exp(),
            reading_ms: self.reading_ms * (-age_s / RECENT_S).exp(),
            at: now,
            number: self.number,
        }
    }
}

/// What the parts of a gateway share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Rc<Settings>,
    pub(super) follower: Rc<Follower>,
    pub(super) fleet: Fleet,
    pub(super) metrics: Rc<Metrics>,
    /// Wakes requests that wait for a model.
    pub(super) residency_changed: Notify,
    /// Becomes true when the gateway was told to stop.
    pub(super) stopping: watch::Sender<bool>,
    budgets: RefCell<BTreeMap<String, Budget>>,
    asked: RefCell<BTreeMap<String, Asked>>,
    /// Number of the newest change of what is asked.
    newest_asked: Cell<u64>,
    engines: RefCell<EngineVersions>,
    in_flight: Cell<usize>,
}

impl State {
    pub(super) fn new(
        settings: Rc<Settings>,
        follower: Rc<Follower>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            settings,
            follower,
            fleet: Fleet::default(),
            metrics,
            residency_changed: Notify::new(),
            stopping: watch::Sender::new(false),
            budgets: RefCell::default(),
            asked: RefCell::default(),
            newest_asked: Cell::new(0),
            engines: RefCell::default(),
            in_flight: Cell::new(0),
        }
    }

    /// Returns whether the balancer may send clients.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.follower.is_complete()
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Returns the number of requests in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(super) fn add_in_flight(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    pub(super) fn remove_in_flight(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Counts a request for the budget of its service.
    pub(super) fn count(&self, service: &str, now: Time) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.to_owned()).or_default().count(now);
    }

    /// Takes one repeat from the budget of a service; returns false if none is left.
    pub(super) fn take_repeat(&self, service: &str, now: Time) -> bool {
        let retry = &self.settings.retry;
        let share = Share {
            ratio: retry.ratio,
            slack: retry.slack,
            window: self.settings.retry_window(),
            processes: self.fleet.gateways(),
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.take(now, &share)
    }

    /// Counts a request for a model.
    pub(super) fn note_asked(&self, model: &str, now: Time) {
        self.note(model, now, |asked| {
            asked.per_s += 1.0 / RATE_S;
            asked.recent_per_s += 1.0 / RECENT_S;
        });
    }

    /// Counts the tokens of a prompt that a server reads for a model.
    pub(super) fn note_reading(&self, model: &str, tokens: u64, now: Time) {
        let reading_ms = tokens as f64 / TOKENS_PER_MS;
        self.note(model, now, |asked| {
            asked.reading_ms += reading_ms / RECENT_S;
        });
    }

    fn note(&self, model: &str, now: Time, add: impl FnOnce(&mut Asked)) {
        let start = Asked {
            per_s: 0.0,
            recent_per_s: 0.0,
            reading_ms: 0.0,
            at: now,
            number: 0,
        };
        let number = self.newest_asked.get() + 1;
        self.newest_asked.set(number);
        let mut asked = self.asked.borrow_mut();
        let asked = asked.entry(model.to_owned()).or_insert(start);
        *asked = asked.at(now);
        asked.number = number;
        add(asked);
    }

    /// Returns the version of the description of a service's engines.
    pub(super) fn engine_version(&self, service: &str) -> Option<EngineVersion> {
        let configuration = self.follower.configuration();
        self.engines.borrow_mut().of(&configuration, service)
    }

    /// Returns the description of a service's engines.
    pub(super) fn engine_description(&self, service: &str) -> Option<EngineDescription> {
        let configuration = self.follower.configuration();
        Some(EngineDescription {
            version: self.engine_version(service)?,
            engine: configuration.service(service)?.engine.clone()?,
        })
    }

    /// Returns the number of the newest change of what is asked.
    pub(super) fn newest_asked(&self) -> u64 {
        self.newest_asked.get()
    }

    /// Returns what is asked of each model at this gateway that was asked for since the change of
    /// this number.
    pub(super) fn rates(&self, since: u64, now: Time) -> Vec<Asking> {
        /// Rates below this are those of models that were not asked for in a minute.
        const LEAST: f64 = 0.0005;
        let mut asked = self.asked.borrow_mut();
        asked.retain(|_, asked| asked.at(now).per_s > LEAST);
        let asked = asked.iter();
        asked
            .filter(|(_, asked)| asked.number > since)
            .map(|(model, asked)| {
                let asked = asked.at(now);
                Asking {
                    model: model.clone(),
                    per_s: asked.per_s as f32,
                    recent_per_s: asked.recent_per_s as f32,
                    reading_ms: asked.reading_ms as f32,
                }
            })
            .collect()
    }
}

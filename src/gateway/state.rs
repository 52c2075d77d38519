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

use super::fleet::Fleet;
use crate::{
    dispatch::{
        Budget,
        Share, //
    },
    hosted::Settings,
    metrics::Metrics,
    timer::Time,
    watch::Follower,
};

/// Time constant of the rates of models, in seconds.
const RATE_S: f64 = 10.0;

/// Requests a second that decay.
#[derive(Debug, Clone, Copy)]
struct Rate {
    per_s: f64,
    at: Time,
}

impl Rate {
    fn at(self, now: Time) -> f64 {
        self.per_s * (-(now - self.at).as_secs_f64() / RATE_S).exp()
    }
}

/// What the parts of a gateway share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Rc<Settings>,
    pub(super) follower: Rc<Follower>,
    pub(super) fleet: Fleet,
    pub(super) metrics: Metrics,
    /// Wakes requests that wait for a model.
    pub(super) residency_changed: Notify,
    /// Becomes true when the gateway was told to stop.
    pub(super) stopping: watch::Sender<bool>,
    budgets: RefCell<BTreeMap<String, Budget>>,
    rates: RefCell<BTreeMap<String, Rate>>,
    in_flight: Cell<usize>,
}

impl State {
    pub(super) fn new(settings: Rc<Settings>, follower: Rc<Follower>) -> Self {
        Self {
            settings,
            follower,
            fleet: Fleet::default(),
            metrics: Metrics::default(),
            residency_changed: Notify::new(),
            stopping: watch::Sender::new(false),
            budgets: RefCell::default(),
            rates: RefCell::default(),
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
    pub(super) fn note_model(&self, model: &str, now: Time) {
        let mut rates = self.rates.borrow_mut();
        let start = Rate {
            per_s: 0.0,
            at: now,
        };
        let rate = rates.entry(model.to_owned()).or_insert(start);
        *rate = Rate {
            per_s: rate.at(now) + 1.0 / RATE_S,
            at: now,
        };
    }

    /// Returns the requests a second of each model at this gateway.
    pub(super) fn rates(&self, now: Time) -> Vec<(String, f32)> {
        /// Rates below this are those of models that were not asked for in a minute.
        const LEAST: f64 = 0.0005;
        let mut rates = self.rates.borrow_mut();
        rates.retain(|_, rate| rate.at(now) > LEAST);
        let rates = rates.iter();
        rates
            .map(|(model, rate)| (model.clone(), rate.at(now) as f32))
            .collect()
    }
}

//! What requests use and wait for at a backend server.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    backend::Backend,
    message::ModelName,
    rates::Rates, //
};
use crate::{
    link::{
        Backlog,
        ServerDemand,
        Usage, //
    },
    timer::Time,
};

/// Model and adapter that requests use or wait for.
pub(super) type Key = (String, Option<String>);

/// A request that waits for a model or adapter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Arrival {
    /// When it arrived.
    pub(super) at: Time,
    /// Time until which its response has its full value.
    pub(super) due: Time,
    /// When its client leaves.
    pub(super) leaves_at: Time,
}

/// Requests that wait for a model or adapter.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Priority of the most urgent of them.
    priority: u8,
    /// Those that wait.
    arrivals: Vec<Arrival>,
}

impl Waiting {
    /// Returns the time for which the request that arrived first has waited.
    fn oldest(&self, now: Time) -> Duration {
        let oldest = self.arrivals.iter().map(|arrival| arrival.at).min();
        oldest.map_or(Duration::ZERO, |oldest| now - oldest)
    }

    /// Returns the time until the first client leaves.
    fn leaves(&self, now: Time) -> Duration {
        let first = self.arrivals.iter().map(|arrival| arrival.leaves_at).min();
        first.map_or(Duration::ZERO, |first| first.remaining(now))
    }

    /// Returns the times until the latency objectives that can still be met, in ms.
    fn due_ms(&self, now: Time) -> Vec<u32> {
        let due = self.arrivals.iter().map(|arrival| arrival.due);
        let due = due.filter(|due| *due > now).take(Backlog::MAX_DUE);
        due.map(|due| millis(due.remaining(now))).collect()
    }
}

/// Returns the key of a model and adapter.
pub(super) fn key(name: &ModelName) -> Key {
    (name.model.clone(), name.adapter.clone())
}

impl Backend {
    /// Counts a request at the server until the guard is dropped.
    pub(super) fn begin(
        self: &Rc<Self>,
        model: Option<&ModelName>,
        tokens: u64,
        rates: &Rc<Rates>,
    ) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.pending_tokens.set(self.pending_tokens.get() + tokens);
        let key = model.map(key);
        if let Some(key) = &key {
            rates.record_send(&key.0, tokens, Time::now());
            *self.usage.borrow_mut().entry(key.clone()).or_default() += 1;
            self.is_demand_changed.set(true);
        }
        InFlight {
            backend: self.clone(),
            rates: rates.clone(),
            key,
            tokens,
        }
    }

    /// Counts a request that waits for a model or adapter until the guard is dropped.
    pub(super) fn add_to_backlog(
        self: &Rc<Self>,
        name: &ModelName,
        priority: u8,
        arrival: Arrival,
    ) -> BacklogEntry {
        let key = key(name);
        let mut backlog = self.backlog.borrow_mut();
        let waiting = backlog.entry(key.clone()).or_insert_with(|| Waiting {
            priority,
            arrivals: Vec::new(),
        });
        waiting.priority = waiting.priority.min(priority);
        waiting.arrivals.push(arrival);
        self.notify_demand();
        BacklogEntry {
            backend: self.clone(),
            key,
            arrival,
        }
    }

    /// Records that the demand has changed, and wakes the link to send it.
    fn notify_demand(&self) {
        self.is_demand_changed.set(true);
        self.link.demand_changed.notify_one();
    }

    /// Returns whether requests of this gateway wait for a model at this server.
    pub(super) fn has_backlog(&self, model: &str) -> bool {
        let backlog = self.backlog.borrow();
        backlog.keys().any(|(awaited, _)| awaited == model)
    }

    /// Returns the names of the models that requests of this gateway wait for at this server.
    pub(super) fn backlog_models(&self) -> Vec<String> {
        let backlog = self.backlog.borrow();
        let mut models: Vec<_> = backlog.keys().map(|(model, _)| model.clone()).collect();
        models.dedup();
        models
    }

    /// Returns what the gateway's requests need at the server.
    pub(super) fn demand(&self) -> ServerDemand {
        let usage = self.usage.borrow();
        let usage = usage.iter().map(|((model, adapter), in_flight)| Usage {
            model: model.clone(),
            adapter: adapter.clone(),
            in_flight: *in_flight,
        });
        let now = Time::now();
        let backlog = self.backlog.borrow();
        let backlog = backlog.iter().map(|((model, adapter), waiting)| Backlog {
            model: model.clone(),
            adapter: adapter.clone(),
            waiting: waiting.arrivals.len() as u32,
            priority: waiting.priority,
            oldest_ms: millis(waiting.oldest(now)),
            due_ms: waiting.due_ms(now),
            leaves_ms: millis(waiting.leaves(now)),
        });
        ServerDemand {
            server: self.server.borrow().id.clone(),
            usage: usage.collect(),
            backlogs: backlog.collect(),
        }
    }
}

/// Guard of a request in flight at a server.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) backend: Rc<Backend>,
    rates: Rc<Rates>,
    key: Option<Key>,
    tokens: u64,
}

impl InFlight {
    /// Removes the request from the pending tokens, because the server has processed the prompt or
    /// the request has ended.
    pub(super) fn clear_pending_tokens(&mut self) {
        let pending = &self.backend.pending_tokens;
        pending.set(pending.get().saturating_sub(self.tokens));
        self.tokens = 0;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.clear_pending_tokens();
        let in_flight = &self.backend.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
        if let Some(key) = &self.key {
            self.rates.record_end(&key.0, Time::now());
            self.backend.is_demand_changed.set(true);
            let mut usage = self.backend.usage.borrow_mut();
            if let Some(count) = usage.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    usage.remove(key);
                }
            }
        }
    }
}

/// Guard of a request that waits for a model or adapter at a server.
#[derive(Debug)]
pub(super) struct BacklogEntry {
    backend: Rc<Backend>,
    key: Key,
    arrival: Arrival,
}

impl Drop for BacklogEntry {
    fn drop(&mut self) {
        let mut backlog = self.backend.backlog.borrow_mut();
        if let Some(waiting) = backlog.get_mut(&self.key) {
            let mut arrivals = waiting.arrivals.iter();
            if let Some(index) = arrivals.position(|arrival| *arrival == self.arrival) {
                waiting.arrivals.swap_remove(index);
            }
            if waiting.arrivals.is_empty() {
                backlog.remove(&self.key);
            }
        }
        self.backend.notify_demand();
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

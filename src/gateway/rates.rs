//! What is asked of each model at this gateway.

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
        Asking,
        RATE_S,
        RECENT_S, //
    },
    timer::Time,
};

/// Rates below this are those of models that were not asked for in a minute.
const LEAST: f32 = 0.0005;

/// What is asked of a model; the rates decay.
#[derive(Debug)]
struct Asked {
    asking: Asking,
    at: Time,
    /// Number of the newest change among those of all models.
    number: u64,
}

impl Asked {
    fn at(&self, now: Time) -> Asking {
        self.asking.after(now - self.at)
    }
}

/// What is asked of each model at this gateway.
#[derive(Debug, Default)]
pub(super) struct Rates {
    asked: RefCell<BTreeMap<String, Asked>>,
    newest: Cell<u64>,
}

impl Rates {
    /// Counts a request for a model.
    pub(super) fn note_asked(&self, model: &str, now: Time) {
        self.note(model, now, |asking| {
            asking.per_s += (1.0 / RATE_S) as f32;
            asking.recent_per_s += (1.0 / RECENT_S) as f32;
        });
    }

    /// Counts a request that is sent to a server, and the tokens of its prompt that are read there.
    pub(super) fn note_begin(&self, model: &str, tokens: u64, now: Time) {
        let reading_ms = tokens as f64 / PREFILL_TOKENS_PER_MS;
        self.note(model, now, |asking| {
            asking.reading_ms += (reading_ms / RECENT_S) as f32;
            asking.in_flight += 1;
        });
    }

    /// Counts the end of a request at a server.
    pub(super) fn note_end(&self, model: &str, now: Time) {
        self.note(model, now, |asking| {
            asking.in_flight = asking.in_flight.saturating_sub(1);
        });
    }

    fn note(&self, model: &str, now: Time, add: impl FnOnce(&mut Asking)) {
        let number = self.newest.get() + 1;
        self.newest.set(number);
        let mut asked = self.asked.borrow_mut();
        let asked = asked.entry(model.to_owned()).or_insert_with(|| Asked {
            asking: Asking::new(model),
            at: now,
            number,
        });
        let mut asking = asked.at(now);
        add(&mut asking);
        *asked = Asked {
            asking,
            at: now,
            number,
        };
    }

    /// Returns the number of the newest change.
    pub(super) fn newest(&self) -> u64 {
        self.newest.get()
    }

    /// Returns what is asked of each model for which something changed after a change's number.
    pub(super) fn since(&self, number: u64, now: Time) -> Vec<Asking> {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|_, asked| {
            let asking = asked.at(now);
            asking.per_s > LEAST || asking.in_flight > 0
        });
        let changed = asked.values().filter(|asked| asked.number > number);
        changed.map(|asked| asked.at(now)).collect()
    }
}

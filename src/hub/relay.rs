//! The origins of streams at a hub: what gateways and other hubs have sent, and what gateways ask.

use std::{
    cell::RefCell,
    collections::BTreeMap, //
};

use tokio::sync::watch;

use crate::{
    link::{
        Origin,
        Origins, //
    },
    timer::Time,
};

/// Maximum number of streams of one gateway that wait for their origins.
const MAX_QUESTIONS: usize = 1_024;

/// The origins of streams that a hub knows.
///
/// What the hub's own gateways send is passed on to the other hubs, over the connections that the
/// loader in the same process has to them; what other hubs send is not.
#[derive(Debug)]
pub(crate) struct Relay {
    /// Origins from the hub's gateways.
    own: RefCell<Origins>,
    /// Origins from other hubs.
    others: RefCell<Origins>,
    /// Streams that each gateway waits for, by connection.
    questions: RefCell<BTreeMap<u64, Vec<u64>>>,
    /// Notified of origins from the hub's gateways.
    pub(crate) own_changed: watch::Sender<()>,
    /// Notified when the answer to a question may be known.
    pub(super) answered: watch::Sender<()>,
}

impl Default for Relay {
    fn default() -> Self {
        Self {
            own: RefCell::default(),
            others: RefCell::default(),
            questions: RefCell::default(),
            own_changed: watch::Sender::new(()),
            answered: watch::Sender::new(()),
        }
    }
}

impl Relay {
    /// Records origins that a gateway of this hub has sent.
    pub(super) fn record_own(&self, origins: &[Origin], now: Time) {
        if record(&self.own, origins, now) {
            self.own_changed.send_replace(());
            self.notify_askers();
        }
    }

    /// Records origins that another hub has sent.
    pub(super) fn record_others(&self, origins: &[Origin], now: Time) {
        if record(&self.others, origins, now) {
            self.notify_askers();
        }
    }

    fn notify_askers(&self) {
        if !self.questions.borrow().is_empty() {
            self.answered.send_replace(());
        }
    }

    /// Records the streams that a gateway asks for.
    pub(super) fn ask(&self, connection: u64, streams: &[u64]) {
        if streams.is_empty() {
            return;
        }
        let mut questions = self.questions.borrow_mut();
        let asked = questions.entry(connection).or_default();
        asked.extend(streams);
        let excess = asked.len().saturating_sub(MAX_QUESTIONS);
        asked.drain(..excess);
        drop(questions);
        self.answered.send_replace(());
    }

    /// Returns the answers to a gateway's questions that are known, once.
    pub(super) fn take_answers(&self, connection: u64) -> Vec<Origin> {
        let mut questions = self.questions.borrow_mut();
        let Some(asked) = questions.get_mut(&connection) else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        asked.retain(|stream| match self.version(*stream) {
            Some(version) => {
                answers.push(Origin {
                    stream: *stream,
                    version,
                });
                false
            }
            None => true,
        });
        if asked.is_empty() {
            questions.remove(&connection);
        }
        answers
    }

    /// Drops the questions of a gateway that disconnected.
    pub(super) fn remove_gateway(&self, connection: u64) {
        self.questions.borrow_mut().remove(&connection);
    }

    /// Returns the origins to pass on to another hub, and advances the position of its connection.
    pub(crate) fn new_origins(&self, position: &mut u64) -> Vec<Origin> {
        let (origins, next) = self.own.borrow().since(*position);
        *position = next;
        origins
    }

    /// Returns whether there are origins to pass on from this position on.
    pub(crate) fn has_new_origins(&self, position: u64) -> bool {
        self.own.borrow().has_new(position)
    }

    fn version(&self, stream: u64) -> Option<u64> {
        let own = self.own.borrow().version(stream);
        own.or_else(|| self.others.borrow().version(stream))
    }
}

/// Records origins; returns whether there are any.
fn record(known: &RefCell<Origins>, origins: &[Origin], now: Time) -> bool {
    for origin in origins {
        known.borrow_mut().record(*origin, now);
    }
    !origins.is_empty()
}

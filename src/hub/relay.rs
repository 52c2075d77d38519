//! The origins of streams at a hub: what gateways and other hubs have sent, and what gateways ask.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::Duration, //
};

use tokio::sync::watch;

use crate::{
    dispatch::Versions,
    link::{
        Origin,
        Origins, //
    },
    timer::Time,
};

/// Maximum number of streams of one gateway that wait for their origins.
const MAX_QUESTIONS: usize = 1_024;

/// Time after the start of a hub within which gateways and other hubs send it what they know.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// The origins of streams that a hub knows.
///
/// What the hub's own gateways send is passed on to the other hubs, over the connections that the
/// loader in the same process has to them; what other hubs send is not.
#[derive(Debug)]
pub(crate) struct Relay {
    started_at: Time,
    /// Software versions that the process has seen, or has been told of.
    pub(crate) versions: Versions,
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
            started_at: Time::now(),
            versions: Versions::default(),
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
        let is_first = self.has_origins(now) != Some(true);
        if record(&self.own, origins, now) {
            self.own_changed.send_replace(());
            self.notify_gateways(is_first);
        }
    }

    /// Records origins that another hub has sent.
    pub(super) fn record_others(&self, origins: &[Origin], now: Time) {
        let is_first = self.has_origins(now) != Some(true);
        if record(&self.others, origins, now) {
            self.notify_gateways(is_first);
        }
    }

    /// Wakes the connections of gateways if one waits for an origin, or if all are to learn that there
    /// are origins.
    fn notify_gateways(&self, is_first: bool) {
        if is_first || !self.questions.borrow().is_empty() {
            self.answered.send_replace(());
        }
    }

    /// Returns whether any origin is known, thus whether a gateway knows several software versions;
    /// `None` if that can't be told yet, because the hub has just started.
    pub(super) fn has_origins(&self, now: Time) -> Option<bool> {
        let has_recent = self.own.borrow().has_recent(now) || self.others.borrow().has_recent(now);
        let is_settled = now - self.started_at >= SETTLING_TIME;
        (has_recent || is_settled).then_some(has_recent)
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

//! A request on its way through the gateway.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method, //
};

use super::{
    answer::Failure,
    backend::InFlight,
    message::{
        Answered,
        Asked,
        ModelName, //
    },
};
use crate::{
    deployment::{
        Configuration,
        Route, //
    },
    dispatch::{
        Attempts,
        Ending, //
    },
    http::{
        Channel,
        Response, //
    },
    timer::Time,
};

/// Time to come back when all servers are full.
const FULL: Duration = Duration::from_millis(300);

/// Time after which a server that could not be reached or has refused a request may get it again:
/// a server that refuses while it drops or loads the model can hold it soon after.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// A request that was read from a client.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) configuration: Rc<Configuration>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) asked: Asked,
    pub(super) method: Method,
    /// Path and query as the client sent them.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the answer is of no use any more.
    pub(super) deadline: Time,
}

/// A server's answer whose body is still to be read.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) in_flight: InFlight,
    pub(super) channel: Channel,
    pub(super) response: Response,
    pub(super) answered: Answered,
}

/// How the sending of a request stands.
#[derive(Debug)]
pub(super) struct Progress {
    /// Servers that the request was sent to, and from when it may be sent there again, if it may.
    asked: BTreeMap<String, Option<Time>>,
    pub(super) attempts: Attempts,
}

impl Job {
    pub(super) fn left(&self, now: Time) -> Duration {
        self.deadline.remaining(now)
    }

    pub(super) fn model(&self) -> Option<&ModelName> {
        self.asked.model.as_ref()
    }
}

impl Progress {
    pub(super) fn new(route: &Route) -> Self {
        Self {
            asked: BTreeMap::new(),
            attempts: Attempts::new(route.kind.is_repeatable(), route.attempts),
        }
    }

    /// Notes that the request is sent to a server.
    pub(super) fn note_send(&mut self, server: &str) {
        self.asked.insert(server.to_owned(), None);
    }

    /// Notes that a server has not run the request and may be asked again.
    pub(super) fn note_not_run(&mut self, server: &str, now: Time) {
        self.asked.insert(server.to_owned(), Some(now + ASK_AGAIN));
    }

    /// Returns whether the request may be sent to a server now.
    pub(super) fn may_ask(&self, server: &str, now: Time) -> bool {
        let asked = self.asked.get(server);
        asked.is_none_or(|from| from.is_some_and(|from| now >= from))
    }

    /// Returns whether the request must not be sent to a server any more.
    pub(super) fn is_spent(&self, server: &str) -> bool {
        self.asked.get(server).is_some_and(Option::is_none)
    }

    /// Returns how a request ends for which no further server is tried.
    pub(super) fn give_up(&self, reason: &'static str) -> Failure {
        failure(self.attempts.ending(), reason)
    }
}

/// Returns the failure that says what is known of a request.
pub(super) fn failure(ending: Ending, reason: &'static str) -> Failure {
    match ending {
        Ending::NotRun => Failure::Refused(reason, FULL),
        Ending::Unknown => Failure::Unknown(reason),
    }
}

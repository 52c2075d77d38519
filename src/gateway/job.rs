//! A request on its way through the gateway.

use std::{
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
    /// Servers that are not tried again.
    pub(super) tried: Vec<String>,
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
            tried: Vec::new(),
            attempts: Attempts::new(route.kind.is_repeatable(), route.attempts),
        }
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

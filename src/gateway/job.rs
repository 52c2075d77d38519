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
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Servers that are not tried again.
    pub(super) tried: Vec<String>,
    pub(super) sends: u32,
    /// Servers that refused or failed the request.
    pub(super) refusals: u32,
    /// Servers on which the request may have run.
    pub(super) runs: u32,
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
    /// Returns whether another server may run the request.
    pub(super) fn may_run(&self, job: &Job) -> bool {
        self.runs < job.route.attempts
    }

    /// Counts a server on which the request has run in part.
    pub(super) fn note_run(&mut self) {
        self.runs += 1;
    }

    /// Returns how a request ends for which no further server is tried.
    pub(super) fn give_up(&self, reason: &'static str) -> Failure {
        if self.runs > 0 {
            Failure::Unknown(reason)
        } else {
            Failure::Refused(reason, FULL)
        }
    }
}

//! A request that the gateway processes, and the state of its sends.

use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method,
    header::AUTHORIZATION, //
};

use super::{
    allowances::Charge,
    demand::InFlight,
    message::{
        Caller,
        ModelName,
        RequestHead,
        ResponseHead, //
    },
    response::Failure,
};
use crate::{
    deployment::{
        Account,
        Configuration,
        Route,
        Server, //
    },
    dispatch::{
        Attempts,
        Ending,
        Hold,
        Run, //
    },
    http::{
        Channel,
        Framing,
        Response, //
    },
    link,
    quarantine::{
        Content,
        MAX_MARKS,
        Mark, //
    },
    timer::Time,
};

/// Time after which a client may retry a request that no server has run, for example because all
/// servers are full.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a request may be sent again to a server that could not be reached or has
/// refused it. A server that refuses because it is unloading or loading the model may hold it soon
/// after.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// A client's request that was read completely.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) configuration: Rc<Configuration>,
    /// Account whose key the request bears; `None` if the route is public or the configuration names
    /// no accounts.
    pub(super) account: Option<Rc<Account>>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) head: RequestHead,
    pub(super) method: Method,
    /// Path and query as the client sent them.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The memory that the body takes.
    pub(super) _hold: Hold,
    /// Time after which the response is of no use to the client.
    pub(super) deadline: Time,
    /// Time after which the client leaves if its response has not begun.
    pub(super) leaves_at: Time,
    /// Marks of the request, once they are needed.
    pub(super) marks: OnceCell<Vec<Mark>>,
}

/// A request that a server has responded to; the body of the response is still to be read.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) in_flight: InFlight,
    /// Description of the server when the request was sent.
    pub(super) server: Rc<Server>,
    pub(super) channel: Channel,
    pub(super) sent_at: Time,
    /// What is known of the process that runs the request.
    pub(super) run: Cell<Run>,
    /// The response as its server sent it.
    pub(super) response: Response,
    /// How the end of its body is marked.
    pub(super) framing: Framing,
    pub(super) response_head: ResponseHead,
}

/// The sends of a request so far.
#[derive(Debug)]
pub(super) struct Progress {
    /// Servers that the request was sent to. The time is that from which it may be sent there
    /// again; `None` if it may not.
    sent_to: BTreeMap<String, Option<Time>>,
    /// Whether the request was sent to the current server before.
    is_resend: bool,
    /// Digest of the only software version at which the stream may go on.
    pub(super) software: Option<u64>,
    pub(super) attempts: Attempts,
    /// What the request uses of its account's allowance.
    pub(super) charge: Option<Charge>,
}

impl Job {
    pub(super) fn remaining(&self, now: Time) -> Duration {
        self.deadline.remaining(now)
    }

    /// Returns the time for which the client waits for its response to begin.
    pub(super) fn patience(&self, now: Time) -> Duration {
        self.leaves_at.remaining(now)
    }

    pub(super) fn model(&self) -> Option<&ModelName> {
        self.head.model.as_ref()
    }

    /// Returns the priority: that of the account, else that of the route.
    pub(super) fn priority(&self) -> u8 {
        let account = self.account.as_ref();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns for whom the request is made.
    pub(super) fn caller(&self) -> Caller<'_> {
        match &self.account {
            Some(account) => Caller::Account(&account.name),
            None if self.configuration.accounts.is_some() => Caller::Anonymous,
            None => Caller::Unchecked,
        }
    }

    /// Returns the marks of what the request carries and may crash servers: the parts of its prompt,
    /// and all of it.
    pub(super) fn marks(&self) -> &[Mark] {
        self.marks.get_or_init(|| {
            let mut marks = vec![self.content_mark()];
            let parts = self.head.prompt.iter().take(MAX_MARKS);
            marks.extend(parts.map(|part| Mark::of_part(part.id)));
            marks.truncate(MAX_MARKS);
            marks
        })
    }

    fn content_mark(&self) -> Mark {
        let caller = match self.caller() {
            Caller::Account(name) => name.as_bytes(),
            Caller::Anonymous => &[],
            Caller::Unchecked => {
                let credentials = self.headers.get(AUTHORIZATION);
                credentials.map_or(&[][..], |credentials| credentials.as_bytes())
            }
        };
        Mark::of_request(&Content {
            method: self.method.as_str(),
            host: &self.route.host,
            target: &self.target,
            caller,
            body: &self.body,
        })
    }
}

impl Progress {
    pub(super) fn new(route: &Route) -> Self {
        Self {
            sent_to: BTreeMap::new(),
            is_resend: false,
            software: None,
            charge: None,
            attempts: Attempts::new(route.kind.is_repeatable(), route.attempts),
        }
    }

    /// Records whether a server may run the request, so that it counts towards its account's allowance.
    pub(super) fn set_charged(&self, is_charged: bool) {
        if let Some(charge) = &self.charge {
            charge.set_sent(is_charged);
        }
    }

    /// Records that the request is sent to a server.
    pub(super) fn record_send(&mut self, server: &str) {
        self.is_resend = self.sent_to.insert(server.to_owned(), None).is_some();
        self.set_charged(true);
    }

    /// Returns whether the request was sent to the current server before.
    pub(super) fn is_resend(&self) -> bool {
        self.is_resend
    }

    /// Records that a server has not run the request, so that it may be sent there again later.
    pub(super) fn record_not_run(&mut self, server: &str, now: Time) {
        self.sent_to
            .insert(server.to_owned(), Some(now + RESEND_DELAY));
    }

    /// Returns whether a server has the software version that the stream needs.
    pub(super) fn fits(&self, server: &Server) -> bool {
        let needed = self.software;
        needed.is_none_or(|needed| needed == link::digest(&server.software))
    }

    /// Returns whether the request may be sent to a server now.
    pub(super) fn may_send_to(&self, server: &Server, now: Time) -> bool {
        if !self.fits(server) {
            return false;
        }
        let resend_at = self.sent_to.get(&server.id);
        resend_at.is_none_or(|from| from.is_some_and(|from| now >= from))
    }

    /// Returns whether the request must not be sent to a server again.
    pub(super) fn is_excluded(&self, server: &Server) -> bool {
        let sent = self.sent_to.get(&server.id);
        !self.fits(server) || sent.is_some_and(Option::is_none)
    }

    /// Returns the failure of a request that is sent to no further server.
    pub(super) fn final_failure(&self, reason: &'static str) -> Failure {
        failure(self.attempts.ending(), reason)
    }

    /// Returns the failure of a request that is sent to no further server. If it has not run, the
    /// client may retry after this time.
    pub(super) fn final_failure_after(&self, reason: &'static str, after: Duration) -> Failure {
        match self.final_failure(reason) {
            Failure::Refused(reason, _) => Failure::Refused(reason, after),
            failure => failure,
        }
    }
}

/// Returns the failure that tells the client whether the request may have run.
pub(super) fn failure(ending: Ending, reason: &'static str) -> Failure {
    match ending {
        Ending::NotRun => Failure::Refused(reason, REFUSED_RETRY_AFTER),
        Ending::Unknown => Failure::Unknown(reason),
    }
}

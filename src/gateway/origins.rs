//! The software versions that began streams, so that a stream that its client takes up again goes on
//! at the same version.

use std::{
    cell::RefCell,
    time::Duration, //
};

use tokio::{
    sync::Notify,
    time::timeout, //
};

use super::{
    job::{
        Exchange,
        Job,
        Progress, //
    },
    response::Failure,
    state::State,
};
use crate::{
    deployment::Kind,
    dispatch::{
        Continuation,
        Knowledge,
        Lineage, //
    },
    link::{
        self,
        Origin,
        Origins, //
    },
    report,
    timer::Time,
};

/// Maximum time for which a request waits for the origin of its stream. A hub of another region has
/// it within a round trip and the delays in which messages are collected.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which a request waits for the origin of its stream while no hub is connected. A
/// gateway that loses its hub finds another one within it.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after which a client may retry whose stream has an unknown origin.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What a gateway knows of the origins of one service's streams.
#[derive(Debug, Default)]
pub(super) struct Book {
    /// Origins of streams that began at this gateway.
    begun: RefCell<Origins>,
    /// Origins that a hub has sent.
    learned: RefCell<Origins>,
    /// Streams that are to be asked for.
    questions: RefCell<Vec<u64>>,
    /// Notified when a hub has sent a message.
    answered: Notify,
}

impl Book {
    /// Returns the origins that have not been sent on a connection, and advances its position.
    pub(super) fn new_origins(&self, position: &mut u64) -> Vec<Origin> {
        let (origins, next) = self.begun.borrow().since(*position);
        *position = next;
        origins
    }

    /// Returns whether there are origins that have not been sent on a connection.
    pub(super) fn has_new_origins(&self, position: u64) -> bool {
        self.begun.borrow().has_new(position)
    }

    /// Returns the streams to ask for, once.
    pub(super) fn take_questions(&self) -> Vec<u64> {
        self.questions.take()
    }

    /// Records origins that a hub has sent, and wakes the requests that wait for word of it.
    pub(super) fn learn(&self, origins: &[Origin], now: Time) {
        for origin in origins {
            self.learned.borrow_mut().record(*origin, now);
        }
        self.answered.notify_waiters();
    }

    fn version(&self, stream: u64) -> Option<u64> {
        let begun = self.begun.borrow().version(stream);
        begun.or_else(|| self.learned.borrow().version(stream))
    }
}

/// Returns the digest of the software version at which a request's stream must go on; `None` if it
/// may run at any.
///
/// # Errors
///
/// Refuses a stream of unknown origin where several versions may serve: what two versions write does
/// not fit together.
pub(super) async fn software(state: &State, job: &Job) -> Result<Option<u64>, Failure> {
    let is_taken_up = job.head.last_event.is_some() || job.head.resumes.is_some();
    if job.route.kind != Kind::ResumableStream || !is_taken_up {
        return Ok(None);
    }
    let mut lineage = lineage(state, job);
    let mut continuation = lineage.continuation();
    if continuation == Continuation::Ask {
        lineage.version = ask(state, job, &lineage).await;
        lineage.hub = state.origin_link(&job.service).hub_knowledge();
        let (versions, now) = (&state.fleet.versions, Time::now());
        lineage.are_several = versions.are_several(&job.service, now);
        lineage.is_complete = versions.is_complete(now);
        continuation = lineage.continuation();
    }
    log_taken_up(job, &lineage);
    match continuation {
        Continuation::At(version) => Ok(Some(version)),
        // Another version may be listed while the request waits for a server.
        Continuation::Anywhere => {
            let single = state.fleet.versions.single(&job.service, Time::now());
            Ok(single.as_deref().map(link::digest))
        }
        Continuation::Ask | Continuation::Nowhere => Err(Failure::Refused(
            "the stream's software version is not known",
            unknown_retry_after(state, &lineage),
        )),
    }
}

/// Returns when a stream may go on that is refused because its version is not known. With one version
/// in service, it may once this gateway knows that no other one served.
fn unknown_retry_after(state: &State, lineage: &Lineage) -> Duration {
    let incomplete = state.fleet.versions.incomplete_for(Time::now());
    if lineage.are_several {
        UNKNOWN_RETRY_AFTER
    } else {
        UNKNOWN_RETRY_AFTER.max(incomplete)
    }
}

/// Returns what this gateway knows about the stream that a request takes up.
fn lineage(state: &State, job: &Job) -> Lineage {
    let now = Time::now();
    let link = state.origin_link(&job.service);
    let are_several = state.fleet.versions.are_several(&job.service, now);
    let is_complete = state.fleet.versions.is_complete(now);
    let spread = state.settings.get().listing_spread();
    let listed_at = state.follower.listed_at();
    Lineage {
        version: stream(job).and_then(|stream| link.origins.version(stream)),
        are_several,
        is_complete,
        is_list_recent: listed_at.is_some_and(|at| now - at <= spread),
        hub: match link.hub_knowledge() {
            Knowledge::Empty if is_complete && !are_several => Knowledge::Empty,
            _ if link.is_started() => Knowledge::Unasked,
            _ => Knowledge::Unreachable,
        },
    }
}

/// Returns the digest of the request that began the stream, if the client names it.
fn stream(job: &Job) -> Option<u64> {
    job.head.resumes.as_deref().map(link::digest)
}

fn log_taken_up(job: &Job, lineage: &Lineage) {
    report::info(
        "stream_taken_up",
        &[
            ("request", &job.head.id),
            ("resumes", &job.head.resumes.as_deref().unwrap_or_default()),
            ("known", &lineage.version.is_some()),
            ("several_versions", &lineage.are_several),
            ("versions_complete", &lineage.is_complete),
            ("list_recent", &lineage.is_list_recent),
            ("hub", &format!("{:?}", lineage.hub)),
        ],
    );
}

/// Asks a hub which version began the stream that a request takes up. Ends early if the hub knows no
/// stream, thus if one version serves.
async fn ask(state: &State, job: &Job, lineage: &Lineage) -> Option<u64> {
    let stream = stream(job);
    if stream.is_none() && lineage.are_several {
        return None;
    }
    let link = state.origin_link(&job.service);
    let versions = &state.fleet.versions;
    let is_single = || {
        let now = Time::now();
        versions.is_complete(now)
            && !versions.are_several(&job.service, now)
            && link.hub_knowledge() == Knowledge::Empty
    };
    let answer = async {
        loop {
            let answered = link.origins.answered.notified();
            let version = stream.and_then(|stream| link.origins.version(stream));
            if version.is_some() || is_single() {
                return version;
            }
            answered.await;
        }
    };
    link.origins.questions.borrow_mut().extend(stream);
    link.demand_changed.notify_one();
    let answer_time = match link.hub_knowledge() {
        Knowledge::Unreachable => HUB_TIMEOUT,
        _ => ORIGIN_TIMEOUT,
    };
    let max_wait = answer_time.min(job.remaining(Time::now()) / 4);
    timeout(max_wait, answer).await.ok().flatten()
}

/// Records the origin of a stream when its response begins, and ties the stream to the software
/// version of its server.
pub(super) fn record(state: &State, job: &Job, progress: &mut Progress, exchange: &Exchange) {
    if job.route.kind != Kind::ResumableStream {
        return;
    }
    let version = link::digest(&exchange.server.software);
    progress.software = Some(version);
    let first_attempt = job.head.resumes.as_ref().unwrap_or(&job.head.id);
    let origin = Origin {
        stream: link::digest(first_attempt),
        version,
    };
    let now = Time::now();
    let link = state.origin_link(&job.service);
    link.origins.begun.borrow_mut().record(origin, now);
    if link.needs_origins(state) {
        link.demand_changed.notify_one();
    }
}

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
    /// Notified when a hub has sent origins.
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

    /// Records origins that a hub has sent.
    pub(super) fn learn(&self, origins: &[Origin], now: Time) {
        if origins.is_empty() {
            return;
        }
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
/// Refuses a stream of unknown origin while several versions serve: what two versions write does not
/// fit together.
pub(super) async fn software(state: &State, job: &Job) -> Result<Option<u64>, Failure> {
    let is_taken_up = job.route.kind == Kind::ResumableStream && job.head.last_event.is_some();
    if !is_taken_up || !state.fleet.versions.are_several(&job.service, Time::now()) {
        return Ok(None);
    }
    let stream = job.head.resumes.as_deref().map(link::digest);
    let version = match stream {
        Some(stream) => find(state, job, stream).await,
        None => None,
    };
    report::info(
        "stream_taken_up",
        &[
            ("request", &job.head.id),
            ("resumes", &job.head.resumes.as_deref().unwrap_or_default()),
            ("known", &version.is_some()),
        ],
    );
    let unknown = Failure::Refused(
        "the stream's software version is not known",
        UNKNOWN_RETRY_AFTER,
    );
    version.map(Some).ok_or(unknown)
}

/// Looks a stream up here, then at a hub.
async fn find(state: &State, job: &Job, stream: u64) -> Option<u64> {
    let link = state.link(&job.service);
    let answer = async {
        loop {
            let answered = link.origins.answered.notified();
            if let Some(version) = link.origins.version(stream) {
                return version;
            }
            answered.await;
        }
    };
    if link.origins.version(stream).is_none() {
        link.origins.questions.borrow_mut().push(stream);
        link.demand_changed.notify_one();
    }
    let max_wait = ORIGIN_TIMEOUT.min(job.remaining(Time::now()) / 4);
    timeout(max_wait, answer).await.ok()
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
    let link = state.link(&job.service);
    link.origins.begun.borrow_mut().record(origin, now);
    if state.fleet.versions.are_several(&job.service, now) {
        link.demand_changed.notify_one();
    }
}

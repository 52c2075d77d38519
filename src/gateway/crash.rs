//! Notices that a server's process has ended, and which requests were at work there.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::time::sleep;

use super::{
    backend::Backend,
    job::Job,
    state::State, //
};
use crate::{
    dispatch::Part,
    http::{
        Channel,
        Error, //
    },
    link,
    quarantine::{
        Crash,
        MAX_RUNS,
        Run, //
    },
    report,
    timer::Time, //
};

/// Time in which the connections of a process that has ended break.
const COLLECTION_TIME: Duration = Duration::from_millis(20);

/// Timeout for a new connection to a server whose connections broke. Only a refusal shows that the
/// process has ended, and it comes within one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a server sends an answer until the request has got through: what a request carries
/// crashes a server as soon as its run begins.
pub(super) const PASSED_AFTER: Duration = Duration::from_millis(1_000);

/// Maximum number of requests of one server that are logged.
const MAX_LOGGED: usize = 32;

/// A request whose connection broke while a server worked on it.
#[derive(Debug)]
pub(super) struct BrokenRun {
    job: Rc<Job>,
    sent_at: Time,
    /// When the first byte of the body arrived, if any did.
    began_at: Option<Time>,
    broken_at: Time,
}

impl BrokenRun {
    pub(super) fn new(job: &Rc<Job>, sent_at: Time, began_at: Option<Time>) -> Self {
        Self {
            job: job.clone(),
            sent_at,
            began_at,
            broken_at: Time::now(),
        }
    }

    /// Returns whether the server had worked on the request for so long that something else ended it.
    fn has_got_through(&self) -> bool {
        self.answered_for().is_some_and(|time| time >= PASSED_AFTER)
    }

    fn told(&self, ended_at: Time) -> Run {
        Run {
            id: link::digest(&self.job.head.id),
            worked_ms: millis(ended_at - self.sent_at),
            marks: self.job.marks().to_vec(),
        }
    }

    /// Returns the time for which the server had been sending its answer; `None` if the answer had not
    /// begun.
    fn answered_for(&self) -> Option<Duration> {
        self.began_at.map(|began_at| self.broken_at - began_at)
    }
}

/// Records that a connection broke while the server worked on a request, and finds out whether the
/// server's process has ended.
pub(super) fn record(state: &Rc<State>, backend: &Rc<Backend>, run: BrokenRun) {
    let mut runs = backend.broken_runs.borrow_mut();
    runs.push(run);
    if runs.len() == 1 {
        tokio::task::spawn_local(examine(state.clone(), backend.clone()));
    }
}

/// Finds out whether the process ended under the requests whose connections broke.
async fn examine(state: Rc<State>, backend: Rc<Backend>) {
    let is_leaving = !backend.is_ready();
    sleep(COLLECTION_TIME).await;
    let has_ended = !is_leaving && refuses_connections(&backend).await;
    let runs = backend.broken_runs.take();
    if has_ended {
        log_end(&backend, &runs);
        let now = Time::now();
        for runs in runs.chunks(MAX_RUNS) {
            let crash = crash(&backend, runs, now);
            state.quarantine.record_crash(crash, now);
        }
        state.tell_facts();
    }
}

/// Returns what is told of the end of a server's process. Requests that had got through did not cause
/// it.
fn crash(backend: &Backend, runs: &[BrokenRun], now: Time) -> Crash {
    let server = backend.server();
    let ended_at = runs.iter().map(|run| run.broken_at).min().unwrap_or(now);
    let suspects = runs.iter().filter(|run| !run.has_got_through());
    Crash {
        process: link::digest(&format!("{}/{}", server.id, server.started_ms)),
        address: link::digest(&server.address.to_string()),
        age_ms: millis(now - ended_at),
        runs: suspects.map(|run| run.told(ended_at)).collect(),
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns whether the server's port is closed although its machine responds: its process has ended.
/// A machine that is cut off, frozen or gone does not respond, and a process that only resets its
/// connections accepts new ones.
async fn refuses_connections(backend: &Backend) -> bool {
    let address = backend.server().address;
    match Channel::connect(address, PROBE_TIMEOUT).await {
        Err(Error::Connect(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn log_end(backend: &Backend, runs: &[BrokenRun]) {
    let server = backend.server();
    report::warn(
        "server_ended",
        &[
            ("server", &server.id),
            ("addr", &server.address),
            ("started_ms", &server.started_ms),
            ("runs", &runs.len()),
        ],
    );
    for run in runs.iter().take(MAX_LOGGED) {
        let answered_ms = run.answered_for().map(|time| time.as_millis().to_string());
        report::info(
            "run_ended",
            &[
                ("request", &run.job.head.id),
                ("server", &server.id),
                ("route", &run.job.route.name),
                ("model", &run.job.model().map_or("", |name| &name.model)),
                ("method", &run.job.method),
                ("target", &run.job.target),
                ("prompt", &prompt(&run.job.head.prompt)),
                ("answered_ms", &answered_ms.unwrap_or_default()),
            ],
        );
    }
}

/// Returns the ids of a prompt's parts as text.
fn prompt(parts: &[Part]) -> String {
    let ids: Vec<_> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

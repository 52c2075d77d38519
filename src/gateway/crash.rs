//! Notices that a server's process has ended, and which requests were at work there.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::time::sleep;

use super::{
    backend::Backend,
    job::Job, //
};
use crate::{
    dispatch::Part,
    http::{
        Channel,
        Error, //
    },
    report,
    timer::Time, //
};

/// Time in which the connections of a process that has ended break.
const COLLECTION_TIME: Duration = Duration::from_millis(20);

/// Timeout for a new connection to a server whose connections broke. Only a refusal shows that the
/// process has ended, and it comes within one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of requests of one server that are logged.
const MAX_LOGGED: usize = 32;

/// A request whose connection broke while a server worked on it.
#[derive(Debug)]
pub(super) struct BrokenRun {
    job: Rc<Job>,
    /// When the first byte of the body arrived, if any did.
    began_at: Option<Time>,
    broken_at: Time,
}

impl BrokenRun {
    pub(super) fn new(job: &Rc<Job>, began_at: Option<Time>) -> Self {
        Self {
            job: job.clone(),
            began_at,
            broken_at: Time::now(),
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
pub(super) fn record(backend: &Rc<Backend>, run: BrokenRun) {
    let mut runs = backend.broken_runs.borrow_mut();
    runs.push(run);
    if runs.len() == 1 {
        tokio::task::spawn_local(examine(backend.clone()));
    }
}

/// Finds out whether the process ended under the requests whose connections broke.
async fn examine(backend: Rc<Backend>) {
    let is_leaving = !backend.is_ready();
    sleep(COLLECTION_TIME).await;
    let has_ended = !is_leaving && refuses_connections(&backend).await;
    let runs = backend.broken_runs.take();
    if has_ended {
        log_end(&backend, &runs);
    }
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

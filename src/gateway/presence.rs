//! Watches whether the processes at which requests are at work still exist.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::watch,
    time::sleep, //
};

use super::backend::Backend;
use crate::{
    dispatch::{
        Cause,
        Detector,
        Probe,
        Run, //
    },
    http::{
        Channel,
        Error, //
    },
    report,
    timer::Time, //
};

/// Interval at which a server with requests in flight is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a probe. A refusal comes within one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of what a loader is last known to have reported of its engine: a report is missing
/// after 0.5 s, and a silent hub is given up after 1 s.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// What a gateway knows of the processes of one server.
#[derive(Debug, Default)]
pub(super) struct Presence {
    detector: RefCell<Detector>,
    /// The latest start that is known, as the server names it; 0 if none is.
    started_ms: Cell<u64>,
    is_watched: Cell<bool>,
    /// Notified when there may be new evidence.
    changes: watch::Sender<()>,
}

impl Presence {
    /// Records that bytes of a response arrived.
    pub(super) fn record_heard(&self, now: Time) {
        self.detector.borrow_mut().record_heard(now);
    }

    /// Records a start that a loader reported.
    pub(super) fn record_reported_start(&self, started_ms: u64) {
        self.record_start(started_ms, MAX_REPORT_AGE);
    }

    /// Records a start that became known, at most `age` after it happened.
    pub(super) fn record_start(&self, started_ms: u64, age: Duration) {
        let known = self.started_ms.get();
        if started_ms <= known {
            return;
        }
        self.started_ms.set(started_ms);
        if known > 0 {
            let mut detector = self.detector.borrow_mut();
            detector.record_restart(age, Time::now());
            self.changes.send_replace(());
        }
    }

    /// Records that the store no longer lists the server.
    pub(super) fn record_unlisted(&self) {
        self.detector.borrow_mut().set_listed(false);
        self.changes.send_replace(());
    }

    /// Waits until the process that runs a request is known to have ended.
    pub(super) async fn ended(&self, run: &Cell<Run>) -> Cause {
        let mut changes = self.changes.subscribe();
        loop {
            let cause = self.detector.borrow().cause(&run.get(), Time::now());
            if let Some(cause) = cause {
                return cause;
            }
            // Waiting can't fail: the sender lives as long as its borrower.
            let _ = changes.changed().await;
        }
    }
}

/// Watches a server from now on until no request is in flight there.
pub(super) fn watch(backend: &Rc<Backend>) {
    if !backend.presence.is_watched.replace(true) {
        backend.presence.record_heard(Time::now());
        tokio::task::spawn_local(check(backend.clone()));
    }
}

async fn check(backend: Rc<Backend>) {
    let presence = &backend.presence;
    loop {
        sleep(CHECK_INTERVAL).await;
        if backend.in_flight.get() == 0 {
            break;
        }
        let is_due = presence.detector.borrow().is_probe_due(Time::now());
        if is_due && !is_vouched_for(&backend) {
            let began = Time::now();
            let probe = probe(&backend).await;
            log_probe(&backend, probe);
            let mut detector = presence.detector.borrow_mut();
            detector.record_probe(probe, began, Time::now());
            presence.changes.send_replace(());
        }
    }
    presence.is_watched.set(false);
}

/// Returns whether a loader beside the server says that the process which is known here responds.
fn is_vouched_for(backend: &Backend) -> bool {
    let started_ms = backend.presence.started_ms.get();
    let holdings = backend.holdings.borrow();
    let holdings = holdings.as_ref();
    holdings.is_some_and(|known| known.is_responsive && known.started_ms == started_ms)
}

/// Opens a connection to the server's port, which the next request uses.
async fn probe(backend: &Backend) -> Probe {
    match Channel::connect(backend.server().address, PROBE_TIMEOUT).await {
        Ok(channel) => {
            backend.keep(channel, None);
            Probe::Accepted
        }
        Err(Error::Connect(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            refusal(backend)
        }
        Err(_) => Probe::Unanswered,
    }
}

/// Returns what a refused connection says. A server that leaves may close its port while it still
/// ends its requests.
fn refusal(backend: &Backend) -> Probe {
    let is_listed = backend.presence.detector.borrow().is_listed();
    if backend.is_ready() && is_listed {
        Probe::Refused
    } else {
        Probe::Unanswered
    }
}

fn log_probe(backend: &Backend, probe: Probe) {
    let server = backend.server();
    report::info(
        "server_probed",
        &[
            ("server", &server.id),
            ("result", &probe.as_str()),
            ("in_flight", &backend.in_flight.get()),
        ],
    );
}

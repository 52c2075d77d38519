//! Decides from evidence whether the process that runs a request still exists.
//!
//! The load: a server's process or machine ends without a word, so that the connections to it stay
//! open here, while clients wait whose requests can't be sent to another server.

use std::time::Duration;

use crate::timer::Time;

/// Time without a byte from a server after which its port is probed.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// Maximum pause between two probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(4_000);

/// Pause between two probes of a server that answers none.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(1_000);

/// Number of probes without an answer that show that a server which is no longer listed is gone. One
/// may be lost on the way.
const MIN_UNANSWERED: u32 = 2;

/// Minimum gap in a stream after which clients leave it.
const MIN_CLIENT_GAP: Duration = Duration::from_millis(2_000);

/// Multiple of the latency objective after which clients leave a stream.
const CLIENT_GAP_FACTOR: u32 = 4;

/// Multiple of that gap after which nobody reads the rest of a stream.
const UNREAD_FACTOR: u32 = 2;

/// Result of a probe, which opens a connection to a server's port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// A process accepts connections at the port.
    Accepted,
    /// The machine says that no process has the port.
    Refused,
    /// Nothing came back.
    Unanswered,
}

impl Probe {
    /// Returns the name of the result in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Why the process that runs a request is held to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its port refuses connections.
    Refused,
    /// The server has started anew.
    Restarted,
    /// The server is no longer listed and doesn't answer.
    Gone,
    /// The server doesn't answer, and for so long that no client reads on.
    Unreachable,
}

impl Cause {
    /// Returns the name of the cause in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "server_ended",
            Self::Restarted => "server_restarted",
            Self::Gone => "server_gone",
            Self::Unreachable => "server_unreachable",
        }
    }
}

/// A request that a server runs.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// When the connection was opened on which the request was sent.
    pub connected_at: Time,
    /// When the newest byte of the response arrived, or the request was sent.
    pub heard_at: Time,
    /// Latency objective of the route, if the response is a stream that has begun.
    pub stream_objective: Option<Duration>,
}

/// Evidence about the processes of one server.
///
/// Silence alone ends nothing: a slow server, a frozen one and one behind a cut are silent too.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::{Cause, Detector, Probe, Run};
/// use chestnuthub::timer::Time;
///
/// let at = Time::from_millis;
/// let run = Run { connected_at: at(0), heard_at: at(100), stream_objective: None };
/// let mut detector = Detector::default();
/// detector.record_heard(at(100));
/// assert!(!detector.is_probe_due(at(500)));
/// assert!(detector.is_probe_due(at(700)));
/// assert_eq!(detector.cause(&run, at(700)), None);
/// detector.record_probe(Probe::Refused, at(700), at(701));
/// assert_eq!(detector.cause(&run, at(701)), Some(Cause::Refused));
/// ```
#[derive(Debug)]
pub struct Detector {
    heard_at: Time,
    /// When the next probe is due, if one was made since the server was last heard.
    next_probe: Option<Time>,
    pause: Duration,
    /// When a probe began that was refused.
    refused_at: Option<Time>,
    /// Connections that were opened before this time led to a process that has ended.
    restarted_after: Option<Time>,
    /// Number of probes without an answer since the server was last heard, and when the first began.
    unanswered: u32,
    unanswered_since: Time,
    is_listed: bool,
}

impl Default for Detector {
    fn default() -> Self {
        Self {
            heard_at: Time::ZERO,
            next_probe: None,
            pause: PROBE_AFTER,
            refused_at: None,
            restarted_after: None,
            unanswered: 0,
            unanswered_since: Time::ZERO,
            is_listed: true,
        }
    }
}

impl Detector {
    /// Records that bytes of a response arrived, or that a request is sent while none is under way.
    pub fn record_heard(&mut self, now: Time) {
        self.heard_at = now;
        self.next_probe = None;
        self.pause = PROBE_AFTER;
        self.unanswered = 0;
    }

    /// Returns whether the server's port is to be probed now.
    pub fn is_probe_due(&self, now: Time) -> bool {
        now >= self.next_probe.unwrap_or(self.heard_at + PROBE_AFTER)
    }

    /// Records the result of a probe that began at `began`.
    pub fn record_probe(&mut self, probe: Probe, began: Time, now: Time) {
        match probe {
            Probe::Accepted => {
                self.unanswered = 0;
                self.pause = (self.pause * 2).min(MAX_PROBE_PAUSE);
            }
            Probe::Refused => {
                self.unanswered = 0;
                self.refused_at = Some(began);
                self.pause = UNANSWERED_PAUSE;
            }
            Probe::Unanswered => {
                if self.unanswered == 0 {
                    self.unanswered_since = began;
                }
                self.unanswered += 1;
                self.pause = UNANSWERED_PAUSE;
            }
        }
        self.next_probe = Some(now + self.pause);
    }

    /// Records that a later start of the server became known, which may have happened at most `age`
    /// ago.
    pub fn record_restart(&mut self, age: Duration, now: Time) {
        self.restarted_after = Some(now.before(age));
    }

    /// Records whether the store lists the server.
    pub fn set_listed(&mut self, is_listed: bool) {
        self.is_listed = is_listed;
    }

    /// Returns whether the store lists the server.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns why the process that runs a request is gone; `None` while it may be at work.
    pub fn cause(&self, run: &Run, now: Time) -> Option<Cause> {
        let is_before =
            |at: Option<Time>| at.is_some_and(|at| run.connected_at < at && run.heard_at < at);
        if is_before(self.refused_at) {
            return Some(Cause::Refused);
        }
        if is_before(self.restarted_after) {
            return Some(Cause::Restarted);
        }
        if self.unanswered < MIN_UNANSWERED || run.heard_at > self.unanswered_since {
            return None;
        }
        if !self.is_listed {
            return Some(Cause::Gone);
        }
        let unread_after = unread_after(run.stream_objective?);
        (now - self.unanswered_since >= unread_after).then_some(Cause::Unreachable)
    }
}

/// Returns the time without an event after which no client reads a stream any more: clients leave
/// one after [`CLIENT_GAP_FACTOR`] objectives, or later where its pauses are long.
fn unread_after(objective: Duration) -> Duration {
    UNREAD_FACTOR * MIN_CLIENT_GAP.max(CLIENT_GAP_FACTOR * objective)
}

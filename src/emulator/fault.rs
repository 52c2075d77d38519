//! Faults that tests inject into an emulator.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(super) enum Kind {
    /// The call gets a response with the status and has no effect.
    Refuse {
        /// HTTP status.
        #[serde(default = "unavailable")]
        status: u16,
    },
    /// The connection is closed without a response, and the call has no effect.
    DropBefore,
    /// The connection is closed without a response after the call took effect.
    DropAfter,
    /// The call takes effect after a delay.
    Delay {
        /// Delay in ms.
        ms: u64,
    },
    /// The response is delayed after the call took effect.
    DelayAnswer {
        /// Delay in ms.
        ms: u64,
    },
    /// The call takes effect only after the faults are cleared.
    Hold,
    /// The call takes effect, but its response is sent only after the faults are cleared.
    HoldAnswer,
    /// The call takes effect twice and gets one response.
    Duplicate,
    /// Transfers are slowed down while the fault is active, whatever its `method` and `path`. For
    /// checkpoints this includes transfers in progress.
    SlowTransfer {
        /// Factor by which a transfer takes longer.
        factor: f64,
    },
    /// An unload stays in progress until the faults are cleared.
    StuckUnload,
    /// A stream stalls until the faults are cleared.
    StallStream {
        /// Number of events sent before the stream stalls.
        after: u64,
    },
    /// The connection of a stream breaks.
    BreakStream {
        /// Number of events sent before the connection breaks.
        after: u64,
    },
    /// A stream sends an event only when `POST /release` has allowed it.
    HoldTokens,
}

fn unavailable() -> u16 {
    503
}

/// A fault and the calls that it affects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Fault {
    /// What goes wrong.
    #[serde(flatten)]
    pub(super) kind: Kind,
    /// Number of further calls that it affects; if absent, all until it is cleared.
    #[serde(default)]
    pub(super) calls: Option<u64>,
    /// Method of the calls that it affects; if absent, any.
    #[serde(default)]
    pub(super) method: Option<String>,
    /// Prefix of the paths that it affects.
    #[serde(default)]
    pub(super) path: String,
}

impl Fault {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|value| value == method);
        method_fits && path.starts_with(&self.path)
    }
}

/// The faults to inject into one call.
#[derive(Debug, Clone, Default)]
pub(super) struct Injection {
    /// Respond with this status, without effect.
    pub(super) refuse: Option<u16>,
    /// Close the connection before the effect.
    pub(super) drop_before: bool,
    /// Close the connection after the effect.
    pub(super) drop_after: bool,
    /// Delay before the effect.
    pub(super) delay: Duration,
    /// Delay between the effect and the response.
    pub(super) delay_answer: Duration,
    /// Wait until the faults are cleared before the effect.
    pub(super) hold: bool,
    /// Wait until the faults are cleared before the response.
    pub(super) hold_answer: bool,
    /// Execute the call twice.
    pub(super) duplicate: bool,
    /// Keep an unload in progress until the faults are cleared.
    pub(super) stuck_unload: bool,
    /// Number of events of a stream before it stalls.
    pub(super) stall_after: Option<u64>,
    /// Number of events of a stream before its connection breaks.
    pub(super) break_after: Option<u64>,
    /// Send events only when `POST /release` has allowed them.
    pub(super) hold_tokens: bool,
}

impl Injection {
    fn add(&mut self, kind: Kind) {
        match kind {
            Kind::Refuse { status } => self.refuse = Some(status),
            Kind::DropBefore => self.drop_before = true,
            Kind::DropAfter => self.drop_after = true,
            Kind::Delay { ms } => self.delay += Duration::from_millis(ms),
            Kind::DelayAnswer { ms } => self.delay_answer += Duration::from_millis(ms),
            Kind::Hold => self.hold = true,
            Kind::HoldAnswer => self.hold_answer = true,
            Kind::Duplicate => self.duplicate = true,
            // Applies to all transfers, which read it with `slow_factor`.
            Kind::SlowTransfer { .. } => {}
            Kind::StuckUnload => self.stuck_unload = true,
            Kind::StallStream { after } => self.stall_after = Some(after),
            Kind::BreakStream { after } => self.break_after = Some(after),
            Kind::HoldTokens => self.hold_tokens = true,
        }
    }
}

/// The faults of an emulator.
#[derive(Debug)]
pub(super) struct Faults {
    active: Mutex<Vec<Fault>>,
    /// Number of times the faults were cleared; wakes held calls.
    clear_count: watch::Sender<u64>,
}

impl Faults {
    /// Returns an empty set of faults.
    pub(super) fn new() -> Self {
        Self {
            active: Mutex::new(Vec::new()),
            clear_count: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Fault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a fault.
    pub(super) fn add(&self, fault: Fault) {
        self.lock().push(fault);
    }

    /// Removes all faults and lets held calls continue.
    pub(super) fn clear(&self) {
        self.lock().clear();
        self.clear_count.send_modify(|count| *count += 1);
    }

    /// Returns the active faults.
    pub(super) fn list(&self) -> Vec<Fault> {
        self.lock().clone()
    }

    /// Returns the faults to inject into a call, and counts the call against their `calls`.
    pub(super) fn inject(&self, method: &str, path: &str) -> Injection {
        let mut injection = Injection::default();
        let mut active = self.lock();
        for fault in active.iter_mut() {
            if fault.matches(method, path) {
                injection.add(fault.kind);
                fault.calls = fault.calls.map(|calls| calls.saturating_sub(1));
            }
        }
        active.retain(|fault| fault.calls != Some(0));
        injection
    }

    /// Returns the factor by which transfers take longer at present.
    pub(super) fn slow_factor(&self) -> f64 {
        self.lock().iter().fold(1.0, |factor, fault| {
            if let Kind::SlowTransfer { factor: value } = fault.kind {
                factor * value.max(1.0)
            } else {
                factor
            }
        })
    }

    /// Returns a receiver that changes when the faults are cleared.
    pub(super) fn subscribe_clear(&self) -> watch::Receiver<u64> {
        self.clear_count.subscribe()
    }
}

//! Faults that a test asks an emulator to show.

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

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(super) enum Kind {
    /// The call is answered with the status and has no effect.
    Refuse {
        /// HTTP status.
        #[serde(default = "unavailable")]
        status: u16,
    },
    /// The connection is closed without an answer and without an effect.
    DropBefore,
    /// The connection is closed without an answer after the effect.
    DropAfter,
    /// The effect comes late by this many milliseconds.
    Delay {
        /// Milliseconds.
        ms: u64,
    },
    /// The answer comes this many milliseconds after the effect.
    DelayAnswer {
        /// Milliseconds.
        ms: u64,
    },
    /// The effect waits until the faults are cleared.
    Hold,
    /// The effect happens; the answer waits until the faults are cleared.
    HoldAnswer,
    /// The call has its effect twice and is answered once.
    Duplicate,
    /// Transfers take this many times as long.
    SlowTransfer {
        /// How many times as long.
        factor: f64,
    },
    /// An unload stays in progress until the faults are cleared.
    StuckUnload,
    /// A stream stalls after this many events, until the faults are cleared.
    StallStream {
        /// Events that are still sent.
        after: u64,
    },
    /// The connection of a stream breaks after this many events.
    BreakStream {
        /// Events that are still sent.
        after: u64,
    },
    /// A stream sends an event only when `POST /release` permits it.
    HoldTokens,
}

fn unavailable() -> u16 {
    503
}

/// A fault and the calls that it meets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Fault {
    /// What goes wrong.
    #[serde(flatten)]
    pub(super) kind: Kind,
    /// Calls that still meet it; without a number, all until it is cleared.
    #[serde(default)]
    pub(super) calls: Option<u64>,
    /// Method of the calls that meet it, or any.
    #[serde(default)]
    pub(super) method: Option<String>,
    /// Prefix of the paths that meet it.
    #[serde(default)]
    pub(super) path: String,
}

impl Fault {
    fn meets(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|own| own == method);
        method_fits && path.starts_with(&self.path)
    }
}

/// The faults that one call meets.
#[derive(Debug, Clone, Default)]
pub(super) struct Plan {
    /// Status of a refusal.
    pub(super) refuse: Option<u16>,
    /// Close the connection before the effect.
    pub(super) drop_before: bool,
    /// Close the connection after the effect.
    pub(super) drop_after: bool,
    /// Time before the effect.
    pub(super) delay: Duration,
    /// Time between the effect and the answer.
    pub(super) delay_answer: Duration,
    /// Wait for the clearing before the effect.
    pub(super) hold: bool,
    /// Wait for the clearing before the answer.
    pub(super) hold_answer: bool,
    /// Have the effect twice.
    pub(super) duplicate: bool,
    /// Keep an unload in progress until the clearing.
    pub(super) stuck_unload: bool,
    /// Events of a stream before it stalls.
    pub(super) stall_after: Option<u64>,
    /// Events of a stream before its connection breaks.
    pub(super) break_after: Option<u64>,
    /// Send events only when permitted.
    pub(super) hold_tokens: bool,
}

impl Plan {
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
    clearings: watch::Sender<u64>,
}

impl Faults {
    /// Makes an emulator's faults, none at first.
    pub(super) fn new() -> Self {
        Self {
            active: Mutex::new(Vec::new()),
            clearings: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Fault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a fault.
    pub(super) fn add(&self, fault: Fault) {
        self.lock().push(fault);
    }

    /// Ends all faults and lets held calls continue.
    pub(super) fn clear(&self) {
        self.lock().clear();
        self.clearings.send_modify(|count| *count += 1);
    }

    /// Returns the active faults.
    pub(super) fn list(&self) -> Vec<Fault> {
        self.lock().clone()
    }

    /// Returns what a call meets, and counts the call.
    pub(super) fn meet(&self, method: &str, path: &str) -> Plan {
        let mut plan = Plan::default();
        let mut active = self.lock();
        for fault in active.iter_mut() {
            if fault.meets(method, path) {
                plan.add(fault.kind);
                fault.calls = fault.calls.map(|calls| calls.saturating_sub(1));
            }
        }
        active.retain(|fault| fault.calls != Some(0));
        plan
    }

    /// Returns how many times as long a transfer takes now.
    pub(super) fn slow_factor(&self) -> f64 {
        self.lock().iter().fold(1.0, |factor, fault| {
            if let Kind::SlowTransfer { factor: own } = fault.kind {
                factor * own.max(1.0)
            } else {
                factor
            }
        })
    }

    /// Returns a receiver that changes when the faults are cleared.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.clearings.subscribe()
    }
}

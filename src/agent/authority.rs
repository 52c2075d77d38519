//! Decides whether an agent process may send orders to its engine.

use std::time::Duration;

use uuid::Uuid;

use crate::{
    decision::Table,
    id,
    timer::Time, //
};

/// Maximum age of the last read of the log for an order to be sent without another read.
pub const ORDER_FRESHNESS: Duration = Duration::from_secs(5);

/// Registration state of an agent process, according to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The registration has not been seen in the stream yet.
    Unseen,
    /// The process is the current agent of the server.
    Held {
        /// Log offset of the registration.
        epoch: u64,
        /// Fencing token for orders.
        fence: u64,
        /// Whether the epoch followed that of another process, which may still be running.
        succeeds: bool,
    },
    /// A newer process is the current agent of the server, with this epoch.
    Superseded(u64),
    /// The server was declared gone.
    Gone,
}

impl Standing {
    /// Returns whether the process may start to send orders; `registered_at` is the time at which
    /// its registration was seen in the stream.
    ///
    /// A previous process that has not read this registration sends orders until its last read is
    /// older than [`ORDER_FRESHNESS`]. An engine that does not check fencing tokens would carry
    /// them out, so the process waits that long for such an engine.
    pub fn may_issue_orders(
        self,
        registered_at: Option<Time>,
        checks_fence: bool,
        now: Time,
    ) -> bool {
        let Self::Held { succeeds, .. } = self else {
            return false;
        };
        checks_fence || !succeeds || registered_at.is_some_and(|at| now - at > ORDER_FRESHNESS)
    }

    /// Returns the standing of a process; `seen` is whether its registration was seen in the stream.
    pub fn new(table: &Table, server: &id::Instance, incarnation: Uuid, seen: bool) -> Self {
        match table.epoch(server) {
            Some(epoch) if epoch.incarnation == incarnation => Self::Held {
                epoch: epoch.offset,
                fence: epoch.fence,
                succeeds: epoch.succeeds,
            },
            _ if !seen => Self::Unseen,
            Some(epoch) => Self::Superseded(epoch.offset),
            None => Self::Gone,
        }
    }
}

/// A read of the log that was made to check whether an order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Start time of the read.
    pub began: Time,
    /// Whether it showed that a newer agent has registered, or `None` if the log did not answer.
    pub has_successor: Option<bool>,
}

/// Checks whether an order may be sent now. `last_read` is the time of the last successful read of
/// the log, and `attempt` is the read that was made because `last_read` was too old.
///
/// A recent attempt allows the order even if it failed, since it shows that the process has not
/// been paused in the meantime.
///
/// # Errors
///
/// Returns the reason why the order may not be sent.
///
/// # Examples
///
/// ```
/// use chestnuthub::{agent::authority, timer::Time};
/// use std::time::Duration;
///
/// let read = Time::from_millis(1_000);
/// assert!(authority::check(Some(read), None, read + Duration::from_secs(5)).is_ok());
/// assert!(authority::check(Some(read), None, read + Duration::from_secs(6)).is_err());
/// ```
pub fn check(
    last_read: Option<Time>,
    attempt: Option<Attempt>,
    now: Time,
) -> Result<(), &'static str> {
    if is_fresh(last_read, now) {
        return Ok(());
    }
    match attempt {
        Some(Attempt {
            has_successor: Some(true),
            ..
        }) => Err("a newer agent has registered"),
        Some(Attempt { began, .. }) if now - began <= ORDER_FRESHNESS => Ok(()),
        _ => Err("the last read of the log is too old"),
    }
}

/// Returns whether the last successful read of the log is recent enough for an order.
pub fn is_fresh(last_read: Option<Time>, now: Time) -> bool {
    last_read.is_some_and(|at| now - at <= ORDER_FRESHNESS)
}

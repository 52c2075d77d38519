//! Decides whether an agent process may give its engine orders. Pure.

use std::time::Duration;

use uuid::Uuid;

use crate::{
    decision::Table,
    id,
    timer::Time, //
};

/// Age of the last read of the log beyond which an order needs a read of its own.
pub const ORDER_FRESHNESS: Duration = Duration::from_secs(5);

/// What the table says about an agent process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The registration is not in the stream yet.
    Unseen,
    /// The process is the server's agent.
    Held {
        /// Offset of the registration.
        epoch: u64,
        /// Fencing number of orders.
        fence: u64,
        /// Whether it followed the epoch of another process, which may still run.
        succeeds: bool,
    },
    /// A newer process is the server's agent, with this epoch.
    Superseded(u64),
    /// The server was declared gone.
    Gone,
}

impl Standing {
    /// Returns whether the process may begin to give orders; `held` is when its registration was
    /// seen in the stream.
    ///
    /// An earlier process that has not read the registration gives orders for as long as its last
    /// read counts as fresh, and not every engine refuses them.
    pub fn may_begin(self, held: Option<Time>, checks_fence: bool, now: Time) -> bool {
        let Self::Held { succeeds, .. } = self else {
            return false;
        };
        checks_fence || !succeeds || held.is_some_and(|held| now - held > ORDER_FRESHNESS)
    }

    /// Returns the standing of a process; `seen` says whether its registration was in the stream.
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

/// A read of the log that was made for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// When it began.
    pub began: Time,
    /// What it showed: whether a newer agent has registered, or nothing if the log is down.
    pub newer: Option<bool>,
}

/// Returns whether an order may be given now. `news` is the time of the last read that succeeded,
/// and `attempt` the read that was made because that was too old.
///
/// An attempt that began a short time ago, even a failed one, shows that the process was not
/// paused since.
///
/// # Errors
///
/// Returns the reason against it.
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
pub fn check(news: Option<Time>, attempt: Option<Attempt>, now: Time) -> Result<(), &'static str> {
    if is_fresh(news, now) {
        return Ok(());
    }
    match attempt {
        Some(Attempt {
            newer: Some(true), ..
        }) => Err("a newer agent has registered"),
        Some(Attempt { began, .. }) if now - began <= ORDER_FRESHNESS => Ok(()),
        _ => Err("the last read of the log is too old"),
    }
}

/// Returns whether the last successful read of the log is young enough for an order.
pub fn is_fresh(news: Option<Time>, now: Time) -> bool {
    news.is_some_and(|at| now - at <= ORDER_FRESHNESS)
}

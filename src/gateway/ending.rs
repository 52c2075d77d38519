//! Decides whether a response whose body ended without an error is complete.
//!
//! A length or a last chunk proves that a body is whole. The end of a connection proves nothing: it
//! is closed in the same way after a whole body and by a server that breaks off. Two things speak
//! against such a response: that a stream ends inside an event, and that the server's process has
//! ended at the same time. Without either, the response is passed on without a marked end, so that
//! the client is told no more than is known.

use std::time::Duration;

use tokio::time::sleep;

use super::{
    backend::Backend,
    events::Events, //
};
use crate::http::{
    Error,
    Framing, //
};

/// Time in which the ends of a process's other connections arrive.
const CLOSE_SPREAD: Duration = Duration::from_millis(2);

/// Timeout for a new connection to a server. Only a refusal counts against the response, and it
/// comes within one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a response is not complete although its body ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flaw {
    /// The stream ended inside an event.
    InsideEvent,
    /// The stream ended with its connection before its first event.
    NoEvent,
    /// The body ended with its connection, and the client has been promised a marked end.
    Unmarked,
    /// The body ended with its connection, and the server's process has ended.
    ServerGone,
}

impl Flaw {
    /// Returns the name of the flaw in log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
            Self::Unmarked => "unmarked",
            Self::ServerGone => "server_gone",
        }
    }
}

/// Returns what makes a response incomplete, as far as its bytes show it. `client_framing` is how the
/// end of the response is marked for the client.
pub(super) fn flaw(framing: Framing, events: &Events, client_framing: Framing) -> Option<Flaw> {
    if events.is_inside_event() {
        return Some(Flaw::InsideEvent);
    }
    if framing != Framing::Connection {
        return None;
    }
    if events.is_empty_stream() {
        return Some(Flaw::NoEvent);
    }
    (client_framing != Framing::Connection).then_some(Flaw::Unmarked)
}

/// Returns whether a server's process has ended: none of its connections is open, and it refuses new
/// ones. A server that is known to leave may close its port before its process ends in order.
pub(super) async fn is_gone(backend: &Backend) -> bool {
    if !backend.is_ready() {
        return false;
    }
    sleep(CLOSE_SPREAD).await;
    if backend.pool.has_open() {
        return false;
    }
    match backend.pool.take(PROBE_TIMEOUT).await {
        Ok((channel, _)) => {
            backend.keep(channel, None);
            false
        }
        Err(Error::Connect(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

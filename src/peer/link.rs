//! A connection that this daemon opened to a peer. It is closed when unused, and replaced when
//! nothing is received on it any more.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use quinn::{
    Connection,
    ConnectionStats,
    VarInt, //
};

use crate::timer::Time;

/// Time without exchanges after which a connection is closed. If unused connections stayed open,
/// the number of keep-alive packets would grow with the number of daemons.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without any packet from a peer, counted from the opening of an exchange, after which a new
/// connection is tried. QUIC reports a lost connection only after the idle timeout, and until then
/// no request sent on it gets a response.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that this daemon opened.
#[derive(Debug)]
pub(super) struct Link {
    addr: SocketAddr,
    connection: Connection,
    /// Cloned into each open exchange; the reference count shows whether any exchange is open.
    exchanges: Arc<()>,
    /// Number of UDP datagrams received until `counted_at`.
    received_datagrams: u64,
    /// Time of the first exchange that was opened after the last datagram arrived.
    counted_at: Time,
    last_used: Time,
}

/// Result of looking for a connection to a peer.
pub(super) enum Existing {
    /// There is no open connection to the peer's address.
    None,
    /// An open connection, with the guard that the new exchange must hold.
    Usable(Connection, Arc<()>),
    /// An open connection on which nothing is received any more.
    Silent(Connection),
}

impl Link {
    pub(super) fn new(addr: SocketAddr, connection: Connection, now: Time) -> Self {
        Self {
            addr,
            received_datagrams: received_datagrams(&connection),
            connection,
            exchanges: Arc::new(()),
            counted_at: now,
            last_used: now,
        }
    }

    /// Returns the guard that each exchange holds while it is open.
    pub(super) fn guard(&self) -> Arc<()> {
        self.exchanges.clone()
    }

    pub(super) fn stats(&self) -> ConnectionStats {
        self.connection.stats()
    }

    /// Returns the connection for a new exchange with the peer at `addr`.
    pub(super) fn reuse(&mut self, addr: SocketAddr, now: Time) -> Existing {
        if self.addr != addr || self.connection.close_reason().is_some() {
            return Existing::None;
        }
        if self.is_silent(now) {
            return Existing::Silent(self.connection.clone());
        }
        self.last_used = now;
        Existing::Usable(self.connection.clone(), self.guard())
    }

    /// Closes the connection if it has no exchange and none was opened on it within
    /// `UNUSED_TIMEOUT`. Returns whether it was closed.
    pub(super) fn close_if_unused(&self, now: Time) -> bool {
        let in_use = Arc::strong_count(&self.exchanges) > 1;
        if in_use || now - self.last_used <= UNUSED_TIMEOUT {
            return false;
        }
        self.connection.close(VarInt::from_u32(0), b"unused");
        true
    }

    /// Returns whether an exchange was opened more than `SILENCE_TIMEOUT` ago and nothing has been
    /// received since then.
    fn is_silent(&mut self, now: Time) -> bool {
        let received = received_datagrams(&self.connection);
        if received == self.received_datagrams {
            return now - self.counted_at > SILENCE_TIMEOUT;
        }
        self.received_datagrams = received;
        self.counted_at = now;
        false
    }
}

fn received_datagrams(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

//! A connection to a peer and what was last heard on it.

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

/// Time after which a connection without exchanges is closed. Without it the packets that keep
/// connections alive would grow with the number of daemons.
const UNUSED_LIMIT: Duration = Duration::from_secs(15);

/// Time without any packet from a peer that was sent something, after which a new connection is
/// tried. The loss of a connection shows only after the idle timeout, and every request that is
/// sent on it until then waits in vain.
const SILENCE: Duration = Duration::from_secs(1);

/// A connection that this side opened.
#[derive(Debug)]
pub(super) struct Link {
    addr: SocketAddr,
    connection: Connection,
    /// Held by each open exchange as well.
    exchanges: Arc<()>,
    /// Packets received when an exchange was opened at `asked_at`.
    received: u64,
    asked_at: Time,
    last_used: Time,
}

/// What is known of the connection to a peer.
pub(super) enum Existing {
    /// There is none that can be used.
    None,
    /// The connection, with a guard for the exchange.
    Usable(Connection, Arc<()>),
    /// A connection on which nothing is heard any more.
    Silent(Connection),
}

impl Link {
    pub(super) fn new(addr: SocketAddr, connection: Connection, now: Time) -> Self {
        Self {
            addr,
            received: received(&connection),
            connection,
            exchanges: Arc::new(()),
            asked_at: now,
            last_used: now,
        }
    }

    /// Returns what each exchange holds while it is open.
    pub(super) fn guard(&self) -> Arc<()> {
        self.exchanges.clone()
    }

    pub(super) fn stats(&self) -> ConnectionStats {
        self.connection.stats()
    }

    /// Returns the connection for another exchange with the peer at `addr`.
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

    /// Closes the connection if no exchange has used it for a while; returns whether it did.
    pub(super) fn close_if_unused(&self, now: Time) -> bool {
        let in_use = Arc::strong_count(&self.exchanges) > 1;
        if in_use || now - self.last_used <= UNUSED_LIMIT {
            return false;
        }
        self.connection.close(VarInt::from_u32(0), b"unused");
        true
    }

    /// Returns whether nothing was received since an exchange was opened a while ago.
    fn is_silent(&mut self, now: Time) -> bool {
        let received = received(&self.connection);
        if received == self.received {
            return now - self.asked_at > SILENCE;
        }
        self.received = received;
        self.asked_at = now;
        false
    }
}

fn received(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

//! Pool of idle connections to one address.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

use super::{
    Channel,
    Error, //
};

/// Maximum number of idle connections that are kept.
const MAX_IDLE: usize = 32;

/// Idle connections to one address.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<(Channel, Instant)>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Takes an idle connection or opens a new one. The flag is true if the connection is new.
    pub(crate) async fn take(&self, connect_timeout: Duration) -> Result<(Channel, bool), Error> {
        if let Some(channel) = self.take_idle() {
            return Ok((channel, false));
        }
        Ok((self.connect(connect_timeout).await?, true))
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self, connect_timeout: Duration) -> Result<Channel, Error> {
        Channel::connect(self.address, connect_timeout).await
    }

    fn take_idle(&self) -> Option<Channel> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(channel, expires_at)| *expires_at > now && !channel.is_closed());
        // Take the most recently used one, so that the others reach their idle timeout and are
        // closed.
        let index = idle.iter().rposition(|(channel, _)| channel.is_ready())?;
        Some(idle.remove(index).0)
    }

    /// Keeps a connection for reuse for at most `idle_timeout`. It is reused only once its request
    /// and response are complete.
    pub(crate) fn put(&self, channel: Channel, idle_timeout: Duration) {
        let mut idle = self.idle.borrow_mut();
        if !channel.is_closed() && idle.len() < MAX_IDLE {
            idle.push((channel, Instant::now() + idle_timeout));
        }
    }

    /// Returns whether an idle connection is open.
    pub(crate) fn has_open(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|(channel, _)| !channel.is_closed())
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

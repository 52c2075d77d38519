//! Connections to one address that are kept for reuse.

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

/// Most idle connections that are kept.
const MAX_IDLE: usize = 32;

/// Idle connections to one address.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<(Channel, Instant)>>,
}

impl Pool {
    /// Makes a pool without connections.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Takes an idle connection, or makes one. The flag tells whether it is a new one.
    pub(crate) async fn take(&self, within: Duration) -> Result<(Channel, bool), Error> {
        if let Some(channel) = self.take_idle() {
            return Ok((channel, false));
        }
        Ok((Channel::connect(self.address, within).await?, true))
    }

    fn take_idle(&self) -> Option<Channel> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(channel, until)| *until > now && !channel.is_closed());
        // The most recent one first, so that the others run into their limit and are closed.
        let index = idle.iter().rposition(|(channel, _)| channel.is_ready())?;
        Some(idle.remove(index).0)
    }

    /// Keeps a connection for reuse within `keep`. It is reused once the answer and the request
    /// are complete.
    pub(crate) fn put(&self, channel: Channel, keep: Duration) {
        let mut idle = self.idle.borrow_mut();
        if !channel.is_closed() && idle.len() < MAX_IDLE {
            idle.push((channel, Instant::now() + keep));
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

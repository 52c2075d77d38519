//! The component of the daemon that serves requests: an entry or an agent.

use std::{
    io,
    time::Duration, //
};

use crate::{
    agent::Agent,
    context::Context,
    entry::Entry,
    gossip,
    report,
    settings::Role, //
};

/// Time for which an entry still accepts requests after SIGTERM or SIGINT, so that the load
/// balancer can react.
const SHUTDOWN_DELAY: Duration = Duration::from_secs(3);

/// Timeout for the requests in flight at shutdown. For an entry, it includes `SHUTDOWN_DELAY`.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(300);

/// The component that serves requests, chosen by the role in the settings.
#[derive(Debug, Clone)]
pub(super) enum Component {
    Agent(Agent),
    Entry(Box<Entry>),
}

impl Component {
    /// Starts the component of the configured role.
    pub(super) fn start(context: &Context) -> io::Result<Self> {
        Ok(match &context.settings.role {
            Role::Agent(settings) => Self::Agent(Agent::start(context.clone(), settings)?),
            Role::Entry(settings) => {
                Self::Entry(Box::new(Entry::start(context.clone(), settings)?))
            }
        })
    }

    /// Stops taking new requests and waits until those in flight have ended, up to `DRAIN_TIMEOUT`.
    pub(super) async fn drain(&self, node: &gossip::Node) {
        if tokio::time::timeout(DRAIN_TIMEOUT, self.drain_without_timeout(node))
            .await
            .is_err()
        {
            report::warn("drain_limit", &[("limit_s", &DRAIN_TIMEOUT.as_secs())]);
        }
    }

    async fn drain_without_timeout(&self, node: &gossip::Node) {
        match self {
            Self::Agent(agent) => {
                agent.leave();
                node.announce_leaving();
                agent.drained().await;
            }
            Self::Entry(entry) => {
                tokio::time::sleep(SHUTDOWN_DELAY).await;
                entry.drained().await;
            }
        }
    }
}

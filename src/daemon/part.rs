//! The part of the daemon that its role asks for.

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

/// Time for which requests are still accepted after SIGTERM while the balancer reacts.
const LAME_DUCK: Duration = Duration::from_secs(3);

/// Longest time for which requests in flight are waited for at shutdown.
const DRAIN_LIMIT: Duration = Duration::from_secs(300);

/// The part of the daemon that its role asks for.
#[derive(Debug, Clone)]
pub(super) enum Part {
    Agent(Agent),
    Entry(Box<Entry>),
}

impl Part {
    /// Starts the part.
    pub(super) fn start(context: &Context) -> io::Result<Self> {
        Ok(match &context.settings.role {
            Role::Agent(settings) => Self::Agent(Agent::start(context.clone(), settings)?),
            Role::Entry(settings) => {
                Self::Entry(Box::new(Entry::start(context.clone(), settings)?))
            }
        })
    }

    /// Takes no new work and waits until the requests in flight have ended.
    pub(super) async fn drain(&self, node: &gossip::Node) {
        if tokio::time::timeout(DRAIN_LIMIT, self.drained(node))
            .await
            .is_err()
        {
            report::warn("drain_limit", &[("limit_s", &DRAIN_LIMIT.as_secs())]);
        }
    }

    async fn drained(&self, node: &gossip::Node) {
        match self {
            Self::Agent(agent) => {
                agent.leave();
                node.announce_leaving();
                agent.drained().await;
            }
            Self::Entry(entry) => {
                tokio::time::sleep(LAME_DUCK).await;
                entry.drained().await;
            }
        }
    }
}

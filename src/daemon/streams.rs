//! Keeps a daemon's view up to date from two streams of the log and from the instance list.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use crate::{
    catalogue::Catalogue,
    client::list::{
        self,
        List, //
    },
    context::Context,
    decision::Table,
    follow::{
        self,
        Fold,
        Stream, //
    },
    id,
    rank,
    timer,
    view::View, //
};

/// Interval between checks for whether a snapshot is due.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(5);

const SECONDS_PER_HOUR: u64 = 3_600;

/// The streams of the log that every entry and agent follows.
#[derive(Debug, Clone)]
pub(super) struct Streams {
    pub(super) releases: Arc<Stream<Catalogue>>,
    pub(super) decisions: Arc<Stream<Table>>,
}

impl Streams {
    /// Starts to update the view from the streams and the instance list.
    pub(super) fn follow(context: &Context) -> io::Result<Self> {
        let (log, view) = (&context.log, &context.view);
        let streams = Self {
            releases: Arc::new(Stream::new(log.clone(), view.clone(), View::set_catalogue)),
            decisions: Arc::new(Stream::new(log.clone(), view.clone(), View::set_table)),
        };
        streams.releases.follow()?;
        streams.decisions.follow()?;
        let list = List::new(&context.settings.platform.list);
        let view = view.clone();
        let mut etag = None;
        timer::spawn_periodic("list", follow::LIST_POLL_PERIOD, move |_| {
            follow::poll_instances(&list, &view, &mut etag);
            true
        })?;
        Ok(streams)
    }

    /// Starts the periodic check that appends a snapshot when one is due from this agent.
    pub(super) fn write_snapshots(&self, context: &Context) -> io::Result<()> {
        let view = context.view.clone();
        let name = context.settings.instance.clone();
        let hours = context.settings.platform.log_retention_h;
        let retention = Duration::from_secs(hours.saturating_mul(SECONDS_PER_HOUR));
        let streams = self.clone();
        timer::spawn_periodic("snapshots", SNAPSHOT_PERIOD, move |now| {
            if let Some(rank) = agent_rank(&view, Catalogue::STREAM, &name) {
                streams.releases.write_snapshot(now, retention, rank);
            }
            if let Some(rank) = agent_rank(&view, Table::STREAM, &name) {
                streams.decisions.write_snapshot(now, retention, rank);
            }
            true
        })
    }
}

/// Returns the rank of the agent `name` in the order of the live agents for the stream.
fn agent_rank(view: &View, stream: &str, name: &id::Instance) -> Option<usize> {
    let instances = view.instances();
    let agents = instances.iter().filter(|instance| {
        instance.role == list::Role::Agent && instance.state == list::State::Live
    });
    let ranked = rank::order(stream, agents.map(|instance| instance.name.as_str()));
    ranked.iter().position(|agent| *agent == name.as_str())
}

//! The daemon: starts the parts of its role and stops them gracefully.

use std::{
    fmt,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::Arc,
    time::Duration, //
};

use bpaf::{
    OptionParser,
    Parser, //
};
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals,
};
use tokio::{
    runtime::Runtime,
    sync::watch, //
};

use crate::{
    agent::Agent,
    catalogue::Catalogue,
    context::Context,
    decision::Table,
    entry::Entry,
    follow::{
        self,
        Fold,
        Stream, //
    },
    gossip,
    id,
    metrics::Metrics,
    operator,
    peer::{
        self,
        Endpoint,
        Exchange,
        Identity, //
    },
    platform::{
        list::{
            self,
            List, //
        },
        log::Log,
    },
    rank,
    report,
    settings::{
        Role,
        Settings, //
    },
    timer,
    view::View,
    wire::Frame, //
};

/// Time for which requests are still accepted after SIGTERM while the balancer reacts.
const LAME_DUCK: Duration = Duration::from_secs(3);

/// Longest time for which requests in flight are waited for at shutdown.
const DRAIN_LIMIT: Duration = Duration::from_secs(300);

/// Period of checks whether a snapshot is due.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(5);

const SECONDS_PER_HOUR: u64 = 3_600;

/// Why the daemon can't run.
#[derive(Debug)]
enum Error {
    Settings(String),
    Peer(peer::Error),
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(findings) => f.write_str(findings),
            Self::Peer(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl From<peer::Error> for Error {
    fn from(error: peer::Error) -> Self {
        Self::Peer(error)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The part of the daemon that its role asks for.
#[derive(Debug, Clone)]
enum Part {
    Agent(Agent),
    Entry(Box<Entry>),
}

/// The streams that every daemon follows.
#[derive(Debug, Clone)]
struct Streams {
    releases: Arc<Stream<Catalogue>>,
    decisions: Arc<Stream<Table>>,
}

/// Runs `chestnuthubd` and returns its exit code.
pub fn run() -> ExitCode {
    match serve(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnuthubd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> OptionParser<PathBuf> {
    bpaf::long("settings")
        .help("Settings of this instance, JSON with comments")
        .argument::<PathBuf>("FILE")
        .to_options()
        .descr("Serves rarely used models, as an entry or as an agent")
}

fn serve(path: &Path) -> Result<(), Error> {
    let settings = Settings::load(path).map_err(|error| Error::Settings(error.to_string()))?;
    // Fails only when a logger exists already, which then serves as well.
    let _ = report::start(&settings.log_level, settings.instance.as_str());
    let runtime = Runtime::new()?;
    let (stop, stopping) = watch::channel(false);
    let context = context(settings, &runtime, stopping)?;
    let streams = follow_platform(&context)?;
    operator::start(&context)?;
    let part = start(&context)?;
    if let Part::Agent(_) = part {
        write_snapshots(&context, &streams)?;
    }
    let node = gossip(&context, streams, &part);
    runtime.spawn(accept(context.clone(), part.clone(), node.clone()));
    report::info("started", &[("peer_addr", &context.settings.peer_addr)]);
    wait_for_signal()?;
    let _ = stop.send(true);
    runtime.block_on(drain(&part, &node));
    report::info("stopped", &[]);
    context.endpoint.close();
    Ok(())
}

fn context(
    settings: Settings,
    runtime: &Runtime,
    stopping: watch::Receiver<bool>,
) -> Result<Context, Error> {
    let identity = Identity::load(&settings.tls)?;
    let endpoint = {
        let _guard = runtime.enter();
        Endpoint::bind(settings.peer_addr, &identity)?
    };
    Ok(Context {
        log: Log::new(&settings.platform.log),
        settings: Arc::new(settings),
        view: Arc::new(View::default()),
        endpoint,
        runtime: runtime.handle().clone(),
        metrics: Arc::new(Metrics::default()),
        stopping,
    })
}

fn follow_platform(context: &Context) -> io::Result<Streams> {
    let (log, view) = (&context.log, &context.view);
    let streams = Streams {
        releases: Arc::new(Stream::new(log.clone(), view.clone(), View::set_catalogue)),
        decisions: Arc::new(Stream::new(log.clone(), view.clone(), View::set_table)),
    };
    streams.releases.follow()?;
    streams.decisions.follow()?;
    let list = List::new(&context.settings.platform.list);
    let view = view.clone();
    let mut etag = None;
    timer::subscribe("list", follow::LIST_PERIOD, move |_| {
        follow::instances(&list, &view, &mut etag);
        true
    })?;
    Ok(streams)
}

fn write_snapshots(context: &Context, streams: &Streams) -> io::Result<()> {
    let view = context.view.clone();
    let name = context.settings.instance.clone();
    let hours = context.settings.platform.log_retention_h;
    let retention = Duration::from_secs(hours.saturating_mul(SECONDS_PER_HOUR));
    let streams = streams.clone();
    timer::subscribe("snapshots", SNAPSHOT_PERIOD, move |now| {
        if let Some(rank) = agent_rank(&view, Catalogue::STREAM, &name) {
            streams.releases.write_snapshot(now, retention, rank);
        }
        if let Some(rank) = agent_rank(&view, Table::STREAM, &name) {
            streams.decisions.write_snapshot(now, retention, rank);
        }
        true
    })
}

/// Returns the rank of the agent `name` among the live agents for the stream.
fn agent_rank(view: &View, stream: &str, name: &id::Instance) -> Option<usize> {
    let instances = view.instances();
    let agents = instances.iter().filter(|instance| {
        instance.role == list::Role::Agent && instance.state == list::State::Live
    });
    let ranked = rank::order(stream, agents.map(|instance| instance.name.as_str()));
    ranked.iter().position(|agent| *agent == name.as_str())
}

fn gossip(context: &Context, streams: Streams, part: &Part) -> Arc<gossip::Node> {
    let listener = part.clone();
    let node = Arc::new(gossip::Node::new(
        context.settings.instance.clone(),
        context.endpoint.clone(),
        context.view.clone(),
        streams.releases,
        streams.decisions,
        Box::new(move |notice| {
            if let Part::Entry(entry) = &listener {
                entry.note_leaving(&notice.server, notice.epoch);
            }
        }),
    ));
    context.runtime.spawn(node.clone().run());
    node
}

fn start(context: &Context) -> io::Result<Part> {
    Ok(match &context.settings.role {
        Role::Agent(settings) => Part::Agent(Agent::start(context.clone(), settings)?),
        Role::Entry(settings) => Part::Entry(Box::new(Entry::start(context.clone(), settings)?)),
    })
}

async fn accept(context: Context, part: Part, node: Arc<gossip::Node>) {
    while let Some(incoming) = context.endpoint.accept().await {
        let (part, node) = (part.clone(), node.clone());
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            while let Ok((send, receive)) = connection.accept_bi().await {
                let exchange = Exchange::new(send, receive);
                tokio::spawn(answer(part.clone(), node.clone(), exchange));
            }
        });
    }
}

async fn answer(part: Part, node: Arc<gossip::Node>, mut exchange: Exchange) {
    let frame = match exchange.next().await {
        Ok(Some(frame)) => frame,
        Ok(None) => return,
        Err(error) => return report::warn("exchange_failed", &[("error", &error)]),
    };
    match (part, frame) {
        (_, Frame::Heads(heads)) => node.answer(heads, exchange).await,
        (_, Frame::Pull { stream, after }) => node.answer_pull(&stream, after, exchange).await,
        (Part::Agent(agent), Frame::Open(request)) => agent.serve(*request, exchange).await,
        (Part::Agent(agent), Frame::Widen { model }) => {
            agent.widen(&model);
            confirm(exchange).await;
        }
        (Part::Agent(agent), Frame::Drain) => {
            agent.leave();
            node.announce_leaving();
            confirm(exchange).await;
        }
        _ => exchange.cancel(),
    }
}

async fn confirm(mut exchange: Exchange) {
    if exchange.send(&Frame::End).await.is_ok() {
        exchange.finish();
        exchange.flush().await;
    }
}

async fn drain(part: &Part, node: &gossip::Node) {
    let drained = async {
        match part {
            Part::Agent(agent) => {
                agent.leave();
                node.announce_leaving();
                agent.drained().await;
            }
            Part::Entry(entry) => {
                tokio::time::sleep(LAME_DUCK).await;
                entry.drained().await;
            }
        }
    };
    if tokio::time::timeout(DRAIN_LIMIT, drained).await.is_err() {
        report::warn("drain_limit", &[("limit_s", &DRAIN_LIMIT.as_secs())]);
    }
}

fn wait_for_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let signal = signals.forever().next();
    report::info("stopping", &[("signal", &signal.unwrap_or_default())]);
    Ok(())
}

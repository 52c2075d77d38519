//! The daemon: starts the components of its role and shuts them down gracefully.

mod component;
mod error;
mod peers;
mod streams;

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::Arc, //
};

use bpaf::{
    OptionParser,
    Parser,
    construct,
    pure, //
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

use self::{
    component::Component,
    error::Error,
    streams::Streams, //
};
use crate::{
    client::log::Log,
    context::Context,
    gossip,
    hosted::{
        self,
        Role, //
    },
    metrics::Metrics,
    operator,
    peer::{
        Endpoint,
        Identity, //
    },
    report,
    settings::Settings,
    view::View, //
};

/// Runs `chestnuthubd` and returns its exit code.
pub fn run() -> ExitCode {
    let command = options().run();
    let outcome = match command.role {
        Some(role) => hosted::run(role, &command.settings).map_err(Error::Hosted),
        None => run_entry_or_agent(&command.settings),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnuthubd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parsed command line.
#[derive(Debug, Clone)]
struct Command {
    /// Role on the users' platform (gateway or loader). `None` runs an entry or agent, as the
    /// settings say, with this project's own interfaces.
    role: Option<Role>,
    settings: PathBuf,
}

fn options() -> OptionParser<Command> {
    let gateway = role_command(
        "gateway",
        Role::Gateway,
        "Forwards clients' requests to servers",
    );
    let loader = role_command(
        "loader",
        Role::Loader,
        "Gives the engine on this machine its orders",
    );
    let role = pure(None);
    let settings = settings_option();
    let without_role = construct!(Command { role, settings });
    construct!([gateway, loader, without_role])
        .to_options()
        .descr("Serves rarely used models")
}

fn settings_option() -> impl Parser<PathBuf> {
    bpaf::long("settings")
        .help("Settings of this instance, JSON with comments")
        .argument::<PathBuf>("FILE")
}

fn role_command(name: &'static str, role: Role, description: &'static str) -> impl Parser<Command> {
    let role = pure(Some(role));
    let settings = settings_option();
    construct!(Command { role, settings })
        .to_options()
        .descr(description)
        .command(name)
}

/// Runs an entry or agent, as the settings say, until SIGTERM or SIGINT.
fn run_entry_or_agent(path: &Path) -> Result<(), Error> {
    let settings = Settings::load(path).map_err(|error| Error::Settings(error.to_string()))?;
    // Fails only if a logger is already installed; the daemon then logs through that one.
    let _ = report::start(&settings.log_level, settings.instance.as_str());
    let runtime = Runtime::new()?;
    let (stop, stopping) = watch::channel(false);
    let context = create_context(settings, &runtime, stopping)?;
    let streams = Streams::follow(&context)?;
    operator::start(&context)?;
    let component = Component::start(&context)?;
    if let Component::Agent(_) = component {
        streams.write_snapshots(&context)?;
    }
    let node = start_gossip(&context, streams, &component);
    runtime.spawn(peers::accept(
        context.clone(),
        component.clone(),
        node.clone(),
    ));
    report::info("started", &[("peer_addr", &context.settings.peer_addr)]);
    wait_for_signal()?;
    let _ = stop.send(true);
    runtime.block_on(component.drain(&node));
    report::info("stopped", &[]);
    context.endpoint.close();
    Ok(())
}

fn create_context(
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

fn start_gossip(context: &Context, streams: Streams, component: &Component) -> Arc<gossip::Node> {
    let component = component.clone();
    let node = Arc::new(gossip::Node::new(
        context.settings.instance.clone(),
        context.endpoint.clone(),
        context.view.clone(),
        streams.releases,
        streams.decisions,
        Box::new(move |notice| {
            if let Component::Entry(entry) = &component {
                entry.record_leaving(&notice.server, notice.epoch);
            }
        }),
    ));
    context.runtime.spawn(node.clone().run());
    node
}

fn wait_for_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let signal = signals.forever().next();
    report::info("stopping", &[("signal", &signal.unwrap_or_default())]);
    Ok(())
}

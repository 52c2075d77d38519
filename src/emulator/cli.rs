//! Command line of the emulators.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bpaf::{
    OptionParser,
    Parser,
    construct,
    long, //
};

use super::{
    engine,
    log,
    store, //
};

/// Options of the command line.
#[derive(Debug, Clone)]
pub(super) struct Options {
    /// Address to bind; port 0 picks a free one.
    pub(super) listen: SocketAddr,
    /// Whether the process ends when its standard input closes.
    pub(super) until_stdin_closes: bool,
    /// Emulator to run.
    pub(super) command: Command,
}

/// An emulator with its settings.
#[derive(Debug, Clone)]
pub(super) enum Command {
    /// The append-only log service.
    Log(log::Limits),
    /// The instance list.
    List {
        /// Delay after which a change becomes visible.
        lag: Duration,
    },
    /// The weight store.
    Store(store::Limits),
    /// A model engine.
    Engine(engine::Settings),
    /// A plain service.
    Service {
        /// Duration of a call.
        call_time: Duration,
    },
}

/// Returns the parser of the command line.
pub(super) fn parser() -> OptionParser<Options> {
    let log = subcommand(log(), "log", "Emulates the append-only log service");
    let list = subcommand(list(), "list", "Emulates the instance list");
    let store = subcommand(store(), "store", "Emulates the weight store");
    let engine = subcommand(engine(), "engine", "Emulates a model engine");
    let service = subcommand(service(), "service", "Emulates a plain service");
    construct!([log, list, store, engine, service])
        .to_options()
        .descr("Emulators of the systems around chestnuthub")
}

/// Returns the parser of a subcommand, given that of the options particular to it.
fn subcommand<P>(command: P, name: &'static str, description: &'static str) -> impl Parser<Options>
where
    P: Parser<Command> + 'static,
{
    let listen = long("listen")
        .help("Address to bind; port 0 picks a free one")
        .argument::<SocketAddr>("ADDR");
    let until_stdin_closes = long("until-stdin-closes")
        .help("End when standard input closes")
        .switch();
    construct!(Options {
        listen,
        until_stdin_closes,
        command,
    })
    .to_options()
    .descr(description)
    .command(name)
}

fn log() -> impl Parser<Command> {
    let retention = duration_s(
        "retention-s",
        "Time in s for which records are kept",
        172_800,
    );
    let appends_per_s = long("appends-per-s")
        .help("Maximum number of appends accepted per second")
        .argument::<u32>("N")
        .fallback(500);
    let append_time = duration_ms("append-ms", "Duration of an append in ms", 0);
    construct!(log::Limits {
        retention,
        appends_per_s,
        append_time,
    })
    .map(Command::Log)
}

fn list() -> impl Parser<Command> {
    let lag = duration_ms(
        "lag-ms",
        "Delay in ms after which a change becomes visible",
        0,
    );
    construct!(Command::List { lag })
}

fn store() -> impl Parser<Command> {
    let loads_per_s = long("loads-per-s")
        .help("Maximum number of transfers that start per second")
        .argument::<f64>("F")
        .guard(|rate| *rate > 0.0, "the rate must be positive")
        .fallback(1.6);
    let full_speed = long("full-speed")
        .help("Maximum number of concurrent transfers at full speed")
        .argument::<u32>("N")
        .fallback(4);
    let bytes_per_s = long("bytes-per-s")
        .help("Full speed of a transfer in bytes per second")
        .argument::<u64>("N")
        .fallback(1 << 30);
    let adapters_full_speed = long("adapters-full-speed")
        .help("Maximum number of adapters sent concurrently at full speed")
        .argument::<u32>("N")
        .fallback(32);
    let adapter_time = duration_ms(
        "adapter-ms",
        "Time in ms to send an adapter at full speed",
        5,
    );
    construct!(store::Limits {
        loads_per_s,
        full_speed,
        bytes_per_s,
        adapters_full_speed,
        adapter_time,
    })
    .map(Command::Store)
}

fn engine() -> impl Parser<Command> {
    let store = long("store")
        .help("Base URL of the weight store")
        .argument::<String>("URL");
    let memory_mb = long("memory-mb")
        .help("Accelerator memory in MiB")
        .argument::<u64>("N");
    let checks_fence = long("checks-fence")
        .help("Refuse orders with a stale fencing token")
        .switch();
    let token_interval = duration_ms("token-interval-ms", "Time between two tokens in ms", 20);
    let max_running = long("max-running")
        .help("Maximum number of completions that run concurrently")
        .argument::<u32>("N")
        .fallback(8);
    let adapter_time = duration_ms(
        "adapter-ms",
        "Time in ms to apply an adapter after it was fetched",
        0,
    );
    let load_lag = duration_ms("load-lag-ms", "Age of the load report in ms", 500);
    construct!(engine::Settings {
        store,
        memory_mb,
        checks_fence,
        token_interval,
        max_running,
        adapter_time,
        load_lag,
    })
    .map(Command::Engine)
}

fn service() -> impl Parser<Command> {
    let call_time = duration_ms("call-ms", "Duration of a call in ms", 0);
    construct!(Command::Service { call_time })
}

fn duration_ms(name: &'static str, help: &'static str, default: u64) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument::<u64>("N")
        .fallback(default)
        .map(Duration::from_millis)
}

fn duration_s(name: &'static str, help: &'static str, default: u64) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument::<u64>("N")
        .fallback(default)
        .map(Duration::from_secs)
}

//! Load tool `chestnuthub-load`: starts small deployments on loopback and measures them.

mod burst;
mod caller;
mod capacity;
mod demo;
mod deployment;
mod error;
mod fleet;
mod footprint;
mod keys;
mod meter;
mod path;
pub mod policy;
mod process;
mod report;
mod retries;
mod usage;

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use bpaf::{
    OptionParser,
    Parser, //
};

pub use caller::{
    Caller, //
    Response,
};
pub use deployment::{
    CASCADE,
    Deployment,
    TENGIS, //
};
pub use error::Error;
pub use fleet::{
    Daemon,
    Emulator,
    Fleet,
    Plan, //
};
pub use meter::Meter;
pub use process::Process;

#[derive(Debug, Clone)]
enum Command {
    Burst(burst::Settings, report::Output),
    Capacity { json: bool },
    Demo,
    Keys(keys::Settings, report::Output),
    Policy(policy::Options),
    Path(path::Settings, report::Output),
    Retries(retries::Settings, report::Output),
}

/// Runs `chestnuthub-load` and returns its exit code.
pub fn run() -> ExitCode {
    let result = match options().run() {
        Command::Burst(settings, output) => burst::run(&settings, &output),
        Command::Capacity { json } => capacity::run(json),
        Command::Demo => demo::run(),
        Command::Keys(settings, output) => keys::run(&settings, &output),
        Command::Policy(options) => policy::run(&options),
        Command::Path(settings, output) => path::run(&settings, &output),
        Command::Retries(settings, output) => retries::run(&settings, &output),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnuthub-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> OptionParser<Command> {
    let demo = bpaf::pure(Command::Demo)
        .to_options()
        .descr("Starts both deployments in small on loopback and sends requests")
        .command("demo");
    let json = bpaf::long("json")
        .help("Prints JSON in place of a table")
        .switch();
    let capacity = bpaf::construct!(Command::Capacity { json })
        .to_options()
        .descr("Measures the slopes behind the capacity page")
        .command("capacity");
    let policy = policy_options()
        .map(Command::Policy)
        .to_options()
        .descr("Replays seeded traces through the residency policy and its baselines")
        .command("policy");
    let (settings, output) = (path::settings(), report::output());
    let path = bpaf::construct!(Command::Path(settings, output))
        .to_options()
        .descr("Measures what entry and agent add to a stream")
        .command("path");
    let (settings, output) = (burst::settings(), report::output());
    let burst = bpaf::construct!(Command::Burst(settings, output))
        .to_options()
        .descr("Sends a burst of first requests for an idle model")
        .command("burst");
    let (settings, output) = (retries::settings(), report::output());
    let retries = bpaf::construct!(Command::Retries(settings, output))
        .to_options()
        .descr("Counts attempts while an agent is dead")
        .command("retries");
    let (settings, output) = (keys::settings(), report::output());
    let keys = bpaf::construct!(Command::Keys(settings, output))
        .to_options()
        .descr("Measures what the keys of client accounts cost a gateway")
        .command("keys");
    bpaf::construct!([demo, capacity, policy, path, burst, retries, keys])
        .to_options()
        .descr("Starts small systems on loopback and measures them")
}

fn policy_options() -> impl Parser<policy::Options> {
    let json = bpaf::long("json")
        .help("Prints a line of JSON for each trace in place of tables")
        .switch();
    let seed = bpaf::long("seed")
        .help("Seed of the traces")
        .argument::<u64>("N")
        .fallback(1);
    let svg = bpaf::long("svg")
        .help("Writes a plot of the curves to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    bpaf::construct!(policy::Options { json, seed, svg })
}

//! The load tool: starts small systems on loopback and measures them.

mod caller;
mod capacity;
mod demo;
mod deployment;
mod error;
mod fleet;
mod footprint;
mod meter;
mod process;
mod usage;

use std::process::ExitCode;

use bpaf::{
    OptionParser,
    Parser, //
};

pub use caller::{
    Answer,
    Caller, //
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

#[derive(Debug, Clone, Copy)]
enum Command {
    Capacity { json: bool },
    Demo,
}

/// Runs `chestnuthub-load` and returns its exit code.
pub fn run() -> ExitCode {
    let result = match options().run() {
        Command::Capacity { json } => capacity::run(json),
        Command::Demo => demo::run(),
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
    bpaf::construct!([demo, capacity])
        .to_options()
        .descr("Starts small systems on loopback and measures them")
}

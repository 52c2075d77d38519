//! The load tool: starts small systems on loopback and measures them.

mod caller;
mod demo;
mod deployment;
mod error;
mod fleet;
mod process;

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
    Fleet,
    Plan, //
};
pub use process::Process;

#[derive(Debug, Clone, Copy)]
enum Command {
    Demo,
}

/// Runs `chestnuthub-load` and returns its exit code.
pub fn run() -> ExitCode {
    let result = match options().run() {
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
    demo.to_options()
        .descr("Starts small systems on loopback and measures them")
}

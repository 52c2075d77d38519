//! The operators' command line.

mod decisions;
mod drain;
mod exit;
mod fleet;
mod keys;
mod release;
mod settings;
mod status;
mod stream;
mod table;
mod token;
mod trace;

use std::process::ExitCode;

use bpaf::{
    Args,
    OptionParser,
    ParseFailure,
    Parser,
    construct, //
};

use exit::{
    Error,
    Exit,
    Report, //
};

/// Maximum line width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// A command with its options.
#[derive(Debug, Clone)]
enum Command {
    Drain(drain::Command),
    Keys(keys::Command),
    Release(release::Command),
    Settings(settings::Command),
    Status(status::Command),
    Token(token::Command),
    Trace(trace::Command),
}

impl Command {
    fn json(&self) -> bool {
        match self {
            Self::Drain(command) => command.json,
            Self::Keys(command) => command.json(),
            Self::Release(command) => command.json(),
            Self::Settings(command) => command.json(),
            Self::Status(command) => command.json,
            Self::Token(command) => command.json,
            Self::Trace(command) => command.json,
        }
    }

    fn run(&self) -> Result<Report, Error> {
        match self {
            Self::Drain(command) => command.run(),
            Self::Keys(command) => command.run(),
            Self::Release(command) => command.run(),
            Self::Settings(command) => command.run(),
            Self::Status(command) => command.run(),
            Self::Token(command) => command.run(),
            Self::Trace(command) => command.run(),
        }
    }
}

/// Parses the command line, runs the command and returns its exit code.
pub fn run() -> ExitCode {
    match options().run_inner(Args::current_args()) {
        Ok(command) => exit::print(command.run(), command.json()).into(),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => Exit::Usage.into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done.into(),
            }
        }
    }
}

fn options() -> OptionParser<Command> {
    let drain = drain::options().map(Command::Drain);
    let drain = drain
        .to_options()
        .descr("Tells an agent to take no new work and finish what it has")
        .command("drain");
    let keys = keys::options().map(Command::Keys);
    let keys = keys
        .to_options()
        .descr("Makes keys for connections between daemons")
        .command("keys");
    let release = release::options().map(Command::Release);
    let release = release
        .to_options()
        .descr("Checks and publishes release notes")
        .command("release");
    let settings = settings::options().map(Command::Settings);
    let settings = settings
        .to_options()
        .descr("Checks settings of daemons")
        .command("settings");
    let status = status::options().map(Command::Status);
    let status = status
        .to_options()
        .descr("Shows models, replicas and servers, and the offsets of their decisions")
        .command("status");
    let token = token::options().map(Command::Token);
    let token = token
        .to_options()
        .descr("Makes a random bearer token and shows the digest that settings hold")
        .command("token");
    let trace = trace::options().map(Command::Trace);
    let trace = trace
        .to_options()
        .descr("Shows what became of a request, from the log lines of daemons")
        .command("trace");
    construct!([drain, keys, release, settings, status, token, trace])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a chestnuthub fleet")
        .footer(
            "Exit codes: 0 done, 1 findings or failure, 2 usage, 3 conflict, \
             4 not in force in time, 5 platform unreachable or outcome unknown. \
             --bpaf-complete-style-bash (or zsh, fish, elvish) prints a completion script.",
        )
}

/// The option `--json`, which every command has.
fn json() -> impl Parser<bool> {
    bpaf::long("json")
        .help("Prints one JSON document instead of text")
        .switch()
}

//! `chestnuthub release`.

mod check;
mod diff;
mod publish;

use std::path::PathBuf;

use bpaf::{
    Parser,
    construct, //
};

use super::exit::{
    Error,
    Report, //
};

/// A command about release notes.
#[derive(Debug, Clone)]
pub(super) enum Command {
    Check(check::Command),
    Diff(diff::Command),
    Publish(publish::Command),
}

pub(super) fn options() -> impl Parser<Command> {
    let check = check::options().map(Command::Check);
    let check = check
        .to_options()
        .descr("Checks a release note without regard to the catalogue")
        .command("check");
    let diff = diff::options().map(Command::Diff);
    let diff = diff
        .to_options()
        .descr("Shows what a release note would change in the catalogue")
        .command("diff");
    let publish = publish::options().map(Command::Publish);
    let publish = publish
        .to_options()
        .descr("Publishes a release note and waits until it is in force")
        .command("publish");
    construct!([check, diff, publish])
}

impl Command {
    pub(super) fn json(&self) -> bool {
        match self {
            Self::Check(command) => command.json,
            Self::Diff(command) => command.json,
            Self::Publish(command) => command.json,
        }
    }

    pub(super) fn run(&self) -> Result<Report, Error> {
        match self {
            Self::Check(command) => command.run(),
            Self::Diff(command) => command.run(),
            Self::Publish(command) => command.run(),
        }
    }
}

fn file() -> impl Parser<PathBuf> {
    bpaf::positional::<PathBuf>("FILE")
        .help("Release note, JSON with comments")
        .complete_shell(bpaf::ShellComp::File { mask: None })
}

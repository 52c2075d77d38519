//! `chestnuthub release`.

mod publish;

use bpaf::Parser;

use super::exit::{
    Error,
    Report, //
};

/// A command about release notes.
#[derive(Debug, Clone)]
pub(super) enum Command {
    Publish(publish::Command),
}

pub(super) fn options() -> impl Parser<Command> {
    publish::options()
        .map(Command::Publish)
        .to_options()
        .descr("Publishes a release note and waits until it is in force")
        .command("publish")
}

impl Command {
    pub(super) fn json(&self) -> bool {
        let Self::Publish(command) = self;
        command.json
    }

    pub(super) fn run(&self) -> Result<Report, Error> {
        let Self::Publish(command) = self;
        command.run()
    }
}

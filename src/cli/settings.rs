//! `chestnuthub settings`.

use std::path::{
    Path,
    PathBuf, //
};

use bpaf::{
    Parser,
    construct, //
};
use serde_json::json;

use super::exit::{
    Error,
    Report, //
};
use crate::{
    jsonc::Findings,
    settings::Settings, //
};

/// A command about settings.
#[derive(Debug, Clone)]
pub(super) enum Command {
    Check(Check),
}

/// Checks settings files and shows their findings.
#[derive(Debug, Clone)]
pub(super) struct Check {
    json: bool,
    keys: bool,
    files: Vec<PathBuf>,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = super::json();
    let keys = bpaf::long("keys")
        .help("Also checks that the key files named in the settings can be read here")
        .switch();
    let files = bpaf::positional::<PathBuf>("FILE")
        .help("Settings of a daemon, JSON with comments")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .some("give at least one FILE");
    construct!(Check { json, keys, files })
        .map(Command::Check)
        .to_options()
        .descr("Checks settings files and shows all that is wrong with them")
        .command("check")
}

impl Command {
    pub(super) fn json(&self) -> bool {
        let Self::Check(check) = self;
        check.json
    }

    pub(super) fn run(&self) -> Result<Report, Error> {
        let Self::Check(check) = self;
        check.run()
    }
}

impl Check {
    fn run(&self) -> Result<Report, Error> {
        let mut findings = Findings::default();
        for file in &self.files {
            if let Err(others) = self.check(file) {
                findings.append(others);
            }
        }
        if !findings.is_empty() {
            return Err(findings.into());
        }
        let files = self.files.iter().map(|file| file.display().to_string());
        let files: Vec<_> = files.collect();
        let text = files.iter().map(|file| format!("{file}: no findings\n"));
        Ok(Report::done(
            text.collect(),
            json!({ "outcome": "done", "files": files }),
        ))
    }

    fn check(&self, file: &Path) -> Result<(), Findings> {
        let settings = Settings::load(file)?;
        if self.keys {
            settings.check_files(file)?;
        }
        Ok(())
    }
}

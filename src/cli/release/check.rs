//! `chestnuthub release check`.

use std::path::PathBuf;

use bpaf::{
    Parser,
    construct, //
};
use serde_json::json;

use crate::{
    catalogue::Draft,
    cli::exit::{
        Error,
        Report, //
    },
};

/// Checks a release note file without regard to the catalogue.
#[derive(Debug, Clone)]
pub(crate) struct Command {
    pub(super) json: bool,
    file: PathBuf,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = crate::cli::json();
    let file = super::file();
    construct!(Command { json, file })
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let note = Draft::load(&self.file)?.note;
        let file = self.file.display().to_string();
        let counts = (note.added.len(), note.changed.len(), note.withdrawn.len());
        Ok(Report::done(
            format!(
                "{file}: no findings; {} added, {} changed, {} withdrawn\n",
                counts.0, counts.1, counts.2
            ),
            json!({
                "outcome": "done",
                "file": file,
                "added": counts.0,
                "changed": counts.1,
                "withdrawn": counts.2,
            }),
        ))
    }
}

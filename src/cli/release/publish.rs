//! `chestnuthub release publish`.

use std::{
    fs,
    path::PathBuf,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bpaf::{
    Parser,
    construct, //
};
use jsonc_parser::ParseOptions;
use serde_json::{
    Value,
    json, //
};

use crate::{
    catalogue::{
        Action,
        End,
        Event,
        Note,
        Publication, //
    },
    cli::{
        exit::{
            Error,
            Exit,
            Report, //
        },
        fleet::{
            Answer,
            Fleet, //
        },
        stream::{
            Releases,
            STREAM, //
        },
    },
};

/// Time after which a note that is not seen in the stream is given up.
const PUBLISH_LIMIT: Duration = Duration::from_secs(20);

/// Wait of a read for the note to appear.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two rounds of questions to the daemons.
const POLL_PAUSE: Duration = Duration::from_millis(250);

/// Time within which a note is in force everywhere.
const DEFAULT_WAIT_S: u64 = 16;

/// Publishes a release note.
#[derive(Debug, Clone)]
pub(crate) struct Command {
    pub(super) json: bool,
    log: String,
    list: String,
    operator: Option<String>,
    token_file: Option<PathBuf>,
    wait: u64,
    file: PathBuf,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = crate::cli::json();
    let log = bpaf::long("log")
        .help("Base URL of the log")
        .argument::<String>("URL");
    let list = bpaf::long("list")
        .help("Base URL of the instance list")
        .argument::<String>("URL");
    let operator = bpaf::long("operator")
        .help("Author of the note, unless the file names one")
        .argument::<String>("NAME")
        .optional();
    let token_file = bpaf::long("token-file")
        .help("File with the operator's bearer token; without it the daemons are not asked")
        .argument::<PathBuf>("FILE")
        .optional();
    let wait = bpaf::long("wait")
        .help("Time in which every live daemon must have applied the note")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_WAIT_S)
        .display_fallback();
    let file = bpaf::positional::<PathBuf>("FILE").help("Release note, JSON with comments");
    construct!(Command {
        json,
        log,
        list,
        operator,
        token_file,
        wait,
        file,
    })
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let fleet = self
            .token_file
            .as_ref()
            .map(|file| Fleet::new(&self.list, file))
            .transpose()?;
        let (note, pinned) = self.note()?;
        let offset = self.publish(note, pinned)?;
        match fleet {
            Some(fleet) => self.follow(&fleet, offset),
            None => Ok(Report::done(
                format!("accepted at offset {offset}; the daemons were not asked\n"),
                json!({ "outcome": "accepted", "offset": offset }),
            )),
        }
    }

    /// Reads the note and whether it names the note that it replaces.
    fn note(&self) -> Result<(Note, bool), Error> {
        let place = |error: &dyn std::fmt::Display| {
            Error::failed(format!("{}: {error}", self.file.display()))
        };
        let text = fs::read_to_string(&self.file).map_err(|error| place(&error))?;
        let value: Value = jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
            .map_err(|error| place(&error))?;
        let pinned = value.get("replaces").is_some();
        let mut note: Note = serde_json::from_value(value).map_err(|error| place(&error))?;
        if let (true, Some(operator)) = (note.author.is_empty(), &self.operator) {
            note.author.clone_from(operator);
        }
        Ok((note, pinned))
    }

    /// Brings the note into the stream and returns its offset.
    fn publish(&self, note: Note, pinned: bool) -> Result<u64, Error> {
        let began = Instant::now();
        let mut releases = Releases::new(&self.log);
        releases.watch(note.id);
        let mut publication = Publication::new(note, pinned, PUBLISH_LIMIT);
        let mut action = Action::Read;
        loop {
            action = match action {
                Action::Read => read(&mut releases, &mut publication, began),
                Action::Append => append(&releases, &mut publication, began)?,
                Action::Finish(end) => return conclude(end, publication.note()),
            };
        }
    }

    /// Asks all live daemons until each has applied the note.
    fn follow(&self, fleet: &Fleet, offset: u64) -> Result<Report, Error> {
        let began = Instant::now();
        let mut shown = None;
        loop {
            let answers = fleet.ask(&fleet.live()?);
            let missing: Vec<_> = answers
                .iter()
                .filter(|answer| answer.releases() < Some(offset))
                .collect();
            let progress = (answers.len() - missing.len(), answers.len());
            if shown != Some(progress) {
                eprintln!("in force on {} of {} daemons", progress.0, progress.1);
                shown = Some(progress);
            }
            if missing.is_empty() {
                return Ok(in_force(offset, answers.len(), began.elapsed()));
            }
            if began.elapsed() >= Duration::from_secs(self.wait) {
                return Ok(late(offset, answers.len(), &missing));
            }
            thread::sleep(POLL_PAUSE);
        }
    }
}

fn read(releases: &mut Releases, publication: &mut Publication, began: Instant) -> Action {
    let event = match releases.read(READ_WAIT) {
        Ok(()) => Event::Read {
            catalogue: releases.catalogue(),
            seen: releases.seen().map(|(offset, outcome)| (*offset, outcome)),
        },
        Err(error) => {
            eprintln!("chestnuthub: {}", error.detail);
            thread::sleep(RETRY_PAUSE);
            Event::ReadFailed
        }
    };
    publication.step(&event, began.elapsed())
}

fn append(
    releases: &Releases,
    publication: &mut Publication,
    began: Instant,
) -> Result<Action, Error> {
    let body = serde_json::to_string(publication.note()).map_err(Error::failed)?;
    let event = match releases.log().append(STREAM, &body) {
        Ok(_) => Event::Sent,
        Err(error) => {
            eprintln!("chestnuthub: can't append the note: {error}");
            if error.had_no_effect() {
                thread::sleep(RETRY_PAUSE);
                Event::NotSent
            } else {
                Event::Sent
            }
        }
    };
    Ok(publication.step(&event, began.elapsed()))
}

fn conclude(end: End, note: &Note) -> Result<u64, Error> {
    match end {
        End::Accepted { offset } => Ok(offset),
        End::Conflict { head } => Err(Error {
            exit: Exit::Conflict,
            detail: format!(
                "conflict: the note replaces offset {}, but the note at offset {head} was accepted \
                 since; compare with `chestnuthub release diff` and publish again",
                note.replaces
            ),
        }),
        End::Invalid(findings) => {
            let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
            Err(Error::failed(format!("invalid: {}", lines.join("; "))))
        }
        End::NotSent => Err(Error::unknown("the note was not published")),
        End::Unknown => Err(Error::unknown(format!(
            "outcome unknown: the note may still appear in the log; put \"id\": \"{}\" into the \
             file to publish it again safely",
            note.id
        ))),
    }
}

fn in_force(offset: u64, daemons: usize, elapsed: Duration) -> Report {
    let seconds = elapsed.as_secs_f64();
    Report::done(
        format!(
            "accepted at offset {offset}, in force on {daemons} daemons after {seconds:.1} s\n"
        ),
        json!({
            "outcome": "in_force",
            "offset": offset,
            "daemons": daemons,
            "elapsed_s": seconds,
        }),
    )
}

fn late(offset: u64, daemons: usize, missing: &[&Answer]) -> Report {
    let mut text = format!(
        "accepted at offset {offset}, not in force in time on {} of {daemons} daemons:\n",
        missing.len()
    );
    let mut names = Vec::new();
    for answer in missing {
        let state = match &answer.status {
            Ok(_) => format!("at offset {}", answer.releases().unwrap_or_default()),
            Err(error) => error.clone(),
        };
        text.push_str(&format!("  {}: {state}\n", answer.instance.name));
        names.push(json!({ "instance": answer.instance.name, "state": state }));
    }
    Report {
        exit: Exit::NotInForce,
        text,
        json: json!({ "outcome": "accepted", "offset": offset, "not_in_force": names }),
    }
}

//! `chestnuthub release publish`.

use std::{
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
use serde_json::json;

use crate::{
    catalogue::{
        Action,
        Draft,
        End,
        Event,
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
    let file = super::file();
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
        let file = self.token_file.as_ref();
        let fleet = file.map(|file| Fleet::new(&self.list, file)).transpose()?;
        let mut draft = Draft::load(&self.file)?;
        if let (true, Some(operator)) = (draft.note.author.is_empty(), &self.operator) {
            draft.note.author.clone_from(operator);
        }
        let offset = self.publish(&draft)?;
        match fleet {
            Some(fleet) => Ok(self.follow(&fleet, offset)),
            None => Ok(Report::done(
                format!("accepted at offset {offset}; the daemons were not asked\n"),
                json!({ "outcome": "accepted", "offset": offset }),
            )),
        }
    }

    /// Brings the note into the stream and returns its offset.
    fn publish(&self, draft: &Draft) -> Result<u64, Error> {
        let began = Instant::now();
        let mut releases = Releases::new(&self.log);
        releases.watch(draft.note.id);
        let mut publication = Publication::new(draft.note.clone(), draft.pinned, PUBLISH_LIMIT);
        let mut action = Action::Read;
        loop {
            action = match action {
                Action::Read => read(&mut releases, &mut publication, began),
                Action::Append => append(&releases, &mut publication, began)?,
                Action::Finish(end) => break conclude(end, &publication, &releases, draft),
            };
        }
    }

    /// Asks all live daemons until each has applied the note, or the time is up.
    fn follow(&self, fleet: &Fleet, offset: u64) -> Report {
        let began = Instant::now();
        let limit = Duration::from_secs(self.wait);
        let mut shown = None;
        loop {
            let answers = fleet.live().map(|instances| fleet.ask(&instances));
            let late: Option<Report> = match answers {
                Ok(answers) => {
                    let missing: Vec<_> = answers
                        .iter()
                        .filter(|answer| answer.releases() < Some(offset))
                        .collect();
                    let progress = (answers.len() - missing.len(), answers.len());
                    if shown.replace(progress) != Some(progress) {
                        eprintln!("in force on {} of {} daemons", progress.0, progress.1);
                    }
                    if missing.is_empty() {
                        return in_force(offset, answers.len(), began.elapsed());
                    }
                    Some(late(offset, answers.len(), &missing))
                }
                Err(error) => {
                    eprintln!("{error}");
                    None
                }
            };
            if began.elapsed() >= limit {
                return late.unwrap_or_else(|| unlisted(offset));
            }
            thread::sleep(POLL_PAUSE);
        }
    }
}

fn read(releases: &mut Releases, publication: &mut Publication, began: Instant) -> Action {
    let event = match releases.read(READ_WAIT) {
        Ok(()) => Event::Read {
            catalogue: releases.catalogue(),
            seen: releases.seen().map(|seen| (seen.offset, &seen.outcome)),
        },
        Err(error) => {
            eprintln!("{error}");
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

fn conclude(
    end: End,
    publication: &Publication,
    releases: &Releases,
    draft: &Draft,
) -> Result<u64, Error> {
    let note = publication.note();
    if let Some(seen) = releases.seen().filter(|seen| !seen.note.says(note)) {
        return Err(Error::failed(format!(
            "the id {} is that of another note, at offset {}; remove it from the file",
            note.id, seen.offset
        )));
    }
    match end {
        End::Accepted { offset } => Ok(offset),
        End::Conflict { head } => Err(Error::new(
            Exit::Conflict,
            format!(
                "conflict: the note replaces offset {}, but the newest accepted note is at offset \
                 {head}; compare with `chestnuthub release diff` and publish again",
                note.replaces
            ),
        )),
        End::Invalid(findings) => Err(draft.locate(&findings).into()),
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
        let state = match (&answer.status, answer.releases()) {
            (Ok(_), Some(applied)) => format!("at offset {applied}"),
            (Ok(_), None) => "its status shows no offset".to_owned(),
            (Err(error), _) => error.clone(),
        };
        text.push_str(&format!("  {}: {state}\n", answer.instance.name));
        names.push(json!({ "instance": answer.instance.name, "state": state }));
    }
    Report {
        exit: Exit::NotInForce,
        text,
        json: json!({ "outcome": "not_in_force", "offset": offset, "missing": names }),
    }
}

fn unlisted(offset: u64) -> Report {
    Report {
        exit: Exit::NotInForce,
        text: format!("accepted at offset {offset}; the instance list could not be read\n"),
        json: json!({ "outcome": "not_in_force", "offset": offset, "missing": null }),
    }
}

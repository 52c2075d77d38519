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
            Fleet, //
            Response,
        },
        stream::{
            Releases,
            STREAM, //
        },
    },
};

/// Time for which a read at the end of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Delay before the retry of a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay between two polls of the daemons' status.
const POLL_DELAY: Duration = Duration::from_millis(250);

/// Default of `--wait`, in seconds: a note is in force on every live daemon within this time.
const DEFAULT_WAIT_S: u64 = 16;

/// Publishes a release note and waits until it is in force.
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
        .help("Time for the note to appear in the log, and then on every live daemon")
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
            Some(fleet) => Ok(self.wait_until_in_force(&fleet, offset)),
            None => Ok(Report::done(
                format!("accepted at offset {offset}; the daemons were not asked\n"),
                json!({ "outcome": "accepted", "offset": offset }),
            )),
        }
    }

    /// Appends the note to the stream, unless the stream holds it already, and returns its offset.
    fn publish(&self, draft: &Draft) -> Result<u64, Error> {
        let mut releases = Releases::new(&self.log);
        releases.watch(draft.note.id);
        let timeout = Duration::from_secs(self.wait);
        let mut publisher = Publisher {
            releases,
            publication: Publication::new(draft.note.clone(), draft.pinned, timeout),
            began: Instant::now(),
            last_error: String::new(),
        };
        let mut action = Action::Read;
        loop {
            action = match action {
                Action::Read => publisher.read(),
                Action::Append => publisher.append()?,
                Action::Finish(end) => break publisher.conclude(end, draft),
            };
        }
    }

    /// Polls all live daemons until each has applied the note, or the time given by `--wait` is
    /// over.
    fn wait_until_in_force(&self, fleet: &Fleet, offset: u64) -> Report {
        let began = Instant::now();
        let timeout = Duration::from_secs(self.wait);
        let mut last_progress = None;
        loop {
            let responses = fleet.live().map(|instances| fleet.query(&instances));
            let report: Option<Report> = match responses {
                Ok(responses) => {
                    let missing: Vec<_> = responses
                        .iter()
                        .filter(|response| response.releases() < Some(offset))
                        .collect();
                    let progress = (responses.len() - missing.len(), responses.len());
                    if last_progress.replace(progress) != Some(progress) {
                        eprintln!("in force on {} of {} daemons", progress.0, progress.1);
                    }
                    if missing.is_empty() {
                        return in_force(offset, responses.len(), began.elapsed());
                    }
                    Some(not_in_force(offset, responses.len(), &missing))
                }
                Err(error) => {
                    eprintln!("{error}");
                    None
                }
            };
            if began.elapsed() >= timeout {
                return report.unwrap_or_else(|| list_unreadable(offset));
            }
            thread::sleep(POLL_DELAY);
        }
    }
}

/// Performs the actions that a publication returns.
#[derive(Debug)]
struct Publisher {
    releases: Releases,
    publication: Publication,
    began: Instant,
    /// The last error shown, which is not shown again while it stays the same.
    last_error: String,
}

impl Publisher {
    fn read(&mut self) -> Action {
        let result = self.releases.read(READ_WAIT);
        if let Err(error) = &result {
            self.show_error(error.to_string());
            thread::sleep(RETRY_DELAY);
        }
        let found = self.releases.found();
        let event = match result {
            Ok(()) => Event::Read {
                catalogue: self.releases.catalogue(),
                seen: found.map(|record| (record.offset, &record.outcome)),
            },
            Err(_) => Event::ReadFailed,
        };
        self.publication.step(&event, self.began.elapsed())
    }

    fn append(&mut self) -> Result<Action, Error> {
        let body = serde_json::to_string(self.publication.note()).map_err(Error::failed)?;
        let event = match self.releases.log().append(STREAM, &body) {
            Ok(_) => Event::Sent,
            Err(error) => {
                self.show_error(format!("chestnuthub: can't append the note: {error}"));
                thread::sleep(RETRY_DELAY);
                if error.had_no_effect() {
                    Event::NotSent
                } else {
                    Event::Sent
                }
            }
        };
        Ok(self.publication.step(&event, self.began.elapsed()))
    }

    fn show_error(&mut self, error: String) {
        if self.last_error != error {
            eprintln!("{error}");
            self.last_error = error;
        }
    }

    /// Converts the end of a publication to the offset of the note, or to the error that the
    /// command reports.
    fn conclude(&self, end: End, draft: &Draft) -> Result<u64, Error> {
        let note = self.publication.note();
        if let Some(record) = self
            .releases
            .found()
            .filter(|record| !record.note.has_same_changes(note))
        {
            return Err(Error::failed(format!(
                "id {} already belongs to a different note, at offset {}; remove the id from the \
                 file",
                note.id, record.offset
            )));
        }
        match end {
            End::Accepted { offset } => Ok(offset),
            End::Conflict { head } => Err(Error::new(
                Exit::Conflict,
                format!(
                    "conflict: the note replaces offset {}, but the newest accepted note is at \
                     offset {head}; compare with `chestnuthub release diff` and publish again",
                    note.replaces
                ),
            )),
            End::Invalid(findings) => Err(draft.locate(&findings).into()),
            End::NotSent => Err(Error::unknown(
                "the note was not published: the log could not be read or appended to within the \
                 time given by --wait",
            )),
            End::Unknown => Err(Error::unknown(format!(
                "outcome unknown: the note may still appear in the log; put \"id\": \"{}\" into \
                 the file to publish it again safely",
                note.id
            ))),
        }
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

fn not_in_force(offset: u64, daemons: usize, missing: &[&Response]) -> Report {
    let mut text = format!(
        "accepted at offset {offset}, not in force in time on {} of {daemons} daemons:\n",
        missing.len()
    );
    let mut names = Vec::new();
    for response in missing {
        let state = match (&response.status, response.releases()) {
            (Ok(_), Some(applied)) => format!("at offset {applied}"),
            (Ok(_), None) => "its status shows no offset".to_owned(),
            (Err(error), _) => error.clone(),
        };
        text.push_str(&format!("  {}: {state}\n", response.instance.name));
        names.push(json!({ "instance": response.instance.name, "state": state }));
    }
    Report {
        exit: Exit::NotInForce,
        text,
        json: json!({ "outcome": "not_in_force", "offset": offset, "missing": names }),
    }
}

fn list_unreadable(offset: u64) -> Report {
    Report {
        exit: Exit::NotInForce,
        text: format!("accepted at offset {offset}; the instance list could not be read\n"),
        json: json!({ "outcome": "not_in_force", "offset": offset, "missing": null }),
    }
}

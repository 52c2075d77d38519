//! The way of one release note into the stream.

use std::time::Duration;

use super::{
    Catalogue,
    Finding,
    Note,
    Outcome, //
};

/// Time without sight of an appended note after which it is appended again.
const REAPPEND_AFTER: Duration = Duration::from_secs(3);

/// The way of one release note into the stream. The publisher reads before each append, so that
/// it never appends a note that is there.
#[derive(Debug, Clone)]
pub struct Publication {
    note: Note,
    pinned: bool,
    limit: Duration,
    appended: Option<Duration>,
    maybe_sent: bool,
}

/// What has happened to a publication.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The stream was read to its end.
    Read {
        /// The catalogue at the end of the stream.
        catalogue: &'a Catalogue,
        /// Offset and outcome of the note's first copy in the stream.
        seen: Option<(u64, &'a Outcome)>,
    },
    /// The stream could not be read.
    ReadFailed,
    /// The append was answered, or may have had its effect without an answer.
    Sent,
    /// The append certainly had no effect.
    NotSent,
}

/// What a publisher does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Reads the stream to its end, from where the last read ended.
    Read,
    /// Appends the note.
    Append,
    /// Stops with an end.
    Finish(End),
}

/// How a publication ends.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The note is in force from its offset on.
    Accepted {
        /// The note's offset.
        offset: u64,
    },
    /// Another note was accepted first.
    Conflict {
        /// Offset of the newest accepted note.
        head: u64,
    },
    /// The note does not fit the catalogue.
    Invalid(Vec<Finding>),
    /// The note is not in the stream and never was sent.
    NotSent,
    /// The note was sent but not seen in the stream; it may appear later.
    Unknown,
}

impl Publication {
    /// Makes the publication of a note, given up after `limit`. The note replaces the newest
    /// accepted one unless it is `pinned` to the one that it names.
    pub fn new(note: Note, pinned: bool, limit: Duration) -> Self {
        Self {
            note,
            pinned,
            limit,
            appended: None,
            maybe_sent: false,
        }
    }

    /// Returns the note as it is appended.
    pub fn note(&self) -> &Note {
        &self.note
    }

    /// Takes an event, `now` after the publication began, and returns what to do next. The first
    /// thing to do is to read the stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::catalogue::{Action, Catalogue, End, Event, Note, Outcome, Publication};
    ///
    /// let (now, limit) = (Duration::ZERO, Duration::from_secs(16));
    /// let mut publication = Publication::new(Note::new("me", 0), false, limit);
    /// let catalogue = Catalogue::default();
    /// let empty = Event::Read { catalogue: &catalogue, seen: None };
    /// assert_eq!(publication.step(&empty, now), Action::Append);
    /// assert_eq!(publication.step(&Event::Sent, now), Action::Read);
    /// let outcome = Outcome::Accepted;
    /// let seen = Event::Read { catalogue: &catalogue, seen: Some((1, &outcome)) };
    /// let end = End::Accepted { offset: 1 };
    /// assert_eq!(publication.step(&seen, now), Action::Finish(end));
    /// ```
    pub fn step(&mut self, event: &Event<'_>, now: Duration) -> Action {
        match event {
            Event::Read { catalogue, seen } => match seen {
                Some((offset, outcome)) => Action::Finish(end(*offset, outcome)),
                None => self.missing(catalogue, now),
            },
            Event::Sent => {
                self.maybe_sent = true;
                Action::Read
            }
            Event::NotSent => {
                // The next read may be followed by an append at once.
                self.appended = None;
                self.go_on(now)
            }
            Event::ReadFailed => self.go_on(now),
        }
    }

    /// Decides after a read that did not show the note.
    fn missing(&mut self, catalogue: &Catalogue, now: Duration) -> Action {
        if !self.maybe_sent {
            if !self.pinned {
                self.note.replaces = catalogue.head();
            }
            if self.note.replaces != catalogue.head() {
                return Action::Finish(End::Conflict {
                    head: catalogue.head(),
                });
            }
            let findings = catalogue.check(&self.note);
            if !findings.is_empty() {
                return Action::Finish(End::Invalid(findings));
            }
        }
        match (self.appended, self.go_on(now)) {
            // A slow read must not keep the note from being appended at all.
            (None, _) => self.append(now),
            (Some(appended), Action::Read) if now >= appended + REAPPEND_AFTER => self.append(now),
            (Some(_), action) => action,
        }
    }

    fn append(&mut self, now: Duration) -> Action {
        self.appended = Some(now);
        Action::Append
    }

    fn go_on(&self, now: Duration) -> Action {
        if now < self.limit {
            Action::Read
        } else if self.maybe_sent {
            Action::Finish(End::Unknown)
        } else {
            Action::Finish(End::NotSent)
        }
    }
}

fn end(offset: u64, outcome: &Outcome) -> End {
    match outcome {
        Outcome::Accepted => End::Accepted { offset },
        Outcome::Conflict { head } => End::Conflict { head: *head },
        Outcome::Invalid(findings) => End::Invalid(findings.clone()),
        Outcome::Repeated => End::Unknown,
    }
}

//! Publication of a release note: when to read the stream, and when to append the note.

use std::time::Duration;

use super::{
    Catalogue,
    Finding,
    Note,
    Outcome, //
};

/// Time after which a note is appended again if it has not appeared in the stream.
const REAPPEND_AFTER: Duration = Duration::from_secs(3);

/// Publication of one release note. The publisher reads the stream before each append, so that it
/// doesn't append a note that is already there.
#[derive(Debug, Clone)]
pub struct Publication {
    note: Note,
    pinned: bool,
    timeout: Duration,
    /// Time of the last append, unless it is known to have had no effect.
    appended: Option<Duration>,
    maybe_sent: bool,
}

/// Event that a publication takes as input.
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
    /// The append succeeded, or may have taken effect although no response arrived.
    Sent,
    /// The append is known to have had no effect.
    NotSent,
}

/// Next step of the publisher.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the stream to its end, starting where the last read ended.
    Read,
    /// Append the note.
    Append,
    /// Stop with this result.
    Finish(End),
}

/// Result of a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The note is in force from its offset on.
    Accepted {
        /// The note's offset.
        offset: u64,
    },
    /// The note does not replace the newest accepted note.
    Conflict {
        /// Offset of the newest accepted note.
        head: u64,
    },
    /// The note fails the checks against the catalogue.
    Invalid(Vec<Finding>),
    /// The note was never sent and is not in the stream.
    NotSent,
    /// The note may have been sent but has not appeared in the stream; it may still do so.
    Unknown,
}

impl Publication {
    /// Creates the publication of a note, which times out after `timeout`. The note replaces the
    /// newest accepted one unless it is `pinned` to the one in its `replaces` field.
    pub fn new(note: Note, pinned: bool, timeout: Duration) -> Self {
        Self {
            note,
            pinned,
            timeout,
            appended: None,
            maybe_sent: false,
        }
    }

    /// Returns the note to append.
    pub fn note(&self) -> &Note {
        &self.note
    }

    /// Takes an event and the time since the publication started, and returns the next action
    /// without side effects. The first action, before any event, is to read the stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::catalogue::{Action, Catalogue, End, Event, Note, Outcome, Publication};
    ///
    /// let (now, timeout) = (Duration::ZERO, Duration::from_secs(16));
    /// let mut publication = Publication::new(Note::new("me", 0), false, timeout);
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
                None => self.handle_absent(catalogue, now),
            },
            Event::Sent => {
                self.maybe_sent = true;
                Action::Read
            }
            Event::NotSent => {
                // Allows the append to be retried right after the next read.
                self.appended = None;
                self.read_or_finish(now)
            }
            Event::ReadFailed => self.read_or_finish(now),
        }
    }

    /// Returns the action after a read that did not find the note.
    fn handle_absent(&mut self, catalogue: &Catalogue, now: Duration) -> Action {
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
        match (self.appended, self.read_or_finish(now)) {
            // Append at least once, even if a slow read has used up the time.
            (None, _) => self.append(now),
            (Some(appended), Action::Read) if now >= appended + REAPPEND_AFTER => self.append(now),
            (Some(_), action) => action,
        }
    }

    fn append(&mut self, now: Duration) -> Action {
        self.appended = Some(now);
        Action::Append
    }

    fn read_or_finish(&self, now: Duration) -> Action {
        if now < self.timeout {
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

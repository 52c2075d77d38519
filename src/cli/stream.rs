//! The catalogue that results from the stream `releases`.

use std::time::Duration;

use uuid::Uuid;

use super::exit::Error;
use crate::{
    catalogue::{
        Catalogue,
        Note,
        Outcome, //
    },
    platform::{
        self,
        log::{
            Log,
            Page, //
        },
    },
};

/// Name of the stream that holds the release notes.
pub(super) const STREAM: &str = "releases";

/// Most records in one read.
const READ_LIMIT: u32 = 500;

/// The stream folded so far.
#[derive(Debug, Clone)]
pub(super) struct Releases {
    log: Log,
    catalogue: Catalogue,
    next: u64,
    wanted: Option<Uuid>,
    seen: Option<Seen>,
}

/// What became of the watched note.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    pub(super) offset: u64,
    pub(super) outcome: Outcome,
    pub(super) note: Note,
}

impl Releases {
    /// Begins before the first record.
    pub(super) fn new(log: &str) -> Self {
        Self {
            log: Log::new(log),
            catalogue: Catalogue::default(),
            next: 1,
            wanted: None,
            seen: None,
        }
    }

    /// Remembers what becomes of the note with this id.
    pub(super) fn watch(&mut self, id: Uuid) {
        self.wanted = Some(id);
    }

    pub(super) fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    pub(super) fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the watched note's first copy in the stream.
    pub(super) fn seen(&self) -> Option<&Seen> {
        self.seen.as_ref()
    }

    /// Reads to the end of the stream, waiting up to `wait` if there is nothing new.
    ///
    /// # Errors
    ///
    /// Says that the log can't be read, or has dropped records that were not read yet.
    pub(super) fn read(&mut self, wait: Duration) -> Result<(), Error> {
        let mut wait = wait;
        loop {
            let page = self
                .log
                .read(STREAM, self.next, READ_LIMIT, wait)
                .map_err(unreadable)?;
            if !self.fold(&page)? {
                return Ok(());
            }
            wait = Duration::ZERO;
        }
    }

    /// Applies a page and returns whether it brought anything new.
    fn fold(&mut self, page: &Page) -> Result<bool, Error> {
        if page.first > self.next {
            self.begin(page)?;
        }
        let before = self.next;
        let records = page.records.iter();
        for record in records.filter(|record| record.offset >= before) {
            self.next = record.offset + 1;
            // Daemons skip a record that is no release note, too.
            let Ok(note) = serde_json::from_str::<Note>(&record.body) else {
                continue;
            };
            let outcome = self.catalogue.apply(record.offset, &note);
            if self.wanted == Some(note.id) && self.seen.is_none() {
                self.seen = Some(Seen {
                    offset: record.offset,
                    outcome,
                    note,
                });
            }
        }
        Ok(self.next > before)
    }

    /// Begins at the oldest retained record after the log has dropped older ones. Without a
    /// snapshot in the stream the catalogue can't be known.
    fn begin(&mut self, page: &Page) -> Result<(), Error> {
        Err(Error::unknown(format!(
            "the log has dropped the records of {STREAM} before offset {}; the catalogue can't be \
             folded without a snapshot",
            page.first
        )))
    }
}

fn unreadable(error: platform::Error) -> Error {
    Error::unknown(format!("can't read the stream {STREAM}: {error}"))
}

//! Reads the stream `releases` and builds the catalogue from it.

use std::time::Duration;

use uuid::Uuid;

use super::exit::Error;
use crate::{
    catalogue::{
        Catalogue,
        Note,
        Outcome, //
    },
    client::{
        self,
        log::{
            Log,
            Page, //
        },
    },
    follow::{
        Applied,
        Effect,
        Fold,
        Reader, //
    },
    timer::Time,
};

/// Name of the stream that holds the release notes.
pub(super) const STREAM: &str = Catalogue::STREAM;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// Reader of the stream, with the catalogue as of the last record read.
#[derive(Debug)]
pub(super) struct Releases {
    log: Log,
    reader: Reader<Catalogue>,
    watched: Option<Uuid>,
    found: Option<Record>,
}

/// The record of the watched release note, and the outcome of applying it.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) offset: u64,
    pub(super) outcome: Outcome,
    pub(super) note: Note,
}

impl Releases {
    /// Creates a reader that starts at the first record.
    pub(super) fn new(log: &str) -> Self {
        Self {
            log: Log::new(log),
            reader: Reader::new(Time::now()),
            watched: None,
            found: None,
        }
    }

    /// Watches for the note with this id, which `found` returns once its record has been read.
    pub(super) fn watch(&mut self, id: Uuid) {
        self.watched = Some(id);
    }

    pub(super) fn catalogue(&self) -> &Catalogue {
        self.reader.state()
    }

    pub(super) fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the first record of the watched note, if that has been read.
    pub(super) fn found(&self) -> Option<&Record> {
        self.found.as_ref()
    }

    /// Reads to the end of the stream. If there are no new records, waits up to `wait` for some.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read, or no longer holds records that no snapshot
    /// covers.
    pub(super) fn read(&mut self, wait: Duration) -> Result<(), Error> {
        let mut wait = wait;
        loop {
            let next = self.reader.next();
            let page = self
                .log
                .read(STREAM, next, MAX_READ_RECORDS, wait)
                .map_err(read_error)?;
            if page.records.is_empty() {
                return self.check_complete(&page);
            }
            for applied in self.reader.apply_page(&page) {
                self.record_watched(applied);
            }
            wait = Duration::ZERO;
        }
    }

    fn record_watched(&mut self, applied: Applied<Catalogue>) {
        let Effect::Change(note, outcome) = applied.effect else {
            return;
        };
        if self.watched == Some(note.id) && self.found.is_none() {
            self.found = Some(Record {
                offset: applied.offset,
                outcome,
                note,
            });
        }
    }

    fn check_complete(&self, page: &Page) -> Result<(), Error> {
        if self.reader.has_reached(page.next) {
            return Ok(());
        }
        Err(Error::unknown(format!(
            "the log no longer holds the records of {STREAM} before offset {}, and no snapshot \
             covers them; the catalogue can't be built",
            page.first
        )))
    }
}

fn read_error(error: client::Error) -> Error {
    Error::unknown(format!("can't read the stream {STREAM}: {error}"))
}

//! Follows streams of the log and the instance list into the view.

use std::{
    thread,
    time::Duration, //
};

use log::Level;
use serde::de::DeserializeOwned;

use crate::{
    catalogue,
    decision,
    platform::{
        list::List,
        log::{
            Log,
            Page, //
        },
    },
    report,
    timer::Time,
    view::View, //
};

/// Longest wait of a read for the next record.
const LONG_POLL: Duration = Duration::from_secs(4);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Most records in one read.
const READ_LIMIT: u32 = 500;

/// Period of polls of the instance list.
pub(crate) const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Follows one stream of the log for the life of the process.
pub(crate) fn stream<F>(log: Log, name: &'static str, view: std::sync::Arc<View>, mut apply: F)
where
    F: FnMut(&View, &Page) -> u64 + Send + 'static,
{
    thread::spawn(move || {
        let mut from = 1;
        loop {
            // An answer may wait in a buffer while the process is paused.
            let began = Time::now();
            match log.read(name, from, READ_LIMIT, LONG_POLL) {
                Ok(page) => {
                    view.note_news(began);
                    from = apply(&view, &page) + 1;
                }
                Err(error) => {
                    let pairs: [(&str, &dyn std::fmt::Display); 2] =
                        [("stream", &name), ("error", &error)];
                    report::event(Level::Warn, "log_read_failed", &pairs);
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    });
}

/// Applies a page of release notes and returns the last offset looked at.
pub(crate) fn apply_releases(view: &View, page: &Page) -> u64 {
    for record in &page.records {
        let Some(note) = parse::<catalogue::Note>(&record.body) else {
            continue;
        };
        let outcome = view.update_catalogue(|catalogue| catalogue.apply(record.offset, &note));
        report::info(
            "release",
            &[
                ("offset", &record.offset),
                ("note", &note.id),
                ("outcome", &format!("{outcome:?}")),
            ],
        );
    }
    page.next - 1
}

/// Applies a page of decisions and returns the last offset looked at.
pub(crate) fn apply_decisions(view: &View, page: &Page) -> u64 {
    for record in &page.records {
        let Some(decision) = parse::<decision::Record>(&record.body) else {
            continue;
        };
        let outcome = view.update_table(|table| table.apply(record.offset, &decision));
        report::info(
            "decision",
            &[
                ("offset", &record.offset),
                ("record", &decision.id),
                ("outcome", &format!("{outcome:?}")),
                ("body", &record.body),
            ],
        );
    }
    page.next - 1
}

/// Polls the instance list into the view.
pub(crate) fn instances(list: &List, view: &View, etag: &mut Option<String>) {
    match list.poll(etag.as_deref()) {
        Ok(Some(listing)) => {
            *etag = listing.etag;
            view.set_instances(listing.instances);
        }
        Ok(None) => (),
        Err(error) => report::warn("list_poll_failed", &[("error", &error)]),
    }
}

fn parse<T: DeserializeOwned>(body: &str) -> Option<T> {
    match serde_json::from_str(body) {
        Ok(value) => Some(value),
        Err(error) => {
            report::warn("record_malformed", &[("error", &error)]);
            None
        }
    }
}

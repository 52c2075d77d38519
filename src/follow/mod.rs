//! Keeps the view up to date with the streams of the log and with the instance list.

mod fold;
mod reader;
mod stream;

use std::time::Duration;

pub use fold::{
    Entry,
    Fold, //
};
pub use reader::{
    Applied,
    Effect,
    Reader, //
};
pub(crate) use stream::Stream;

use crate::{
    client::list::List,
    report,
    view::View, //
};

/// Interval between polls of the instance list.
pub(crate) const LIST_POLL_PERIOD: Duration = Duration::from_secs(2);

/// Polls the instance list and updates the view if the list has changed since `etag`.
pub(crate) fn poll_instances(list: &List, view: &View, etag: &mut Option<String>) {
    match list.poll(etag.as_deref()) {
        Ok(Some(listing)) => {
            *etag = listing.etag;
            view.set_instances(listing.instances);
        }
        Ok(None) => (),
        Err(error) => report::warn("list_poll_failed", &[("error", &error)]),
    }
}

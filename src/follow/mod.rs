//! Follows streams of the log and the instance list into the view.

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

/// Period of polls of the instance list.
pub(crate) const LIST_PERIOD: Duration = Duration::from_secs(2);

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

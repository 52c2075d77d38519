//! What a connection has been sent of a hub's table.

use super::Table;
use crate::{
    link::Update,
    timer::Time, //
};

/// What has been sent on a connection. Each connection starts with nothing.
///
/// # Examples
///
/// ```
/// use chestnuthub::hub::{Sent, Table};
/// use chestnuthub::timer::Time;
///
/// let mut sent = Sent::default();
/// assert!(sent.update(&Table::default(), Time::from_millis(0)).is_full);
/// ```
#[derive(Debug, Default)]
pub struct Sent {
    version: u64,
    listing_version: u64,
    listed_at: Option<Time>,
}

impl Sent {
    /// Returns the changes that have not been sent, and records them as sent.
    pub fn update(&mut self, table: &Table, now: Time) -> Update {
        let mut update = table.update_since(self.version);
        self.version = table.version();
        if table.listed_at() != self.listed_at {
            update.listing = table.listing_since(self.listing_version, now);
            self.listing_version = table.version();
            self.listed_at = table.listed_at();
        }
        update
    }
}

//! Notices that backend servers accept no new work because they are leaving.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    id,
    timer::Time,
    wire::Leaving, //
};

/// Time for which a notice is sent to neighbours after it was added.
const LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of notices in one message.
const MAX_NOTICES: usize = 8;

/// The notices known to a daemon. Takes the time as an argument and has no side effects.
#[derive(Debug, Default)]
pub struct Notices {
    known: BTreeMap<id::Instance, (u64, Time)>,
}

impl Notices {
    /// Adds a notice, unless one of the same server with the same or a later epoch is known.
    /// Returns whether it was added.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{gossip::Notices, timer::Time, wire::Leaving};
    ///
    /// let mut notices = Notices::default();
    /// let leaving = Leaving { server: "gearmind-1".into(), epoch: 4 };
    /// assert!(notices.add(&leaving, Time::ZERO));
    /// assert!(!notices.add(&leaving, Time::ZERO));
    /// ```
    pub fn add(&mut self, notice: &Leaving, now: Time) -> bool {
        let known = self.known.get(&notice.server);
        if known.is_some_and(|(epoch, _)| *epoch >= notice.epoch) {
            return false;
        }
        self.known
            .insert(notice.server.clone(), (notice.epoch, now));
        true
    }

    /// Removes expired notices and returns those to send to neighbours, the newest first.
    pub fn current(&mut self, now: Time) -> Vec<Leaving> {
        self.known.retain(|_, (_, since)| now - *since < LIFETIME);
        let mut newest: Vec<_> = self.known.iter().collect();
        newest.sort_by_key(|(_, (_, since))| std::cmp::Reverse(*since));
        newest
            .into_iter()
            .take(MAX_NOTICES)
            .map(|(server, (epoch, _))| Leaving {
                server: server.clone(),
                epoch: *epoch,
            })
            .collect()
    }
}

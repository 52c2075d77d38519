//! Follows the store.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    Error,
    Roster, //
};
use crate::{
    deployment::Configuration,
    platform::store::Store,
    report,
    timer::Time, //
};

/// Time until a read of the store is answered; the bytes of the answer may take longer.
const READ: Duration = Duration::from_millis(1_500);

/// Least pause between reads of the servers.
const LEAST_PAUSE: Duration = Duration::from_millis(300);

/// Pause after a read that failed; it doubles up to the longest with each further failure, since
/// refused reads are paid for as well.
const RETRY: Duration = Duration::from_millis(200);
const LONGEST_RETRY: Duration = Duration::from_millis(1_000);

/// Longest pause while configuration or servers are not known and nothing can be served.
const LONGEST_START: Duration = Duration::from_millis(300);

/// A configuration, if there is one, and the offset after which changes follow.
#[derive(Debug)]
pub(crate) struct Change {
    /// The newest configuration.
    pub(crate) configuration: Option<Configuration>,
    /// Offset of the next record.
    pub(crate) next: u64,
}

/// How often the store is read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Periods {
    /// Longest time that one read waits for a new configuration, if it is followed.
    pub(crate) configuration: Option<Duration>,
    /// Pause between reads of the servers.
    pub(crate) servers: Duration,
}

/// What is known from the store.
#[derive(Debug)]
pub(crate) struct Follower {
    store: Store,
    periods: Periods,
    configuration: RefCell<Rc<Configuration>>,
    roster: RefCell<Roster>,
    has_read_servers: Cell<bool>,
    /// Ends the pause before the next read of the servers.
    look: Notify,
    /// Wakes what depends on the configuration or the servers.
    pub(crate) changed: Notify,
}

impl Follower {
    /// Makes a follower that knows nothing yet.
    pub(crate) fn new(store: Store, periods: Periods) -> Self {
        Self {
            store,
            periods,
            configuration: RefCell::default(),
            roster: RefCell::default(),
            has_read_servers: Cell::new(false),
            look: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Returns the newest configuration; version 0 before the first was read.
    pub(crate) fn configuration(&self) -> Rc<Configuration> {
        self.configuration.borrow().clone()
    }

    /// Returns whether all that is followed has been read.
    pub(crate) fn is_complete(&self) -> bool {
        let has_configuration = self.configuration.borrow().version > 0;
        self.has_read_servers.get() && (has_configuration || self.periods.configuration.is_none())
    }

    /// Calls `look` with the servers.
    pub(crate) fn with_roster<T>(&self, look: impl FnOnce(&Roster) -> T) -> T {
        look(&self.roster.borrow())
    }

    /// Follows the servers for ever.
    pub(crate) async fn follow_servers(&self) {
        let mut dependency = Dependency::new("servers");
        loop {
            match self.store.servers(READ).await {
                Ok(found) => {
                    dependency.note_success();
                    self.roster.borrow_mut().update(found, Time::now());
                    self.has_read_servers.set(true);
                    self.changed.notify_waiters();
                }
                Err(error) => {
                    dependency.note_failure(&error);
                    self.roster.borrow_mut().note_failure();
                    sleep(self.pause(&dependency)).await;
                    continue;
                }
            }
            sleep(LEAST_PAUSE).await;
            let rest = self.periods.servers.saturating_sub(LEAST_PAUSE);
            // A sign that the servers have changed ends the pause.
            let _ = timeout(rest, self.look.notified()).await;
        }
    }

    /// Reads the servers again soon, since a sign shows that they have changed.
    pub(crate) fn look_again(&self) {
        self.look.notify_one();
    }

    /// Follows the configuration for ever.
    pub(crate) async fn follow_configuration(&self) {
        let Some(wait) = self.periods.configuration else {
            return;
        };
        let mut dependency = Dependency::new("configuration");
        let mut next = None;
        loop {
            let change = match next {
                Some(from) => self.store.change(from, wait).await,
                None => self.store.configuration(READ).await,
            };
            match change {
                Ok(change) => {
                    dependency.note_success();
                    let is_known = change.configuration.is_some();
                    if let Some(configuration) = change.configuration {
                        self.apply(configuration);
                    }
                    next = Some(change.next);
                    if !is_known && self.configuration.borrow().version == 0 {
                        sleep(RETRY).await;
                    }
                }
                Err(error) => {
                    if error == Error::Forgotten {
                        next = None;
                    } else {
                        dependency.note_failure(&error);
                        sleep(self.pause(&dependency)).await;
                    }
                }
            }
        }
    }

    /// Returns the pause before the next try to reach a dependency.
    fn pause(&self, dependency: &Dependency) -> Duration {
        let longest = if self.is_complete() {
            LONGEST_RETRY
        } else {
            LONGEST_START
        };
        dependency.pause().min(longest)
    }

    /// Waits for the first configuration.
    pub(crate) async fn configured(&self) -> Rc<Configuration> {
        loop {
            let changed = self.changed.notified();
            let configuration = self.configuration();
            if configuration.version > 0 {
                return configuration;
            }
            changed.await;
        }
    }

    /// An older version than the one in force changes nothing.
    fn apply(&self, configuration: Configuration) {
        let in_force = self.configuration.borrow().version;
        let applied = configuration.version > in_force;
        report::info(
            "configuration",
            &[
                ("version", &configuration.version),
                ("in_force", &in_force),
                ("applied", &applied),
                ("routes", &configuration.routes.len()),
            ],
        );
        if applied {
            *self.configuration.borrow_mut() = Rc::new(configuration);
            self.changed.notify_waiters();
        }
    }
}

/// Logs when a dependency is lost and regained.
struct Dependency {
    name: &'static str,
    failures: u32,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self { name, failures: 0 }
    }

    fn note_success(&mut self) {
        if self.failures > 0 {
            report::info("dependency_regained", &[("name", &self.name)]);
        }
        self.failures = 0;
    }

    /// Returns the pause before the next try.
    fn pause(&self) -> Duration {
        /// Doublings that lead beyond the longest pause.
        const DOUBLINGS: u32 = 4;
        let doublings = self.failures.saturating_sub(1).min(DOUBLINGS);
        RETRY * 2_u32.pow(doublings)
    }

    fn note_failure(&mut self, error: &Error) {
        if self.failures == 0 {
            report::warn(
                "dependency_lost",
                &[("name", &self.name), ("error", &error)],
            );
        }
        self.failures = self.failures.saturating_add(1);
    }
}

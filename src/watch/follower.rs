//! Polls the store for the configuration and the servers.

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
    Cursor,
    Error,
    Pace,
    Received,
    Roster, //
};
use crate::{
    deployment::{
        Configuration,
        Server, //
    },
    platform::store::Store,
    report,
    timer::Time, //
};

/// Timeout for the store to begin its response to a read; the body may take longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum pause between reads of the servers.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Pause after the first failed read. It doubles with each further failure up to [`MAX_BACKOFF`],
/// because refused reads are charged for as well.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum pause after a failed read once everything has been read.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Maximum pause after a failed read while the configuration or the servers are not known yet and
/// no request can be served.
const MAX_STARTUP_BACKOFF: Duration = Duration::from_millis(300);

/// Result of a read of the configuration.
#[derive(Debug)]
pub(crate) struct Change {
    /// The newest configuration, if the read found one.
    pub(crate) configuration: Option<Configuration>,
    /// Offset of the next record to read.
    pub(crate) next: u64,
    /// Era of the store that responded.
    pub(crate) era: u64,
}

/// Result of a read of the servers.
#[derive(Debug)]
pub(crate) struct Listing {
    /// The servers.
    pub(crate) servers: Vec<Server>,
    /// Era of the store that responded.
    pub(crate) era: u64,
}

/// Periods at which the store is polled.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Periods {
    /// Time from the end of a disruption until a new configuration must be followed again; `None` if
    /// the configuration is not followed.
    pub(crate) configuration: Option<Duration>,
    /// Age of the list of servers at which this process reads it itself.
    pub(crate) servers: Duration,
}

/// Keeps this process's copy of the configuration and the servers up to date.
#[derive(Debug)]
pub(crate) struct Follower {
    store: Store,
    periods: Periods,
    /// Age at which this process reads the list of servers itself.
    max_age: Cell<Duration>,
    configuration: RefCell<Rc<Configuration>>,
    /// When the first configuration was read.
    configured_at: Cell<Option<Time>>,
    /// When the store last answered a read of the configuration.
    configuration_read_at: Cell<Option<Time>>,
    roster: RefCell<Roster>,
    /// When the servers were read from the store, by this process or by the hub that sent them.
    listed_at: Cell<Option<Time>>,
    /// Ends the pause before the next read of the servers.
    refresh: Notify,
    /// Notified when the configuration has changed or the servers have been read.
    pub(crate) changed: Notify,
}

impl Follower {
    /// Creates a follower that has read nothing yet.
    pub(crate) fn new(store: Store, periods: Periods) -> Self {
        Self {
            store,
            max_age: Cell::new(periods.servers),
            periods,
            configuration: RefCell::default(),
            configured_at: Cell::new(None),
            configuration_read_at: Cell::new(None),
            roster: RefCell::default(),
            listed_at: Cell::new(None),
            refresh: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Returns the newest configuration; its version is 0 until the first one has been read.
    pub(crate) fn configuration(&self) -> Rc<Configuration> {
        self.configuration.borrow().clone()
    }

    /// Returns when the first configuration was read.
    pub(crate) fn configured_at(&self) -> Option<Time> {
        self.configured_at.get()
    }

    /// Returns the time since the store last answered a read of the configuration.
    pub(crate) fn configuration_age(&self, now: Time) -> Option<Duration> {
        let read_at = self.configuration_read_at.get();
        read_at.map(|read_at| now - read_at)
    }

    /// Returns whether everything that is followed has been read at least once.
    pub(crate) fn is_synced(&self) -> bool {
        let has_configuration = self.configuration.borrow().version > 0;
        self.listed_at.get().is_some()
            && (has_configuration || self.periods.configuration.is_none())
    }

    /// Calls `read` with the servers.
    pub(crate) fn with_roster<T>(&self, read: impl FnOnce(&Roster) -> T) -> T {
        read(&self.roster.borrow())
    }

    /// Polls the servers; never returns.
    pub(crate) async fn follow_servers(&self) {
        let mut dependency = Dependency::new("servers");
        let mut era = None;
        loop {
            match self.store.servers(RESPONSE_TIMEOUT).await {
                Ok(listing) => {
                    dependency.record_success();
                    if era
                        .replace(listing.era)
                        .is_some_and(|era| era < listing.era)
                    {
                        report::warn("store_era", &[("era", &listing.era)]);
                        self.roster.borrow_mut().record_failure();
                    }
                    self.roster
                        .borrow_mut()
                        .update(listing.servers, Time::now());
                    self.listed_at.set(Some(Time::now()));
                    self.changed.notify_waiters();
                }
                Err(Error::Outdated) => (),
                Err(error) => {
                    dependency.record_failure(&error);
                    self.roster.borrow_mut().record_failure();
                    sleep(dependency.pause().min(self.max_pause())).await;
                    continue;
                }
            }
            sleep(MIN_PAUSE).await;
            self.wait_until_outdated().await;
        }
    }

    /// Waits until the list of servers has reached its maximum age, or a refresh is requested.
    async fn wait_until_outdated(&self) {
        loop {
            let listed_at = self.listed_at.get().unwrap_or(Time::ZERO);
            let remaining = (listed_at + self.max_age.get()).remaining(Time::now());
            if remaining.is_zero() {
                return;
            }
            let is_requested = timeout(remaining, self.refresh.notified()).await.is_ok();
            if is_requested {
                return;
            }
        }
    }

    /// Sets the age at which this process reads the list of servers itself.
    pub(crate) fn set_max_age(&self, max_age: Duration) {
        self.max_age.set(max_age);
    }

    /// Takes over a list of servers from a hub, unless a newer one is known.
    pub(crate) fn feed(&self, received: Received) {
        if self.listed_at.get() >= Some(received.read_at) {
            return;
        }
        self.roster
            .borrow_mut()
            .update(received.servers, received.read_at);
        self.listed_at.set(Some(received.read_at));
        self.changed.notify_waiters();
    }

    /// Returns when the servers were read from the store, by this process or by the hub that sent
    /// them.
    pub(crate) fn listed_at(&self) -> Option<Time> {
        self.listed_at.get()
    }

    /// Ends the pause before the next read of the servers. Call this on signs that they have
    /// changed.
    pub(crate) fn refresh_servers(&self) {
        self.refresh.notify_one();
    }

    /// Polls the configuration; returns only if it is not followed.
    pub(crate) async fn follow_configuration(&self) {
        let Some(settled_after) = self.periods.configuration else {
            return;
        };
        let mut pace = Pace::new(settled_after);
        let mut dependency = Dependency::new("configuration");
        let mut cursor = Cursor::default();
        loop {
            let read = pace.next(cursor.next().is_some());
            let change = match cursor.next() {
                Some(from) => self.store.wait_for_change(from, read).await,
                None => self.store.configuration(read.timeout).await,
            };
            match change {
                Ok(change) => {
                    dependency.record_success();
                    pace.record_response();
                    self.configuration_read_at.set(Some(Time::now()));
                    let is_found = change.configuration.is_some();
                    if let Some(configuration) = change.configuration {
                        self.apply(configuration);
                    }
                    cursor.advance(change.era, change.next);
                    if !is_found && self.configuration.borrow().version == 0 {
                        sleep(MIN_BACKOFF).await;
                    }
                }
                Err(Error::Expired) => cursor.restart(),
                Err(error) => {
                    if error == Error::Outdated {
                        cursor.restart();
                    }
                    dependency.record_failure(&error);
                    sleep(pace.record_failure().min(self.max_pause())).await;
                }
            }
        }
    }

    /// Returns the maximum pause after a failed read, which is lower until everything has been read.
    fn max_pause(&self) -> Duration {
        if self.is_synced() {
            MAX_BACKOFF
        } else {
            MAX_STARTUP_BACKOFF
        }
    }

    /// Waits until a configuration has been read and returns it.
    pub(crate) async fn wait_for_configuration(&self) -> Rc<Configuration> {
        self.wait_for_version_after(0).await;
        self.configuration()
    }

    /// Waits until a configuration with a higher version than this one is in force.
    pub(crate) async fn wait_for_version_after(&self, version: u64) {
        loop {
            let changed = self.changed.notified();
            if self.configuration.borrow().version > version {
                return;
            }
            changed.await;
        }
    }

    /// Replaces the configuration if this one has a higher version.
    fn apply(&self, configuration: Configuration) {
        let current = self.configuration.borrow().version;
        let applied = configuration.version > current;
        report::info(
            "configuration",
            &[
                ("version", &configuration.version),
                ("in_force", &current),
                ("applied", &applied),
                ("routes", &configuration.routes.len()),
            ],
        );
        if applied {
            let read_at = self.configured_at.get().unwrap_or_else(Time::now);
            self.configured_at.set(Some(read_at));
            *self.configuration.borrow_mut() = Rc::new(configuration);
            self.changed.notify_waiters();
        }
    }
}

/// Counts the failures of a dependency in a row and logs when it is lost and regained.
struct Dependency {
    name: &'static str,
    failures: u32,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self { name, failures: 0 }
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            report::info("dependency_regained", &[("name", &self.name)]);
        }
        self.failures = 0;
    }

    /// Returns the pause for the current number of failures, before the maximum is applied.
    fn pause(&self) -> Duration {
        /// Number of doublings after which the pause exceeds [`MAX_BACKOFF`].
        const MAX_DOUBLINGS: u32 = 4;
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        MIN_BACKOFF * 2_u32.pow(doublings)
    }

    fn record_failure(&mut self, error: &Error) {
        let (level, event) = match self.failures {
            0 => (log::Level::Warn, "dependency_lost"),
            _ => (log::Level::Info, "dependency_failed"),
        };
        self.failures = self.failures.saturating_add(1);
        report::event(
            level,
            event,
            &[
                ("name", &self.name),
                ("error", &error),
                ("failures", &self.failures),
            ],
        );
    }
}

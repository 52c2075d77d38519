//! What a daemon knows of the fleet: catalogue, decisions and instance list.

use std::sync::{
    PoisonError,
    RwLock,
    RwLockReadGuard,
    RwLockWriteGuard, //
};

use tokio::sync::watch;

use crate::{
    catalogue::Catalogue,
    decision::Table,
    platform::list::Instance,
    timer::Time, //
};

/// What a daemon knows of the fleet. Holds copies only; the log and the list are the truth.
#[derive(Debug)]
pub struct View {
    catalogue: RwLock<Catalogue>,
    table: RwLock<Table>,
    instances: RwLock<Vec<Instance>>,
    news: RwLock<Option<Time>>,
    changed: watch::Sender<u64>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            catalogue: RwLock::default(),
            table: RwLock::default(),
            instances: RwLock::default(),
            news: RwLock::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl View {
    /// Returns the catalogue.
    pub fn catalogue(&self) -> RwLockReadGuard<'_, Catalogue> {
        read(&self.catalogue)
    }

    /// Returns the decisions about replicas.
    pub fn table(&self) -> RwLockReadGuard<'_, Table> {
        read(&self.table)
    }

    /// Returns the instance list as last polled.
    pub fn instances(&self) -> RwLockReadGuard<'_, Vec<Instance>> {
        read(&self.instances)
    }

    /// Returns when the log was last heard of, directly or through peers.
    pub fn news(&self) -> Option<Time> {
        *read(&self.news)
    }

    /// Returns a receiver that wakes at each change of the catalogue, the table or the list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes the catalogue.
    pub fn update_catalogue<T>(&self, change: impl FnOnce(&mut Catalogue) -> T) -> T {
        let result = change(&mut write(&self.catalogue));
        self.notify();
        result
    }

    /// Changes the decisions.
    pub fn update_table<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let result = change(&mut write(&self.table));
        self.notify();
        result
    }

    /// Replaces the catalogue if it has changed.
    pub fn set_catalogue(&self, catalogue: &Catalogue) {
        if self.catalogue().applied() != catalogue.applied() {
            write(&self.catalogue).clone_from(catalogue);
            self.notify();
        }
    }

    /// Replaces the decisions if they have changed.
    pub fn set_table(&self, table: &Table) {
        if self.table().applied() != table.applied() {
            write(&self.table).clone_from(table);
            self.notify();
        }
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        *write(&self.instances) = instances;
        self.notify();
    }

    /// Notes that the log was heard of at `time`; never goes back.
    pub fn note_news(&self, time: Time) {
        let mut news = write(&self.news);
        *news = Some(news.map_or(time, |known| known.max(time)));
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

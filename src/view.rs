//! A daemon's local copy of the fleet state: catalogue, decisions and instance list.

use std::sync::{
    PoisonError,
    RwLock,
    RwLockReadGuard,
    RwLockWriteGuard, //
};

use tokio::sync::watch;

use crate::{
    catalogue::Catalogue,
    client::list::Instance,
    decision::Table,
    follow::Fold,
    timer::Time, //
};

/// Local copy of the fleet state. The log and the instance list service remain authoritative.
#[derive(Debug)]
pub struct View {
    catalogue: RwLock<Catalogue>,
    table: RwLock<Table>,
    instances: RwLock<Vec<Instance>>,
    synced: RwLock<Synced>,
    changed: watch::Sender<u64>,
}

/// How far the streams have been read.
#[derive(Debug, Default)]
struct Synced {
    /// Time up to which the releases are known.
    releases: Option<Time>,
    /// Time up to which the decisions are known.
    decisions: Option<Time>,
    /// Whether a peer that had read both streams had no more records than this daemon.
    equals_peer: bool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            catalogue: RwLock::default(),
            table: RwLock::default(),
            instances: RwLock::default(),
            synced: RwLock::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl View {
    /// Returns the catalogue.
    pub fn catalogue(&self) -> RwLockReadGuard<'_, Catalogue> {
        read(&self.catalogue)
    }

    /// Returns the table of decisions about replicas.
    pub fn table(&self) -> RwLockReadGuard<'_, Table> {
        read(&self.table)
    }

    /// Returns the instance list as last polled.
    pub fn instances(&self) -> RwLockReadGuard<'_, Vec<Instance>> {
        read(&self.instances)
    }

    /// Returns the time up to which both streams are known, either from the log or through peers.
    pub fn synced_at(&self) -> Option<Time> {
        let synced = read(&self.synced);
        synced.releases.zip(synced.decisions).map(|(a, b)| a.min(b))
    }

    /// Returns whether all records of both streams have been read, from the log or through peers. They
    /// may be older than this machine's clock if the log has been down for long.
    pub fn is_complete(&self) -> bool {
        read(&self.synced).equals_peer || self.synced_at().is_some()
    }

    /// Returns a receiver that is notified of each change of the catalogue, the table or the list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes the catalogue and notifies the receivers of changes.
    pub fn update_catalogue<T>(&self, change: impl FnOnce(&mut Catalogue) -> T) -> T {
        let result = change(&mut write(&self.catalogue));
        self.notify();
        result
    }

    /// Changes the table of decisions and notifies the receivers of changes.
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

    /// Replaces the table of decisions if it has changed.
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

    /// Records that a stream is known up to `time`. Ignored if a later time has been recorded.
    pub fn record_sync(&self, stream: &str, time: Time) {
        let mut synced = write(&self.synced);
        let known = if stream == Table::STREAM {
            &mut synced.decisions
        } else {
            &mut synced.releases
        };
        *known = Some(known.map_or(time, |known| known.max(time)));
    }

    /// Records that a peer that has read both streams has no more records than this daemon.
    pub fn record_equal_peer(&self) {
        write(&self.synced).equals_peer = true;
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

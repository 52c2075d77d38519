//! Servers as a hub describes them.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    deployment::Server,
    link::{
        ServerState,
        Update, //
    },
    timer::Time,
};

/// A list of servers that was received from a hub.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    /// All servers on the list.
    pub servers: Vec<Server>,
    /// When the list was read from the store.
    pub read_at: Time,
}

/// The servers as a hub describes them, kept up to date from its updates.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Connection on which everything was last received; its changes are applied.
    connection: Option<u64>,
    states: BTreeMap<String, ServerState>,
    listed: BTreeMap<String, Server>,
}

impl Mirror {
    /// Applies an update that arrived on a connection at `now`. Returns the list of servers if the
    /// update says that it was read again.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::link::Update;
    /// use chestnuthub::timer::Time;
    /// use chestnuthub::watch::Mirror;
    ///
    /// let mut mirror = Mirror::default();
    /// assert!(mirror.apply(1, Update::default(), Time::from_millis(0)).is_none());
    /// ```
    pub fn apply(&mut self, connection: u64, update: Update, now: Time) -> Option<Received> {
        if update.is_full {
            self.connection = Some(connection);
            self.states.clear();
            self.listed.clear();
        } else if self.connection != Some(connection) {
            // A former hub still sends changes until it knows that it is no longer followed.
            return None;
        }
        for mut state in update.servers {
            let id = state.holdings.server.clone();
            let known = self.states.remove(&id);
            state.holdings.copies = match (state.copies.take(), known) {
                (Some(copies), _) => copies,
                (None, Some(known)) => known.holdings.copies,
                (None, None) => Default::default(),
            };
            self.states.insert(id, state);
        }
        for id in update.removed {
            self.states.remove(&id);
        }
        let listing = update.listing?;
        for server in listing.servers {
            self.listed.insert(server.id.clone(), server);
        }
        for id in listing.removed {
            self.listed.remove(&id);
        }
        let age = Duration::from_millis(u64::from(listing.age_ms));
        Some(Received {
            servers: self.listed.values().cloned().collect(),
            read_at: Time::from_millis((now - (Time::ZERO + age)).as_millis() as u64),
        })
    }

    /// Returns what the hub knows of a server from its loader.
    pub fn state(&self, id: &str) -> Option<&ServerState> {
        self.states.get(id)
    }

    /// Returns what the hub knows of all servers from their loaders, by server id.
    pub fn states(&self) -> &BTreeMap<String, ServerState> {
        &self.states
    }
}

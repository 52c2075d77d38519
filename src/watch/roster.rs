//! The servers as this process believes them to be.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    deployment::Server,
    timer::Time, //
};

/// Time after the store's return within which the entries of living servers are back.
const RETURN: Duration = Duration::from_millis(2_000);

/// The servers by id, as read from the store.
///
/// While the store is away, entries of living servers may lapse. So a server that is missing from
/// a read is kept until [`RETURN`] after the first read that succeeded again.
#[derive(Debug, Default)]
pub struct Roster {
    servers: BTreeMap<String, Server>,
    is_failing: bool,
    returned: Option<Time>,
}

impl Roster {
    /// Takes the descriptions of all servers that a read found.
    ///
    /// A description of an earlier start than the known one is an old record and changes nothing.
    pub fn update(&mut self, found: Vec<Server>, now: Time) {
        if self.is_failing {
            self.is_failing = false;
            self.returned = Some(now);
        }
        let returning = self.returned.is_some_and(|at| now - at < RETURN);
        let mut newest = BTreeMap::new();
        for server in found {
            let known = self.servers.remove(&server.id);
            let newer = match known {
                Some(known) if (known.born, known.seq) > (server.born, server.seq) => known,
                _ => server,
            };
            newest.insert(newer.id.clone(), newer);
        }
        if returning {
            newest.append(&mut self.servers);
        }
        self.servers = newest;
    }

    /// Notes that a read failed.
    pub fn note_failure(&mut self) {
        self.is_failing = true;
    }

    /// Returns whether a server that started later has the address of this one.
    ///
    /// After a loss of power the entries of the servers before it stay for some seconds beside
    /// those of their successors.
    pub fn is_superseded(&self, id: &str) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let mut servers = self.servers.values();
        servers.any(|other| other.address == server.address && other.born > server.born)
    }

    /// Returns the servers by id.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }
}

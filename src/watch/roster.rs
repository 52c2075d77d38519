//! The servers that this process knows.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    deployment::Server,
    timer::Time, //
};

/// Time after the store becomes reachable again within which the entries of all running servers are
/// expected to be back.
const RECOVERY: Duration = Duration::from_millis(2_000);

/// Time for which the last description of a server that has left is remembered. It exceeds the age
/// of a copy from which the store may come back.
const DEPARTED_RETENTION: Duration = Duration::from_secs(120);

/// The servers by id, as read from the store.
///
/// While the store is unreachable, entries of running servers may expire. A server that is missing
/// from a read is therefore kept until [`RECOVERY`] after the first read that succeeds again.
///
/// A store that came back from a copy may list servers that have left since. A server that was
/// removed is therefore listed again only by a description newer than its last one.
#[derive(Debug, Default)]
pub struct Roster {
    servers: BTreeMap<String, Server>,
    departed: BTreeMap<String, Departed>,
    is_failing: bool,
    recovered_at: Option<Time>,
}

/// The last description of a server that has left.
#[derive(Debug)]
struct Departed {
    started_ms: u64,
    seq: u64,
    removed_at: Time,
}

impl Departed {
    fn new(server: &Server, now: Time) -> Self {
        Self {
            started_ms: server.started_ms,
            seq: server.seq,
            removed_at: now,
        }
    }

    fn is_older_than(&self, server: &Server) -> bool {
        (self.started_ms, self.seq) < (server.started_ms, server.seq)
    }
}

impl Roster {
    /// Replaces the servers by those that a read found.
    ///
    /// A description that is older than the known one, for example of an earlier start, is ignored.
    pub fn update(&mut self, found: Vec<Server>, now: Time) {
        if self.is_failing {
            self.is_failing = false;
            self.recovered_at = Some(now);
        }
        let is_recovering = self.recovered_at.is_some_and(|at| now - at < RECOVERY);
        self.departed
            .retain(|_, departed| now - departed.removed_at < DEPARTED_RETENTION);
        let mut newest = BTreeMap::new();
        for server in found {
            let departed = self.departed.get(&server.id);
            if departed.is_some_and(|departed| !departed.is_older_than(&server)) {
                continue;
            }
            let known = self.servers.remove(&server.id);
            let newer = match known {
                Some(known) if (known.started_ms, known.seq) > (server.started_ms, server.seq) => {
                    known
                }
                _ => server,
            };
            newest.insert(newer.id.clone(), newer);
        }
        if is_recovering {
            newest.append(&mut self.servers);
        }
        for (id, server) in std::mem::take(&mut self.servers) {
            self.departed.insert(id, Departed::new(&server, now));
        }
        self.servers = newest;
    }

    /// Records that a read failed, or that the store came back from a copy: entries of running
    /// servers may be missing from the next reads.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Returns whether another server with the same address started later.
    ///
    /// After a power failure, the entries of the servers that ran before it remain for some seconds
    /// beside those of their successors.
    pub fn is_superseded(&self, id: &str) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let mut servers = self.servers.values();
        servers.any(|other| other.address == server.address && other.started_ms > server.started_ms)
    }

    /// Returns the servers by id.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }
}

//! State computed from the records of the stream `decisions`.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use super::{
    Body,
    Record, //
};
use crate::id;

/// Maximum number of record ids that are kept to recognise a record that was appended twice.
///
/// This covers the decisions of more than an hour at the design size; a late duplicate arrives
/// within seconds.
const MAX_RECENT_IDS: usize = 1_024;

/// The registration of the current agent process of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Offset of the registration.
    pub offset: u64,
    /// Unique id of the agent process.
    pub incarnation: Uuid,
    /// Accelerator memory for models in MiB, excluding the memory reserved for adapters.
    pub memory_mb: u64,
    /// Pool of the backend server.
    pub pool: id::Pool,
    /// Region of the backend server.
    pub region: String,
    /// Failure domain of the backend server.
    pub failure_domain: String,
    /// Fencing token: the highest offset of a valid record about this backend server.
    pub fence: u64,
    /// Whether this epoch replaced that of another process, which may still be running.
    pub succeeds: bool,
}

/// State of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The model may be loaded.
    Granted,
    /// The model must be unloaded.
    Retiring,
}

/// Permission to load a model version on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The backend server.
    pub server: id::Instance,
    /// Offset of the grant.
    pub grant: u64,
    /// State of the slot.
    pub state: State,
}

/// The records about one model version and the slots that result from them.
///
/// A grant or retirement names in `replaces` the newest valid record that its writer had read. It
/// is valid only if that is the head, so of two concurrent ones only the first is valid.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Chain {
    /// Offset of the newest valid record.
    head: u64,
    slots: Vec<Slot>,
}

/// Result of applying a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record was valid and changed the state.
    Applied,
    /// The record at this offset was applied earlier.
    Repeated,
    /// The record is invalid; every reader ignores it.
    Void,
}

/// The state after all decisions up to an offset. Every daemon computes the same state from the
/// same records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    applied: u64,
    servers: BTreeMap<id::Instance, Epoch>,
    chains: BTreeMap<id::Model, Chain>,
    /// Ids of the most recently processed records, oldest first.
    recent: VecDeque<Uuid>,
}

impl Table {
    /// Returns the offset of the last record that was processed, valid or not.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the offset of the newest valid record of the model's chain, 0 if there is none.
    pub fn head(&self, model: &id::Model) -> u64 {
        self.chains.get(model).map_or(0, |chain| chain.head)
    }

    /// Returns the slots of a model version in the order of their grants.
    pub fn slots(&self, model: &id::Model) -> &[Slot] {
        self.chains
            .get(model)
            .map_or(&[], |chain| chain.slots.as_slice())
    }

    /// Returns all model versions that have a chain.
    pub fn models(&self) -> impl Iterator<Item = &id::Model> {
        self.chains.keys()
    }

    /// Returns the registration of a backend server's current agent process.
    pub fn epoch(&self, server: &id::Instance) -> Option<&Epoch> {
        self.servers.get(server)
    }

    /// Returns all registered backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (&id::Instance, &Epoch)> {
        self.servers.iter()
    }

    /// Returns the slots on a backend server.
    pub fn on_server<'a>(
        &'a self,
        server: &'a id::Instance,
    ) -> impl Iterator<Item = (&'a id::Model, &'a Slot)> {
        self.chains.iter().flat_map(move |(model, chain)| {
            let slots = chain.slots.iter();
            slots
                .filter(move |slot| slot.server == *server)
                .map(move |slot| (model, slot))
        })
    }

    /// Returns whether the record with this id is among the most recently processed records.
    pub fn has_seen(&self, record: Uuid) -> bool {
        self.recent.contains(&record)
    }

    /// Applies the record at `offset`.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::decision::{Body, Outcome, Record, Table};
    ///
    /// let mut table = Table::default();
    /// let grant = Record::new(Body::Grant {
    ///     model: "gear-check@1".into(),
    ///     server: "gearmind-1".into(),
    ///     replaces: 0,
    ///     limit: 2,
    /// });
    /// // The backend server has not registered.
    /// assert_eq!(table.apply(1, &grant), Outcome::Void);
    /// ```
    pub fn apply(&mut self, offset: u64, record: &Record) -> Outcome {
        if offset <= self.applied {
            return Outcome::Repeated;
        }
        self.applied = offset;
        // A second copy of a registration would otherwise end the epoch of the process that
        // registered after it.
        if self.has_seen(record.id) {
            return Outcome::Void;
        }
        self.recent.push_back(record.id);
        if self.recent.len() > MAX_RECENT_IDS {
            self.recent.pop_front();
        }
        if self.change(offset, &record.body) {
            Outcome::Applied
        } else {
            Outcome::Void
        }
    }

    /// Marks the record at `offset` as processed without applying it.
    pub fn skip(&mut self, offset: u64) {
        self.applied = self.applied.max(offset);
    }

    /// Applies the content of a record and returns whether it is valid.
    fn change(&mut self, offset: u64, body: &Body) -> bool {
        match body {
            Body::Register {
                server,
                incarnation,
                memory_mb,
                pool,
                region,
                failure_domain,
            } => {
                let epoch = Epoch {
                    offset,
                    incarnation: *incarnation,
                    memory_mb: *memory_mb,
                    pool: pool.clone(),
                    region: region.clone(),
                    failure_domain: failure_domain.clone(),
                    fence: offset,
                    succeeds: self.servers.contains_key(server),
                };
                self.register(server, epoch)
            }
            Body::Grant {
                model,
                server,
                replaces,
                limit,
            } => self.grant(offset, model, server, *replaces, *limit),
            Body::Retire {
                model,
                server,
                replaces,
            } => self.retire(offset, model, server, *replaces),
            Body::Released {
                model,
                server,
                grant,
            } => self.release(offset, model, server, *grant),
            Body::Gone { server, epoch } => self.remove(offset, server, *epoch),
            Body::Snapshot(_) => false,
        }
    }

    /// Starts a new epoch; ignores a repeated registration of the same process.
    fn register(&mut self, server: &id::Instance, epoch: Epoch) -> bool {
        let running = self.servers.get(server);
        if running.is_some_and(|old| old.incarnation == epoch.incarnation) {
            return false;
        }
        self.servers.insert(server.clone(), epoch);
        true
    }

    /// Adds a slot. Valid if the server is registered and has no slot of the model version, there
    /// are fewer than `limit` slots, and `replaces` is the head of the chain.
    fn grant(
        &mut self,
        offset: u64,
        model: &id::Model,
        server: &id::Instance,
        replaces: u64,
        limit: u32,
    ) -> bool {
        let Some(epoch) = self.servers.get_mut(server) else {
            return false;
        };
        if replaces != self.chains.get(model).map_or(0, |chain| chain.head) {
            return false;
        }
        let slots = self.chains.get(model).map_or(&[][..], |chain| &chain.slots);
        let full = slots.len() >= limit as usize;
        if full || slots.iter().any(|slot| slot.server == *server) {
            return false;
        }
        epoch.fence = offset;
        let chain = self.chains.entry(model.clone()).or_default();
        chain.head = offset;
        chain.slots.push(Slot {
            server: server.clone(),
            grant: offset,
            state: State::Granted,
        });
        true
    }

    /// Marks a granted slot as retiring. Valid if `replaces` is the head of the chain.
    fn retire(
        &mut self,
        offset: u64,
        model: &id::Model,
        server: &id::Instance,
        replaces: u64,
    ) -> bool {
        let Some(chain) = self.chains.get_mut(model) else {
            return false;
        };
        if chain.head != replaces {
            return false;
        }
        let slots = chain.slots.iter_mut();
        let Some(slot) = slots
            .filter(|slot| slot.state == State::Granted)
            .find(|slot| slot.server == *server)
        else {
            return false;
        };
        slot.state = State::Retiring;
        chain.head = offset;
        self.raise_fence(server, offset);
        true
    }

    /// Removes a retiring slot. Valid if the slot was made by the grant at offset `grant`.
    fn release(
        &mut self,
        offset: u64,
        model: &id::Model,
        server: &id::Instance,
        grant: u64,
    ) -> bool {
        let Some(chain) = self.chains.get_mut(model) else {
            return false;
        };
        let freed = chain.slots.iter().position(|slot| {
            slot.state == State::Retiring && slot.grant == grant && slot.server == *server
        });
        let Some(index) = freed else {
            return false;
        };
        chain.slots.remove(index);
        chain.head = offset;
        self.raise_fence(server, offset);
        true
    }

    /// Removes a server and all its slots. Valid if `epoch` is the server's current one.
    fn remove(&mut self, offset: u64, server: &id::Instance, epoch: u64) -> bool {
        if self.servers.get(server).map(|running| running.offset) != Some(epoch) {
            return false;
        }
        self.servers.remove(server);
        for chain in self.chains.values_mut() {
            let before = chain.slots.len();
            chain.slots.retain(|slot| slot.server != *server);
            if chain.slots.len() != before {
                chain.head = offset;
            }
        }
        true
    }

    fn raise_fence(&mut self, server: &id::Instance, offset: u64) {
        if let Some(epoch) = self.servers.get_mut(server) {
            epoch.fence = offset;
        }
    }
}

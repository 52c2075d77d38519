//! What a hub knows, and what has changed since a connection was last sent it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    deployment::Server,
    link::{
        Backlog,
        Contact,
        Demand,
        Holdings,
        Listing,
        Needs,
        ServerDemand,
        ServerState,
        Status,
        Traffic,
        Update,
        Usage,
        Workload, //
    },
    timer::Time,
};

/// Smallest change of the number of requests at a server that is passed on.
const MIN_LOAD_CHANGE: u32 = 2;

/// Smallest change of the time of a server's backlog that is passed on, in ms.
const MIN_BACKLOG_CHANGE_MS: u32 = 300;

/// Smallest change of the number of requests at a server that is passed on, as a fraction of the
/// number known.
const MIN_LOAD_CHANGE_FRACTION: f64 = 0.25;

/// Number of removed servers whose ids are remembered for connections that have not been sent their
/// removal.
const MAX_REMOVED: usize = 256;

/// Connection of a server whose loader has never been connected.
const NO_CONNECTION: u64 = 0;

/// Change of one item: the version of the table at the change.
type Version = u64;

/// What the loader of a server has reported.
#[derive(Debug)]
struct Entry {
    holdings: Holdings,
    workload: Workload,
    contact: Contact,
    /// Connection of the loader.
    connection: u64,
    changed: Version,
    copies_changed: Version,
}

impl Entry {
    fn state(&self, since: Version) -> ServerState {
        let has_new_copies = self.copies_changed > since;
        ServerState {
            holdings: Holdings {
                copies: Default::default(),
                ..self.holdings.clone()
            },
            copies: has_new_copies.then(|| self.holdings.copies.clone()),
            workload: self.workload,
            contact: self.contact,
        }
    }
}

/// What a gateway has sent.
#[derive(Debug, Default)]
struct GatewayDemand {
    /// Demand at each server, and when it was received.
    servers: BTreeMap<String, (ServerDemand, Time)>,
    rates: BTreeMap<String, (Traffic, Time)>,
}

/// Removed items with the versions of their removals.
#[derive(Debug, Default)]
struct Removals {
    ids: BTreeMap<String, Version>,
    /// Version of the newest removal that has been forgotten.
    forgotten: Version,
}

impl Removals {
    fn add(&mut self, id: &str, version: Version) {
        self.ids.insert(id.to_owned(), version);
        if self.ids.len() > MAX_REMOVED
            && let Some(oldest) = self.ids.values().min().copied()
        {
            self.ids.retain(|_, version| *version != oldest);
            self.forgotten = oldest;
        }
    }

    fn since(&self, since: Version) -> Vec<String> {
        let newer = self.ids.iter().filter(|(_, version)| **version > since);
        newer.map(|(id, _)| id.clone()).collect()
    }
}

/// What a hub knows: the states of servers from their loaders, the demand at its gateways and the
/// list of servers. Each change gets the next version.
///
/// # Examples
///
/// ```
/// use chestnuthub::hub::Table;
/// use chestnuthub::link::{Holdings, Status};
/// use chestnuthub::timer::Time;
///
/// let mut table = Table::default();
/// let holdings = Holdings { server: "s1".to_owned(), ..Holdings::default() };
/// table.set_status(1, Status { holdings: Some(holdings), ..Status::default() });
/// let update = table.update_since(0);
/// assert!(update.is_full);
/// assert_eq!(update.servers.len(), 1);
/// assert!(table.update_since(table.version()).servers.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    version: Version,
    servers: BTreeMap<String, Entry>,
    removed: Removals,
    demands: BTreeMap<u64, GatewayDemand>,
    /// Versions of the newest changes of models' rates.
    rates: BTreeMap<String, Version>,
    listed: BTreeMap<String, (Server, Version)>,
    unlisted: Removals,
    listed_at: Option<Time>,
}

impl Table {
    /// Returns the version of the newest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn next_version(&mut self) -> Version {
        self.version += 1;
        self.version
    }

    /// Records a message of the loader with this connection. Returns the id of its server, if it is
    /// known.
    pub fn set_status(&mut self, connection: u64, status: Status) -> Option<String> {
        match status.holdings {
            Some(holdings) => self.set_holdings(connection, holdings, status.workload),
            None => self.set_workload(connection, status.workload),
        }
    }

    fn set_holdings(
        &mut self,
        connection: u64,
        holdings: Holdings,
        workload: Workload,
    ) -> Option<String> {
        let id = holdings.server.clone();
        self.remove_former_id(connection, &id);
        if id.is_empty() {
            return None;
        }
        let version = self.next_version();
        let known = self.servers.get(&id);
        let known = known.filter(|known| known.holdings.copies == holdings.copies);
        let entry = Entry {
            copies_changed: known.map_or(version, |known| known.copies_changed),
            holdings,
            workload,
            contact: Contact::Connected,
            connection,
            changed: version,
        };
        self.removed.ids.remove(&id);
        self.servers.insert(id.clone(), entry);
        Some(id)
    }

    /// Removes the server that the loader with this connection had before, if it has another one.
    fn remove_former_id(&mut self, connection: u64, id: &str) {
        let mut servers = self.servers.iter();
        let former = servers.find(|(known, entry)| entry.connection == connection && *known != id);
        if let Some(former) = former.map(|(former, _)| former.clone()) {
            self.remove_server(&former);
        }
    }

    fn remove_server(&mut self, id: &str) {
        if self.servers.remove(id).is_some() {
            let version = self.next_version();
            self.removed.add(id, version);
        }
    }

    fn set_workload(&mut self, connection: u64, workload: Workload) -> Option<String> {
        let version = self.version + 1;
        let mut servers = self.servers.iter_mut();
        let (id, entry) = servers.find(|(_, entry)| entry.connection == connection)?;
        if is_significant(entry.workload, workload) {
            entry.workload = workload;
            entry.changed = version;
            self.version = version;
        }
        Some(id.clone())
    }

    /// Records that the connection of a loader has ended.
    pub fn end_contact(&mut self, connection: u64, contact: Contact) {
        let version = self.version + 1;
        let mut entries = self.servers.values_mut();
        if let Some(entry) = entries.find(|entry| entry.connection == connection) {
            entry.contact = contact;
            entry.changed = version;
            self.version = version;
        }
    }

    /// Returns whether the loader of a server is connected.
    pub(crate) fn is_connected(&self, server: &str) -> bool {
        let entry = self.servers.get(server);
        entry.is_some_and(|entry| entry.contact == Contact::Connected)
    }

    /// Returns the number of connected gateways.
    pub(crate) fn gateways(&self) -> usize {
        self.demands.len()
    }

    /// Records whether the machine of a server responds whose loader is not connected.
    pub fn set_contact(&mut self, server: &str, contact: Contact) {
        let known = self.servers.get(server).map(|entry| entry.contact);
        if known == Some(contact) || known == Some(Contact::Connected) {
            return;
        }
        let version = self.next_version();
        self.removed.ids.remove(server);
        let entry = self.servers.entry(server.to_owned());
        let entry = entry.or_insert_with(|| Entry {
            holdings: Holdings {
                server: server.to_owned(),
                ..Holdings::default()
            },
            workload: Workload::default(),
            contact,
            connection: NO_CONNECTION,
            changed: version,
            copies_changed: version,
        });
        entry.contact = contact;
        entry.changed = version;
    }

    /// Records a message of the gateway with this connection. Returns the ids of the servers at
    /// which other requests wait than before.
    pub fn set_demand(&mut self, connection: u64, demand: Demand, now: Time) -> Vec<String> {
        let version = self.next_version();
        let gateway = self.demands.entry(connection).or_default();
        for traffic in demand.rates {
            self.rates.insert(traffic.model.clone(), version);
            gateway.rates.insert(traffic.model.clone(), (traffic, now));
        }
        let mut changed = Vec::new();
        for new in demand.servers {
            let known = gateway.servers.get(&new.server);
            let has_same = known.map_or(new.backlogs.is_empty(), |(known, _)| {
                has_same_backlogs(known, &new)
            });
            if !has_same {
                changed.push(new.server.clone());
            }
            if new.usage.is_empty() && new.backlogs.is_empty() {
                gateway.servers.remove(&new.server);
            } else {
                gateway.servers.insert(new.server.clone(), (new, now));
            }
        }
        changed
    }

    /// Removes a gateway whose connection has ended.
    pub fn remove_gateway(&mut self, connection: u64) {
        let version = self.next_version();
        if let Some(gateway) = self.demands.remove(&connection) {
            for model in gateway.rates.into_keys() {
                self.rates.insert(model, version);
            }
        }
    }

    /// Adds a gateway that has sent nothing yet.
    pub(crate) fn add_gateway(&mut self, connection: u64) {
        self.demands.entry(connection).or_default();
    }

    /// Replaces the list of servers by one that was read from the store at `read_at`, unless a newer
    /// one is known. Servers that are no longer listed are forgotten.
    pub fn set_listing(&mut self, servers: &BTreeMap<String, Server>, read_at: Time) {
        if self.listed_at.is_some_and(|known| known >= read_at) {
            return;
        }
        self.listed_at = Some(read_at);
        let version = self.next_version();
        for (id, server) in servers {
            let known = self.listed.get(id);
            if known.is_none_or(|(known, _)| known.differs_from(server)) {
                self.listed.insert(id.clone(), (server.clone(), version));
                self.unlisted.ids.remove(id);
            }
        }
        let gone = self.listed.keys().filter(|id| !servers.contains_key(*id));
        for id in gone.cloned().collect::<Vec<_>>() {
            self.listed.remove(&id);
            self.unlisted.add(&id, version);
            self.remove_server(&id);
            for gateway in self.demands.values_mut() {
                gateway.servers.remove(&id);
            }
        }
    }

    /// Returns when the list of servers was read from the store.
    pub(crate) fn listed_at(&self) -> Option<Time> {
        self.listed_at
    }

    /// Returns the changes of the list of servers after a version.
    pub(crate) fn listing_since(&self, since: u64, now: Time) -> Option<Listing> {
        let since = self.known_version(since);
        let changed = self.listed.values().filter(|(_, changed)| *changed > since);
        Some(Listing {
            age_ms: u32::try_from((now - self.listed_at?).as_millis()).unwrap_or(u32::MAX),
            servers: changed.map(|(server, _)| server.clone()).collect(),
            removed: self.unlisted.since(since),
        })
    }

    /// Returns the changes of servers after a version; everything after version 0.
    pub fn update_since(&self, since: u64) -> Update {
        let since = self.known_version(since);
        let changed = self.servers.values().filter(|entry| entry.changed > since);
        Update {
            origins: Vec::new(),
            has_origins: None,
            configuration: None,
            findings: None,
            spendings: Vec::new(),
            heard_fraction: 1.0,
            history: None,
            is_full: since == 0,
            servers: changed.map(|entry| entry.state(since)).collect(),
            removed: self.removed.since(since),
            listing: None,
            wants_engine: false,
        }
    }

    /// Returns `since`, or 0 if removals after it have been forgotten.
    fn known_version(&self, since: Version) -> Version {
        let forgotten = self.removed.forgotten.max(self.unlisted.forgotten);
        if since < forgotten { 0 } else { since }
    }

    /// Returns what requests of the gateways wait for at a server, and the gateways' traffic.
    pub fn demand_of(&self, server: &str, now: Time) -> (Vec<Backlog>, Vec<Traffic>) {
        let needs = self.needs(server, 0, now);
        (needs.backlogs, needs.rates)
    }

    /// Returns the sum of the gateways' demand at a server. The rates are those that changed after
    /// the version `rates_since`.
    pub(crate) fn needs(&self, server: &str, rates_since: u64, now: Time) -> Needs {
        let demands = self.demands.values();
        let here = demands.filter_map(|demand| demand.servers.get(server));
        let here: Vec<_> = here.collect();
        let changed = self.rates.iter();
        let changed = changed.filter(|(_, version)| **version > rates_since);
        Needs {
            usage: sum_usage(&here),
            backlogs: sum_backlogs(&here, now),
            rates: changed.map(|(model, _)| self.rate(model, now)).collect(),
            gateways: self.demands.len() as u32,
            ..Needs::default()
        }
    }

    /// Returns the traffic of a model, summed over the gateways.
    fn rate(&self, model: &str, now: Time) -> Traffic {
        let mut sum = Traffic::new(model);
        let gateways = self.demands.values();
        for (traffic, at) in gateways.filter_map(|gateway| gateway.rates.get(model)) {
            let traffic = traffic.after(now - *at);
            sum.per_s += traffic.per_s;
            sum.recent_per_s += traffic.recent_per_s;
            sum.prefill_ms += traffic.prefill_ms;
            sum.in_flight += traffic.in_flight;
        }
        sum
    }
}

/// Returns whether the same number of requests wait for the same models and adapters.
fn has_same_backlogs(known: &ServerDemand, new: &ServerDemand) -> bool {
    let counts = |demand: &ServerDemand| -> Vec<(String, Option<String>, u32)> {
        let backlogs = demand.backlogs.iter();
        backlogs
            .map(|b| (b.model.clone(), b.adapter.clone(), b.waiting))
            .collect()
    };
    counts(known) == counts(new)
}

/// Returns whether a change of the workload matters to the choice of a server.
fn is_significant(known: Workload, new: Workload) -> bool {
    let load = |workload: Workload| workload.running + workload.queued;
    let change = load(known).abs_diff(load(new));
    let is_large = f64::from(change) >= MIN_LOAD_CHANGE_FRACTION * f64::from(load(known));
    known.gateways != new.gateways
        || known.request_limit != new.request_limit
        || known.backlog_ms.abs_diff(new.backlog_ms) >= MIN_BACKLOG_CHANGE_MS
        || known.queued.abs_diff(new.queued) >= MIN_LOAD_CHANGE
        || (change >= MIN_LOAD_CHANGE && is_large)
}

/// Returns the names of models and adapters that occur in `items`, each once.
fn names<T>(
    items: impl Iterator<Item = T>,
    name: impl Fn(T) -> (String, Option<String>),
) -> BTreeSet<(String, Option<String>)> {
    items.map(name).collect()
}

fn sum_usage(demands: &[&(ServerDemand, Time)]) -> Vec<Usage> {
    let all = || demands.iter().flat_map(|(demand, _)| &demand.usage);
    let names = names(all(), |usage| (usage.model.clone(), usage.adapter.clone()));
    let sum = |(model, adapter): (String, Option<String>)| {
        let same = all().filter(|usage| usage.model == model && usage.adapter == adapter);
        Usage {
            in_flight: same.map(|usage| usage.in_flight).sum(),
            model,
            adapter,
        }
    };
    names.into_iter().map(sum).collect()
}

fn sum_backlogs(demands: &[&(ServerDemand, Time)], now: Time) -> Vec<Backlog> {
    let aged = demands.iter().flat_map(|(demand, received_at)| {
        let backlogs = demand.backlogs.iter();
        backlogs.map(|backlog| backlog.after(now - *received_at))
    });
    let aged: Vec<Backlog> = aged.collect();
    let all = || aged.iter();
    let names = names(all(), |backlog| {
        (backlog.model.clone(), backlog.adapter.clone())
    });
    let sum = |(model, adapter): (String, Option<String>)| {
        let is_same = |backlog: &&Backlog| backlog.model == model && backlog.adapter == adapter;
        let same = || all().filter(is_same);
        Backlog {
            waiting: same().map(|backlog| backlog.waiting).sum(),
            priority: same().map(|backlog| backlog.priority).min().unwrap_or(0),
            oldest_ms: same().map(|backlog| backlog.oldest_ms).max().unwrap_or(0),
            leaves_ms: same().map(|backlog| backlog.leaves_ms).min().unwrap_or(0),
            due_ms: same()
                .flat_map(|backlog| backlog.due_ms.iter().copied())
                .take(Backlog::MAX_DUE)
                .collect(),
            model: model.clone(),
            adapter: adapter.clone(),
        }
    };
    names.into_iter().map(sum).collect()
}

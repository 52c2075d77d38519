//! The port of a hub, to which gateways and loaders connect.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    sync::watch,
    time::sleep, //
};

use super::{
    Description,
    Ledgers,
    Quarantine,
    Relay,
    Sent,
    Table,
    probe, //
};
use crate::{
    http,
    link::{
        self, //
        Contact,
        Demand,
        Hello,
        Needs,
        Reader,
        Status,
        Writer,
    },
    report,
    timer::Time,
    watch::Follower,
};

/// Time after its start after which a hub tells gateways the newest version of the configuration that
/// it knows. By then other hubs have told it theirs: before, it could tell a gateway that has just
/// started nothing but the version of that gateway itself.
const INFORMED_AFTER: Duration = Duration::from_millis(1_000);

/// Timeout for the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for the next message of a gateway, after which its connection is closed.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Timeout for the next message of a loader, after which it counts as silent.
const LOADER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum time between messages to a gateway.
const GATEWAY_HEARTBEAT: Duration = Duration::from_millis(250);

/// Minimum time between messages to a gateway, in which changes are collected.
const GATEWAY_BATCH: Duration = Duration::from_millis(15);

/// Maximum time between messages to a loader.
const LOADER_HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Minimum time between messages to a loader, in which changes are collected.
const LOADER_BATCH: Duration = Duration::from_millis(5);

/// Minimum time between messages to a loader that contain rates, unless it has none yet.
const RATES_INTERVAL: Duration = Duration::from_millis(950);

/// State that the connections of a hub share.
#[derive(Debug)]
pub(crate) struct Hub {
    table: RefCell<Table>,
    follower: Rc<Follower>,
    /// The description of the engine, which the loader of this process uses as well.
    description: Rc<RefCell<Description>>,
    relay: Rc<Relay>,
    quarantine: Rc<Quarantine>,
    ledgers: Rc<Ledgers>,
    /// Version of the table; wakes the connections of gateways.
    version: watch::Sender<u64>,
    /// Wakes the connections to the loader of a server, by server id.
    backlogs: RefCell<BTreeMap<String, watch::Sender<()>>>,
    /// Wakes the connections of gateways when one is asked for the description of the engine.
    pub(crate) description_request: watch::Sender<()>,
    next_connection: Cell<u64>,
    /// Address of the engine beside the hub.
    engine_addr: SocketAddr,
    started_at: Time,
}

impl Hub {
    pub(crate) fn new(
        follower: Rc<Follower>,
        description: Rc<RefCell<Description>>,
        relay: Rc<Relay>,
        quarantine: Rc<Quarantine>,
        ledgers: Rc<Ledgers>,
        engine_addr: SocketAddr,
    ) -> Self {
        Self {
            engine_addr,
            started_at: Time::now(),
            relay,
            quarantine,
            ledgers,
            table: RefCell::default(),
            follower,
            description,
            version: watch::Sender::new(0),
            backlogs: RefCell::default(),
            description_request: watch::Sender::new(()),
            next_connection: Cell::new(0),
        }
    }

    /// Returns the newest version of the configuration that a gateway has had in force, once the hub
    /// can tell.
    fn newest_configuration(&self, now: Time) -> Option<u64> {
        let is_informed = now - self.started_at >= INFORMED_AFTER;
        let newest = self.description.borrow().newest();
        newest.filter(|_| is_informed)
    }

    fn connect(&self) -> u64 {
        self.next_connection.set(self.next_connection.get() + 1);
        self.next_connection.get()
    }

    /// Wakes the connections of gateways if the table has changed.
    fn publish(&self) {
        let version = self.table.borrow().version();
        self.version.send_if_modified(|known| {
            let is_new = *known != version;
            *known = version;
            is_new
        });
    }

    /// Takes the list of servers over from the follower if it was read again.
    fn refresh_listing(&self) {
        let Some(read_at) = self.follower.listed_at() else {
            return;
        };
        if self.table.borrow().listed_at() != Some(read_at) {
            self.follower.with_roster(|roster| {
                let mut table = self.table.borrow_mut();
                table.set_listing(roster.servers(), read_at);
            });
            self.publish();
        }
    }

    /// Returns the servers of the hub's service whose loaders are not connected, if any gateway
    /// relies on this hub.
    pub(super) fn unconnected(&self) -> Vec<(String, SocketAddr)> {
        let table = self.table.borrow();
        if table.gateways() == 0 {
            return Vec::new();
        }
        self.follower.with_roster(|roster| {
            let servers = roster.servers().values();
            let own = servers
                .clone()
                .find(|server| server.address == self.engine_addr);
            let peers =
                servers.filter(|server| own.is_some_and(|own| own.service == server.service));
            let unconnected = peers.filter(|server| !table.is_connected(&server.id));
            unconnected
                .map(|server| (server.id.clone(), server.address))
                .collect()
        })
    }

    /// Records what a probe says about a server whose loader is not connected.
    pub(super) fn set_contact(&self, server: &str, contact: Contact) {
        self.table.borrow_mut().set_contact(server, contact);
        self.publish();
    }

    fn wake_loaders(&self, servers: &[String]) {
        let backlogs = self.backlogs.borrow();
        for wake in servers.iter().filter_map(|server| backlogs.get(server)) {
            wake.send_replace(());
        }
    }

    fn backlog_changes(&self, server: &str) -> watch::Receiver<()> {
        let mut backlogs = self.backlogs.borrow_mut();
        backlogs.retain(|_, wake| wake.receiver_count() > 0);
        let wake = backlogs.entry(server.to_owned());
        wake.or_insert_with(|| watch::Sender::new(())).subscribe()
    }
}

/// Accepts and serves connections; never returns.
pub(crate) async fn serve(address: SocketAddr, hub: Rc<Hub>) {
    let follower = hub.clone();
    tokio::task::spawn_local(async move {
        loop {
            follower.follower.changed.notified().await;
            follower.refresh_listing();
        }
    });
    tokio::task::spawn_local(probe::run(hub.clone(), address.port()));
    let accept = |stream| {
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_connection(stream, &hub).await {
                report::info("hub_connection_ended", &[("error", &error)]);
            }
        });
    };
    http::listen(address, accept).await;
}

async fn serve_connection(stream: TcpStream, hub: &Hub) -> io::Result<()> {
    let (mut reader, mut writer) = link::split(stream)?;
    let connection = hub.connect();
    match reader.next(HELLO_TIMEOUT).await? {
        Hello::Gateway => {
            hub.table.borrow_mut().add_gateway(connection);
            hub.ledgers.add_gateway(connection, Time::now());
            let result = tokio::select! {
                result = read_demand(&mut reader, hub, connection) => result,
                result = send_updates(writer, hub, connection) => result,
            };
            hub.table.borrow_mut().remove_gateway(connection);
            hub.description.borrow_mut().remove_gateway(connection);
            hub.relay.remove_gateway(connection);
            let is_silent = is_timeout(&result);
            hub.ledgers
                .remove_gateway(connection, is_silent, Time::now());
            result
        }
        Hello::Probe => writer.send(&Needs::default()).await,
        Hello::Loader => {
            let loader = watch::Sender::new(Loader::default());
            let result = tokio::select! {
                result = read_status(&mut reader, hub, connection, &loader) => result,
                result = send_needs(writer, hub, loader.subscribe()) => result,
            };
            let is_silent = is_timeout(&result);
            let contact = if is_silent {
                Contact::Silent
            } else {
                Contact::Lost
            };
            hub.table.borrow_mut().end_contact(connection, contact);
            let server = loader.borrow().server.clone();
            hub.ledgers.end_contact(&server, is_silent, Time::now());
            hub.publish();
            result
        }
    }
}

/// Returns whether a connection ended because the other side fell silent.
fn is_timeout(result: &io::Result<()>) -> bool {
    matches!(result, Err(error) if error.kind() == io::ErrorKind::TimedOut)
}

async fn read_demand(reader: &mut Reader, hub: &Hub, connection: u64) -> io::Result<()> {
    loop {
        let mut demand: Demand = reader.next(GATEWAY_TIMEOUT).await?;
        if demand.wants_listing {
            hub.follower.refresh_servers();
        }
        let now = Time::now();
        hub.relay.record_own(&demand.origins, now);
        hub.relay.ask(connection, &demand.unknown_streams);
        hub.quarantine
            .record_own(std::mem::take(&mut demand.facts), now);
        hub.ledgers.record_own(connection, &demand.spendings, now);
        if let Some(history) = &demand.history {
            hub.relay.versions.learn(history, now);
        }
        if let Some(description) = demand.engine.take() {
            hub.description.borrow_mut().update(description);
        } else if let Some(version) = demand.engine_version
            && hub.description.borrow_mut().offer(connection, version, now)
        {
            hub.description_request.send_replace(());
        }
        let changed = hub.table.borrow_mut().set_demand(connection, demand, now);
        hub.wake_loaders(&changed);
    }
}

/// What a loader has said on its connection.
#[derive(Debug, Clone, Default, PartialEq)]
struct Loader {
    server: String,
    is_observer: bool,
    wants_engine: bool,
}

async fn read_status(
    reader: &mut Reader,
    hub: &Hub,
    connection: u64,
    loader: &watch::Sender<Loader>,
) -> io::Result<()> {
    loop {
        let mut status: Status = reader.next(LOADER_TIMEOUT).await?;
        if let Some(history) = &status.history {
            hub.relay.versions.learn(history, Time::now());
        }
        let is_observer = status.is_observer;
        let wants_engine = status.wants_engine;
        hub.relay.record_others(&status.origins, Time::now());
        hub.quarantine
            .record_others(std::mem::take(&mut status.facts), Time::now());
        let (spendings, gateways) = (std::mem::take(&mut status.spendings), status.gateways);
        let server = hub.table.borrow_mut().set_status(connection, status);
        if let Some(server) = &server {
            let now = Time::now();
            hub.ledgers.record_others(server, gateways, &spendings, now);
        }
        hub.publish();
        let said = Loader {
            server: server.unwrap_or_default(),
            is_observer,
            wants_engine,
        };
        loader.send_if_modified(|known| {
            let is_new = *known != said;
            *known = said;
            is_new
        });
    }
}

async fn send_updates(mut writer: Writer, hub: &Hub, connection: u64) -> io::Result<()> {
    let mut version = hub.version.subscribe();
    let mut description_request = hub.description_request.subscribe();
    let mut answered = hub.relay.answered.subscribe();
    let mut quarantine = hub.quarantine.changed.subscribe();
    let mut quarantine_version = 0;
    let mut history_told = 0;
    let mut sent = Sent::default();
    loop {
        version.mark_unchanged();
        description_request.mark_unchanged();
        answered.mark_unchanged();
        quarantine.mark_unchanged();
        let mut update = sent.update(&hub.table.borrow(), Time::now());
        update.wants_engine = hub.description.borrow().is_requested(connection);
        update.configuration = hub.newest_configuration(Time::now());
        update.origins = hub.relay.take_answers(connection);
        update.has_origins = hub.relay.has_origins(Time::now());
        update.findings = hub.quarantine.news(&mut quarantine_version, Time::now());
        update.spendings = hub.ledgers.news(connection, Time::now());
        update.heard_fraction = hub.ledgers.fraction(Time::now());
        update.history = hub.relay.versions.news(&mut history_told, Time::now());
        writer.send(&update).await?;
        sleep(GATEWAY_BATCH).await;
        // Waiting for changes can't fail: the hub owns the senders.
        tokio::select! {
            _ = version.changed() => (),
            _ = description_request.changed() => (),
            _ = answered.changed() => (),
            _ = quarantine.changed() => (),
            () = sleep(GATEWAY_HEARTBEAT) => (),
        }
    }
}

async fn send_needs(
    mut writer: Writer,
    hub: &Hub,
    mut loader: watch::Receiver<Loader>,
) -> io::Result<()> {
    let mut sent = Sent::default();
    let mut rates_version = 0;
    let mut rates_sent_at = None;
    loop {
        let said = loader.borrow_and_update().clone();
        let mut backlogs = hub.backlog_changes(&said.server);
        let now = Time::now();
        let mut needs = hub.table.borrow().needs(&said.server, rates_version, now);
        if rates_sent_at.is_none_or(|at| now - at >= RATES_INTERVAL) {
            rates_version = hub.table.borrow().version();
            rates_sent_at = Some(now);
        } else {
            needs.rates.clear();
        }
        add_description(hub, &said, &mut needs);
        if said.is_observer {
            needs.update = Some(sent.update(&hub.table.borrow(), now));
        } else {
            sent = Sent::default();
        }
        writer.send(&needs).await?;
        sleep(LOADER_BATCH).await;
        // Waiting for changes can't fail: the hub and the caller own the senders.
        tokio::select! {
            _ = backlogs.changed() => (),
            _ = loader.changed() => (),
            () = sleep(LOADER_HEARTBEAT) => (),
        }
    }
}

fn add_description(hub: &Hub, said: &Loader, needs: &mut Needs) {
    let description = hub.description.borrow();
    needs.engine_version = description.version();
    if said.wants_engine {
        needs.engine = description.description();
    }
}

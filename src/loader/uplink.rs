//! The connections to hubs: the loader reports the state of its server and receives the needs of
//! the requests at all gateways.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    sleep,
    timeout, //
};

use super::state::State;
use crate::{
    hub,
    link::{
        self,
        Hello,
        Needs,
        Status,
        Writer, //
    },
    report,
    timer::Time,
};

/// Maximum interval at which the hubs are chosen anew from the roster.
const CHOICE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the connection to a hub is kept that the roster no longer gives. Gateways leave
/// such a hub only when loaders have had time to connect to the new one.
const LINGER: Duration = Duration::from_millis(10_000);

/// Timeout for connecting to a hub.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Maximum time between messages to a hub.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between messages to a hub, in which changes are collected.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Timeout for the next message of a hub, after which the connection is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The hubs and the connections to them.
#[derive(Debug, Default)]
struct Links {
    /// Addresses of the hubs that the roster gives at present, the preferred ones first.
    wanted: RefCell<Vec<SocketAddr>>,
    /// When the roster last gave each hub.
    last_wanted: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Addresses with a task that maintains the connection.
    maintained: RefCell<BTreeSet<SocketAddr>>,
    connected: RefCell<BTreeSet<SocketAddr>>,
}

impl Links {
    fn set_wanted(&self, wanted: Vec<SocketAddr>, now: Time) {
        let mut last_wanted = self.last_wanted.borrow_mut();
        last_wanted.retain(|_, at| now - *at < LINGER);
        last_wanted.extend(wanted.iter().map(|hub| (*hub, now)));
        *self.wanted.borrow_mut() = wanted;
    }

    fn is_wanted(&self, hub: SocketAddr) -> bool {
        self.last_wanted.borrow().contains_key(&hub)
    }

    /// Returns the connected hub that comes first in the order of preference.
    fn observed(&self) -> Option<SocketAddr> {
        let connected = self.connected.borrow();
        let wanted = self.wanted.borrow();
        wanted.iter().find(|hub| connected.contains(*hub)).copied()
    }
}

/// Maintains a connection to each hub; never returns.
pub(super) async fn maintain(state: Rc<State>) {
    let links = Rc::new(Links::default());
    loop {
        state.record_versions();
        links.set_wanted(wanted(&state), Time::now());
        state.follower.set_max_age(max_listing_age(&state));
        let wanted = links.wanted.borrow().clone();
        for hub in wanted {
            if links.maintained.borrow_mut().insert(hub) {
                let (state, links) = (state.clone(), links.clone());
                tokio::task::spawn_local(async move {
                    maintain_link(&state, &links, hub).await;
                    links.maintained.borrow_mut().remove(&hub);
                });
            }
        }
        state.observed.set(links.observed());
        // The hubs may change with the roster.
        let _ = timeout(CHOICE_INTERVAL, state.follower.changed.notified()).await;
    }
}

/// Returns the age of the list of servers at which this loader reads it itself. The first hub of
/// each failure domain reads the list for the others, before it reaches their maximum age.
fn max_listing_age(state: &State) -> Duration {
    let settings = state.settings.get();
    let is_reader = state.server().is_some_and(|own| {
        state.follower.with_roster(|roster| {
            let hubs = hub::all(roster.servers(), &own.service);
            let first = hubs.get(&own.failure_domain).and_then(|hubs| hubs.first());
            first.is_some_and(|first| first.address == own.address)
        })
    });
    if is_reader {
        settings.listing_interval()
    } else {
        settings.loader_listing_age()
    }
}

/// Returns the addresses of the hubs. The one in this process comes last, because it knows no more
/// than this loader.
fn wanted(state: &State) -> Vec<SocketAddr> {
    let Some(own) = state.server() else {
        return Vec::new();
    };
    let settings = state.settings.get();
    let servers = state.follower.with_roster(|roster| {
        hub::preferred(
            roster.servers(),
            &own.service,
            &settings.instance,
            &settings.failure_domain,
            &settings.regions,
        )
    });
    let (own, others): (Vec<_>, Vec<_>) = servers
        .into_iter()
        .partition(|server| *server == own.address);
    let servers = others.into_iter().chain(own);
    servers
        .map(|server| SocketAddr::new(server.ip(), settings.peer_port))
        .collect()
}

async fn maintain_link(state: &State, links: &Links, hub: SocketAddr) {
    while links.is_wanted(hub) {
        let connection = state.connect();
        let result = exchange(state, links, hub, connection).await;
        state.disconnect(connection);
        if links.connected.borrow_mut().remove(&hub)
            && let Err(error) = result
        {
            report::warn("hub_lost", &[("hub", &hub), ("error", &error)]);
            state.observed.set(links.observed());
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn exchange(
    state: &State,
    links: &Links,
    hub: SocketAddr,
    connection: u64,
) -> io::Result<()> {
    let (mut reader, mut writer) = link::open(hub, CONNECT_TIMEOUT).await?;
    writer.send(&Hello::Loader).await?;
    let read = async {
        loop {
            let needs: Needs = reader.next(RECEIVE_TIMEOUT).await?;
            if links.connected.borrow_mut().insert(hub) {
                state.observed.set(links.observed());
            }
            state.set_needs(connection, needs);
        }
    };
    tokio::select! {
        result = read => result,
        result = send_status(writer, state, links, hub, connection) => result,
    }
}

async fn send_status(
    mut writer: Writer,
    state: &State,
    links: &Links,
    hub: SocketAddr,
    connection: u64,
) -> io::Result<()> {
    let mut holdings = state.holdings.subscribe();
    let mut workload = state.workload.subscribe();
    let mut origins = state.relay.own_changed.subscribe();
    let mut origins_sent = 0;
    let mut facts = state.quarantine.own_changed.subscribe();
    let mut facts_sent = 0;
    let mut history_told = 0;
    let mut spendings_told = state.ledgers.begin();
    // The hub in this process knows what its own gateways tell.
    let is_own = state
        .server()
        .is_some_and(|own| own.address.ip() == hub.ip());
    holdings.mark_changed();
    while links.is_wanted(hub) {
        let changed = holdings.has_changed().unwrap_or(true);
        let status = Status {
            workload: *workload.borrow_and_update(),
            holdings: changed.then(|| holdings.borrow_and_update().as_ref().clone()),
            is_observer: state.observed.get() == Some(hub),
            wants_engine: state.wants_engine(connection),
            origins: state.relay.new_origins(&mut origins_sent),
            facts: state.quarantine.new_facts(&mut facts_sent, Time::now()),
            spendings: if is_own {
                Vec::new()
            } else {
                state.ledgers.own_news(&mut spendings_told, Time::now())
            },
            gateways: if is_own { 0 } else { state.ledgers.gateways() },
            history: state.relay.versions.news(&mut history_told, Time::now()),
        };
        writer.send(&status).await?;
        sleep(BATCH_DELAY).await;
        if state.relay.has_new_origins(origins_sent) || state.quarantine.has_new_facts(facts_sent) {
            continue;
        }
        tokio::select! {
            _ = holdings.changed() => holdings.mark_changed(),
            _ = origins.changed() => (),
            _ = facts.changed() => (),
            () = state.ledgers.wait(&mut spendings_told), if !is_own => (),
            () = sleep(HEARTBEAT_INTERVAL) => (),
        }
    }
    Ok(())
}

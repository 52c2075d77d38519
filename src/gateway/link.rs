//! The link to a hub, through which the gateway learns what servers hold and reports its demand.

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
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    origins::Book,
    state::State, //
};
use crate::{
    dispatch::Knowledge,
    hub,
    link::{
        self,
        Demand,
        Hello,
        Update,
        Writer, //
    },
    report,
    timer::Time,
    watch::Mirror,
};

/// Timeout for connecting to a hub.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a hub that could not be reached is not tried again.
const COOLDOWN: Duration = Duration::from_millis(1_000);

/// Delay after all hubs have failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum time between messages to a hub.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout for the next message of a hub, after which its machine counts as unresponsive and the
/// gateway goes to another hub.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time between messages to a hub, in which changes of the demand are collected.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Interval at which a gateway checks whether it should go to another hub.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of checks in a row after which a gateway goes to a hub that it prefers. Loaders connect to
/// new hubs in this time.
const CHECKS: u32 = 3;

/// Time without a link after which the gateway no longer relies on what it has learned from a hub.
const MAX_ABSENCE: Duration = Duration::from_millis(1_500);

/// The link to a hub of one service.
#[derive(Debug)]
pub(super) struct Link {
    service: String,
    /// What the hub knows of the servers.
    pub(super) mirror: RefCell<Mirror>,
    /// Wakes the link when requests wait, or no longer wait, for a model.
    pub(super) demand_changed: Notify,
    is_started: Cell<bool>,
    /// Number of the current connection.
    connection: Cell<u64>,
    is_up: Cell<bool>,
    wants_engine: Cell<bool>,
    wants_listing: Cell<bool>,
    /// Whether the hub knows origins of streams, if it can tell.
    hub_has_origins: Cell<Option<bool>>,
    /// Origins of streams, for clients that take them up again.
    pub(super) origins: Book,
    /// When hubs that could not be reached may be tried again.
    cooldowns: RefCell<BTreeMap<SocketAddr, Time>>,
}

impl Link {
    pub(super) fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            mirror: RefCell::default(),
            demand_changed: Notify::new(),
            is_started: Cell::new(false),
            connection: Cell::new(0),
            is_up: Cell::new(false),
            wants_engine: Cell::new(false),
            wants_listing: Cell::new(false),
            hub_has_origins: Cell::new(None),
            origins: Book::default(),
            cooldowns: RefCell::default(),
        }
    }

    /// Records that the link is maintained; returns false if it was before.
    pub(super) fn start(&self) -> bool {
        !self.is_started.replace(true)
    }

    /// Returns whether the link is maintained, because the service has hubs.
    pub(super) fn is_started(&self) -> bool {
        self.is_started.get()
    }

    /// Returns whether a hub is connected.
    pub(super) fn is_up(&self) -> bool {
        self.is_up.get()
    }

    /// Returns what the hub knows of a stream for which it has given no answer.
    pub(super) fn hub_knowledge(&self) -> Knowledge {
        if !self.is_up.get() {
            return Knowledge::Unreachable;
        }
        match self.hub_has_origins.get() {
            Some(true) => Knowledge::Unanswered,
            Some(false) => Knowledge::Empty,
            None => Knowledge::Unsettled,
        }
    }

    /// Returns whether origins of streams are sent to the hub: this gateway or another one knows
    /// several software versions.
    pub(super) fn needs_origins(&self, state: &State) -> bool {
        let versions = &state.fleet.versions;
        self.hub_has_origins.get() == Some(true) || versions.any_are_several(Time::now())
    }

    /// Asks the hub for a newer list of servers. Returns false if there is no hub.
    pub(super) fn request_listing(&self) -> bool {
        if self.is_up.get() && !self.wants_listing.replace(true) {
            self.demand_changed.notify_one();
        }
        self.is_up.get()
    }

    /// Returns the hubs in order of preference.
    fn hubs(&self, state: &State) -> Vec<SocketAddr> {
        let settings = state.settings.get();
        let servers = state.follower.with_roster(|roster| {
            hub::preferred(
                roster.servers(),
                &self.service,
                &settings.instance,
                &settings.failure_domain,
                &settings.regions,
            )
        });
        let hubs = servers.into_iter();
        hubs.map(|server| SocketAddr::new(server.ip(), settings.peer_port))
            .collect()
    }

    fn is_cooling_down(&self, hub: SocketAddr, now: Time) -> bool {
        let cooldowns = self.cooldowns.borrow();
        cooldowns.get(&hub).is_some_and(|until| now < *until)
    }

    /// Connects to the first of `hubs` that can be reached.
    async fn connect(&self, hubs: &[SocketAddr]) -> Option<(SocketAddr, TcpStream)> {
        for hub in hubs {
            let now = Time::now();
            if self.is_cooling_down(*hub, now) {
                continue;
            }
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(hub)).await {
                Ok(Ok(stream)) => return Some((*hub, stream)),
                Ok(Err(error)) => log_unreachable(*hub, &error),
                Err(elapsed) => log_unreachable(*hub, &elapsed.into()),
            }
            self.cooldowns.borrow_mut().insert(*hub, now + COOLDOWN);
        }
        None
    }
}

fn log_unreachable(hub: SocketAddr, error: &io::Error) {
    report::event(
        log::Level::Debug,
        "hub_unreachable",
        &[("hub", &hub), ("error", error)],
    );
}

/// Maintains the link to a hub; never returns.
pub(super) async fn maintain(state: Rc<State>, link: Rc<Link>) {
    let mut last_up = Time::now();
    let mut ready = None;
    loop {
        let connected = match ready.take() {
            Some(connected) => Some(connected),
            None => link.connect(&link.hubs(&state)).await,
        };
        let Some((hub, stream)) = connected else {
            if Time::now() - last_up >= MAX_ABSENCE {
                forget(&state, &link);
            }
            sleep(RETRY_DELAY).await;
            continue;
        };
        report::info("hub_connected", &[("hub", &hub)]);
        let result = tokio::select! {
            result = exchange(&state, &link, stream) => result,
            better = find_better(&state, &link, hub) => {
                ready = Some(better);
                Ok(())
            }
        };
        link.is_up.set(false);
        last_up = Time::now();
        if let Err(error) = result {
            report::warn("hub_lost", &[("hub", &hub), ("error", &error)]);
            let until = last_up + COOLDOWN;
            link.cooldowns.borrow_mut().insert(hub, until);
            if error.kind() == io::ErrorKind::TimedOut {
                state.fleet.mark_unresponsive(hub.ip());
            }
        }
    }
}

/// Waits until a hub that is preferred to `current` can be reached, and connects to it. A gateway
/// stays at a hub of its failure domain as long as the roster gives it.
async fn find_better(state: &State, link: &Link, current: SocketAddr) -> (SocketAddr, TcpStream) {
    let mut checks = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        let settings = state.settings.get();
        let is_near = state.fleet.failure_domain(current.ip()).as_deref()
            == Some(settings.failure_domain.as_str());
        let hubs = link.hubs(state);
        if is_near && hubs.contains(&current) {
            checks = 0;
            continue;
        }
        checks += 1;
        let better = hubs.split(|hub| *hub == current).next().unwrap_or_default();
        if checks >= CHECKS
            && let Some(connected) = link.connect(better).await
        {
            return connected;
        }
    }
}

/// Drops what was learned from a hub, because there is none.
fn forget(state: &State, link: &Link) {
    let known = std::mem::take(&mut *link.mirror.borrow_mut());
    for id in known.states().keys() {
        state.apply_state(id, None);
    }
    if state.carries_spendings(&link.service) {
        state.allowances.forget();
    }
}

async fn exchange(state: &State, link: &Link, stream: TcpStream) -> io::Result<()> {
    link.connection.set(link.connection.get() + 1);
    state.quarantine.begin_connection(&link.service);
    if state.carries_spendings(&link.service) {
        state.allowances.begin_connection();
    }
    let (mut reader, mut writer) = link::split(stream)?;
    writer.send(&Hello::Gateway).await?;
    let read = async {
        loop {
            let update: Update = reader.next(RECEIVE_TIMEOUT).await?;
            apply(state, link, update);
        }
    };
    tokio::select! {
        result = read => result,
        result = send_demand(state, link, writer) => result,
    }
}

async fn send_demand(state: &State, link: &Link, mut writer: Writer) -> io::Result<()> {
    let mut last_sent = 0;
    let mut origins_sent = 0;
    let mut facts_sent = None;
    let mut history_told = 0;
    for backend in state.fleet.of_service(&link.service).iter() {
        backend.is_demand_changed.set(true);
    }
    loop {
        let engine = link
            .wants_engine
            .take()
            .then(|| state.engine_description(&link.service));
        let backends = state.fleet.of_service(&link.service);
        let changed = backends
            .iter()
            .filter(|backend| backend.is_demand_changed.take());
        let needs_origins = link.needs_origins(state);
        let carries_spendings = state.carries_spendings(&link.service);
        let told = state.follower.configuration().version;
        let demand = Demand {
            servers: changed.map(|backend| backend.demand()).collect(),
            rates: state.rates.since(last_sent, Time::now()),
            engine_version: state.engine_version(&link.service),
            engine: engine.flatten(),
            wants_listing: link.wants_listing.take(),
            origins: if needs_origins {
                link.origins.new_origins(&mut origins_sent)
            } else {
                Vec::new()
            },
            unknown_streams: link.origins.take_questions(),
            facts: state.quarantine.new_facts(&mut facts_sent, Time::now()),
            spendings: if carries_spendings {
                state.allowances.news(Time::now())
            } else {
                Vec::new()
            },
            history: state.fleet.versions.news(&mut history_told, Time::now()),
        };
        last_sent = state.rates.newest();
        writer.send(&demand).await?;
        sleep(BATCH_DELAY).await;
        let has_origins = needs_origins && link.origins.has_new_origins(origins_sent);
        if has_origins || state.quarantine.has_new_facts(facts_sent) {
            continue;
        }
        // A change of the demand ends the wait. So does a new configuration: hubs tell gateways that
        // start which version they must have read.
        tokio::select! {
            () = link.demand_changed.notified() => (),
            () = state.follower.wait_for_version_after(told) => (),
            () = state.allowances.wait(), if carries_spendings => (),
            () = sleep(HEARTBEAT_INTERVAL) => (),
        }
    }
}

fn apply(state: &State, link: &Link, mut update: Update) {
    link.is_up.set(true);
    if let Some(version) = update.configuration {
        state.floor.borrow_mut().hear(version);
    }
    if update.wants_engine && !link.wants_engine.replace(true) {
        link.demand_changed.notify_one();
    }
    let mut changed: Vec<_> = update
        .servers
        .iter()
        .map(|state| state.holdings.server.clone())
        .chain(update.removed.iter().cloned())
        .collect();
    if update.is_full {
        changed.extend(link.mirror.borrow().states().keys().cloned());
    }
    if let Some(history) = &update.history {
        state.fleet.versions.learn(history, Time::now());
    }
    let knew = link.hub_has_origins.replace(update.has_origins);
    if knew != update.has_origins && update.has_origins == Some(true) {
        link.demand_changed.notify_one();
    }
    link.origins.learn(&update.origins, Time::now());
    if state.carries_spendings(&link.service) {
        let (spendings, fraction) = (&update.spendings, update.heard_fraction);
        let allowances = &state.allowances;
        allowances.learn(state, spendings, fraction, Time::now());
    }
    if let Some(findings) = update.findings.take() {
        let service = &link.service;
        state.quarantine.learn(service, findings, Time::now());
        link.demand_changed.notify_one();
    }
    let listing = link
        .mirror
        .borrow_mut()
        .apply(link.connection.get(), update, Time::now());
    for id in changed {
        state.apply_state(&id, link.mirror.borrow().state(&id));
    }
    if let Some(listing) = listing {
        state.follower.feed(listing);
    }
}

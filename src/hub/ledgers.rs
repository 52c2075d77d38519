//! What accounts have used at a hub's gateways and at those of other hubs.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::Duration, //
};

use tokio::{
    sync::watch,
    time::sleep, //
};

use super::Hearing;
use crate::{
    link::{
        Ledger,
        Pace,
        Spending,
        Told, //
    },
    timer::Time,
};

/// Name under which the hub's own gateways are counted.
const OWN: &str = "";

/// Maximum time for which a connection waits before it looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What accounts have used at a hub's gateways and at those of other hubs.
///
/// What the hub's own gateways tell is passed on to the other hubs, over the connections that the
/// loader in the same process has to them; what other hubs tell is not. Each gateway is told what
/// all others have used.
#[derive(Debug)]
pub(crate) struct Ledgers {
    own: RefCell<Ledger>,
    all: RefCell<Ledger>,
    /// What each gateway has been told, by connection; `None` before the first message.
    gateways: RefCell<BTreeMap<u64, Option<Told>>>,
    hearing: RefCell<Hearing>,
    /// Notified of what the hub's gateways tell.
    own_changed: watch::Sender<()>,
}

impl Default for Ledgers {
    fn default() -> Self {
        Self {
            own: RefCell::default(),
            all: RefCell::default(),
            gateways: RefCell::default(),
            hearing: RefCell::default(),
            own_changed: watch::Sender::new(()),
        }
    }
}

impl Ledgers {
    /// Adds a gateway that has told nothing yet.
    pub(super) fn add_gateway(&self, connection: u64, now: Time) {
        self.gateways.borrow_mut().insert(connection, None);
        self.count_gateways(now);
    }

    /// Removes a gateway whose connection has ended.
    pub(super) fn remove_gateway(&self, connection: u64, is_silent: bool, now: Time) {
        self.gateways.borrow_mut().remove(&connection);
        self.count_gateways(now);
        if is_silent {
            self.hearing.borrow_mut().miss(1, now);
        }
    }

    fn count_gateways(&self, now: Time) {
        self.hearing.borrow_mut().set(OWN, self.gateways(), now);
    }

    /// Returns the number of the hub's gateways.
    pub(crate) fn gateways(&self) -> u32 {
        self.gateways.borrow().len() as u32
    }

    /// Records what a gateway of this hub has told.
    pub(super) fn record_own(&self, connection: u64, spendings: &[Spending], now: Time) {
        if spendings.is_empty() {
            return;
        }
        let mut gateways = self.gateways.borrow_mut();
        let mut told = gateways.get_mut(&connection).and_then(Option::as_mut);
        for spending in spendings {
            self.own.borrow_mut().record(spending, now);
            self.all.borrow_mut().record(spending, now);
            if let Some(told) = &mut told {
                told.skip(spending);
            }
        }
        self.own_changed.send_replace(());
    }

    /// Records what another hub has told: what its gateways have used, and their number.
    pub(super) fn record_others(
        &self,
        hub: &str,
        gateways: u32,
        spendings: &[Spending],
        now: Time,
    ) {
        self.hearing.borrow_mut().set(hub, gateways, now);
        for spending in spendings {
            self.all.borrow_mut().record(spending, now);
        }
    }

    /// Records that the connection of another hub has ended.
    pub(super) fn end_contact(&self, hub: &str, is_silent: bool, now: Time) {
        let mut hearing = self.hearing.borrow_mut();
        if is_silent {
            hearing.lose(hub, now);
        } else {
            hearing.remove(hub);
        }
    }

    /// Returns the part of all gateways that the hub hears of.
    pub(super) fn fraction(&self, now: Time) -> f32 {
        self.hearing.borrow_mut().fraction(now) as f32
    }

    /// Returns what is due to be told to a gateway. The first time on its connection, that is what
    /// accounts ask for at present.
    pub(super) fn news(&self, connection: u64, now: Time) -> Vec<Spending> {
        let mut gateways = self.gateways.borrow_mut();
        let all = self.all.borrow();
        match gateways.get_mut(&connection) {
            Some(Some(told)) => all.news(told, now),
            Some(told) => {
                *told = Some(Told::new(&all, Pace::Collected));
                all.recent(now)
            }
            None => Vec::new(),
        }
    }

    /// Returns the position of a new connection to another hub.
    pub(crate) fn begin(&self) -> Told {
        Told::new(&self.own.borrow(), Pace::Collected)
    }

    /// Returns what is due to be told to another hub.
    pub(crate) fn own_news(&self, told: &mut Told, now: Time) -> Vec<Spending> {
        self.own.borrow().news(told, now)
    }

    /// Waits until something is due to be told to another hub.
    pub(crate) async fn wait(&self, told: &mut Told) {
        let mut changed = self.own_changed.subscribe();
        loop {
            changed.mark_unchanged();
            let due_in = self.own.borrow().due_in(told, Time::now());
            match due_in {
                Some(Duration::ZERO) => return,
                Some(due_in) => sleep(due_in.min(LOOK_INTERVAL)).await,
                // Waiting for changes can't fail: this owns the sender.
                None => _ = changed.changed().await,
            }
        }
    }
}

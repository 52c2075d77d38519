//! The allowances of client accounts at this gateway.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::sleep, //
};

use super::{
    job::Job,
    limit::Gateways,
    response::Failure,
    state::State, //
};
use crate::{
    deployment::{
        Account,
        Allowance,
        Configuration, //
    },
    dispatch::{
        Meter,
        Reach, //
    },
    hosted::Excess,
    link::{
        self,
        Ledger,
        Pace,
        Spending,
        Told, //
    },
    report,
    timer::Time,
};

/// Time without word from the hub after which this gateway goes by its part alone.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// Maximum time for which the link waits before it looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of refusals that are logged in a second.
const MAX_LOGGED_PER_S: u32 = 20;

/// What the requests of client accounts have used, here and as far as is known at other gateways.
#[derive(Debug, Default)]
pub(super) struct Allowances {
    /// Accounts with allowances, by the digests of their names.
    meters: RefCell<BTreeMap<u64, Meter>>,
    /// Version of the configuration that the accounts are from.
    version: Cell<u64>,
    ledger: RefCell<Ledger>,
    told: RefCell<Told>,
    /// When the hub was last heard.
    heard_at: Cell<Option<Time>>,
    /// Part of all gateways that the hub hears of.
    fraction: Cell<f64>,
    /// Whether the hub has told what accounts ask for, since the start or a time without a hub.
    is_settled: Cell<bool>,
    logged: Cell<Logged>,
    /// Notified when something is used.
    changed: Notify,
}

/// The refusals of the current second.
#[derive(Debug, Clone, Copy, Default)]
struct Logged {
    second: u64,
    count: u32,
    suppressed: u32,
}

/// Units that a request uses, which are returned if it was not sent.
#[derive(Debug)]
pub(super) struct Charge {
    state: Rc<State>,
    account: u64,
    cost: f64,
    is_sent: Cell<bool>,
}

impl Charge {
    /// Records whether a server may run the request.
    pub(super) fn set_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.state.allowances.give_back(self.account, self.cost);
        }
    }
}

impl Allowances {
    /// Takes the accounts and their allowances over from a configuration.
    fn update(&self, configuration: &Configuration, excess: Option<Excess>, now: Time) {
        if self.version.replace(configuration.version) == configuration.version {
            return;
        }
        let accounts = configuration.accounts.as_ref();
        let accounts = accounts.map_or(&[][..], |accounts| accounts.list());
        let limited = accounts.iter().filter_map(|account| {
            let allowance = account.allowance?;
            let allowance = excess.map_or(allowance, |excess| excess.added_to(allowance));
            Some((link::digest(&account.name), allowance))
        });
        let limited: BTreeMap<u64, Allowance> = limited.collect();
        let mut meters = self.meters.borrow_mut();
        meters.retain(|account, _| limited.contains_key(account));
        for (account, allowance) in limited {
            let meter = meters.entry(account).or_insert_with(|| {
                let mut meter = Meter::new(allowance, now, fastrand::u64(..));
                if self.is_settled.get() {
                    meter.settle(0.0, 1, now);
                }
                meter
            });
            meter.set_allowance(allowance, now);
        }
    }

    fn update_from(&self, state: &State, now: Time) {
        let excess = state.settings.get().excess;
        self.update(&state.follower.configuration(), excess, now);
    }

    fn reach(&self, gateways: Gateways, now: Time) -> Reach {
        let heard_at = self.heard_at.get();
        if heard_at.is_some_and(|at| now - at <= MAX_SILENCE) {
            Reach::Joined {
                fraction: self.fraction.get(),
            }
        } else {
            Reach::Alone {
                gateways: gateways.known_or_assumed(),
            }
        }
    }

    /// Begins a new connection to a hub.
    pub(super) fn begin_connection(&self) {
        if !self.is_settled.get() {
            // What was used without a hub is of no concern to the others' levels.
            let told = Told::new(&self.ledger.borrow(), Pace::Prompt);
            self.told.replace(told);
        }
    }

    /// Drops what was learned from a hub, because there is none.
    pub(super) fn forget(&self) {
        self.is_settled.set(false);
        for meter in self.meters.borrow_mut().values_mut() {
            meter.unsettle();
        }
    }

    /// Records what a hub has told.
    pub(super) fn learn(&self, state: &State, spendings: &[Spending], fraction: f32, now: Time) {
        self.update_from(state, now);
        self.heard_at.set(Some(now));
        self.fraction.set(f64::from(fraction));
        let gateways = state.fleet.sharers();
        if !self.is_settled.replace(true) {
            self.settle(spendings, gateways.known_or_assumed(), now);
        }
        let reach = self.reach(gateways, now);
        let mut meters = self.meters.borrow_mut();
        for spending in spendings
            .iter()
            .filter(|known| known.recent_per_s.is_none())
        {
            if let Some(meter) = meters.get_mut(&spending.account) {
                meter.learn(spending.admitted as f64, spending.asked as f64, reach, now);
            }
        }
    }

    fn settle(&self, spendings: &[Spending], gateways: u32, now: Time) {
        for (account, meter) in self.meters.borrow_mut().iter_mut() {
            let mut told = spendings.iter();
            let told = told.find(|spending| spending.account == *account);
            let asked_per_s = told.and_then(|told| told.recent_per_s).unwrap_or_default();
            meter.settle(f64::from(asked_per_s), gateways, now);
        }
    }

    /// Returns what is due to be told to the hub.
    pub(super) fn news(&self, now: Time) -> Vec<Spending> {
        let mut told = self.told.borrow_mut();
        self.ledger.borrow().news(&mut told, now)
    }

    /// Waits until something is due to be told to the hub.
    pub(super) async fn wait(&self) {
        loop {
            let due_in = {
                let mut told = self.told.borrow_mut();
                self.ledger.borrow().due_in(&mut told, Time::now())
            };
            match due_in {
                Some(Duration::ZERO) => return,
                Some(due_in) => sleep(due_in.min(LOOK_INTERVAL)).await,
                None => self.changed.notified().await,
            }
        }
    }

    fn admit(&self, account: u64, tokens: Option<u64>, reach: Reach, now: Time) -> Admission {
        let mut meters = self.meters.borrow_mut();
        let Some(meter) = meters.get_mut(&account) else {
            return Admission::Unlimited;
        };
        let cost = meter.allowance().cost(tokens).round();
        let result = meter.admit(cost, reach, now);
        let spending = Spending {
            account,
            per_s: meter.allowance().per_s as f32,
            admitted: if result.is_ok() { cost as i64 } else { 0 },
            asked: cost as u64,
            recent_per_s: None,
        };
        self.ledger.borrow_mut().record(&spending, now);
        self.changed.notify_one();
        match result {
            Ok(()) => Admission::Within(cost),
            Err(retry_after) => Admission::Over(Refusal {
                cost,
                level: meter.level(),
                asked_per_s: meter.asked_per_s(now),
                allowed_per_s: meter.allowance().per_s,
                retry_after,
            }),
        }
    }

    fn give_back(&self, account: u64, cost: f64) {
        let mut meters = self.meters.borrow_mut();
        let Some(meter) = meters.get_mut(&account) else {
            return;
        };
        meter.give_back(cost);
        let spending = Spending {
            account,
            per_s: meter.allowance().per_s as f32,
            admitted: -(cost as i64),
            asked: 0,
            recent_per_s: None,
        };
        self.ledger.borrow_mut().record(&spending, Time::now());
    }

    /// Logs a refusal, unless many were logged in this second.
    fn log(&self, id: &str, account: &Account, refusal: &Refusal, reach: Reach, now: Time) {
        let second = now.as_millis() / 1_000;
        let mut logged = self.logged.get();
        if logged.second != second {
            logged = Logged {
                second,
                count: 0,
                suppressed: logged.suppressed,
            };
        }
        logged.count += 1;
        if logged.count > MAX_LOGGED_PER_S {
            logged.suppressed += 1;
            self.logged.set(logged);
            return;
        }
        report::info(
            "over_allowance",
            &[
                ("request", &id),
                ("account", &account.name),
                ("cost", &refusal.cost),
                ("level", &refusal.level.round()),
                ("asked_per_s", &refusal.asked_per_s.round()),
                ("allowed_per_s", &refusal.allowed_per_s),
                ("retry_ms", &refusal.retry_after.as_millis()),
                ("reach", &format!("{reach:?}")),
                ("not_logged", &logged.suppressed),
            ],
        );
        logged.suppressed = 0;
        self.logged.set(logged);
    }
}

/// Whether a request is within its account's allowance.
#[derive(Debug)]
enum Admission {
    Unlimited,
    Within(f64),
    Over(Refusal),
}

/// Why a request was over the allowance.
#[derive(Debug)]
struct Refusal {
    cost: f64,
    level: f64,
    asked_per_s: f64,
    allowed_per_s: f64,
    retry_after: Duration,
}

/// Charges a request to its account's allowance. Returns `None` if the account has no limit.
///
/// # Errors
///
/// Refuses a request over the allowance.
pub(super) fn charge(state: &Rc<State>, job: &Job) -> Result<Option<Charge>, Failure> {
    let Some(account) = &job.account else {
        return Ok(None);
    };
    let now = Time::now();
    let allowances = &state.allowances;
    allowances.update_from(state, now);
    let key = link::digest(&account.name);
    let reach = allowances.reach(state.fleet.sharers(), now);
    let admission = allowances.admit(key, job.head.tokens, reach, now);
    match admission {
        Admission::Unlimited => Ok(None),
        Admission::Within(cost) => Ok(Some(Charge {
            state: state.clone(),
            account: key,
            cost,
            is_sent: Cell::new(false),
        })),
        Admission::Over(refusal) => {
            allowances.log(&job.head.id, account, &refusal, reach, now);
            state.metrics.count("allowance", "refused");
            Err(Failure::OverAllowance(refusal.retry_after))
        }
    }
}

//! What the requests of accounts have used and asked for, and which of it is due to be told.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::timer::Time;

/// Maximum number of accounts in one message.
const MAX_BATCH: usize = 16;

/// A gateway tells of use when the seconds of the allowance that it takes up, times the seconds since
/// the account was last told of, reach this.
const PROMPT_S2: f64 = 0.002;

/// The same for hubs, which tell many receivers.
const COLLECTED_S2: f64 = 0.02;

/// Minimum time between two messages on a connection that tell of accounts.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time after which use is told, if the batch allows.
const MAX_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time constant in seconds of the rate at which an account's requests ask.
const RATE_TIME_CONSTANT_S: f64 = 1.0;

/// Part of its allowance that an account asks for, above which a new connection is told of it.
const MIN_TOLD_FRACTION: f64 = 0.3;

/// What requests of an account have used and asked for since the sender's previous message that told
/// of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Spending {
    /// Digest of the account's name.
    pub account: u64,
    /// Units per second of its allowance.
    pub per_s: f32,
    /// Units that were admitted; negative if more were returned.
    pub admitted: i64,
    /// Units that requests asked for, refused ones included.
    pub asked: u64,
    /// Units per second that requests have lately asked for at all gateways, on a new connection.
    pub recent_per_s: Option<f32>,
}

/// The sums of an account.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    per_s: f32,
    admitted: i64,
    asked: u64,
    /// Units per second that requests ask for, at `changed_at`.
    asked_per_s: f64,
    changed_at: Option<Time>,
    /// Number of the newest change.
    version: u64,
}

impl Sums {
    fn record(&mut self, spending: &Spending, now: Time) {
        self.asked_per_s = self.asked_per_s(now) + spending.asked as f64 / RATE_TIME_CONSTANT_S;
        self.changed_at = Some(now);
        self.per_s = spending.per_s;
        self.admitted = self.admitted.wrapping_add(spending.admitted);
        self.asked = self.asked.wrapping_add(spending.asked);
    }

    fn asked_per_s(&self, now: Time) -> f64 {
        let age_s = self.changed_at.map_or(0.0, |at| (now - at).as_secs_f64());
        self.asked_per_s * (-age_s / RATE_TIME_CONSTANT_S).exp()
    }
}

/// What requests have used at a gateway, or at those of a hub, by account.
///
/// # Examples
///
/// ```
/// use chestnuthub::link::{Ledger, Spending, Told};
/// use chestnuthub::timer::Time;
///
/// let mut ledger = Ledger::default();
/// let mut told = Told::default();
/// let spending = Spending { account: 7, per_s: 10.0, admitted: 8, asked: 9, recent_per_s: None };
/// let used_at = Time::from_millis(1_000);
/// ledger.record(&spending, used_at);
/// // From now on the connection waits until it is due.
/// assert!(ledger.due_in(&mut told, used_at).is_some());
/// assert!(ledger.news(&mut told, used_at).is_empty());
/// let due_at = Time::from_millis(1_100);
/// assert_eq!(ledger.news(&mut told, due_at), [spending]);
/// assert!(ledger.news(&mut told, due_at).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<u64, Sums>,
    /// Accounts by the numbers of their newest changes.
    changes: BTreeMap<u64, u64>,
    version: u64,
}

/// How soon use is told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Pace {
    /// By a gateway to its hub.
    #[default]
    Prompt,
    /// By a hub to many receivers.
    Collected,
}

impl Pace {
    fn due_s2(self) -> f64 {
        match self {
            Self::Prompt => PROMPT_S2,
            Self::Collected => COLLECTED_S2,
        }
    }
}

/// What a connection has been told of a ledger.
#[derive(Debug, Default)]
pub struct Told {
    pace: Pace,
    /// When the connection was last told of any account.
    at: Option<Time>,
    /// Number of the newest change that was looked at.
    version: u64,
    accounts: BTreeMap<u64, Said>,
    /// Accounts that have changed and are not told of, with the times from which on that is so.
    pending: BTreeMap<u64, Time>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Said {
    admitted: i64,
    asked: u64,
    at: Option<Time>,
}

impl Told {
    /// Returns the position of a new connection, which is told what is used from now on.
    pub fn new(ledger: &Ledger, pace: Pace) -> Self {
        let said = |sums: &Sums| Said {
            admitted: sums.admitted,
            asked: sums.asked,
            at: None,
        };
        let accounts = ledger.accounts.iter();
        Self {
            pace,
            at: None,
            version: ledger.version,
            accounts: accounts
                .map(|(account, sums)| (*account, said(sums)))
                .collect(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns the time until the connection may be told of accounts again.
    fn rest(&self, now: Time) -> Duration {
        let next = self.at.map(|at| at + MIN_INTERVAL);
        next.map_or(Duration::ZERO, |next| next.remaining(now))
    }

    /// Leaves out what the receiver itself has told.
    pub fn skip(&mut self, spending: &Spending) {
        let said = self.accounts.entry(spending.account).or_default();
        said.admitted = said.admitted.wrapping_add(spending.admitted);
        said.asked = said.asked.wrapping_add(spending.asked);
    }
}

impl Ledger {
    /// Adds what was used.
    pub fn record(&mut self, spending: &Spending, now: Time) {
        self.version += 1;
        let sums = self.accounts.entry(spending.account).or_default();
        sums.record(spending, now);
        self.changes.remove(&sums.version);
        sums.version = self.version;
        self.changes.insert(self.version, spending.account);
    }

    /// Returns the accounts that ask for a large part of their allowances, with the rates at which
    /// they do.
    pub fn recent(&self, now: Time) -> Vec<Spending> {
        let accounts = self.accounts.iter();
        let recent = accounts.filter_map(|(account, sums)| {
            let asked_per_s = sums.asked_per_s(now);
            let is_large = asked_per_s > MIN_TOLD_FRACTION * f64::from(sums.per_s);
            is_large.then_some(Spending {
                account: *account,
                per_s: sums.per_s,
                admitted: 0,
                asked: 0,
                recent_per_s: Some(asked_per_s as f32),
            })
        });
        recent.collect()
    }

    /// Returns what is due to be told, the most important first, and records that it is told.
    pub fn news(&self, told: &mut Told, now: Time) -> Vec<Spending> {
        self.look(told, now);
        if !told.rest(now).is_zero() {
            return Vec::new();
        }
        let pending = told.pending.iter();
        let mut due: Vec<_> = pending
            .map(|(account, since)| (self.urgency(told, *account, *since, now), *account))
            .filter(|(urgency, _)| *urgency >= 1.0)
            .collect();
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due.truncate(MAX_BATCH);
        if !due.is_empty() {
            told.at = Some(now);
        }
        let due = due.into_iter();
        due.map(|(_, account)| self.tell(told, account, now))
            .collect()
    }

    /// Returns the time until something is due to be told; `None` if all is told.
    pub fn due_in(&self, told: &mut Told, now: Time) -> Option<Duration> {
        self.look(told, now);
        let pending = told.pending.iter();
        let waits = pending.map(|(account, since)| self.wait(told, *account, *since, now));
        waits.min().map(|wait| wait.max(told.rest(now)))
    }

    /// Finds the accounts that have changed since the last call.
    fn look(&self, told: &mut Told, now: Time) {
        for account in self
            .changes
            .range(told.version + 1..)
            .map(|(_, account)| *account)
        {
            let said = told.accounts.get(&account).copied().unwrap_or_default();
            let sums = self.accounts.get(&account).copied().unwrap_or_default();
            if (sums.admitted, sums.asked) != (said.admitted, said.asked) {
                told.pending.entry(account).or_insert(now);
            }
        }
        told.version = self.version;
    }

    fn unsaid(&self, told: &Told, account: u64) -> Spending {
        let said = told.accounts.get(&account).copied().unwrap_or_default();
        let sums = self.accounts.get(&account).copied().unwrap_or_default();
        Spending {
            account,
            per_s: sums.per_s,
            admitted: sums.admitted.wrapping_sub(said.admitted),
            asked: sums.asked.wrapping_sub(said.asked),
            recent_per_s: None,
        }
    }

    /// Returns the seconds of the allowance that are untold.
    fn unsaid_s(&self, told: &Told, account: u64) -> f64 {
        let unsaid = self.unsaid(told, account);
        let units = (unsaid.admitted.unsigned_abs()).max(unsaid.asked) as f64;
        units / f64::from(unsaid.per_s).max(f64::MIN_POSITIVE)
    }

    /// Returns how urgent it is to tell of an account; due from 1 on.
    fn urgency(&self, told: &Told, account: u64, since: Time, now: Time) -> f64 {
        let wait = self.wait(told, account, since, now);
        if wait.is_zero() {
            1.0 + self.unsaid_s(told, account)
        } else {
            0.0
        }
    }

    fn wait(&self, told: &Told, account: u64, since: Time, now: Time) -> Duration {
        let said_at = told.accounts.get(&account).and_then(|said| said.at);
        let last = said_at.unwrap_or(since);
        let unsaid_s = self.unsaid_s(told, account);
        let interval =
            Duration::try_from_secs_f64(told.pace.due_s2() / unsaid_s).unwrap_or(MAX_INTERVAL);
        let interval = interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        (last + interval).remaining(now)
    }

    fn tell(&self, told: &mut Told, account: u64, now: Time) -> Spending {
        let spending = self.unsaid(told, account);
        told.skip(&spending);
        told.pending.remove(&account);
        if let Some(said) = told.accounts.get_mut(&account) {
            said.at = Some(now);
        }
        spending
    }
}

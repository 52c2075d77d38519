//! Client accounts and their allowances.

use std::{
    rc::Rc,
    time::Duration, //
};

use crate::credential::Credentials;

/// What an allowance counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the number of its tokens, or as `plain` if it states none.
    Tokens {
        /// Tokens that a request counts as if it states none.
        plain: f64,
    },
}

/// What the requests of a client account may use, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Units per second.
    pub per_s: f64,
    /// Units that may be used at once, in addition to those per second.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

impl Allowance {
    /// Returns the units that a request uses. `tokens` is the number of its tokens, if it states
    /// one.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::{Allowance, Unit};
    ///
    /// let allowance = Allowance {
    ///     per_s: 1_000.0,
    ///     burst: 500.0,
    ///     unit: Unit::Tokens { plain: 200.0 },
    /// };
    /// assert_eq!(allowance.cost(Some(1_540)), 1_540.0);
    /// assert_eq!(allowance.cost(None), 200.0);
    /// let requests = Allowance { unit: Unit::Requests, ..allowance };
    /// assert_eq!(requests.cost(Some(1_540)), 1.0);
    /// ```
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => tokens.map_or(plain, |tokens| tokens as f64),
        }
    }

    /// Returns the units that may be used in a window.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use chestnuthub::deployment::{Allowance, Unit};
    ///
    /// let allowance = Allowance { per_s: 2.0, burst: 3.0, unit: Unit::Requests };
    /// assert_eq!(allowance.in_window(Duration::from_secs(8)), 19.0);
    /// ```
    pub fn in_window(&self, window: Duration) -> f64 {
        self.per_s * window.as_secs_f64() + self.burst
    }
}

/// A client account: an institution whose requests carry one of its keys. The keys are held apart
/// from it, so that an account can be logged.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account, which its requests bear at the servers.
    pub name: String,
    /// Priority of its requests, which takes precedence over that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// What its requests may use; unlimited if absent.
    pub allowance: Option<Allowance>,
}

/// The client accounts of a configuration, found by their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    list: Vec<Rc<Account>>,
    owners: Credentials<Rc<Account>>,
}

impl Accounts {
    /// Adds an account without keys.
    pub fn add(&mut self, account: Account) -> Rc<Account> {
        let account = Rc::new(account);
        self.list.push(account.clone());
        account
    }

    /// Adds a key of an account. Returns the account that held the key so far; it loses it.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::deployment::{Account, Accounts};
    ///
    /// let account = |name: &str| Account {
    ///     name: name.to_owned(),
    ///     priority: None,
    ///     allowance: None,
    /// };
    /// let mut accounts = Accounts::default();
    /// let cascade = accounts.add(account("cascade"));
    /// let tengis = accounts.add(account("tengis"));
    /// assert_eq!(accounts.add_key("k1", &cascade), None);
    /// assert_eq!(accounts.find("k1"), Some(cascade.clone()));
    /// assert_eq!(accounts.add_key("k1", &tengis), Some(cascade));
    /// assert_eq!(accounts.find("k1"), Some(tengis));
    /// ```
    pub fn add_key(&mut self, key: &str, account: &Rc<Account>) -> Option<Rc<Account>> {
        self.owners.insert(key, account.clone())
    }

    /// Finds the account that holds a key.
    pub fn find(&self, key: &str) -> Option<Rc<Account>> {
        self.owners.find(key)
    }

    /// Returns all accounts, also those without keys.
    pub fn list(&self) -> &[Rc<Account>] {
        &self.list
    }
}

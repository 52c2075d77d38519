//! Client accounts and their allowances.

use std::time::Duration;

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

//! Counts the sends of a request and decides whether it may be sent again after a send that
//! returned no response for the client.

/// Maximum number of servers that may refuse or fail a request before it is abandoned.
const MAX_REFUSALS: u32 = 4;

/// Outcome of a send that returned no response for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not reach the server; this does not count as a refusal.
    NotSent,
    /// Another server now has the address; each such address is tried at most once.
    Replaced,
    /// The request did not run on this server and will not run there later.
    NotRun,
    /// The request may have run on this server.
    Unknown,
}

/// What is known about the execution of a request for which no further server is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The sends of one request.
///
/// A request that must run at most once is sent again only after confirmation that it has not
/// run. A repeatable request is sent until the maximum number of servers, which its route sets, may
/// have run it.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::{Attempts, Ending, Outcome};
///
/// let mut attempts = Attempts::new(false, 2);
/// assert_eq!(attempts.begin(|| true), Ok(()));
/// assert_eq!(attempts.record(Outcome::NotRun), Ok(()));
/// assert_eq!(attempts.begin(|| true), Ok(()));
/// assert_eq!(attempts.record(Outcome::Unknown), Err(Ending::Unknown));
/// ```
#[derive(Debug)]
pub struct Attempts {
    is_repeatable: bool,
    max_runs: u32,
    sends: u32,
    /// Sends that reached a server. Only sends after these count against the retry budget.
    deliveries: u32,
    refusals: u32,
    runs: u32,
}

impl Attempts {
    /// Creates the record of a request that has not been sent yet. `max_runs` is the maximum number
    /// of servers that may run the request if it is repeatable.
    pub fn new(is_repeatable: bool, max_runs: u32) -> Self {
        Self {
            is_repeatable,
            max_runs,
            sends: 0,
            deliveries: 0,
            refusals: 0,
            runs: 0,
        }
    }

    /// Counts a send. `try_retry` returns whether the retry budget allows a retry, and records the
    /// retry if it does; it is called only if an earlier send reached a server.
    ///
    /// # Errors
    ///
    /// Returns how the request ends if the retry budget is exhausted.
    pub fn begin(&mut self, try_retry: impl FnOnce() -> bool) -> Result<(), Ending> {
        if self.deliveries > 0 && !try_retry() {
            return Err(self.ending());
        }
        self.sends += 1;
        Ok(())
    }

    /// Records the outcome of the last send.
    ///
    /// # Errors
    ///
    /// Returns how the request ends if it must not be sent again.
    pub fn record(&mut self, outcome: Outcome) -> Result<(), Ending> {
        match outcome {
            Outcome::NotSent => return Ok(()),
            Outcome::Replaced => {
                self.deliveries += 1;
                return Ok(());
            }
            Outcome::NotRun => self.deliveries += 1,
            Outcome::Unknown => {
                self.record_run();
                if !self.may_run() {
                    return Err(Ending::Unknown);
                }
            }
        }
        self.refusals += 1;
        if self.refusals >= MAX_REFUSALS {
            return Err(self.ending());
        }
        Ok(())
    }

    /// Records that a server has run the request, at least in part.
    pub fn record_run(&mut self) {
        self.deliveries += 1;
        self.runs += 1;
    }

    /// Returns whether one more server may run the request.
    pub fn may_run(&self) -> bool {
        self.runs == 0 || (self.is_repeatable && self.runs < self.max_runs)
    }

    /// Returns whether another server may run the request after the server that it is currently
    /// sent to.
    pub fn may_retry(&self) -> bool {
        self.is_repeatable && self.runs + 1 < self.max_runs
    }

    /// Returns how the request ends if it is abandoned now.
    pub fn ending(&self) -> Ending {
        if self.runs > 0 {
            Ending::Unknown
        } else {
            Ending::NotRun
        }
    }

    /// Returns the number of sends.
    pub fn sends(&self) -> u32 {
        self.sends
    }
}

//! How often a request was sent, and what follows a send that gave no answer to pass on.

/// Servers that refuse or fail a request before it is given up.
const MOST_REFUSALS: u32 = 4;

/// What became of a send that gave no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server could not be reached; each server is tried once.
    NotSent,
    /// Another server has the address; each such address is met once.
    Replaced,
    /// The request has not run on this server and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What may be said of a request for which no further server is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The sends of one request.
///
/// A request that may run only once is sent again only after a promise that it has not run. One
/// that may run more often is sent until as many servers as its route allows may have run it.
///
/// # Examples
///
/// ```
/// use chestnuthub::dispatch::{Attempts, Ending, Outcome};
///
/// let mut booking = Attempts::new(false, 2);
/// assert_eq!(booking.begin(|| true), Ok(()));
/// assert_eq!(booking.note(Outcome::NotRun), Ok(()));
/// assert_eq!(booking.begin(|| true), Ok(()));
/// assert_eq!(booking.note(Outcome::Unknown), Err(Ending::Unknown));
/// ```
#[derive(Debug)]
pub struct Attempts {
    is_repeatable: bool,
    most_runs: u32,
    sends: u32,
    /// Sends that reached a server. Only these count for the retry budget.
    arrivals: u32,
    refusals: u32,
    runs: u32,
}

impl Attempts {
    /// Returns the sends of a request that was not sent yet; `most_runs` is the number of servers
    /// that may run it if it is repeatable.
    pub fn new(is_repeatable: bool, most_runs: u32) -> Self {
        Self {
            is_repeatable,
            most_runs,
            sends: 0,
            arrivals: 0,
            refusals: 0,
            runs: 0,
        }
    }

    /// Counts a send; `take_repeat` takes one further send from the retry budget.
    ///
    /// # Errors
    ///
    /// Returns how the request ends if the budget is used up.
    pub fn begin(&mut self, take_repeat: impl FnOnce() -> bool) -> Result<(), Ending> {
        if self.arrivals > 0 && !take_repeat() {
            return Err(self.ending());
        }
        self.sends += 1;
        Ok(())
    }

    /// Notes what became of the last send.
    ///
    /// # Errors
    ///
    /// Returns how the request ends if it must not be sent once more.
    pub fn note(&mut self, outcome: Outcome) -> Result<(), Ending> {
        match outcome {
            Outcome::NotSent => return Ok(()),
            Outcome::Replaced => {
                self.arrivals += 1;
                return Ok(());
            }
            Outcome::NotRun => self.arrivals += 1,
            Outcome::Unknown => {
                self.note_run();
                if !self.may_run() {
                    return Err(Ending::Unknown);
                }
            }
        }
        self.refusals += 1;
        if self.refusals >= MOST_REFUSALS {
            return Err(self.ending());
        }
        Ok(())
    }

    /// Notes a server that has run the request, at least in part.
    pub fn note_run(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    /// Returns whether one more server may run the request.
    pub fn may_run(&self) -> bool {
        self.runs == 0 || (self.is_repeatable && self.runs < self.most_runs)
    }

    /// Returns whether another server may run the request after the one that it is sent to now.
    pub fn may_repeat(&self) -> bool {
        self.is_repeatable && self.runs + 1 < self.most_runs
    }

    /// Returns what may be said of the request if it is given up now.
    pub fn ending(&self) -> Ending {
        if self.runs > 0 {
            Ending::Unknown
        } else {
            Ending::NotRun
        }
    }

    /// Returns how often the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }
}

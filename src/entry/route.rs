//! Chooses the backend server for a request, and keeps the state of servers that the choice uses.

use std::{
    collections::HashMap,
    time::Duration, //
};

use fastrand::Rng;

use crate::{
    id,
    rank,
    timer::Time,
    wire::Load, //
};

/// Time for which a server is not chosen after a connection to it failed.
pub const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(2);

/// Maximum age of a reported queue length. After it the queue counts as empty, since queues change
/// within seconds.
pub const MAX_QUEUE_AGE: Duration = Duration::from_secs(5);

/// Maximum age of a report that a model is loaded. After it the model may have been unloaded.
pub const MAX_RESIDENT_AGE: Duration = Duration::from_secs(60);

/// Maximum load at which the replica preferred for locality is chosen, as a multiple of the mean
/// load.
const MAX_LOCALITY_FACTOR: f64 = 1.25;

/// Load up to which the replica preferred for locality is chosen whatever the mean load is.
const MIN_LOCALITY_LIMIT: u32 = 2;

/// A backend server that a request could be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The backend server.
    pub server: id::Instance,
    /// Whether the target is loaded on it, according to its recent reports.
    pub resident: bool,
    /// Number of requests that this entry has in flight there, plus the queue length if
    /// it was reported recently.
    pub load: u32,
    /// False if the server is leaving, unreachable or already tried.
    pub usable: bool,
}

/// Rule by which a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// It is the resident replica preferred for the adapter and the prefix of the prompt.
    Locality,
    /// It has the lower load of two resident replicas picked at random.
    TwoChoices,
    /// No usable server has the target loaded, and this one holds the first slot.
    FirstSlot,
    /// No usable server has the target loaded, and those with earlier slots are not usable.
    Spill,
    /// It ranks first for the idempotency key of a call.
    Key,
}

impl Rule {
    /// Returns the name of the rule in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Locality => "locality",
            Self::TwoChoices => "two_choices",
            Self::FirstSlot => "first_slot",
            Self::Spill => "spill",
            Self::Key => "key",
        }
    }
}

/// The candidate that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Rule by which it was chosen.
    pub rule: Rule,
}

/// Chooses one of the candidates, which are in the order of their slots. Returns `None` if none is
/// usable.
///
/// `locality` identifies what a replica may have cached: the adapter and the prefix of the prompt.
///
/// # Examples
///
/// ```
/// use chestnuthub::entry::route::{self, Candidate, Rule};
///
/// let idle = |server: &str| Candidate {
///     server: server.into(),
///     resident: false,
///     load: 0,
///     usable: true,
/// };
/// let choice = route::choose(&[idle("a"), idle("b")], None, &mut fastrand::Rng::new());
/// assert_eq!(choice.map(|choice| (choice.index, choice.rule)), Some((0, Rule::FirstSlot)));
/// ```
pub fn choose(candidates: &[Candidate], locality: Option<&str>, rng: &mut Rng) -> Option<Choice> {
    let usable = || (0..candidates.len()).filter(|index| candidates[*index].usable);
    let resident: Vec<usize> = usable()
        .filter(|index| candidates[*index].resident)
        .collect();
    if resident.is_empty() {
        let index = usable().next()?;
        let rule = if index == 0 {
            Rule::FirstSlot
        } else {
            Rule::Spill
        };
        return Some(Choice { index, rule });
    }
    if let Some(index) = locality.and_then(|key| preferred(candidates, &resident, key)) {
        let rule = Rule::Locality;
        return Some(Choice { index, rule });
    }
    let index = less_loaded_of_two(candidates, &resident, rng);
    let rule = Rule::TwoChoices;
    Some(Choice { index, rule })
}

/// Returns the index of the resident replica that ranks first for `key`, unless its load is too far
/// above the mean.
fn preferred(candidates: &[Candidate], resident: &[usize], key: &str) -> Option<usize> {
    let names = resident
        .iter()
        .map(|index| candidates[*index].server.as_str());
    let ranked = rank::order(key, names);
    let first = ranked.first()?;
    let index = resident
        .iter()
        .find(|index| candidates[**index].server.as_str() == *first)?;
    let total: f64 = resident
        .iter()
        .map(|index| f64::from(candidates[*index].load))
        .sum();
    let mean = total / resident.len() as f64;
    let load = candidates[*index].load;
    let is_within_limit =
        load <= MIN_LOCALITY_LIMIT || f64::from(load) <= MAX_LOCALITY_FACTOR * mean;
    is_within_limit.then_some(*index)
}

/// Picks two resident replicas at random and returns the index of the one with the lower load. If
/// the loads are equal, it may be either one.
fn less_loaded_of_two(candidates: &[Candidate], resident: &[usize], rng: &mut Rng) -> usize {
    let first = rng.usize(..resident.len());
    if resident.len() == 1 {
        return resident[first];
    }
    let offset = rng.usize(1..resident.len());
    let second = (first + offset) % resident.len();
    let (first, second) = (resident[first], resident[second]);
    if candidates[second].load < candidates[first].load {
        second
    } else {
        first
    }
}

/// State of the backend servers as an entry knows it. It is kept in memory only; losing it at a
/// restart does no harm.
#[derive(Debug, Default)]
pub struct State {
    servers: HashMap<id::Instance, Server>,
}

#[derive(Debug, Default)]
struct Server {
    epoch: u64,
    in_flight: u32,
    unreachable_until: Option<Time>,
    leaving: bool,
    reports: HashMap<String, (Time, Load)>,
}

impl State {
    /// Returns a server as a candidate for `target`.
    ///
    /// `epoch` is the offset of the server's newest registration. Reports of an earlier epoch are
    /// ignored, since they came from an earlier agent process.
    pub fn candidate(
        &self,
        server: &id::Instance,
        epoch: u64,
        target: &str,
        now: Time,
    ) -> Candidate {
        let mut candidate = Candidate {
            server: server.clone(),
            resident: false,
            load: 0,
            usable: true,
        };
        let Some(known) = self.servers.get(server) else {
            return candidate;
        };
        candidate.load = known.in_flight;
        if known.epoch != epoch {
            return candidate;
        }
        let unreachable = known.unreachable_until.is_some_and(|until| now < until);
        candidate.usable = !known.leaving && !unreachable;
        if let Some((at, load)) = known.reports.get(target) {
            candidate.resident = load.resident && now - *at < MAX_RESIDENT_AGE;
            if now - *at < MAX_QUEUE_AGE {
                candidate.load = known.in_flight.saturating_add(load.queued);
            }
        }
        candidate
    }

    /// Returns the remaining time until a server is tried again after a failed connection.
    pub fn cooldown(&self, server: &id::Instance, now: Time) -> Option<Duration> {
        let until = self.servers.get(server)?.unreachable_until?;
        (now < until).then(|| until - now)
    }

    /// Counts a request as in flight at a server.
    pub fn begin(&mut self, server: &id::Instance) {
        self.servers.entry(server.clone()).or_default().in_flight += 1;
    }

    /// Counts a request as no longer in flight at a server.
    pub fn end(&mut self, server: &id::Instance) {
        if let Some(known) = self.servers.get_mut(server) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Records the load that a server reported for `target`.
    pub fn record_load(
        &mut self,
        server: &id::Instance,
        epoch: u64,
        target: &str,
        load: Load,
        now: Time,
    ) {
        let known = self.server_of_epoch(server, epoch);
        // A report that was sent before the server began to leave must not clear this.
        known.leaving |= load.leaving;
        known.unreachable_until = None;
        known.reports.insert(target.to_owned(), (now, load));
    }

    /// Records that a server takes no new requests.
    pub fn record_leaving(&mut self, server: &id::Instance, epoch: u64) {
        self.server_of_epoch(server, epoch).leaving = true;
    }

    /// Records that a connection to a server failed.
    pub fn record_unreachable(&mut self, server: &id::Instance, epoch: u64, now: Time) {
        self.server_of_epoch(server, epoch).unreachable_until = Some(now + UNREACHABLE_COOLDOWN);
    }

    /// Records that a request was lost at a server. Its reports are deleted, since it is no longer
    /// known what the server has loaded.
    pub fn record_lost(&mut self, server: &id::Instance, epoch: u64) {
        self.server_of_epoch(server, epoch).reports.clear();
    }

    /// Removes servers that are not `listed` in the instance list and have no requests in flight.
    pub fn retain(&mut self, listed: impl Fn(&id::Instance) -> bool) {
        self.servers
            .retain(|server, known| known.in_flight > 0 || listed(server));
    }

    /// Returns the state of a server, and resets it first if it is that of another epoch.
    fn server_of_epoch(&mut self, server: &id::Instance, epoch: u64) -> &mut Server {
        let known = self.servers.entry(server.clone()).or_default();
        if known.epoch != epoch {
            *known = Server {
                epoch,
                in_flight: known.in_flight,
                ..Server::default()
            };
        }
        known
    }
}

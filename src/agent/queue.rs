//! Bounded queues of the requests that wait for each model version, ordered by priority and then
//! round robin over institutions.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use slotmap::{
    SlotMap,
    new_key_type, //
};

use crate::{
    id,
    timer::Time, //
};

/// Maximum number of requests that wait for one model version.
pub const MAX_QUEUED: usize = 1_024;

new_key_type! {
    /// Key of a waiting request.
    pub struct Key;
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Model version that the request waits for.
    pub model: id::Model,
    /// Institution that sent the request.
    pub institution: id::Institution,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Maximum number of requests of this institution that wait for this model version.
    pub max_queue: u32,
    /// Time by which the request must be answered.
    pub deadline: Time,
}

/// Waiting requests of one priority, by institution; the front of `turns` is served next.
#[derive(Debug, Default)]
struct Level {
    turns: VecDeque<id::Institution>,
    waiting: BTreeMap<id::Institution, VecDeque<Key>>,
}

/// Waiting requests of one model version, by priority.
#[derive(Debug, Default)]
struct Backlog {
    levels: BTreeMap<u8, Level>,
    length: usize,
}

/// Waiting requests of all model versions.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: SlotMap<Key, Ticket>,
    backlogs: BTreeMap<id::Model, Backlog>,
}

impl Queue {
    /// Adds a request, or returns `None` if the model version's queue or the institution's share of
    /// it is full.
    pub fn push(&mut self, ticket: Ticket) -> Option<Key> {
        let backlog = self.backlogs.entry(ticket.model.clone()).or_default();
        let waiting: usize = backlog
            .levels
            .values()
            .filter_map(|level| level.waiting.get(&ticket.institution))
            .map(VecDeque::len)
            .sum();
        if backlog.length >= MAX_QUEUED || waiting >= ticket.max_queue as usize {
            return None;
        }
        let level = backlog.levels.entry(ticket.priority).or_default();
        if !level.waiting.contains_key(&ticket.institution) {
            level.turns.push_back(ticket.institution.clone());
        }
        let keys = level.waiting.entry(ticket.institution.clone()).or_default();
        let key = self.tickets.insert(ticket);
        keys.push_back(key);
        backlog.length += 1;
        Some(key)
    }

    /// Removes and returns the request that is to be served next for the model version.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{
    ///     agent::queue::{Queue, Ticket},
    ///     timer::Time,
    /// };
    ///
    /// let mut queue = Queue::default();
    /// for institution in ["tengis", "tengis", "cascade"] {
    ///     queue.push(Ticket {
    ///         model: "gear-check@1".into(),
    ///         institution: institution.into(),
    ///         priority: 0,
    ///         max_queue: 8,
    ///         deadline: Time::from_millis(1_000),
    ///     });
    /// }
    /// let mut next = || queue.pop(&"gear-check@1".into()).unwrap().1.institution;
    /// assert_eq!([next(), next(), next()], ["tengis", "cascade", "tengis"].map(Into::into));
    /// ```
    pub fn pop(&mut self, model: &id::Model) -> Option<(Key, Ticket)> {
        let level = self.backlogs.get(model)?.levels.values().next()?;
        let institution = level.turns.front()?;
        let key = *level.waiting.get(institution)?.front()?;
        Some((key, self.remove(key)?))
    }

    /// Removes a request from any position of its queue.
    pub fn remove(&mut self, key: Key) -> Option<Ticket> {
        let ticket = self.tickets.remove(key)?;
        let backlog = self.backlogs.get_mut(&ticket.model)?;
        let level = backlog.levels.get_mut(&ticket.priority)?;
        let keys = level.waiting.get_mut(&ticket.institution)?;
        let was_front = keys.front() == Some(&key);
        keys.retain(|other| *other != key);
        let is_empty = keys.is_empty();
        let position = level.turns.iter().position(|i| *i == ticket.institution);
        if let Some(position) = position.filter(|_| is_empty || was_front) {
            level.turns.remove(position);
            if is_empty {
                level.waiting.remove(&ticket.institution);
            } else {
                level.turns.push_back(ticket.institution.clone());
            }
        }
        if level.turns.is_empty() {
            backlog.levels.remove(&ticket.priority);
        }
        backlog.length -= 1;
        if backlog.length == 0 {
            self.backlogs.remove(&ticket.model);
        }
        Some(ticket)
    }

    /// Returns the ticket of a waiting request.
    pub fn get(&self, key: Key) -> Option<&Ticket> {
        self.tickets.get(key)
    }

    /// Returns all waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Ticket)> {
        self.tickets.iter()
    }

    /// Returns the model versions with waiting requests.
    pub fn models(&self) -> Vec<id::Model> {
        self.backlogs.keys().cloned().collect()
    }

    /// Returns the number of waiting requests of a model version.
    pub fn len(&self, model: &id::Model) -> usize {
        self.backlogs.get(model).map_or(0, |backlog| backlog.length)
    }

    /// Returns whether no request waits for a model version.
    pub fn is_empty(&self, model: &id::Model) -> bool {
        self.len(model) == 0
    }

    /// Returns the number of waiting requests that would be served before a new one with this
    /// ticket; whose turn it is among the institutions is not taken into account.
    pub fn ahead(&self, ticket: &Ticket) -> usize {
        let Some(backlog) = self.backlogs.get(&ticket.model) else {
            return 0;
        };
        let higher_levels = backlog.levels.range(..ticket.priority);
        let higher: usize = higher_levels
            .flat_map(|(_, level)| level.waiting.values())
            .map(VecDeque::len)
            .sum();
        let Some(level) = backlog.levels.get(&ticket.priority) else {
            return higher;
        };
        let own = level
            .waiting
            .get(&ticket.institution)
            .map_or(0, VecDeque::len);
        let others = level.waiting.iter();
        let interleaved: usize = others
            .filter(|(institution, _)| **institution != ticket.institution)
            .map(|(_, keys)| keys.len().min(own + 1))
            .sum();
        higher + own + interleaved
    }
}

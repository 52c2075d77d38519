//! Requests that wait for a model version: bounded, by priority, then round robin over
//! institutions. Pure.

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

/// Most requests that wait for one model version.
pub const MAX_QUEUED: usize = 1_024;

new_key_type! {
    /// Names a request that waits.
    pub struct Key;
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Model version.
    pub model: id::Model,
    /// Institution.
    pub institution: id::Institution,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Most requests of this institution that may wait for this model version.
    pub max_queue: u32,
    /// Time by which the request must be answered.
    pub deadline: Time,
}

/// The institutions that wait at one priority; the front of `turns` is served next.
#[derive(Debug, Default)]
struct Level {
    turns: VecDeque<id::Institution>,
    waiting: BTreeMap<id::Institution, VecDeque<Key>>,
}

#[derive(Debug, Default)]
struct Line {
    levels: BTreeMap<u8, Level>,
    length: usize,
}

/// The queues of all model versions.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: SlotMap<Key, Ticket>,
    lines: BTreeMap<id::Model, Line>,
}

impl Queue {
    /// Adds a request, or returns nothing if the queue or the institution's share is full.
    pub fn push(&mut self, ticket: Ticket) -> Option<Key> {
        let line = self.lines.entry(ticket.model.clone()).or_default();
        let waiting: usize = line
            .levels
            .values()
            .filter_map(|level| level.waiting.get(&ticket.institution))
            .map(VecDeque::len)
            .sum();
        if line.length >= MAX_QUEUED || waiting >= ticket.max_queue as usize {
            return None;
        }
        let level = line.levels.entry(ticket.priority).or_default();
        if !level.waiting.contains_key(&ticket.institution) {
            level.turns.push_back(ticket.institution.clone());
        }
        let keys = level.waiting.entry(ticket.institution.clone()).or_default();
        let key = self.tickets.insert(ticket);
        keys.push_back(key);
        line.length += 1;
        Some(key)
    }

    /// Removes the request of the model version that is served next.
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
        let level = self.lines.get(model)?.levels.values().next()?;
        let institution = level.turns.front()?;
        let key = *level.waiting.get(institution)?.front()?;
        Some((key, self.remove(key)?))
    }

    /// Removes a request wherever it waits.
    pub fn remove(&mut self, key: Key) -> Option<Ticket> {
        let ticket = self.tickets.remove(key)?;
        let line = self.lines.get_mut(&ticket.model)?;
        let level = line.levels.get_mut(&ticket.priority)?;
        let keys = level.waiting.get_mut(&ticket.institution)?;
        let was_front = keys.front() == Some(&key);
        keys.retain(|other| *other != key);
        let is_empty = keys.is_empty();
        let turn = level.turns.iter().position(|i| *i == ticket.institution);
        if let Some(turn) = turn.filter(|_| is_empty || was_front) {
            level.turns.remove(turn);
            if is_empty {
                level.waiting.remove(&ticket.institution);
            } else {
                level.turns.push_back(ticket.institution.clone());
            }
        }
        if level.turns.is_empty() {
            line.levels.remove(&ticket.priority);
        }
        line.length -= 1;
        if line.length == 0 {
            self.lines.remove(&ticket.model);
        }
        Some(ticket)
    }

    /// Returns the request's ticket while it waits.
    pub fn get(&self, key: Key) -> Option<&Ticket> {
        self.tickets.get(key)
    }

    /// Returns all waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Ticket)> {
        self.tickets.iter()
    }

    /// Returns the model versions that requests wait for.
    pub fn models(&self) -> Vec<id::Model> {
        self.lines.keys().cloned().collect()
    }

    /// Returns the number of requests that wait for a model version.
    pub fn len(&self, model: &id::Model) -> usize {
        self.lines.get(model).map_or(0, |line| line.length)
    }

    /// Returns whether nothing waits for a model version.
    pub fn is_empty(&self, model: &id::Model) -> bool {
        self.len(model) == 0
    }

    /// Returns how many waiting requests are served before a new one with this ticket.
    pub fn ahead(&self, ticket: &Ticket) -> usize {
        let Some(line) = self.lines.get(&ticket.model) else {
            return 0;
        };
        let before = line.levels.range(..ticket.priority);
        let first: usize = before
            .flat_map(|(_, level)| level.waiting.values())
            .map(VecDeque::len)
            .sum();
        let Some(level) = line.levels.get(&ticket.priority) else {
            return first;
        };
        let own = level
            .waiting
            .get(&ticket.institution)
            .map_or(0, VecDeque::len);
        let others = level.waiting.iter();
        let beside: usize = others
            .filter(|(institution, _)| **institution != ticket.institution)
            .map(|(_, keys)| keys.len().min(own + 1))
            .sum();
        first + own + beside
    }
}

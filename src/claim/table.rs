//! State of the keys of one claim stream, computed from its records.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use uuid::Uuid;

use super::{
    Digest,
    Record,
    Response, //
};

/// State of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum State {
    /// No attempt has claimed the key.
    Free {
        /// Offset of the `Abandon` that freed the key, 0 if it was never claimed.
        abandon: u64,
    },
    /// An attempt has claimed the key; its call may have run.
    Claimed {
        /// The attempt.
        attempt: Uuid,
        /// Digest of the request.
        fingerprint: Digest,
    },
    /// The call has run.
    Completed {
        /// The attempt.
        attempt: Uuid,
        /// Digest of the request.
        fingerprint: Digest,
        /// Its response.
        response: Arc<Response>,
    },
}

/// Result of applying a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record was valid and changed the key's state.
    Applied,
    /// The record at this position was applied earlier.
    Repeated,
    /// The record is invalid; every reader ignores it.
    Void,
}

/// The states of all keys of one claim stream after the records up to a position. Every reader of
/// the same records computes the same states.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Table {
    /// Offset below which all records have been applied.
    next: u64,
    /// Number of lines applied of the record at `next`.
    lines: u32,
    keys: BTreeMap<Digest, State>,
}

impl Table {
    /// Returns the offset of the last record that was applied in full.
    pub fn applied(&self) -> u64 {
        self.next.saturating_sub(1)
    }

    /// Records that all records up to `offset` have been applied.
    pub fn advance(&mut self, offset: u64) {
        if offset >= self.next {
            self.next = offset + 1;
            self.lines = 0;
        }
    }

    /// Returns the state of a key.
    pub fn state(&self, key: &Digest) -> State {
        let state = self.keys.get(key).cloned();
        state.unwrap_or(State::Free { abandon: 0 })
    }

    /// Applies line `index` of the record at `offset`. The claim at the lowest position wins; a
    /// claim of a key that is already claimed is void.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::claim::{Digest, Outcome, Record, Table};
    /// use uuid::Uuid;
    ///
    /// let key = Digest::of(&[b"key"]);
    /// let claim = |attempt| Record::Claim { attempt, key, fingerprint: key, replaces: 0 };
    /// let mut table = Table::default();
    /// assert_eq!(table.apply(1, 0, &claim(Uuid::new_v4())), Outcome::Applied);
    /// assert_eq!(table.apply(2, 0, &claim(Uuid::new_v4())), Outcome::Void);
    /// ```
    pub fn apply(&mut self, offset: u64, index: u32, record: &Record) -> Outcome {
        if (offset, index) < (self.next, self.lines) {
            return Outcome::Repeated;
        }
        (self.next, self.lines) = (offset, index + 1);
        match self.change(offset, record) {
            Some(state) => {
                self.keys.insert(record.key(), state);
                Outcome::Applied
            }
            None => Outcome::Void,
        }
    }

    /// Returns the key's state after the record, or `None` if the record is void.
    fn change(&self, offset: u64, record: &Record) -> Option<State> {
        match (self.state(&record.key()), record) {
            (
                State::Free { abandon },
                Record::Claim {
                    attempt,
                    fingerprint,
                    replaces,
                    ..
                },
            ) if abandon == *replaces => Some(State::Claimed {
                attempt: *attempt,
                fingerprint: *fingerprint,
            }),
            (State::Claimed { attempt, .. }, Record::Abandon { attempt: of, .. })
                if attempt == *of =>
            {
                Some(State::Free { abandon: offset })
            }
            (
                State::Claimed {
                    attempt,
                    fingerprint,
                },
                Record::Result {
                    attempt: of,
                    response,
                    ..
                },
            ) if attempt == *of => Some(State::Completed {
                attempt,
                fingerprint,
                response: Arc::new(response.clone()),
            }),
            _ => None,
        }
    }
}

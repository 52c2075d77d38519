//! The fold over one claim stream.

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
    /// No attempt holds the key.
    Free {
        /// Offset of the `Abandon` that freed it, 0 if it was never claimed.
        abandon: u64,
    },
    /// An attempt holds the key; its call may have run.
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

/// What the bucket did with a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record is valid.
    Applied,
    /// The record's position had been applied before.
    Repeated,
    /// The record is invalid for every reader.
    Void,
}

/// The keys of one claim stream after all records up to a position; the same in every reader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    /// Offset below which all records are applied.
    next: u64,
    /// Lines applied of the record at `next`.
    lines: u32,
    keys: BTreeMap<Digest, State>,
}

impl Bucket {
    /// Returns the offset of the last record that was applied in full.
    pub fn applied(&self) -> u64 {
        self.next.saturating_sub(1)
    }

    /// Notes that all records up to `offset` have been applied.
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

    /// Applies the line `index` of the record at `offset`. The lowest position wins: a claim of a
    /// key that is held is void.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::claim::{Bucket, Digest, Outcome, Record};
    /// use uuid::Uuid;
    ///
    /// let key = Digest::of(&[b"key"]);
    /// let claim = |attempt| Record::Claim { attempt, key, fingerprint: key, replaces: 0 };
    /// let mut bucket = Bucket::default();
    /// assert_eq!(bucket.apply(1, 0, &claim(Uuid::new_v4())), Outcome::Applied);
    /// assert_eq!(bucket.apply(2, 0, &claim(Uuid::new_v4())), Outcome::Void);
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

    /// Returns the key's state after the record, or nothing if the record is void.
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

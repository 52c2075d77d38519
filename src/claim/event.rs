//! What happens to a claim stream and what it asks for.

use uuid::Uuid;

use super::{
    Answer,
    Digest,
    Ending,
    Waiter, //
};

/// What happens to a claim stream.
#[derive(Debug, Clone)]
pub enum Event<'a> {
    /// A request with a key arrived.
    Arrived {
        /// Digest of institution and key.
        key: Digest,
        /// The request.
        waiter: Waiter,
    },
    /// The read of the stream was answered.
    Page {
        /// Offset of the oldest record that the log still keeps.
        first: u64,
        /// Offset that the next appended record gets.
        next: u64,
        /// Offsets and bodies from the offset that was asked for.
        records: &'a [(u64, String)],
    },
    /// The read of the stream failed.
    ReadFailed,
    /// The reserved turn to append has come.
    Turn,
    /// The append was answered, failed or took too long.
    Appended,
    /// A started call ended.
    Ended {
        /// Digest of institution and key.
        key: Digest,
        /// How it ended.
        ending: Ending,
    },
    /// Time passed or the catalogue changed.
    Tick,
}

/// What a claim stream asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the stream from this offset.
    Read(u64),
    /// Reserve a turn to append.
    Reserve,
    /// Append this body to the stream.
    Append(String),
    /// Run the call once, with the request of this ticket.
    Start {
        /// Digest of institution and key.
        key: Digest,
        /// The attempt.
        attempt: Uuid,
        /// The request to run.
        ticket: u64,
    },
    /// Answer the request of this ticket.
    Answer(u64, Answer),
    /// An attempt began for the request of this ticket.
    Claimed {
        /// The attempt.
        attempt: Uuid,
        /// The request.
        ticket: u64,
    },
    /// An attempt ended without a start.
    Abandoned(Uuid),
}

//! Input and output of a claim stream.

use uuid::Uuid;

use super::{
    Answer,
    Digest,
    Ending,
    Waiter, //
};

/// Input to a claim stream.
#[derive(Debug, Clone)]
pub enum Event<'a> {
    /// A request with a key arrived.
    Arrived {
        /// Digest of institution and key.
        key: Digest,
        /// The waiting request.
        waiter: Waiter,
    },
    /// A read of the stream returned a page of records, which may be empty.
    Page {
        /// Offset of the oldest record that the log still holds.
        first: u64,
        /// Offset that the next appended record will get.
        next: u64,
        /// Offsets and bodies of the records, starting at the requested offset.
        records: &'a [(u64, String)],
    },
    /// A read of the stream failed.
    ReadFailed,
    /// The time reserved for an append has come.
    Turn,
    /// The append was answered, failed or timed out.
    Appended,
    /// A started call ended.
    Ended {
        /// Digest of institution and key.
        key: Digest,
        /// How the call ended.
        ending: Ending,
    },
    /// Time passed or the catalogue changed.
    Tick,
}

/// Output of a claim stream, to be carried out by the executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the stream from this offset.
    Read(u64),
    /// Reserve a time for the next append.
    Reserve,
    /// Append this body to the stream.
    Append(String),
    /// Run the call once, using the request with this ticket.
    Start {
        /// Digest of institution and key.
        key: Digest,
        /// The attempt.
        attempt: Uuid,
        /// Ticket of the request to run.
        ticket: u64,
    },
    /// Answer the request with this ticket.
    Answer(u64, Answer),
    /// An attempt began for the request with this ticket.
    Claimed {
        /// The attempt.
        attempt: Uuid,
        /// Ticket of the request.
        ticket: u64,
    },
    /// This attempt was abandoned; its call was never sent.
    Abandoned(Uuid),
}

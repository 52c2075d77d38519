//! Runs a call of a plain service at most once per idempotency key. Before it starts the call, the
//! agent appends a claim to a log stream and reads it back as the valid one.
//!
//! [`Stream`] makes all decisions without side effects: it applies the records of one claim stream
//! to a [`Table`], drives this agent's [`Attempt`]s and passes their records to the [`Writer`].
//! The executor performs the I/O.

mod attempt;
pub(crate) mod call;
mod event;
pub(crate) mod executor;

pub mod key;
pub mod record;
pub mod scope;
mod stream;
mod table;
pub mod writer;

pub use attempt::{
    Answer,
    Attempt,
    Ending,
    Now,
    Phase,
    Refusal,
    Waiter, //
};
pub use event::{
    Action,
    Event, //
};
pub use key::{
    Digest,
    Key, //
};
pub use record::{
    Body,
    Record,
    Response, //
};
pub use stream::Stream;
pub use table::{
    Outcome,
    State,
    Table, //
};
pub use writer::{
    Pacer,
    Writer, //
};

//! Calls that must not be repeated: a claim in the log comes before each run.
//!
//! All decisions are pure: [`Stream`] folds the records of one claim stream into a [`Bucket`],
//! drives the [`Attempt`]s of this agent and hands records to the [`Writer`]. The executor does
//! the input and output around it.

mod attempt;
mod bucket;
pub(crate) mod call;
mod event;
pub(crate) mod executor;

pub mod key;
pub mod record;
pub mod scope;
mod stream;
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
pub use bucket::{
    Bucket,
    Outcome,
    State, //
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
pub use writer::{
    Pace,
    Writer, //
};

//! Messages between daemons, and their size limits.

mod frame;
mod piece;
mod request;

pub use frame::{
    Failure,
    Frame,
    Head,
    Heads,
    Leaving,
    Load,
    Reason,
    Refusal, //
};
pub use piece::Piece;
pub use request::{
    Call,
    Chat,
    Request,
    Work, //
};

/// Maximum size of an encoded frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

//! Identity of what a request carries.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Maximum number of bytes of a body that are digested at each of its ends. The mark of every request
/// is taken, so a long body must not make it costly.
const BODY_END_BYTES: usize = 4 << 10;

/// Digest of something that a request carries and that may crash the servers which run it.
///
/// The digest is cryptographic: clients choose what they send, and must not be able to make the
/// requests of others look like their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark(u64);

/// What a request that comes again has in common with the one before.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Credentials of the caller, if the request has any.
    pub caller: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Mark {
    /// Returns the mark of a part of a prompt.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::quarantine::Mark;
    ///
    /// assert_eq!(Mark::of_part(7), Mark::of_part(7));
    /// assert_ne!(Mark::of_part(7), Mark::of_part(8));
    /// ```
    pub fn of_part(id: u64) -> Self {
        Self::new(b"part", &[&id.to_be_bytes()])
    }

    /// Returns the mark of a request that comes again with a new id: the same method, host and target,
    /// from the same caller, with a body of the same length and the same first and last
    /// 4 KiB. `caller` is empty if nothing names the caller.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::quarantine::{Content, Mark};
    ///
    /// let content = Content {
    ///     method: "GET",
    ///     host: "a.example",
    ///     target: "/x",
    ///     caller: b"Bearer 1",
    ///     body: b"",
    /// };
    /// let other = Content { caller: b"Bearer 2", ..content };
    /// assert_ne!(Mark::of_request(&content), Mark::of_request(&other));
    /// ```
    pub fn of_request(content: &Content<'_>) -> Self {
        let (method, host, target) = (content.method, content.host, content.target);
        let body = content.body;
        let start = &body[..body.len().min(BODY_END_BYTES)];
        let end = &body[body.len().saturating_sub(BODY_END_BYTES)..];
        let length = (body.len() as u64).to_be_bytes();
        Self::new(
            b"request",
            &[
                method.as_bytes(),
                host.as_bytes(),
                target.as_bytes(),
                content.caller,
                &length,
                start,
                end,
            ],
        )
    }

    /// Returns the mark of a set of marks, given in their order.
    pub(super) fn of_marks(marks: &[Self]) -> Self {
        let marks: Vec<_> = marks.iter().map(|mark| mark.0.to_be_bytes()).collect();
        let items: Vec<_> = marks.iter().map(|bytes| bytes.as_slice()).collect();
        Self::new(b"marks", &items)
    }

    /// Returns the mark of a sequence of byte strings of a kind.
    fn new(kind: &[u8], items: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        digest.update(kind);
        for item in items {
            digest.update((item.len() as u64).to_be_bytes());
            digest.update(item);
        }
        let digest = digest.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first))
    }
}

//! Determines from the head of a server's response what happened to the request.

use super::message::ResponseHead;

/// What the head of a server's response says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The response is to an earlier request; the outcome of this one is unknown.
    Mismatched,
    /// Another server has the address; the request has not run.
    Replaced,
    /// The server has not run the request and will not, for this reason.
    NotRun(&'static str),
    /// The response has no signature, so it does not come from the server; the request may have
    /// run.
    Unsigned,
    /// The response has a content coding, so its body is not the server's; the request may have run.
    Encoded,
    /// The server ran the request and failed.
    Failed,
    /// The response is to be passed on.
    Response,
}

/// Returns what the head of a response says about the request with the id `request`, which was sent
/// to `server`.
///
/// # Examples
///
/// ```
/// use chestnuthub::gateway::{ResponseHead, Verdict, verdict};
///
/// let head = ResponseHead {
///     status: 200,
///     id: Some("r1".to_owned()),
///     instance: None,
///     is_signed: true,
///     is_encoded: false,
///     has_not_run: false,
///     load: None,
///     keep_alive: None,
///     closes: false,
///     is_leaving: false,
///     rest: None,
///     request_limit: None,
/// };
/// assert_eq!(verdict(&head, "r1", "server-1"), Verdict::Response);
/// assert_eq!(verdict(&head, "r2", "server-1"), Verdict::Mismatched);
/// ```
pub fn verdict(head: &ResponseHead, request: &str, server: &str) -> Verdict {
    if head.id.as_deref().is_some_and(|id| id != request) {
        return Verdict::Mismatched;
    }
    if head.has_not_run {
        let other = head.instance.as_deref();
        return match head.status {
            421 if other.is_some_and(|other| other != server) => Verdict::Replaced,
            421 => Verdict::NotRun("the model is not there"),
            _ => Verdict::NotRun("refused"),
        };
    }
    if !head.is_signed {
        return Verdict::Unsigned;
    }
    if head.is_encoded {
        return Verdict::Encoded;
    }
    if head.status >= 500 {
        Verdict::Failed
    } else {
        Verdict::Response
    }
}

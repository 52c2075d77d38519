//! What the head of a server's answer says of the request that was sent.

use super::message::Answered;

/// What the head of a server's answer says of the request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answers an earlier request; what became of this one is not known.
    Foreign,
    /// Another server has the address; the request has not run.
    Replaced,
    /// The server has not run the request and will not, for this reason.
    NotRun(&'static str),
    /// It bears no signature, so it is not the server's; the request may have run.
    Unsigned,
    /// The server ran the request and failed.
    Failed,
    /// It is the answer to pass on.
    Answer,
}

/// Returns what an answer says of a request that was sent to a server.
///
/// # Examples
///
/// ```
/// use chestnuthub::gateway::{Answered, Verdict, verdict};
///
/// let answer = Answered {
///     status: 200,
///     id: Some("r1".to_owned()),
///     instance: None,
///     is_signed: true,
///     has_not_run: false,
///     load: None,
///     keep: None,
///     closes: false,
/// };
/// assert_eq!(verdict(&answer, "r1", "server-1"), Verdict::Answer);
/// assert_eq!(verdict(&answer, "r2", "server-1"), Verdict::Foreign);
/// ```
pub fn verdict(answered: &Answered, request: &str, server: &str) -> Verdict {
    if answered.id.as_deref().is_some_and(|id| id != request) {
        return Verdict::Foreign;
    }
    if answered.has_not_run {
        let other = answered.instance.as_deref();
        return match answered.status {
            421 if other.is_some_and(|other| other != server) => Verdict::Replaced,
            421 => Verdict::NotRun("the model is not there"),
            _ => Verdict::NotRun("refused"),
        };
    }
    if !answered.is_signed {
        return Verdict::Unsigned;
    }
    if answered.status >= 500 {
        Verdict::Failed
    } else {
        Verdict::Answer
    }
}

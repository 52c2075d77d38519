//! Decides whether a request is retried after an attempt that did not complete the response.

use std::time::Duration;

use super::{
    problem::Problem,
    relay::End, //
};
use crate::wire::Reason;

/// Maximum number of times that a stream is resumed on another server.
const MAX_RESUMES: u32 = 2;

/// Maximum number of retries of an idempotent call of a service.
const MAX_CALL_RETRIES: u32 = 1;

/// Retry time sent to a client after an attempt that failed without a refusal. The outcome of the
/// request may be unknown then.
const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Kind of request, which determines whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A completion request to a model.
    Chat,
    /// A call of a service that may be repeated.
    Repeatable,
    /// A call of a service that must not be repeated.
    NonRepeatable,
}

/// Progress of a request over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Kind of request.
    pub kind: Kind,
    /// Whether the head of a response has been sent to the client.
    pub begun: bool,
    /// Number of pieces sent to the client.
    pub pieces: u64,
    /// Number of whole events sent to the client, if the response is an event stream.
    pub events: Option<u64>,
    /// Number of retries so far.
    pub retries: u32,
    /// Number of resumptions so far.
    pub resumes: u32,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Try another server, since this one has not run the request.
    Next,
    /// Repeat the request on another server if the retry budget allows it.
    Retry,
    /// Resume the stream on another server after this number of events.
    Resume(u64),
    /// Report the problem to the client.
    Stop,
}

/// Decides what to do after an attempt that ended with `end`. Has no side effects.
///
/// # Examples
///
/// ```
/// use chestnuthub::entry::{
///     relay::End,
///     retry::{Kind, Progress, Step, step},
/// };
///
/// let progress = |kind| Progress {
///     kind,
///     begun: false,
///     pieces: 0,
///     events: None,
///     retries: 0,
///     resumes: 0,
/// };
/// let lost = End::Lost("the connection was lost".to_owned());
/// assert_eq!(step(&lost, &progress(Kind::Chat)), Step::Retry);
/// assert_eq!(step(&lost, &progress(Kind::NonRepeatable)), Step::Stop);
/// ```
pub fn step(end: &End, progress: &Progress) -> Step {
    match end {
        End::NotSent(_) => Step::Next,
        End::Refused(refusal) if refusal.not_run && may_succeed_elsewhere(refusal.reason) => {
            Step::Next
        }
        End::Failed(failure) if !failure.started && !progress.begun => Step::Next,
        End::Failed(_) | End::Lost(_) => step_after_start(progress),
        End::Refused(_)
        | End::Expired
        | End::Invalid(_)
        | End::TimedOut
        | End::Complete { .. }
        | End::Disconnected => Step::Stop,
    }
}

/// Decides what to do after an attempt in which the request may have run.
fn step_after_start(progress: &Progress) -> Step {
    match progress.kind {
        Kind::Chat if progress.pieces == 0 => Step::Retry,
        Kind::Chat if progress.resumes < MAX_RESUMES => {
            progress.events.map_or(Step::Stop, Step::Resume)
        }
        Kind::Repeatable if !progress.begun && progress.retries < MAX_CALL_RETRIES => Step::Retry,
        Kind::Chat | Kind::Repeatable | Kind::NonRepeatable => Step::Stop,
    }
}

/// Returns whether another server may accept a request that one server refused for this reason.
const fn may_succeed_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::Leaving
        | Reason::Busy
        | Reason::QueueFull
        | Reason::NoSlot
        | Reason::NoEpoch
        | Reason::Unknown
        | Reason::Backend => true,
        // `Loading` is one of these because another server would load the same weights from the
        // weight store a second time.
        Reason::Loading
        | Reason::Deadline
        | Reason::LogDown
        | Reason::BadKey
        | Reason::KeyExpired
        | Reason::KeyReused
        | Reason::OutcomeUnknown => false,
    }
}

/// Returns whether the request may have run in an attempt that ended with `end`.
pub fn may_have_run(end: &End) -> bool {
    match end {
        End::NotSent(_) | End::Expired => false,
        End::Refused(refusal) => !refusal.not_run,
        End::Failed(failure) => failure.started,
        End::Lost(_)
        | End::Invalid(_)
        | End::TimedOut
        | End::Complete { .. }
        | End::Disconnected => true,
    }
}

/// Returns whether the agent refused the request because it had not read log records that the entry
/// has read.
pub fn is_agent_behind(end: &End) -> bool {
    match end {
        End::Refused(refusal) => {
            let reasons = [Reason::NoSlot, Reason::NoEpoch, Reason::Unknown];
            refusal.not_run && reasons.contains(&refusal.reason)
        }
        _ => false,
    }
}

/// Returns the problem that is reported to the client if the attempt that ended with `end` is the
/// last one.
pub fn problem(end: &End, kind: Kind) -> Problem {
    let problem = match end {
        End::Refused(refusal) => return Problem::from_refusal(refusal),
        End::NotSent(detail) => Problem::not_run(503, "unreachable", detail),
        End::Expired => Problem::not_run(504, "deadline", "the deadline passed"),
        End::Failed(failure) if !failure.started => {
            Problem::not_run(502, "agent_failed", &failure.detail)
        }
        // The client can get the outcome later with the same key.
        _ if kind == Kind::NonRepeatable => {
            let detail = "the call was sent and its outcome is not known";
            Problem::outcome_unknown(409, "outcome_unknown", detail)
        }
        End::Failed(failure) => Problem::outcome_unknown(502, "agent_failed", &failure.detail),
        End::Lost(detail) => Problem::outcome_unknown(502, "agent_lost", detail),
        End::Invalid(detail) => Problem::outcome_unknown(502, "wrong_answer", detail),
        End::TimedOut | End::Complete { .. } | End::Disconnected => {
            return Problem::outcome_unknown(504, "deadline", "the deadline passed");
        }
    };
    problem.retry_after(FAILURE_RETRY_AFTER)
}

//! Sends a request to one server after another until one responds or no further send is allowed.

use std::rc::Rc;

use super::{
    attempt,
    backend::Backend,
    job::{
        self,
        Exchange,
        Job,
        Progress, //
    },
    pick,
    response::Failure,
    state::State,
};
use crate::{
    dispatch::Outcome,
    report,
    timer::Time, //
};

/// Sends a request until a server responds. `last_event` is the id of the last event that was
/// passed on, for a stream that is resumed.
pub(super) async fn send(
    state: &Rc<State>,
    job: &Rc<Job>,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<Exchange, Failure> {
    loop {
        let backend = pick::pick(state, job, progress).await?;
        let try_retry = || state.try_retry(&job.service, Time::now());
        let allowed = progress.attempts.begin(try_retry);
        allowed.map_err(|ending| job::failure(ending, "the retry budget is used up"))?;
        let server = backend.server().id.clone();
        progress.record_send(&server);
        let exchange = attempt::attempt(state, job, &backend, progress, last_event).await;
        let error = match exchange {
            Ok(exchange) => return Ok(exchange),
            Err(error) => error,
        };
        log_send_error(job, &backend, progress, error.reason());
        if matches!(error.outcome(), Outcome::NotSent | Outcome::NotRun) {
            progress.record_not_run(&server, Time::now());
        }
        let next = progress.attempts.record(error.outcome());
        if error.outcome() == Outcome::Unknown && job.remaining(Time::now()).is_zero() {
            return Err(Failure::TimedOut);
        }
        next.map_err(|ending| job::failure(ending, error.reason()))?;
    }
}

fn log_send_error(job: &Job, backend: &Backend, progress: &Progress, reason: &str) {
    report::info(
        "send_missed",
        &[
            ("request", &job.head.id),
            ("server", &backend.server().id),
            ("sends", &progress.attempts.sends()),
            ("left_ms", &job.remaining(Time::now()).as_millis()),
            ("reason", &reason),
        ],
    );
}

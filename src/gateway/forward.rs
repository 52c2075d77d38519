//! Sends a request to servers until one answers or the request is given up.

use super::{
    answer::Failure,
    attempt::{
        self,
        Miss, //
    },
    backend::Backend,
    job::{
        Job,
        Progress,
        Sent, //
    },
    pick,
    state::State,
};
use crate::{
    report,
    timer::Time, //
};

/// Most servers that refuse or fail a request before it is given up.
const REFUSALS: u32 = 4;

/// Sends a request until a server answers; `last_event` is the last event that was passed on.
pub(super) async fn send(
    state: &State,
    job: &Job,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<Sent, Failure> {
    loop {
        let backend = pick::pick(state, job, progress).await?;
        let now = Time::now();
        if progress.sends > 0 && !state.take_repeat(&job.service, now) {
            return Err(progress.give_up("the retry budget is used up"));
        }
        progress.sends += 1;
        progress.tried.push(backend.server().id.clone());
        let outcome = attempt::attempt(state, job, &backend, progress, last_event).await;
        match outcome {
            Ok(sent) => return Ok(sent),
            Err(Miss::Replaced) => {
                note_miss(job, &backend, progress, "another server has its address");
                continue;
            }
            Err(Miss::NotRun(reason)) => {
                note_miss(job, &backend, progress, reason);
                progress.refusals += 1;
            }
            Err(Miss::Unknown(reason)) => {
                note_miss(job, &backend, progress, reason);
                progress.runs += 1;
                progress.refusals += 1;
                if job.left(Time::now()).is_zero() {
                    return Err(Failure::Late);
                }
                if !job.route.kind.is_repeatable() || progress.runs >= job.route.attempts {
                    return Err(Failure::Unknown(reason));
                }
            }
        }
        if progress.refusals >= REFUSALS {
            return Err(progress.give_up("servers refuse"));
        }
    }
}

fn note_miss(job: &Job, backend: &Backend, progress: &Progress, reason: &str) {
    report::info(
        "send_missed",
        &[
            ("request", &job.asked.id),
            ("server", &backend.server().id),
            ("sends", &progress.sends),
            ("left_ms", &job.left(Time::now()).as_millis()),
            ("reason", &reason),
        ],
    );
}

//! Passes a server's response on to the client as it arrives.

use std::{
    fmt,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::{
    sync::mpsc::Sender,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    attempt,
    backend::Backend,
    demand::InFlight,
    events::Events,
    forward,
    job::{
        Exchange,
        Job,
        Progress, //
    },
    pick,
    state::State,
};
use crate::{
    deployment::Kind,
    http::{
        Body,
        Framing,
        Piece, //
    },
    report,
    timer::Time, //
};

/// Interval at which a stream of an unresponsive server is checked for another server to go on.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The response could not be completed. The client's connection is closed before the end of the
/// body, so that the client does not take the response for complete.
#[derive(Debug)]
pub(super) struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for Incomplete {}

/// How reading a response ended.
enum End {
    /// The response is complete.
    Complete,
    /// The server disconnected or is unresponsive.
    Lost,
    /// The request timed out.
    TimedOut,
    /// The client has disconnected.
    Abandoned,
}

/// Passes a response on until it ends, and resumes a stream at another server where that is
/// allowed.
pub(super) async fn run(
    state: Rc<State>,
    job: Rc<Job>,
    mut progress: Progress,
    mut exchange: Exchange,
    chunks: Sender<Result<Bytes, Incomplete>>,
) {
    let mut events = events(&job);
    loop {
        let mut body = Body::new(exchange.response);
        let framing = body.framing();
        let backend = exchange.in_flight.backend.clone();
        let is_movable = || can_move(&state, &job, &progress, &backend);
        let silence = Silence {
            backend: &backend,
            is_movable: &is_movable,
        };
        let in_flight = &mut exchange.in_flight;
        let end = pass_on(&job, &mut events, &mut body, in_flight, &silence, &chunks).await;
        match end {
            End::Complete => {
                attempt::return_connection(
                    &exchange.in_flight.backend,
                    exchange.channel,
                    &exchange.response_head,
                );
                log_end(&job, "complete", framing, &events);
                return;
            }
            End::Abandoned => {
                log_end(&job, "abandoned", framing, &events);
                return;
            }
            End::TimedOut => {
                log_end(&job, "late", framing, &events);
                let _ = chunks.send(Err(Incomplete)).await;
                return;
            }
            End::Lost => exchange.in_flight.backend.record_broken(Time::now()),
        }
        // The response is incomplete, so the connection can't be used again.
        drop((body, exchange.channel, exchange.in_flight));
        progress.attempts.record_run();
        let may_run = progress.attempts.may_run() && !job.remaining(Time::now()).is_zero();
        let next = match events.resume_point().filter(|_| may_run) {
            Some(last) => {
                tokio::select! {
                    next = forward::send(&state, &job, &mut progress, last.as_deref()) => next.ok(),
                    () = chunks.closed() => None,
                }
            }
            None => None,
        };
        let Some(next) = next.filter(|next| next.response_head.status == 200) else {
            log_end(&job, "broken", framing, &events);
            let _ = chunks.send(Err(Incomplete)).await;
            return;
        };
        report::info(
            "stream_resumed",
            &[
                ("request", &job.head.id),
                ("server", &next.in_flight.backend.server().id),
                ("events", &events.count()),
            ],
        );
        events.restart();
        exchange = next;
    }
}

/// Returns the state before the first byte of a response.
fn events(job: &Job) -> Events {
    match job.route.kind {
        Kind::ResumableStream => Events::new(true, job.head.last_event.clone()),
        Kind::Stream => Events::new(false, None),
        _ => Events::plain(),
    }
}

fn log_end(job: &Job, outcome: &str, framing: Framing, events: &Events) {
    report::info(
        "end",
        &[
            ("request", &job.head.id),
            ("outcome", &outcome),
            ("framing", &framing.as_str()),
            ("inside_event", &events.is_inside_event()),
            ("events", &events.count()),
            ("left_ms", &job.deadline.remaining(Time::now()).as_millis()),
        ],
    );
}

/// Returns whether another server could go on with a stream at once. The stream of an unresponsive
/// server is left to it otherwise: the server may still be at work.
fn can_move(state: &State, job: &Job, progress: &Progress, current: &Rc<Backend>) -> bool {
    let now = Time::now();
    let may_run = progress.attempts.may_retry() && state.allows_retry(&job.service, now);
    let Some(name) = job.model().filter(|_| may_run) else {
        return false;
    };
    let holders = state.fleet.holders(&job.service, &name.model).into_iter();
    let mut others = holders.filter(|backend| !Rc::ptr_eq(backend, current));
    others.any(|backend| {
        let holds = backend.replica(&name.model, |_| ()).is_some();
        holds && pick::may_send(state, job, progress, &backend, now)
    })
}

/// Notices that the server of a stream is unresponsive.
struct Silence<'a> {
    backend: &'a Backend,
    /// Returns whether another server could go on with the stream.
    is_movable: &'a dyn Fn() -> bool,
}

impl Silence<'_> {
    /// Waits until the server is unresponsive and another one could go on with the stream.
    async fn wait(&self) {
        loop {
            self.backend.unresponsive().await;
            if (self.is_movable)() {
                return;
            }
            sleep(MOVE_CHECK_INTERVAL).await;
        }
    }
}

/// Passes bytes on until the server's response ends.
async fn pass_on(
    job: &Job,
    events: &mut Events,
    body: &mut Body,
    in_flight: &mut InFlight,
    silence: &Silence<'_>,
    chunks: &Sender<Result<Bytes, Incomplete>>,
) -> End {
    loop {
        let remaining = job.remaining(Time::now());
        let piece = tokio::select! {
            () = chunks.closed() => return End::Abandoned,
            // An unresponsive server ends only a stream that another server can continue.
            () = silence.wait(), if events.is_resumable() => return End::Lost,
            piece = timeout(remaining, body.next()) => piece,
        };
        let data = match piece {
            Err(_) => return End::TimedOut,
            Ok(Ok(Piece::Data(data))) => data,
            Ok(Err(_)) => return End::Lost,
            Ok(Ok(Piece::End)) => {
                let rest = events.rest();
                if rest.is_empty() || chunks.send(Ok(rest)).await.is_ok() {
                    return End::Complete;
                }
                return End::Abandoned;
            }
        };
        in_flight.clear_pending_tokens();
        let data = events.push(data);
        if !data.is_empty() && chunks.send(Ok(data)).await.is_err() {
            return End::Abandoned;
        }
    }
}

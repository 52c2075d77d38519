//! Passes a server's response on to the client as it arrives.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    attempt,
    backend::Backend,
    buffer::Writer,
    crash::{
        self,
        BrokenRun, //
    },
    demand::InFlight,
    ending,
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
    dispatch::Run,
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

/// Maximum time from an event's first byte to a later one of the same event. Servers write an event
/// at once.
const MAX_EVENT_TIME: Duration = Duration::from_secs(5);

/// How reading a response ended.
enum End {
    /// The response is complete.
    Complete,
    /// The server broke off or is unresponsive, for this reason.
    Lost(&'static str),
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
    mut events: Events,
    chunks: Writer,
) {
    // The client's response marks its end as that of the first server does.
    let client_framing = exchange.framing;
    loop {
        let framing = exchange.framing;
        let backend = exchange.in_flight.backend.clone();
        let is_movable = || can_move(&state, &job, &progress, &backend);
        let silence = Silence {
            backend: &backend,
            is_movable: &is_movable,
        };
        let mut relay = Relay {
            state: &state,
            is_success: exchange.response.status().is_success(),
            job: &job,
            events: &mut events,
            in_flight: &mut exchange.in_flight,
            run: &exchange.run,
            chunks: &chunks,
            began_at: None,
            has_passed: false,
        };
        let mut end = relay.pass_on(exchange.response.body_mut(), &silence).await;
        if matches!(end, End::Complete) {
            end = relay.finish(framing, client_framing).await;
        }
        let began_at = relay.began_at;
        let reason = match end {
            End::Complete => {
                let channel = exchange.channel;
                attempt::return_connection(&backend, channel, &exchange.response_head, framing);
                log_end(&job, "complete", framing, &events, "");
                chunks.end();
                return;
            }
            End::Abandoned => {
                log_end(&job, "abandoned", framing, &events, "");
                return;
            }
            End::TimedOut => {
                log_end(&job, "late", framing, &events, "");
                return;
            }
            End::Lost(reason) => reason,
        };
        backend.record_broken(Time::now());
        let run = BrokenRun::new(&job, exchange.sent_at, began_at);
        crash::record(&state, &backend, run);
        // The response is incomplete, so the connection can't be used again.
        drop((exchange.response, exchange.channel, exchange.in_flight));
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
            log_end(&job, "broken", framing, &events, reason);
            return;
        };
        report::info(
            "stream_resumed",
            &[
                ("request", &job.head.id),
                ("server", &next.in_flight.backend.server().id),
                ("events", &events.count()),
                ("reason", &reason),
            ],
        );
        events.restart();
        exchange = next;
    }
}

fn log_end(job: &Job, outcome: &str, framing: Framing, events: &Events, reason: &str) {
    report::info(
        "end",
        &[
            ("request", &job.head.id),
            ("outcome", &outcome),
            ("reason", &reason),
            ("framing", &framing.as_str()),
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

/// A response that is being passed on.
struct Relay<'a> {
    state: &'a State,
    /// Whether the server answers with a success.
    is_success: bool,
    job: &'a Job,
    events: &'a mut Events,
    in_flight: &'a mut InFlight,
    /// What is known of the process that runs the request.
    run: &'a Cell<Run>,
    chunks: &'a Writer,
    /// When the first byte of the body arrived.
    began_at: Option<Time>,
    /// Whether it is recorded that the request got through.
    has_passed: bool,
}

impl Relay<'_> {
    /// Passes bytes on until the server's response ends.
    async fn pass_on(&mut self, body: &mut Body, silence: &Silence<'_>) -> End {
        let mut event_began = Time::now();
        let backend = self.in_flight.backend.clone();
        let run = self.run;
        let mut ended = pin!(backend.presence.ended(run));
        self.record_heard();
        loop {
            let remaining = self.job.remaining(Time::now());
            let piece = tokio::select! {
                biased;
                () = self.chunks.closed() => return End::Abandoned,
                piece = timeout(remaining, body.next()) => piece,
                cause = &mut ended => return End::Lost(cause.as_str()),
                // An unresponsive server ends only a stream that another server can continue.
                () = silence.wait(), if self.events.is_resumable() => {
                    return End::Lost("unresponsive");
                }
            };
            let data = match piece {
                Err(_) => return End::TimedOut,
                Ok(Ok(Piece::Data(data))) => data,
                Ok(Err(error)) => return End::Lost(error.as_str()),
                Ok(Ok(Piece::End)) => return End::Complete,
            };
            self.in_flight.clear_pending_tokens();
            let began_at = *self.began_at.get_or_insert_with(Time::now);
            if Time::now() - began_at >= crash::PASSED_AFTER {
                self.record_passed();
            }
            let received = data.len();
            let data = self.events.push(data);
            if self.events.event_bytes() <= received {
                event_began = Time::now();
            }
            let written_from = Time::now();
            if !data.is_empty() && self.chunks.write(data).await.is_err() {
                return End::Abandoned;
            }
            // Nothing was read while the client was slow, so that time is neither silence nor part of
            // the event's.
            self.record_heard();
            event_began = event_began + (Time::now() - written_from);
            let is_late = Time::now() - event_began > MAX_EVENT_TIME;
            if self.events.is_overlong() || (self.events.is_inside_event() && is_late) {
                return End::Lost("event_too_long");
            }
        }
    }

    /// Records that bytes of the response arrived.
    fn record_heard(&self) {
        let now = Time::now();
        self.in_flight.backend.presence.record_heard(now);
        let objective = self.job.route.latency_objective;
        self.run.set(Run {
            heard_at: now,
            stream_objective: self.events.is_stream().then_some(objective),
            ..self.run.get()
        });
    }

    /// Records that the server has worked on the request without ending, if that is of interest.
    fn record_passed(&mut self) {
        if std::mem::replace(&mut self.has_passed, true) {
            return;
        }
        let quarantine = &self.state.quarantine;
        if self.is_success && quarantine.record_passed(self.job, Time::now()) {
            self.state.tell_facts();
        }
    }

    /// Passes on what is left of a response whose body ended without an error, unless something
    /// shows that it is incomplete.
    async fn finish(&mut self, framing: Framing, client_framing: Framing) -> End {
        if let Some(flaw) = ending::flaw(framing, self.events, client_framing) {
            return End::Lost(flaw.as_str());
        }
        let backend = self.in_flight.backend.clone();
        if framing == Framing::Connection && ending::is_gone(&backend).await {
            return End::Lost(ending::Flaw::ServerGone.as_str());
        }
        self.record_passed();
        let rest = self.events.rest();
        if rest.is_empty() || self.chunks.write(rest).await.is_ok() {
            return End::Complete;
        }
        End::Abandoned
    }
}

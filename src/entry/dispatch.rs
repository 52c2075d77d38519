//! Sends a request to one server after another until it is answered or fails.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    sync::watch,
    time, //
};

use super::{
    job::{
        Job,
        Pick,
        PickError, //
    },
    problem::Problem,
    relay::{
        self,
        End,
        Observer, //
    },
    responder::Responder,
    retry::{
        self,
        Progress,
        Step, //
    },
    shared::{
        Shared,
        Ticket, //
    },
};
use crate::{
    id, report,
    timer::Time,
    wire::{
        Load,
        Reason,
        Work, //
    },
};

/// Maximum time for which a request waits for a slot. Coordinators decide within a few of their
/// ticks.
const SLOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a request is sent again to servers whose agents have not read the grant yet.
const BEHIND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Retry time sent to a client when no server takes the request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum time by which the timeout given to the agent is shorter than the remaining time, so that
/// the agent's refusal arrives before the deadline.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);

/// Timeout for sending the problem that ends the stream of a slow client.
const PROBLEM_SEND_TIMEOUT: Duration = Duration::from_secs(5);

struct Dispatch {
    shared: Arc<Shared>,
    job: Job,
    changes: watch::Receiver<u64>,
    tried: Vec<id::Instance>,
    /// Whether an attempt may have run the request, so that a problem must not state `not_run`.
    may_have_run: bool,
    /// Whether every attempt so far was refused because the agent had not read log records that the
    /// entry has read.
    only_behind: bool,
    slot_deadline: Time,
    last_problem: Option<Problem>,
    retries: u32,
    resumes: u32,
    last_piece: LastPiece,
}

/// Runs the request until it has been answered or the client has disconnected. Holds `ticket` until
/// then.
pub(super) async fn run(
    shared: Arc<Shared>,
    mut job: Job,
    mut responder: Responder,
    ticket: Ticket,
) {
    job.request.timeout_ms = 0;
    let slot_deadline = Time::min(job.deadline, Time::now() + SLOT_TIMEOUT);
    let mut dispatch = Dispatch {
        changes: shared.context.view.changes(),
        shared,
        job,
        tried: Vec::new(),
        may_have_run: false,
        only_behind: true,
        slot_deadline,
        last_problem: None,
        retries: 0,
        resumes: 0,
        last_piece: LastPiece::default(),
    };
    let outcome = match dispatch.attempts(&mut responder).await {
        Ok(End::Complete { status }) => {
            // Fails only if the client has disconnected.
            let _ = responder.complete().await;
            dispatch.log_response(status);
            "answered"
        }
        Ok(_) => "caller_gone",
        Err(problem) => {
            dispatch.log_refusal(&problem);
            let _ = time::timeout(PROBLEM_SEND_TIMEOUT, responder.fail(&problem)).await;
            problem.code
        }
    };
    let metrics = &dispatch.shared.context.metrics;
    metrics.count(dispatch.job.label(), outcome);
    drop(ticket);
}

impl Dispatch {
    /// Tries servers until the response is complete, the client has disconnected or the request has
    /// failed.
    async fn attempts(&mut self, responder: &mut Responder) -> Result<End, Problem> {
        loop {
            let pick = self.pick(responder).await?;
            let Some(pick) = pick else {
                return Ok(End::Disconnected);
            };
            let end = self.attempt(&pick, responder).await;
            if matches!(end, End::Complete { .. } | End::Disconnected) {
                return Ok(end);
            }
            self.record_end(&pick, &end);
            self.tried.push(pick.server);
            self.step(&end, responder)?;
        }
    }

    /// Picks the next server, and waits for a slot if there is none yet. Returns `None` if the
    /// client disconnects during the wait.
    async fn pick(&mut self, responder: &mut Responder) -> Result<Option<Pick>, Problem> {
        loop {
            self.changes.borrow_and_update();
            let error = match self.job.pick(&self.shared, &self.tried) {
                Ok(pick) => return Ok(Some(pick)),
                Err(error) => error,
            };
            let may_wait = self.only_behind
                && error == PickError::Unavailable
                && Time::now() < self.slot_deadline
                && self.job.may_get_slot(&self.shared);
            if !may_wait {
                return Err(self.no_server_problem(error));
            }
            let wait_until = if self.tried.is_empty() {
                self.slot_deadline
            } else {
                Time::min(self.slot_deadline, Time::now() + BEHIND_RETRY_DELAY)
            };
            tokio::select! {
                () = responder.disconnected() => return Ok(None),
                _ = self.changes.changed(), if self.tried.is_empty() => (),
                () = relay::sleep_until(wait_until) => (),
            }
            self.tried.clear();
        }
    }

    /// Returns the problem to report when no server could be picked: that of the last attempt, if
    /// there was one.
    fn no_server_problem(&mut self, error: PickError) -> Problem {
        let problem = match (self.last_problem.take(), error) {
            (Some(problem), _) => problem,
            (None, PickError::Unreachable(cooldown)) => {
                let detail = "no server of the target can be reached";
                Problem::not_run(503, "unreachable", detail).retry_after(cooldown)
            }
            (None, PickError::Unavailable) => {
                let detail = "no server takes the target yet";
                Problem::not_run(503, "no_server", detail).retry_after(UNAVAILABLE_RETRY_AFTER)
            }
        };
        self.clear_uncertain_not_run(problem)
    }

    /// Sends the request to the picked server and forwards the response.
    async fn attempt(&mut self, pick: &Pick, responder: &mut Responder) -> End {
        self.log_route(pick);
        let endpoint = &self.shared.context.endpoint;
        let opening = endpoint.open(&pick.server, pick.addr);
        let exchange = tokio::select! {
            () = responder.disconnected() => return End::Disconnected,
            () = relay::sleep_until(self.job.deadline) => return End::Expired,
            opened = opening => match opened {
                Ok(exchange) => exchange,
                Err(error) => return End::NotSent(error.to_string()),
            },
        };
        let remaining = self.job.deadline.remaining(Time::now());
        if remaining.is_zero() {
            return End::Expired;
        }
        let margin = Duration::min(REFUSAL_MARGIN, remaining / 10);
        let timeout_ms = (remaining - margin).as_millis();
        self.job.request.timeout_ms = u64::try_from(timeout_ms).unwrap_or(u64::MAX);
        let mut recorder = Recorder::new(&self.shared, &self.job, &mut self.last_piece, pick);
        let (request, body) = (&self.job.request, &self.job.body);
        let deadline = self.job.deadline;
        relay::run(exchange, request, body, deadline, responder, &mut recorder).await
    }

    /// Records what the end of an attempt shows about the server.
    fn record_end(&mut self, pick: &Pick, end: &End) {
        self.may_have_run |= retry::may_have_run(end);
        self.only_behind &= retry::is_agent_behind(end);
        let mut routes = self.shared.routes();
        match end {
            End::NotSent(_) => routes.record_unreachable(&pick.server, pick.epoch, Time::now()),
            End::Lost(_) => routes.record_lost(&pick.server, pick.epoch),
            End::Refused(refusal) if refusal.reason == Reason::Leaving => {
                routes.record_leaving(&pick.server, pick.epoch);
            }
            _ => (),
        }
        drop(routes);
        let server = &pick.server;
        self.log("attempt_failed", &[("server", server), ("reason", end)]);
    }

    /// Prepares the next attempt, or returns the problem to report if the request is not retried.
    fn step(&mut self, end: &End, responder: &Responder) -> Result<(), Problem> {
        let progress = Progress {
            kind: self.job.kind,
            begun: responder.has_begun(),
            pieces: responder.pieces(),
            events: responder.events(),
            retries: self.retries,
            resumes: self.resumes,
        };
        let problem = retry::problem(end, self.job.kind);
        let continues = match retry::step(end, &progress) {
            Step::Next => true,
            Step::Retry => {
                self.retries += 1;
                self.shared.budget().try_retry(Time::now())
            }
            Step::Resume(events) => {
                self.resumes += 1;
                self.resume_from(events);
                true
            }
            Step::Stop => false,
        };
        if !continues {
            return Err(self.clear_uncertain_not_run(problem));
        }
        self.last_problem = Some(problem.with_earliest_retry(self.last_problem.as_ref()));
        Ok(())
    }

    fn resume_from(&mut self, events: u64) {
        if let Work::Chat(chat) = &mut self.job.request.work {
            chat.resume_from = events;
        }
    }

    /// Clears `not_run` in the problem unless it holds for every attempt.
    fn clear_uncertain_not_run(&self, problem: Problem) -> Problem {
        Problem {
            not_run: problem.not_run && !self.may_have_run,
            ..problem
        }
    }

    fn log_route(&self, pick: &Pick) {
        let rule = pick.rule.as_str();
        self.log("route", &[("server", &pick.server), ("reason", &rule)]);
    }

    fn log_response(&self, status: u16) {
        let took = self.job.started_at.elapsed();
        self.log(
            "answered",
            &[("status", &status), ("took_ms", &took.as_millis())],
        );
    }

    fn log_refusal(&self, problem: &Problem) {
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("reason", &problem.code),
            ("not_run", &problem.not_run),
            ("detail", &problem.detail),
        ];
        self.log("refused", &pairs);
    }

    fn log(&self, event: &str, pairs: &[(&str, &dyn std::fmt::Display)]) {
        let target = self.job.target();
        let mut all: Vec<(&str, &dyn std::fmt::Display)> = vec![
            ("request", &self.job.request.id),
            ("institution", &self.job.request.institution),
            ("target", &target),
        ];
        all.extend_from_slice(pairs);
        report::info(event, &all);
    }
}

/// Records what an attempt observes in the entry's state and metrics. The attempt counts as in
/// flight at its server until this is dropped.
struct Recorder<'a> {
    shared: &'a Shared,
    job: &'a Job,
    last_piece: &'a mut LastPiece,
    pick: &'a Pick,
}

impl<'a> Recorder<'a> {
    fn new(
        shared: &'a Shared,
        job: &'a Job,
        last_piece: &'a mut LastPiece,
        pick: &'a Pick,
    ) -> Self {
        shared.routes().begin(&pick.server);
        Self {
            shared,
            job,
            last_piece,
            pick,
        }
    }
}

impl Drop for Recorder<'_> {
    fn drop(&mut self) {
        self.shared.routes().end(&self.pick.server);
    }
}

impl Observer for Recorder<'_> {
    fn record_load(&mut self, load: Load) {
        let (server, epoch) = (&self.pick.server, self.pick.epoch);
        let mut routes = self.shared.routes();
        routes.record_load(server, epoch, self.job.target(), load, Time::now());
    }

    fn record_piece(&mut self) {
        let metrics = &self.shared.context.metrics;
        let now = Instant::now();
        match self.last_piece.received_at.replace(now) {
            None => metrics.observe_first_piece(self.job.label(), now - self.job.started_at),
            Some(last) if self.job.is_stream() => {
                metrics.between_pieces.observe((now - last).as_secs_f64());
            }
            Some(_) => (),
        }
    }
}

/// When the last piece of the response arrived, across all attempts.
#[derive(Debug, Default)]
struct LastPiece {
    received_at: Option<Instant>,
}

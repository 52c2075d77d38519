//! Brings a request to an answer: attempts on one server after another until one ends it.

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
        Nothing,
        Pick, //
    },
    problem::Problem,
    relay::{
        self,
        End,
        Observer, //
    },
    reply::Reply,
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

/// Longest wait for a slot; coordinators decide within a few of their ticks.
const SLOT_WAIT: Duration = Duration::from_secs(10);

/// Pause before servers are asked again whose agents have not read the grant yet.
const BEHIND_PAUSE: Duration = Duration::from_millis(250);

/// Time after which to come back when no server takes the request.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(5);

/// Time that is kept of the deadline for the agent's refusal to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Longest wait for a slow caller to take the problem that ends its stream.
const ERROR_SEND_LIMIT: Duration = Duration::from_secs(5);

struct Dispatch {
    shared: Arc<Shared>,
    job: Job,
    changes: watch::Receiver<u64>,
    tried: Vec<id::Instance>,
    /// An attempt may have run the request, so that "not run" can't be said any more.
    may_have_run: bool,
    /// Every attempt so far met an agent that has not read what the entry has.
    behind: bool,
    wait_end: Time,
    last: Option<Problem>,
    retries: u32,
    resumes: u32,
    pace: Pace,
}

/// Answers the request; the ticket is held until then.
pub(super) async fn run(shared: Arc<Shared>, mut job: Job, mut reply: Reply, ticket: Ticket) {
    job.request.timeout_ms = 0;
    let wait_end = Time::min(job.deadline, Time::now() + SLOT_WAIT);
    let mut dispatch = Dispatch {
        changes: shared.context.view.changes(),
        shared,
        job,
        tried: Vec::new(),
        may_have_run: false,
        behind: true,
        wait_end,
        last: None,
        retries: 0,
        resumes: 0,
        pace: Pace::default(),
    };
    let outcome = match dispatch.attempts(&mut reply).await {
        Ok(End::Complete { status }) => {
            // Fails only if the caller is gone.
            let _ = reply.complete().await;
            dispatch.answered(status);
            "answered"
        }
        Ok(_) => "caller_gone",
        Err(problem) => {
            dispatch.refused(&problem);
            let _ = time::timeout(ERROR_SEND_LIMIT, reply.fail(&problem)).await;
            problem.code
        }
    };
    let metrics = &dispatch.shared.context.metrics;
    metrics.count(dispatch.job.label(), outcome);
    drop(ticket);
}

impl Dispatch {
    /// Tries servers until the answer is complete, the caller is gone or there is a problem.
    async fn attempts(&mut self, reply: &mut Reply) -> Result<End, Problem> {
        loop {
            let pick = self.pick(reply).await?;
            let Some(pick) = pick else {
                return Ok(End::Gone);
            };
            let end = self.attempt(&pick, reply).await;
            if matches!(end, End::Complete { .. } | End::Gone) {
                return Ok(end);
            }
            self.note(&pick, &end);
            self.tried.push(pick.server);
            self.step(&end, reply)?;
        }
    }

    /// Picks the next server, waiting for a slot if there is none yet; nothing if the caller is
    /// gone.
    async fn pick(&mut self, reply: &mut Reply) -> Result<Option<Pick>, Problem> {
        loop {
            self.changes.borrow_and_update();
            let nothing = match self.job.pick(&self.shared, &self.tried) {
                Ok(pick) => return Ok(Some(pick)),
                Err(nothing) => nothing,
            };
            let waits = self.behind
                && nothing == Nothing::Unavailable
                && Time::now() < self.wait_end
                && self.job.may_get_slot(&self.shared);
            if !waits {
                return Err(self.no_server(nothing));
            }
            let pause = if self.tried.is_empty() {
                self.wait_end
            } else {
                Time::min(self.wait_end, Time::now() + BEHIND_PAUSE)
            };
            tokio::select! {
                () = reply.gone() => return Ok(None),
                _ = self.changes.changed(), if self.tried.is_empty() => (),
                () = relay::sleep_until(pause) => (),
            }
            self.tried.clear();
        }
    }

    fn no_server(&mut self, nothing: Nothing) -> Problem {
        let problem = match (self.last.take(), nothing) {
            (Some(problem), _) => problem,
            (None, Nothing::Unreachable(pause)) => {
                let detail = "no server of the target can be reached";
                Problem::not_run(503, "unreachable", detail).retry_after(pause)
            }
            (None, Nothing::Unavailable) => {
                let detail = "no server takes the target yet";
                Problem::not_run(503, "no_server", detail).retry_after(UNAVAILABLE_PAUSE)
            }
        };
        self.truthful(problem)
    }

    async fn attempt(&mut self, pick: &Pick, reply: &mut Reply) -> End {
        self.routed(pick);
        let endpoint = &self.shared.context.endpoint;
        let opening = endpoint.open(&pick.server, pick.addr);
        let exchange = tokio::select! {
            () = reply.gone() => return End::Gone,
            () = relay::sleep_until(self.job.deadline) => return End::Expired,
            opened = opening => match opened {
                Ok(exchange) => exchange,
                Err(error) => return End::NotSent(error.to_string()),
            },
        };
        let left = self.job.deadline.remaining(Time::now());
        if left.is_zero() {
            return End::Expired;
        }
        let margin = Duration::min(ANSWER_MARGIN, left / 10);
        let timeout_ms = (left - margin).as_millis();
        self.job.request.timeout_ms = u64::try_from(timeout_ms).unwrap_or(u64::MAX);
        let mut watcher = Watcher::new(&self.shared, &self.job, &mut self.pace, pick);
        let (request, body) = (&self.job.request, &self.job.body);
        let deadline = self.job.deadline;
        relay::run(exchange, request, body, deadline, reply, &mut watcher).await
    }

    /// Notes what the end of an attempt says about the server.
    fn note(&mut self, pick: &Pick, end: &End) {
        self.may_have_run |= retry::may_have_run(end);
        self.behind &= retry::is_behind(end);
        let mut routes = self.shared.routes();
        match end {
            End::NotSent(_) => routes.unreachable(&pick.server, pick.epoch, Time::now()),
            End::Lost(_) => routes.lost(&pick.server, pick.epoch),
            End::Refused(refusal) if refusal.reason == Reason::Leaving => {
                routes.leaving(&pick.server, pick.epoch);
            }
            _ => (),
        }
        drop(routes);
        let server = &pick.server;
        self.log("attempt_failed", &[("server", server), ("reason", end)]);
    }

    fn step(&mut self, end: &End, reply: &Reply) -> Result<(), Problem> {
        let progress = Progress {
            kind: self.job.kind,
            begun: reply.has_begun(),
            pieces: reply.pieces(),
            events: reply.events(),
            retries: self.retries,
            resumes: self.resumes,
        };
        let problem = retry::problem(end, self.job.kind);
        let proceeds = match retry::step(end, &progress) {
            Step::Next => true,
            Step::Retry => {
                self.retries += 1;
                self.shared.budget().retry(Time::now())
            }
            Step::Resume(events) => {
                self.resumes += 1;
                self.resume_from(events);
                true
            }
            Step::Stop => false,
        };
        if !proceeds {
            return Err(self.truthful(problem));
        }
        self.last = Some(problem.or_sooner(self.last.as_ref()));
        Ok(())
    }

    fn resume_from(&mut self, events: u64) {
        if let Work::Chat(chat) = &mut self.job.request.work {
            chat.resume_from = events;
        }
    }

    /// Makes sure that "not run" is said only if it holds for every attempt.
    fn truthful(&self, problem: Problem) -> Problem {
        Problem {
            not_run: problem.not_run && !self.may_have_run,
            ..problem
        }
    }

    fn routed(&self, pick: &Pick) {
        let why = pick.why.as_str();
        self.log("route", &[("server", &pick.server), ("reason", &why)]);
    }

    fn answered(&self, status: u16) {
        let took = self.job.started_at.elapsed();
        self.log(
            "answered",
            &[("status", &status), ("took_ms", &took.as_millis())],
        );
    }

    fn refused(&self, problem: &Problem) {
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

/// Feeds what an attempt tells into the entry's state; counts the attempt as in flight.
struct Watcher<'a> {
    shared: &'a Shared,
    job: &'a Job,
    pace: &'a mut Pace,
    pick: &'a Pick,
}

impl<'a> Watcher<'a> {
    fn new(shared: &'a Shared, job: &'a Job, pace: &'a mut Pace, pick: &'a Pick) -> Self {
        shared.routes().begin(&pick.server);
        Self {
            shared,
            job,
            pace,
            pick,
        }
    }
}

impl Drop for Watcher<'_> {
    fn drop(&mut self) {
        self.shared.routes().end(&self.pick.server);
    }
}

impl Observer for Watcher<'_> {
    fn load(&mut self, load: Load) {
        let (server, epoch) = (&self.pick.server, self.pick.epoch);
        let mut routes = self.shared.routes();
        routes.report(server, epoch, self.job.target(), load, Time::now());
    }

    fn piece(&mut self) {
        let metrics = &self.shared.context.metrics;
        let now = Instant::now();
        match self.pace.last.replace(now) {
            None => metrics.observe_first_piece(self.job.label(), now - self.job.started_at),
            Some(last) if self.job.is_stream() => {
                metrics.between_pieces.observe((now - last).as_secs_f64());
            }
            Some(_) => (),
        }
    }
}

/// When the last piece of the answer arrived, over all attempts.
#[derive(Debug, Default)]
struct Pace {
    last: Option<Instant>,
}

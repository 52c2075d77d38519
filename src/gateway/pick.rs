//! The search for a server that can run a request. If no server has loaded the model, the search
//! requests a load and waits for it.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::time::sleep;

use super::{
    backend::Backend,
    cold::{
        self,
        Decision,
        Question, //
    },
    demand::{
        self,
        Arrival,
        BacklogEntry, //
    },
    job::{
        Job,
        Progress, //
    },
    message::ModelName,
    response::Failure,
    state::State,
};
use crate::{
    deployment::{
        Engine,
        Kind, //
    },
    dispatch::{
        Candidate,
        Ending,
        choose, //
    },
    report,
    timer::Time,
};

/// Maximum time between checks whether a requested model is loaded.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which a request waits until a server at its limit takes it.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(1_000);

/// Time after the end of the time to retry after within which a client is back.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// Time within which servers or loaders are expected to be reachable again after all of them became
/// unreachable at once.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns whether a request may be sent to a server now. A resumable stream needs a server whose
/// software version is known; while one version serves, a broken connection says nothing about it.
pub(super) fn may_send(
    state: &State,
    job: &Job,
    progress: &Progress,
    backend: &Backend,
    now: Time,
) -> bool {
    let is_version_known = || match state.fleet.versions.are_several(&job.service, now) {
        true => !backend.may_have_restarted(now),
        false => !backend.is_start_undescribed(),
    };
    progress.may_send_to(&backend.server(), now)
        && backend.is_usable(now)
        && (job.route.kind != Kind::ResumableStream || is_version_known())
}

/// Refuses a request if requests like it crash servers.
pub(super) fn check_quarantine(
    state: &State,
    job: &Job,
    progress: &Progress,
) -> Result<(), Failure> {
    match state.quarantine.remaining(job, Time::now()) {
        Some(after) => Err(progress.final_failure_after("requests like this crash servers", after)),
        None => Ok(()),
    }
}

/// Chooses the server for a request.
pub(super) async fn pick(
    state: &State,
    job: &Job,
    progress: &Progress,
) -> Result<Rc<Backend>, Failure> {
    let mut search = Search {
        state,
        job,
        progress,
        started: Time::now(),
        requested: None,
    };
    loop {
        let now = Time::now();
        let remaining = job.remaining(now);
        if remaining.is_zero() {
            return Err(search.timeout_failure());
        }
        check_quarantine(state, job, progress)?;
        if state.is_search_over(now) {
            return Err(progress.final_failure("the gateway stops"));
        }
        if let Some(backend) = search.step(now)? {
            return Ok(backend);
        }
        // A change of the models that servers hold ends the wait.
        let model = job.model().map(|name| name.model.as_str());
        let max_wait = POLL_INTERVAL.min(remaining);
        state.waiters.wait(model, max_wait).await;
    }
}

/// The state of a search.
struct Search<'a> {
    state: &'a State,
    job: &'a Job,
    progress: &'a Progress,
    started: Time,
    /// The server at which the load of the model or adapter is requested, with the entry in its
    /// backlog.
    requested: Option<(Rc<Backend>, BacklogEntry)>,
}

impl Search<'_> {
    /// Returns a server that can run the request now. If there is none, requests a load where
    /// needed and returns `None` to continue the search.
    fn step(&mut self, now: Time) -> Result<Option<Rc<Backend>>, Failure> {
        let service = self.job.configuration.service(&self.job.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let sharers = self.state.fleet.sharers();
        let (eligible, limited): (Vec<_>, Vec<_>) = self
            .eligible(engine, now)
            .into_iter()
            .partition(|backend| backend.limit.borrow_mut().wait(sharers, now).is_zero());
        match choose_among(self.state, self.job, &eligible, now) {
            // The loader of the chosen server loads the missing adapter.
            Some((backend, true)) if backend.has_loader() => {
                self.request_load(&backend);
                Ok(None)
            }
            Some((backend, _)) => {
                if self.requested.is_some() {
                    log_cold_ready(self.job, &backend, now - self.started);
                }
                Ok(Some(backend))
            }
            None if self.has_no_version_left() => Err(self
                .progress
                .final_failure("no server of the stream's software version is left")),
            None if !limited.is_empty() => {
                self.wait_for_limit(engine, &limited, now)?;
                Ok(None)
            }
            None => match (engine, self.job.model()) {
                (Some(engine), Some(name)) => self.wait_for_model(engine, name, now),
                _ => self.wait_for_server(now),
            }
            .map(|()| None),
        }
    }

    /// Returns the servers that could run the request now, if their limits allow it.
    fn eligible(&self, engine: Option<&Engine>, now: Time) -> Vec<Rc<Backend>> {
        let service = &self.job.service;
        let is_eligible =
            |backend: &Rc<Backend>| may_send(self.state, self.job, self.progress, backend, now);
        let eligible = match (engine, self.job.model()) {
            (Some(_), Some(name)) => {
                let holders = self.state.fleet.holders(service, &name.model).into_iter();
                let holders = holders.filter(|b| b.replica(&name.model, |_| ()).is_some());
                let key = demand::key(name);
                let holders = holders.filter(|b| !b.absence.borrow().contains(&key, now));
                holders.filter(is_eligible).collect()
            }
            _ => {
                let backends = self.state.fleet.of_service(service);
                let eligible = backends.iter().filter(|backend| is_eligible(backend));
                eligible.cloned().collect()
            }
        };
        self.without_new_versions(eligible, now)
    }

    /// Leaves out servers whose software version other gateways may not know yet, for a resumable
    /// stream that begins. They stay in if they are all that is left, and a hub tells the other
    /// gateways of their streams or no server of a known version takes requests.
    fn without_new_versions(&self, eligible: Vec<Rc<Backend>>, now: Time) -> Vec<Rc<Backend>> {
        let (job, fleet) = (self.job, &self.state.fleet);
        let begins_stream =
            job.route.kind == Kind::ResumableStream && self.progress.software.is_none();
        if !begins_stream || !fleet.versions.are_several(&job.service, now) {
            return eligible;
        }
        let spread = self.state.settings.get().listing_spread();
        let is_known = |backend: &Rc<Backend>| !fleet.has_new_version(&backend.server(), spread);
        if !eligible.iter().any(is_known) {
            let backends = fleet.of_service(&job.service);
            let mut ready = backends.iter().filter(|backend| backend.is_ready());
            let has_hub = self.state.origin_link(&job.service).is_up();
            if has_hub || !ready.any(is_known) {
                return eligible;
            }
        }
        eligible.into_iter().filter(is_known).collect()
    }

    /// Returns whether the stream needs a software version that no server has to which it may be sent.
    fn has_no_version_left(&self) -> bool {
        let backends = self.state.fleet.of_service(&self.job.service);
        let mut ready = backends.iter().filter(|backend| backend.is_ready());
        let may_go_on = |backend: &Rc<Backend>| {
            !self.progress.is_excluded(&backend.server()) && !backend.is_start_undescribed()
        };
        self.progress.software.is_some() && !ready.any(may_go_on)
    }

    fn question<'a>(
        &'a self,
        engine: &'a Engine,
        name: &'a ModelName,
        needs_unlimited: bool,
    ) -> Question<'a> {
        Question {
            state: self.state,
            job: self.job,
            progress: self.progress,
            engine,
            name,
            current: self.requested.as_ref().map(|(backend, _)| backend),
            needs_unlimited,
        }
    }

    /// Requests a load of the model at a server, and logs it if the request waited elsewhere.
    fn wait_at(&mut self, backend: &Rc<Backend>, now: Time) {
        let current = self.requested.as_ref().map(|(backend, _)| backend);
        if !current.is_some_and(|current| Rc::ptr_eq(current, backend)) {
            log_cold_wait(self.job, backend, self.job.remaining(now));
        }
        self.request_load(backend);
    }

    fn request_load(&mut self, backend: &Rc<Backend>) {
        let requested = self.requested.as_ref();
        let is_same = requested.is_some_and(|(requested, _)| Rc::ptr_eq(requested, backend));
        if !is_same {
            let entry = self.backlog_entry(backend, self.job.leaves_at);
            self.requested = entry.map(|entry| (backend.clone(), entry));
        }
    }

    fn backlog_entry(&self, backend: &Rc<Backend>, leaves_at: Time) -> Option<BacklogEntry> {
        let arrival = Arrival {
            at: self.started,
            due: self.started + self.job.route.latency_objective,
            leaves_at,
        };
        let name = self.job.model()?;
        Some(backend.add_to_backlog(name, self.job.priority(), arrival))
    }

    /// Requests the load until the client is back.
    fn keep_place(&mut self, backend: &Rc<Backend>, after: Duration) {
        self.requested = None;
        let place = self.backlog_entry(backend, self.job.deadline);
        tokio::task::spawn_local(async move {
            sleep(after + RETURN_MARGIN).await;
            drop(place);
        });
    }

    /// Lets the search continue if one of the servers at their limits soon takes the request, or if
    /// another server can load the model. Else refuses the request.
    fn wait_for_limit(
        &mut self,
        engine: Option<&Engine>,
        limited: &[Rc<Backend>],
        now: Time,
    ) -> Result<(), Failure> {
        let sharers = self.state.fleet.sharers();
        let wait = |backend: &Rc<Backend>| backend.limit.borrow_mut().wait(sharers, now);
        let Some(earliest) = limited.iter().min_by_key(|backend| wait(backend)) else {
            return Ok(());
        };
        let max_wait = MAX_LIMIT_WAIT
            .min(self.job.route.latency_objective)
            .min(self.job.remaining(now) / 4);
        if (now - self.started).saturating_add(wait(earliest)) <= max_wait {
            return Ok(());
        }
        if let (Some(engine), Some(name)) = (engine, self.job.model()) {
            let decision = cold::decide(&self.question(engine, name, true));
            if let Decision::Wait(backend) = decision {
                self.wait_at(&backend, now);
                return Ok(());
            }
        }
        let after = earliest.limit.borrow_mut().reserve_return(sharers, now);
        Err(self
            .progress
            .final_failure_after("all servers are at their limits", after))
    }

    /// Requests a load of the model at a server, or refuses the request if the load takes too long.
    fn wait_for_model(
        &mut self,
        engine: &Engine,
        name: &ModelName,
        now: Time,
    ) -> Result<(), Failure> {
        let remaining = self.job.remaining(now);
        match cold::decide(&self.question(engine, name, false)) {
            Decision::Wait(backend) => {
                self.wait_at(&backend, now);
                Ok(())
            }
            Decision::Defer => Ok(()),
            Decision::NoLoader
                if now - self.started < RECOVERY_TIMEOUT && remaining > RECOVERY_TIMEOUT =>
            {
                self.state.refresh_servers();
                Ok(())
            }
            Decision::NoLoader => {
                self.refuse_if_all_rest(Duration::ZERO, now)?;
                Err(self.progress.final_failure("no loader answers"))
            }
            Decision::Refuse(..) if self.progress.attempts.ending() == Ending::Unknown => {
                Err(Failure::Unknown("no other server has the model"))
            }
            Decision::Refuse(after, backend) => {
                log_refusal(self.job, name, after, remaining);
                if let Some(backend) = backend.filter(|_| after + RETURN_MARGIN < remaining) {
                    self.keep_place(&backend, after);
                }
                Err(Failure::Refused("the model can't be loaded in time", after))
            }
        }
    }

    /// Lets the search for a server of a plain service continue, or refuses the request if the
    /// search has taken too long or no server wants requests for longer than it may take.
    fn wait_for_server(&self, now: Time) -> Result<(), Failure> {
        let max_wait = RECOVERY_TIMEOUT.min(self.job.remaining(now) / 4);
        self.refuse_if_all_rest(max_wait, now)?;
        if now - self.started >= max_wait {
            return Err(self.progress.final_failure("no server takes requests"));
        }
        self.state.refresh_servers();
        Ok(())
    }

    /// Refuses the request if all servers of the service that take requests want none for longer
    /// than `max_wait` from the start of the search.
    fn refuse_if_all_rest(&self, max_wait: Duration, now: Time) -> Result<(), Failure> {
        let backends = self.state.fleet.of_service(&self.job.service);
        let ready = backends.iter().filter(|backend| backend.is_ready());
        let rests = ready.map(|backend| backend.rest_remaining(now));
        let rests: Option<Vec<_>> = rests.collect();
        let earliest = rests.and_then(|rests| rests.into_iter().min());
        match earliest.filter(|rest| now - self.started + *rest > max_wait) {
            Some(rest) => Err(self
                .progress
                .final_failure_after("all servers ask for rest", rest)),
            None => Ok(()),
        }
    }

    fn timeout_failure(&self) -> Failure {
        match self.progress.attempts.ending() {
            Ending::Unknown => Failure::TimedOut,
            Ending::NotRun => self
                .progress
                .final_failure("the time ran out before a server was found"),
        }
    }
}

fn log_refusal(job: &Job, name: &ModelName, after: Duration, remaining: Duration) {
    report::info(
        "cold_refused",
        &[
            ("request", &job.head.id),
            ("route", &job.route.name),
            ("version", &job.configuration.version),
            ("model", &name.model),
            ("ready_ms", &after.as_millis()),
            ("left_ms", &remaining.as_millis()),
        ],
    );
}

fn log_cold_wait(job: &Job, backend: &Backend, remaining: Duration) {
    report::info(
        "cold_wait",
        &[
            ("request", &job.head.id),
            ("server", &backend.server().id),
            ("model", &job.model().map_or("", |name| &name.model)),
            ("left_ms", &remaining.as_millis()),
        ],
    );
}

fn log_cold_ready(job: &Job, backend: &Backend, waited: Duration) {
    report::info(
        "cold_ready",
        &[
            ("request", &job.head.id),
            ("server", &backend.server().id),
            ("waited_ms", &waited.as_millis()),
        ],
    );
}

/// Chooses among servers that could run the request. Also returns whether the chosen one lacks the
/// adapter.
fn choose_among(
    state: &State,
    job: &Job,
    eligible: &[Rc<Backend>],
    now: Time,
) -> Option<(Rc<Backend>, bool)> {
    let candidates: Vec<_> = eligible
        .iter()
        .map(|backend| candidate(state, job, backend, now))
        .collect();
    let index = choose(&candidates, fastrand::f64())?;
    Some((eligible[index].clone(), candidates[index].lacks_adapter))
}

fn candidate(state: &State, job: &Job, backend: &Backend, now: Time) -> Candidate {
    let server = backend.server();
    let overlap = job.model().map_or(0, |name| {
        let prefixes = backend.prefixes.borrow();
        prefixes.overlap(&cache_scope(name), &job.head.prompt)
    });
    let adapter = job
        .model()
        .and_then(|name| Some((&name.model, name.adapter.as_ref()?)));
    let lacks_adapter = adapter.is_some_and(|(model, adapter)| {
        let has = backend.replica(model, |replica| replica.adapters.contains(adapter));
        has != Some(true)
    });
    Candidate {
        load: backend.load(now),
        waiting: backend.waiting(now),
        slots: server.slots,
        pending_tokens: backend.pending_tokens.get(),
        prompt_tokens: job.head.prompt_tokens.saturating_sub(overlap),
        round_trip: state.settings.get().round_trip(&server.failure_domain),
        warmup_remaining: server.warmup_remaining,
        failure_rate: backend.failure_rate(),
        lacks_adapter,
        is_engine: job.head.model.is_some(),
    }
}

/// Returns the scope of cached prompt parts, which are shared only between requests for the same
/// model and adapter.
pub(super) fn cache_scope(name: &ModelName) -> String {
    match &name.adapter {
        Some(adapter) => format!("{}/{adapter}", name.model),
        None => name.model.clone(),
    }
}

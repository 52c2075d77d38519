//! Cold starts: for a request whose model no server has loaded, decides where to load the model and
//! whether the load completes in time.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    backend::Backend,
    fleet,
    job::{
        Job,
        Progress, //
    },
    message::ModelName,
    state::State, //
};
use crate::{
    deployment::Engine,
    placement::Pool,
    timer::Time, //
};

/// Minimum time that a request needs after its model is loaded.
const MIN_RUN_TIME: Duration = Duration::from_millis(300);

/// How to proceed with a request whose model is not loaded.
#[derive(Debug)]
pub(super) enum Decision {
    /// Wait for the load at this server.
    Wait(Rc<Backend>),
    /// The load takes longer than the client waits; the client may retry after this time, until which
    /// the load is requested at the server, if there is one.
    Refuse(Duration, Option<Rc<Backend>>),
    /// Decide again soon, because a server that is expected to be reachable again has the weights.
    Defer,
    /// No loader can be reached.
    NoLoader,
}

/// A request whose model is loaded at no server that takes it.
pub(super) struct Question<'a> {
    pub(super) state: &'a State,
    pub(super) job: &'a Job,
    pub(super) progress: &'a Progress,
    pub(super) engine: &'a Engine,
    /// The request's model and adapter.
    pub(super) name: &'a ModelName,
    /// The server at which the request waits.
    pub(super) current: Option<&'a Rc<Backend>>,
    /// Whether servers that limit the requests of all gateways are left out.
    pub(super) needs_unlimited: bool,
}

/// Decides at which server to load the model of a request, among those that it may be sent to. A
/// server without a limit on requests is preferred.
pub(super) fn decide(question: &Question<'_>) -> Decision {
    let Question {
        state,
        job,
        engine,
        name,
        ..
    } = *question;
    let now = Time::now();
    let backends = state.fleet.of_service(&job.service);
    let is_excluded = |backend: &Rc<Backend>| {
        let is_out = question.needs_unlimited && backend.is_limited();
        is_out || question.progress.is_excluded(&backend.server())
    };
    // Requests for a model wait at one server, since a second load would not speed up any of them.
    let can_join = |backend: &&Rc<Backend>| {
        let has_backlog = backend.has_backlog(&name.model) && backend.has_loader();
        has_backlog && backend.is_usable(now) && !is_excluded(backend)
    };
    let remaining = job.patience(now);
    let is_in_time = |ready: Duration| ready + MIN_RUN_TIME <= remaining;
    let joined = question.current.filter(|current| can_join(current));
    let joined = joined.or_else(|| backends.iter().find(can_join));
    let joined = joined.map(|backend| (backend, ready(backend, engine, name, now)));
    if let Some((backend, ready)) = joined
        && is_in_time(ready)
    {
        return Decision::Wait(backend.clone());
    }
    let pool = fleet::pool(state, &job.service, engine, now);
    let ranked = pool.rank(&name.model);
    let allowed = || {
        let ranked = ranked.iter();
        ranked.filter(|candidate| !is_excluded(&backends[candidate.host]))
    };
    let unlimited = allowed().find(|candidate| !backends[candidate.host].is_limited());
    let best = unlimited.or_else(|| allowed().next());
    let Some(best) = best else {
        return match joined {
            Some((backend, ready)) => Decision::Refuse(ready, Some(backend.clone())),
            None => Decision::NoLoader,
        };
    };
    if pool.should_wait_for_copy(&name.model, best) {
        return Decision::Defer;
    }
    let ready = Duration::from_secs_f64(best.ready_ms / 1_000.0);
    if !is_in_time(ready) {
        return match joined {
            Some((backend, joined)) if joined <= ready => {
                Decision::Refuse(joined, Some(backend.clone()))
            }
            _ => Decision::Refuse(ready, Some(backends[best.host].clone())),
        };
    }
    Decision::Wait(backends[best.host].clone())
}

/// Returns the estimated time until a model is loaded at a server at which requests wait for it.
fn ready(backend: &Rc<Backend>, engine: &Engine, name: &ModelName, now: Time) -> Duration {
    let host = fleet::host(backend, engine, now);
    let model = engine.model(&name.model);
    let ready_ms = model.map_or(0.0, |model| Pool::ready_ms(&host, model));
    Duration::from_secs_f64(ready_ms / 1_000.0)
}

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
    timer::Time, //
};

/// Minimum time that a request needs after its model is loaded.
const MIN_RUN_TIME: Duration = Duration::from_millis(300);

/// How to proceed with a request whose model is not loaded.
#[derive(Debug)]
pub(super) enum Decision {
    /// Wait for the load at this server.
    Wait(Rc<Backend>),
    /// The load takes too long; the client may retry after this time.
    Refuse(Duration),
    /// Decide again soon, because a server that is expected to be reachable again has the weights.
    Defer,
    /// No loader can be reached.
    NoLoader,
}

/// Decides at which server to load the model of a request, among those that it may be sent to.
pub(super) fn decide(
    state: &State,
    job: &Job,
    progress: &Progress,
    engine: &Engine,
    name: &ModelName,
    current: Option<&Rc<Backend>>,
) -> Decision {
    let now = Time::now();
    let backends = state.fleet.of_service(&job.service);
    let is_excluded = |backend: &Rc<Backend>| progress.is_excluded(&backend.server().id);
    // Requests for a model wait at one server, since a second load would not speed up any of them.
    let can_join = |backend: &&Rc<Backend>| {
        let has_backlog = backend.has_backlog(&name.model) && backend.has_loader();
        has_backlog && backend.is_usable(now) && !is_excluded(backend)
    };
    if let Some(current) = current.filter(|current| can_join(current)) {
        return Decision::Wait(current.clone());
    }
    if let Some(backend) = backends.iter().find(can_join) {
        return Decision::Wait(backend.clone());
    }
    let pool = fleet::pool(state, &job.service, engine, now);
    let ranked = pool.rank(&name.model);
    let mut ranked = ranked.iter();
    let best = ranked.find(|candidate| !is_excluded(&backends[candidate.host]));
    let Some(best) = best else {
        return Decision::NoLoader;
    };
    if pool.should_wait_for_copy(&name.model, best) {
        return Decision::Defer;
    }
    let ready = Duration::from_secs_f64(best.ready_ms / 1_000.0);
    if ready + MIN_RUN_TIME > job.remaining(now) {
        return Decision::Refuse(ready);
    }
    Decision::Wait(backends[best.host].clone())
}

//! Requests whose model or adapter is not loaded anywhere: where to load it, and whether that is in
//! time.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    backend::Backend,
    fleet,
    message::ModelName,
    state::State, //
};
use crate::{
    deployment::Engine,
    timer::Time, //
};

/// Time that a request needs after its model is loaded, at the least.
const RUN: Duration = Duration::from_millis(300);

/// What to do with a request whose model is not loaded.
#[derive(Debug)]
pub(super) enum Decision {
    /// Wait for the load at this server.
    Wait(Rc<Backend>),
    /// The load takes too long; come back after this time.
    Refuse(Duration),
    /// Decide again soon: a server that is expected back has the weights.
    Hold,
    /// No loader can be reached.
    NoLoader,
}

/// Decides where to load the model of a request with `left` until its deadline.
pub(super) fn decide(
    state: &State,
    service: &str,
    engine: &Engine,
    name: &ModelName,
    left: Duration,
    current: Option<&Rc<Backend>>,
) -> Decision {
    let now = Time::now();
    let pool = fleet::pool(state, service, engine, now);
    let ranked = pool.rank(&name.model);
    let backends = state.fleet.of_service(service);
    // Requests that wait stay together: a second load helps none of them.
    let is_joined = |backend: &&Rc<Backend>| {
        backend.is_wanted(&name.model) && backend.has_loader() && backend.is_usable(now)
    };
    let joined = backends.iter().find(is_joined);
    let best = ranked.first();
    let Some(best) = best else {
        return match joined {
            Some(backend) => Decision::Wait(backend.clone()),
            None => Decision::NoLoader,
        };
    };
    if let Some(current) = current.filter(|current| is_joined(current)) {
        return Decision::Wait(current.clone());
    }
    if let Some(backend) = joined {
        return Decision::Wait(backend.clone());
    }
    if pool.awaits_copy(&name.model, best) {
        return Decision::Hold;
    }
    let ready = Duration::from_secs_f64(best.ready_ms / 1_000.0);
    if ready + RUN > left {
        return Decision::Refuse(ready);
    }
    Decision::Wait(backends[best.host].clone())
}

//! The gateway: forwards each client's request to a server of the request's route.

mod access;
mod allowances;
mod attempt;
mod backend;
mod body;
mod buffer;
mod cold;
mod crash;
mod demand;
mod ending;
mod engines;
mod events;
mod fleet;
mod forward;
mod handler;
mod job;
mod limit;
mod link;
mod message;
mod origins;
mod passes;
mod pick;
mod presence;
mod quarantine;
mod rates;
mod ready;
mod relay;
mod response;
mod server;
mod state;
mod verdict;
mod waiters;

pub use access::{
    Currency,
    Denial,
    account, //
};
pub use events::Events;
pub use message::{
    Caller,
    Load,
    Malformed,
    ModelName,
    Outgoing,
    RequestHead,
    RequestLimit,
    ResponseHead,
    Rest, //
};
pub use verdict::{
    Verdict,
    verdict, //
};

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::time::sleep;

use crate::{
    hosted::{
        Listen,
        Live,
        Settings,
        Signals, //
    },
    metrics::Metrics,
    platform::store::Store,
    report,
    timer::Time,
    watch::{
        Follower,
        Periods, //
    },
};
use server::Server;
use state::State;

/// Time for which the gateway still accepts connections after the signal to stop. In this time the
/// load balancer polls twice and finds it not ready.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_600);

/// Fraction of the grace period within which requests in flight may complete.
const GRACE_FRACTION: f64 = 0.95;

/// Requests that no server has taken are refused this long before the end of that fraction of the
/// grace period, so that their clients can still read the response.
const REFUSAL_MARGIN: Duration = Duration::from_millis(700);

/// Runs a gateway until a signal to stop arrives and the requests in flight have completed, or the
/// grace period is over.
pub(crate) async fn run(
    live: Rc<Live>,
    listen: Listen,
    metrics: Rc<Metrics>,
    mut signals: Signals,
) {
    let settings = live.get();
    let store = Store::new(settings.store_addr);
    let follower = Rc::new(Follower::new(store, periods(&settings)));
    let state = Rc::new(State::new(live.clone(), follower.clone(), metrics));
    if settings.is_first_start {
        state.fleet.versions.begin();
    }
    let configuration = follower.clone();
    tokio::task::spawn_local(async move { configuration.follow_configuration().await });
    tokio::task::spawn_local(async move { follower.follow_servers().await });
    tokio::task::spawn_local(fleet::follow(state.clone()));
    let store = Store::new(settings.store_addr);
    tokio::task::spawn_local(quarantine::recall(state.clone(), store));
    tokio::task::spawn_local(ready::serve(listen.ready, state.clone()));
    let server = Rc::new(Server::new(state.clone()));
    let accepting = tokio::task::spawn_local(server.clone().accept(listen.callers));
    signals.wait_for_stop().await;
    report::info("stopping", &[("in_flight", &state.in_flight())]);
    let grace = live.get().grace().mul_f64(GRACE_FRACTION);
    state.stop(Time::now() + grace.saturating_sub(REFUSAL_MARGIN));
    let accept_period = ACCEPT_AFTER_STOP.min(grace);
    sleep(accept_period).await;
    server.close_port(accepting).await;
    server.drain(grace - accept_period).await;
}

/// Returns the periods at which the store is polled.
fn periods(settings: &Settings) -> Periods {
    Periods {
        configuration: Some(settings.configuration_bound()),
        servers: settings.gateway_listing_age(),
    }
}

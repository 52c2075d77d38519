//! The loader: the daemon beside a model engine that sends it all its orders to load and unload
//! models, according to the demand that gateways report.

mod driver;
mod engine;
mod limiter;
mod order;
mod plan;
pub mod precedence;
mod state;
mod uplink;
mod view;

pub use limiter::{
    Limit,
    Limiter, //
};
pub use order::{
    Operation,
    Order,
    Reply,
    Report,
    Unanswered, //
};
pub use plan::{
    Planner,
    plan, //
};

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use crate::{
    hosted::{
        Live,
        Signals, //
    },
    hub::{
        self,
        Hub, //
    },
    metrics::Metrics,
    platform::store::Store,
    report,
    watch::{
        Follower,
        Periods, //
    },
};
use state::State;

/// Runs a loader until it gets a signal to stop.
pub(crate) async fn run(
    live: Rc<Live>,
    engine: SocketAddr,
    metrics: Rc<Metrics>,
    mut signals: Signals,
) {
    let settings = live.get();
    let store = Store::new(settings.store_addr);
    let periods = Periods {
        configuration: None,
        servers: settings.loader_listing_age(),
    };
    let follower = Rc::new(Follower::new(store, periods));
    let state = Rc::new(State::new(live.clone(), engine, follower.clone()));
    if settings.is_first_start {
        state.relay.versions.begin();
    }
    let hub = Rc::new(Hub::new(
        follower.clone(),
        state.description.clone(),
        state.relay.clone(),
        state.quarantine.clone(),
        state.ledgers.clone(),
        engine,
    ));
    tokio::task::spawn_local(async move { follower.follow_servers().await });
    tokio::task::spawn_local(hub::serve(settings.peer_addr(), hub));
    tokio::task::spawn_local(uplink::maintain(state.clone()));
    let quarantine = state.quarantine.clone();
    let store = Store::new(settings.store_addr);
    tokio::task::spawn_local(async move { quarantine.keep(&store).await });
    tokio::task::spawn_local(driver::run(live, engine, state, metrics));
    signals.wait_for_stop().await;
    report::info("stopping", &[]);
}

//! Tests of a fleet while the log is unavailable.

mod support;

use chestnuthub::bench::{
    Fleet,
    TENGIS, //
};
use serde_json::json;
use support::{
    TIMEOUT,
    model,
    start, //
    wait_until,
};
use uuid::Uuid;

fn make_log_unavailable(fleet: &Fleet) {
    let fault = json!({ "kind": "refuse", "status": 503, "path": "/streams" });
    fleet.log.add_fault(&fault).expect("a fault");
}

/// Guards against cold starts that depend on the log during an outage of it, and against a booking
/// that runs without a claim, or runs after it was refused as not run.
#[test]
fn cold_starts_are_served_and_bookings_are_refused() {
    let session = start(|_| ());
    let fleet = &session.fleet;
    make_log_unavailable(fleet);
    let caller = fleet.caller(0);
    let response = caller
        .chat(&model(), "wake", 4, TIMEOUT)
        .expect("a response");
    assert!(response.is_complete(), "{response:?}");
    let key = Uuid::now_v7().to_string();
    let book = |entry: usize| {
        let caller = fleet.caller(entry);
        let response = caller.call(
            TENGIS.service,
            TENGIS.booking_path,
            Some(&key),
            TENGIS.booking,
        );
        response.expect("a response")
    };
    let refused = book(0);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.not_run() && refused.retry_after.is_some(),
        "{refused:?}"
    );
    assert_eq!(fleet.count_services("runs").expect("a record"), 0);
    fleet.log.clear_faults().expect("faults clear");
    wait_until("the booking is accepted", || book(1).status == 201);
    assert_eq!(book(0).status, 201);
    assert_eq!(fleet.count_services("runs").expect("a record"), 1);
}

/// Guards against an entry that starts during an outage of the log and stays without state,
/// although its gossip neighbours have it.
#[test]
fn restarted_entry_learns_the_state_from_its_neighbours() {
    let mut session = start(|_| ());
    let warm = session.fleet.caller(1).chat(&model(), "warm", 2, TIMEOUT);
    assert!(warm.expect("a response").is_complete());
    make_log_unavailable(&session.fleet);
    session.fleet.entries[0].restart().expect("a restart");
    wait_until("the entry is ready", || session.fleet.entries[0].is_ready());
    let response = session.fleet.caller(0).chat(&model(), "again", 4, TIMEOUT);
    let response = response.expect("a response");
    assert!(response.is_complete(), "{response:?}");
    assert_eq!(
        session
            .fleet
            .count_engines("loads_started")
            .expect("a record"),
        1
    );
}

/// Guards against an agent that orders loads without an epoch. It starts during an outage of the
/// log, so its fencing token could be outdated and its loads could exceed what was decided.
#[test]
fn restarted_agent_gives_no_orders_without_an_epoch() {
    let mut session = start(|plan| plan.engines = 1);
    let caller = session.fleet.caller(0);
    let warm = caller
        .chat(&model(), "warm", 2, TIMEOUT)
        .expect("a response");
    assert!(warm.is_complete());
    make_log_unavailable(&session.fleet);
    session.fleet.engine_agents[0].restart().expect("a restart");
    wait_until("the loaded model is served again", || {
        let response = caller.chat(&model(), "again", 2, TIMEOUT);
        response.is_ok_and(|response| response.is_complete())
    });
    let idle = TENGIS.model(2).to_string();
    let refused = caller.chat(&idle, "wake", 2, TIMEOUT).expect("a response");
    assert!(refused.status >= 400 && refused.not_run(), "{refused:?}");
    assert_eq!(
        session
            .fleet
            .count_engines("loads_started")
            .expect("a record"),
        1
    );
    session.fleet.log.clear_faults().expect("faults clear");
    wait_until("the idle model is loaded", || {
        let response = caller.chat(&idle, "wake", 2, TIMEOUT);
        response.is_ok_and(|response| response.is_complete())
    });
}

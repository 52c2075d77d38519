//! Requests that last longer than the timeout of their route.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::Plan;
use serde_json::json;

use crate::{
    deployment::{
        Deployment,
        Request, //
    },
    site_support::{
        configuration,
        is_terminated,
        wait_until, //
    },
};

/// Timeout of all routes.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Time after the timeout within which a request must have its final answer.
const MARGIN: Duration = Duration::from_millis(500);

/// Starts a deployment whose routes have the timeout and whose servers need longer.
fn start(plan: &Plan) -> Deployment {
    let system = Deployment::start(plan);
    let mut changed = configuration(2, &["/changed/"]);
    let routes = changed["routes"].as_array_mut().expect("routes");
    for route in routes {
        route["timeoutMs"] = json!(TIMEOUT.as_millis() as u64);
    }
    system.site.configure(&changed);
    wait_until("the timeout is in force", || {
        let response = system.send(&Request::new("probe", "/changed/x"));
        response.starts_with("HTTP/1.1 200")
    });
    system
}

/// Sends a request; returns the answer and how long it took.
fn send(system: &Deployment, request: &Request<'_>) -> (String, Duration) {
    let started = Instant::now();
    let response = system.send(request);
    (response, started.elapsed())
}

/// Guards against a request that is held beyond its route's timeout because its server does not
/// answer in time.
#[test]
fn a_request_without_an_answer_ends_at_the_timeout_of_its_route() {
    let system = start(&Plan::default());
    for index in 0..2 {
        let fault = json!({ "kind": "delay_answer", "ms": 4_000 });
        system.site.service_fault(index, fault);
    }
    thread::scope(|scope| {
        for path in ["/look/x", "/book/x"] {
            let system = &system;
            scope.spawn(move || {
                let (response, elapsed) = send(system, &Request::new("slow", path));
                assert!(response.starts_with("HTTP/1.1 504"), "{path}: {response}");
                assert!(elapsed < TIMEOUT + MARGIN, "{path}: {elapsed:?}");
            });
        }
    });
}

/// Guards against a stream that goes on beyond its route's timeout, or that looks complete when it
/// is cut there.
#[test]
fn a_stream_ends_broken_at_the_timeout_of_its_route() {
    let plan = Plan {
        events: 2_000,
        ..Plan::default()
    };
    let system = start(&plan);
    for path in ["/chat/x", "/review/x"] {
        let (response, elapsed) = send(&system, &Request::model("long", path, "m1"));
        assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
        assert!(!is_terminated(&response), "{path}: looks complete");
        assert!(elapsed < TIMEOUT + MARGIN, "{path}: {elapsed:?}");
    }
}

/// Guards against a request that is held to its timeout although its model can't be loaded before.
#[test]
fn a_request_whose_model_comes_after_the_timeout_is_refused_before() {
    let plan = Plan {
        load: Duration::from_secs(60),
        ..Plan::default()
    };
    let system = start(&plan);
    let (response, elapsed) = send(&system, &Request::model("cold", "/chat/x", "m3"));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(elapsed < TIMEOUT / 2, "{elapsed:?}");
}

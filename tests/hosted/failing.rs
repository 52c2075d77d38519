//! Servers that fail requests although they count as healthy.

use std::time::Duration;

use chestnuthub::emulator::site::{
    Delivery,
    Endless,
    Plan,
    Site, //
};

use crate::{
    deployment::{
        Deployment,
        Request, //
    },
    site_support::{
        configuration,
        wait_until, //
    },
};

/// Answer of a server that ran a request and failed.
const FAILURE: &[u8] =
    b"HTTP/1.1 500 Failed\r\nresponse-signature: failed\r\ncontent-length: 2\r\n\r\nno";

/// Starts a deployment in which the first of two plain servers fails every request.
fn start() -> Deployment {
    let plan = Plan::default();
    let mut site = Site::start(&plan).expect("the site starts");
    site.start_raw().expect("the raw servers start");
    site.configure(&configuration(1, &[]));
    let system = Deployment::start_unconfigured(site);
    wait_until("requests are served", || {
        let response = system.send(&Request::new("warm-up", "/look/x"));
        response.starts_with("HTTP/1.1 200")
    });
    let first_service = plan.engines.len();
    let delivery = Delivery {
        endless: Some(Endless {
            start: FAILURE,
            repeated: b"",
            has_head: false,
            pause: Duration::from_millis(20),
        }),
        ..Delivery::default()
    };
    system.site.deliver_at(first_service, delivery);
    system
}

/// Guards against an idempotent request that gets a server's failure although another server could
/// answer it.
#[test]
fn an_idempotent_request_that_fails_goes_to_another_server() {
    let system = start();
    for number in 0..20 {
        let response = system.send(&Request::new(&format!("l{number}"), "/look/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Guards against a failure of a request that may run once which is hidden, changed or run again, and
/// against a failing server that gets as many requests as a sound one.
#[test]
fn a_failing_server_gets_few_requests_and_its_failures_are_passed_on() {
    const REQUESTS: usize = 60;
    let system = start();
    let mut failures = 0;
    for number in 0..REQUESTS {
        let id = format!("b{number}");
        let response = system.send(&Request::new(&id, "/book/x"));
        if response.starts_with("HTTP/1.1 500") {
            failures += 1;
            assert!(
                response.contains("response-signature: failed\r\n"),
                "{response}"
            );
            assert!(response.ends_with("\r\n\r\nno"), "{response}");
        } else {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let runs = system.site.runs();
        assert_eq!(
            runs.iter().filter(|run| run.request == id).count(),
            1,
            "{id}"
        );
    }
    assert!(failures < REQUESTS / 4, "{failures} of {REQUESTS}");
}

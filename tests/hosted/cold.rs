//! Requests whose model is loaded only after their clients have left.

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
    deployment::Deployment,
    site_support::{
        HOST,
        configuration,
        is_terminated,
        send_raw, //
    },
};

/// Duration of a load, longer than the silence that clients of the route bear.
const LOAD: Duration = Duration::from_secs(6);

/// Time within which a request is answered that does not wait for a load.
const AT_ONCE: Duration = Duration::from_secs(2);

fn start() -> Deployment {
    let mut configuration = configuration(1, &[]);
    let models = &mut configuration["services"][0]["engine"]["models"];
    for model in models.as_array_mut().into_iter().flatten() {
        for field in ["loadS", "diskS", "warmS"] {
            model[field] = json!(LOAD.as_secs_f64());
        }
    }
    let plan = Plan {
        load: LOAD,
        ..Plan::default()
    };
    Deployment::start_with(&plan, &configuration, &json!({}))
}

/// Sends a request of a client that would wait for long if something came; returns the response and
/// the time that it took.
fn send(system: &Deployment, id: &str) -> (String, Duration) {
    let text = format!(
        "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m3\r\n\
         Deadline-Ms: 25000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let start = Instant::now();
    (send_raw(system.caller_addr, &text), start.elapsed())
}

fn retry_after(response: &str) -> Duration {
    let mut lines = response.lines();
    let value = lines.find_map(|line| line.strip_prefix("retry-after: "));
    let seconds = value.and_then(|value| value.parse().ok());
    Duration::from_secs_f64(seconds.expect("the response says when to retry"))
}

/// Guards against a request that is held until its client leaves, since a load takes longer than the
/// silence that the client bears, and against a model that is never loaded because all requests for
/// it are refused: the load is under way when the client is back.
#[test]
fn a_load_that_ends_after_the_client_leaves_is_ready_when_it_is_back() {
    let system = start();
    let (response, took) = send(&system, "first");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(took < AT_ONCE, "{took:?}");
    assert!(system.site.runs().is_empty());
    let after = retry_after(&response);
    assert!(after >= LOAD.mul_f64(0.9), "{after:?}");
    assert!(after <= LOAD * 2, "{after:?}");
    thread::sleep(after);
    let (response, took) = send(&system, "second");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(is_terminated(&response), "{response}");
    assert!(took < AT_ONCE, "{took:?}");
    assert_eq!(system.site.violations(), Vec::<String>::new());
}

//! Requests that last longer than the timeout of their route.

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
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
        HOST,
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

/// Sends a head and then the parts of a body, with a pause before each; returns the answer and how
/// long it took.
fn send_slowly(
    system: &Deployment,
    head: &str,
    parts: &[&str],
    pause: Duration,
) -> (String, Duration) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(system.caller_addr).expect("the gateway accepts");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    for part in parts {
        thread::sleep(pause);
        if stream.write_all(part.as_bytes()).is_err() {
            break;
        }
    }
    let mut response = Vec::new();
    // If the connection is reset after the response, the bytes read so far are kept.
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response).into_owned();
    (response, started.elapsed())
}

/// Guards against a body that comes in small pieces and is changed, or run without its end.
#[test]
fn a_body_in_slow_pieces_arrives_whole_or_runs_nothing() {
    let system = start(&Plan::default());
    let head = |id: &str| {
        format!(
            "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
             Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
    };
    let parts = ["3\r", "\nabc\r\n2;e", "xt=1\r\nde\r\n0", "\r\n\r\n"];
    let (response, _) = send_slowly(&system, &head("whole"), &parts, Duration::from_millis(40));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let pause = Duration::from_millis(400);
    let (response, elapsed) = send_slowly(&system, &head("late"), &parts, pause);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(elapsed < 4 * pause + MARGIN, "{elapsed:?}");
    let runs = system.site.runs();
    let bodies: Vec<_> = runs.iter().filter(|run| run.path == "/book/x").collect();
    assert_eq!(bodies.len(), 1, "{bodies:?}");
    assert_eq!(bodies[0].body, b"abcde");
}

//! Gateways and loaders that run as real processes against an emulated site of the users' platform.

mod accounts;
mod allowance;
mod announcement;
mod cold;
mod copies;
mod crashing;
mod delivery;
mod deployment;
mod endless;
mod failing;
mod machine;
mod readers;
mod rejoined;
#[path = "../site_support/mod.rs"]
mod site_support;
mod stopping;
mod streams;
mod timeout;
mod upgrade;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::{
    Plan,
    Site, //
};
use deployment::{
    Deployment,
    Request,
    events, //
};
use serde_json::json;
use site_support::{
    configuration,
    is_terminated,
    send_raw,
    wait_until, //
};

/// Guards against models and adapters that are never loaded although requests wait for them, and
/// against load orders that exceed the engine's memory.
#[test]
fn a_cold_model_is_loaded_and_answers() {
    let system = Deployment::start(&Plan::default());
    for (id, model) in [
        ("r1", "m3"),
        ("r2", "m1/a1"),
        ("r3", "m4"),
        ("r4", "m2"),
        ("r5", "m3/a2"),
    ] {
        let response = system.send(&Request::model(id, "/chat/x", model));
        assert!(response.starts_with("HTTP/1.1 200"), "{model}: {response}");
        assert!(
            response.contains(&format!("response-signature: signature-{id}")),
            "{response}"
        );
        assert_eq!(events(&response).len(), 6, "{response}");
        assert!(is_terminated(&response), "{response}");
    }
    assert_eq!(system.site.violations(), Vec::<String>::new());
}

/// Guards against requests that wait for a load which can't finish before their deadline. The
/// gateway must refuse such a request immediately, with a time to retry after, and run nothing.
#[test]
fn a_request_whose_load_would_be_late_is_refused_at_once() {
    let system = Deployment::start(&Plan::default());
    let text = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nModel: m3\r\n\
                Deadline-Ms: 400\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let response = send_raw(system.caller_addr, text);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(!response.contains("response-signature"), "{response}");
    assert!(system.site.runs().iter().all(|run| run.request != "r1"));
}

/// Guards against a non-idempotent request that runs twice, or is reported as not executed although
/// it ran, because its server closes the connection after running it and the response is lost.
#[test]
fn unsafe_requests_run_at_most_once() {
    let system = Deployment::start(&Plan::default());
    for index in 0..2 {
        system.site.service_fault(
            index,
            json!({ "kind": "drop_after", "calls": 3, "path": "/book/" }),
        );
    }
    for number in 0..12 {
        let id = format!("b{number}");
        let mut request = Request::new(&id, "/book/x");
        request.body = "one booking";
        let response = system.send(&request);
        let runs = system.site.runs();
        let runs = runs.iter().filter(|run| run.request == id).count();
        let status = response.split(' ').nth(1).unwrap_or_default();
        match status {
            "200" => assert_eq!(runs, 1, "{id}: {response}"),
            "503" => assert_eq!(runs, 0, "{id}: {response}"),
            "502" | "504" => assert!(runs <= 1, "{id}: {response}"),
            _ => panic!("{id}: {response}"),
        }
    }
}

/// Guards against an idempotent request that fails because one of two servers drops connections.
#[test]
fn safe_requests_are_retried() {
    let system = Deployment::start(&Plan::default());
    system
        .site
        .service_fault(0, json!({ "kind": "drop_after", "path": "/look/" }));
    for number in 0..8 {
        let id = format!("l{number}");
        let response = system.send(&Request::new(&id, "/look/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
    }
}

/// Guards against gateways that each use the whole retry budget, because no loader tells them how
/// many share it.
#[test]
fn gateways_without_loaders_share_the_retry_budget() {
    const REQUESTS: usize = 40;
    let system = Deployment::start_without_loaders(&Plan::default());
    for index in 0..2 {
        let fault = json!({ "kind": "drop_after", "path": "/look/" });
        system.site.service_fault(index, fault);
    }
    let others: Vec<_> = (2..5)
        .map(|number| system.start_gateway(&format!("front-{number}")))
        .collect();
    let gateways: Vec<_> = others.iter().map(|(_, address)| *address).collect();
    let start = Instant::now();
    for number in 0..REQUESTS {
        for (index, gateway) in gateways.iter().chain([&system.caller_addr]).enumerate() {
            let id = format!("l{index}-{number}");
            send_raw(*gateway, &Request::new(&id, "/look/x").text());
        }
    }
    let requests = REQUESTS * (gateways.len() + 1);
    let retries = system.site.runs().len() - requests;
    // The settings allow 0.2 retries for each request and 54 more in 10 s.
    let windows = (start.elapsed().as_secs_f64() / 10.0).ceil();
    let allowed = 0.2 * requests as f64 + 54.0 * windows;
    assert!(
        retries as f64 <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}

/// Guards against a resumed stream that lacks or repeats an event after its server closed the
/// connection in the middle of one.
#[test]
fn a_broken_stream_resumes_without_gap() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    for after in [0, 1, 3, 5] {
        for index in 0..2 {
            system.site.break_next_stream(index, after);
        }
        let id = format!("s{after}");
        let response = system.send(&Request::model(&id, "/review/x", "m1"));
        // Either it has all events, or both servers broke it and it must not look complete.
        let received = events(&response);
        let expected: Vec<_> = (0..6).map(|event| format!("data: e{event}")).collect();
        assert_eq!(received, expected[..received.len()], "{response}");
        assert_eq!(is_terminated(&response), received.len() == 6, "{response}");
        system.site.clear_breaks();
    }
    system.site.break_next_stream(0, 2);
    let response = system.send(&Request::model("s-last", "/review/x", "m1"));
    assert_eq!(events(&response).len(), 6, "{response}");
    assert!(is_terminated(&response), "{response}");
}

/// Guards against a response that looks complete although its server broke the stream.
#[test]
fn a_broken_stream_never_looks_complete() {
    let system = Deployment::start(&Plan::default());
    system.site.break_next_stream(0, 2);
    let response = system.send(&Request::model("g1", "/chat/x", "m1"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!is_terminated(&response), "{response}");
    let runs = system.site.runs();
    assert_eq!(runs.iter().filter(|run| run.request == "g1").count(), 1);
}

/// Guards against a gateway that reports itself ready before it has read a configuration, or that
/// then rejects requests with a status that clients don't retry.
#[test]
fn requests_before_a_configuration_are_refused() {
    let site = Site::start(&Plan::default()).expect("the site starts");
    let system = Deployment::start_unconfigured(site);
    let mut response = String::new();
    wait_until("the gateway responds", || {
        response = system.send(&Request::new("r1", "/look/x"));
        !response.is_empty()
    });
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(!system.is_ready());
    system.site.configure(&configuration(4, &[]));
    wait_until("the gateway is ready", || system.is_ready());
    let response = system.send(&Request::new("r2", "/look/x"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let response = system.send(&Request::new("r3", "/nowhere/x"));
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

/// Guards against a new configuration that is not applied or is replaced by an older version.
#[test]
fn a_new_configuration_takes_effect() {
    let system = Deployment::start(&Plan::default());
    let look = |id: &str| system.send(&Request::new(id, "/new/x"));
    assert!(look("r1").starts_with("HTTP/1.1 404"));
    system.site.configure(&configuration(9, &["/new/"]));
    wait_until("the route is in force", || {
        look("r2").starts_with("HTTP/1.1 200")
    });
    system.site.configure(&configuration(5, &[]));
    thread::sleep(Duration::from_millis(300));
    assert!(look("r3").starts_with("HTTP/1.1 200"));
}

/// Guards against a gateway's refusal with a server's signature, and invalid requests at a server.
#[test]
fn refusals_are_unsigned() {
    let system = Deployment::start(&Plan::default());
    let cases = [
        ("400", "Request-Id: r1\r\nRequest-Id: r2\r\n", 0),
        ("400", "X-Other: 1\r\n", 0),
        ("413", "Request-Id: r3\r\n", 200_000),
        (
            "431",
            &format!("Request-Id: r4\r\nX-Long: {}\r\n", "x".repeat(40_000)),
            0,
        ),
    ];
    for (status, headers, length) in cases {
        let body = "x".repeat(length);
        let text = format!(
            "POST /look/x HTTP/1.1\r\nHost: a.example\r\n{headers}Content-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        let response = send_raw(system.caller_addr, &text);
        // A refusal before the body is read may reset the connection before the response is read.
        if !response.is_empty() {
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status}")),
                "{status}: {response}"
            );
        }
        assert!(!response.contains("response-signature"), "{response}");
    }
    assert!(system.site.runs().is_empty());
}

/// Guards against a server that keeps producing a stream after its client has disconnected.
#[test]
fn a_client_that_leaves_ends_the_run() {
    let plan = Plan {
        events: 2_000,
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    let mut stream = TcpStream::connect(system.caller_addr).expect("the gateway accepts");
    let text = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: gone\r\nModel: m1\r\n\
                Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let mut first = [0; 12];
    std::io::Read::read_exact(&mut stream, &mut first).expect("the response begins");
    drop(stream);
    wait_until("the run ends", || {
        let runs = system.site.runs();
        runs.iter()
            .any(|run| run.request == "gone" && run.abandoned)
    });
}

/// Guards against new requests that are sent to a draining server.
#[test]
fn a_draining_server_gets_no_new_request() {
    let system = Deployment::start(&Plan::default());
    system.site.publish_service(0, "draining");
    let served_by = |id: &str| {
        let response = system.send(&Request::new(id, "/look/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let runs = system.site.runs();
        let run = runs.iter().find(|run| run.request == id);
        run.expect("the request ran").server.clone()
    };
    let mut number = 0;
    // The gateway chooses between two idle servers at random: a shorter run of requests to one of
    // them also occurs before it knows that the other one is draining.
    wait_until("forty requests in a row go to the other server", || {
        (0..40).all(|_| {
            number += 1;
            served_by(&format!("d{number}")) == "desk-1"
        })
    });
    for number in 0..20 {
        assert_eq!(served_by(&format!("e{number}")), "desk-1");
    }
}

/// Guards against a SIGTERM that cuts streams or refuses requests still routed to the gateway.
#[test]
fn sigterm_cuts_no_request() {
    let plan = Plan {
        events: 120,
        event_interval: Duration::from_millis(30),
        ..Plan::default()
    };
    let mut system = Deployment::start(&plan);
    let caller_addr = system.caller_addr;
    let send = move |id: &str| {
        let text = format!(
            "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: m1\r\n\
             Deadline-Ms: 6000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        send_raw(caller_addr, &text)
    };
    let early = thread::spawn(move || send("early"));
    thread::sleep(Duration::from_millis(300));
    system.gateway.signal("TERM");
    wait_until("the gateway is not ready", || !system.is_ready());
    let late = thread::spawn(move || send("late"));
    for response in [early.join(), late.join()] {
        let response = response.expect("the client ends");
        assert!(is_terminated(&response), "{response}");
        assert_eq!(events(&response).len(), 120);
    }
    wait_until("the gateway ends", || system.gateway.ended().is_some());
    assert_eq!(system.gateway.ended(), Some(true));
}

/// Guards against a SIGHUP that terminates a daemon or interrupts a request.
#[test]
fn sighup_interrupts_no_request() {
    let system = Deployment::start(&Plan::default());
    let caller_addr = system.caller_addr;
    let text = Request::model("r1", "/chat/x", "m1").text();
    let running = thread::spawn(move || send_raw(caller_addr, &text));
    for daemon in system.loaders.iter().chain([&system.gateway]) {
        daemon.signal("HUP");
    }
    assert!(is_terminated(&running.join().expect("the client ends")));
    let response = system.send(&Request::model("r2", "/chat/x", "m3"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a stopping gateway that closes the connection of a request which still waits for
/// its model without sending a response.
#[test]
fn a_stopping_gateway_refuses_requests_that_wait_for_a_model() {
    let plan = Plan {
        load: Duration::from_secs(60),
        ..Plan::default()
    };
    let mut system = Deployment::start(&plan);
    let caller_addr = system.caller_addr;
    let waiting = thread::spawn(move || {
        let text = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nModel: m4\r\n\
                    Deadline-Ms: 19000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        send_raw(caller_addr, text)
    });
    thread::sleep(Duration::from_millis(500));
    system.gateway.signal("TERM");
    let response = waiting.join().expect("the client ends");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(system.site.runs().is_empty());
    wait_until("the gateway ends", || system.gateway.ended().is_some());
    assert_eq!(system.gateway.ended(), Some(true));
}

/// Guards against an engine whose loaded models become unusable when its loader exits.
#[test]
fn an_engine_without_its_loader_serves_its_loaded_models() {
    let mut system = Deployment::start(&Plan::default());
    assert!(
        system
            .send(&Request::model("r1", "/chat/x", "m1"))
            .starts_with("HTTP/1.1 200")
    );
    drop(system.loaders.remove(0));
    for number in 0..5 {
        let id = format!("w{number}");
        let response = system.send(&Request::model(&id, "/chat/x", "m1"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Guards against requests that fail during a store outage, although the gateway knows routes and
/// servers, and against a gateway that reads no new configuration after the outage.
#[test]
fn requests_are_served_while_the_store_is_down() {
    let system = Deployment::start(&Plan::default());
    system.site.store_fault(json!({ "kind": "drop_before" }));
    thread::sleep(Duration::from_millis(2_500));
    for (id, path, model) in [("r1", "/look/x", None), ("r2", "/chat/x", Some("m3"))] {
        let request = Request {
            model,
            ..Request::new(id, path)
        };
        let response = system.send(&request);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    system.site.clear_store_faults();
    system.site.configure(&configuration(3, &["/new/"]));
    wait_until("the new route is in force", || {
        system
            .send(&Request::new("r3", "/new/x"))
            .starts_with("HTTP/1.1 200")
    });
}

/// Guards against a request that is never sent again to the server that refused it, although it
/// waits for its model to be loaded there.
#[test]
fn a_server_that_refused_gets_the_request_once_it_holds_the_model() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    for number in 0..3 {
        // The gateway learns this from the loader's next report, after it has sent the request.
        system.site.drop_model(0, "m1");
        let id = format!("r{number}");
        let response = system.send(&Request::model(&id, "/chat/x", "m1"));
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
    }
}

/// Guards against requests that fail because descriptions of replaced servers remain in the store
/// with the address of the current one, which refuses requests addressed to them.
#[test]
fn a_replaced_server_gets_no_requests() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    for former in ["engine-a", "engine-b", "engine-c", "engine-d", "engine-e"] {
        system.site.publish_former_engine(0, former);
    }
    thread::sleep(Duration::from_millis(1_200));
    for number in 0..10 {
        let id = format!("r{number}");
        let response = system.send(&Request::model(&id, "/chat/x", "m1"));
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
    }
}

/// Guards against responses that the metrics don't count under their status.
#[test]
fn metrics_count_responses_by_status() {
    let system = Deployment::start(&Plan::default());
    system.send(&Request::new("r1", "/look/x"));
    system.send(&Request::new("r2", "/nowhere/x"));
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let body = send_raw(system.metrics_addr, text);
    for outcome in ["200", "404"] {
        let line = format!("kind=\"request\",outcome=\"{outcome}\"}} 1");
        assert!(body.contains(&line), "{body}");
    }
}

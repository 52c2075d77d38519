//! Gateways and loaders as real processes before an emulated site of the users' platform.

#[path = "../site_support/mod.rs"]
mod site_support;
mod world;

use std::{
    io::Write,
    net::TcpStream,
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

use chestnuthub::emulator::site::{
    Plan,
    Site, //
};
use serde_json::json;
use site_support::{
    ask_raw,
    configuration,
    events,
    eventually,
    is_whole, //
};
use world::{
    Request,
    World, //
};

/// Guards against a model that stays absent although requests wait for it, an adapter that is not
/// fetched, and orders beyond the memory.
#[test]
fn a_cold_model_is_loaded_and_answers() {
    let world = World::start(&Plan::default());
    for (id, model) in [
        ("r1", "m3"),
        ("r2", "m1/a1"),
        ("r3", "m4"),
        ("r4", "m2"),
        ("r5", "m3/a2"),
    ] {
        let answer = world.ask(&Request::model(id, "/chat/x", model));
        assert!(answer.starts_with("HTTP/1.1 200"), "{model}: {answer}");
        assert!(
            answer.contains(&format!("response-signature: signature-{id}")),
            "{answer}"
        );
        assert_eq!(events(&answer).len(), 6, "{answer}");
        assert!(is_whole(&answer), "{answer}");
    }
    assert_eq!(world.site.violations(), Vec::<String>::new());
}

/// Guards against requests that wait for a load that can't be in time: the refusal comes at once
/// and says when to come back, and nothing runs.
#[test]
fn a_load_that_takes_too_long_is_refused_at_once() {
    let world = World::start(&Plan::default());
    let text = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nModel: m3\r\n\
                Deadline-Ms: 400\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let answer = ask_raw(world.callers, text);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(!answer.contains("response-signature"), "{answer}");
    assert!(world.site.runs().iter().all(|run| run.request != "r1"));
}

/// Guards against a non-idempotent request that runs twice or is said not to have run: its answer
/// is lost, its connection refused, its server busy.
#[test]
fn unsafe_requests_run_at_most_once() {
    let world = World::start(&Plan::default());
    for index in 0..2 {
        world.site.service_fault(
            index,
            json!({ "kind": "drop_after", "calls": 3, "path": "/book/" }),
        );
    }
    for number in 0..12 {
        let id = format!("b{number}");
        let mut request = Request::new(&id, "/book/x");
        request.body = "one booking";
        let answer = world.ask(&request);
        let runs = world.site.runs();
        let runs = runs.iter().filter(|run| run.request == id).count();
        let status = answer.split(' ').nth(1).unwrap_or_default();
        match status {
            "200" => assert_eq!(runs, 1, "{id}: {answer}"),
            "503" => assert_eq!(runs, 0, "{id}: {answer}"),
            "502" | "504" => assert!(runs <= 1, "{id}: {answer}"),
            _ => panic!("{id}: {answer}"),
        }
    }
}

/// Guards against an idempotent request that fails although another server can answer it.
#[test]
fn safe_requests_are_sent_once_more() {
    let world = World::start(&Plan::default());
    world
        .site
        .service_fault(0, json!({ "kind": "drop_after", "path": "/look/" }));
    for number in 0..8 {
        let id = format!("l{number}");
        let answer = world.ask(&Request::new(&id, "/look/x"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
    }
}

/// Guards against a stream that misses or repeats an event when its server breaks off in the
/// middle of one.
#[test]
fn a_broken_stream_resumes_without_gap() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        ..Plan::default()
    };
    let world = World::start(&plan);
    for after in [0, 1, 3, 5] {
        for index in 0..2 {
            world.site.break_next_stream(index, after);
        }
        let id = format!("s{after}");
        let answer = world.ask(&Request::model(&id, "/review/x", "m1"));
        // Either both servers break off, and the answer must not look whole, or it has all events.
        let seen = events(&answer);
        let expected: Vec<_> = (0..6).map(|event| format!("data: e{event}")).collect();
        assert_eq!(seen, expected[..seen.len()], "{answer}");
        assert_eq!(is_whole(&answer), seen.len() == 6, "{answer}");
        world.site.clear_breaks();
    }
    world.site.break_next_stream(0, 2);
    let answer = world.ask(&Request::model("s-last", "/review/x", "m1"));
    assert_eq!(events(&answer).len(), 6, "{answer}");
    assert!(is_whole(&answer), "{answer}");
}

/// Guards against an answer that looks whole although its server broke off.
#[test]
fn garbled_answers_never_look_whole() {
    let world = World::start(&Plan::default());
    world.site.break_next_stream(0, 2);
    let answer = world.ask(&Request::model("g1", "/chat/x", "m1"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!is_whole(&answer), "{answer}");
    let runs = world.site.runs();
    assert_eq!(runs.iter().filter(|run| run.request == "g1").count(), 1);
}

/// Guards against requests that are refused for good before the configuration is known, and
/// against a gateway that calls itself ready then.
#[test]
fn before_a_configuration_all_is_refused() {
    let site = Site::start(&Plan::default()).expect("the site starts");
    let world = World::unconfigured(site);
    let mut answer = String::new();
    eventually("the gateway answers", || {
        answer = world.ask(&Request::new("r1", "/look/x"));
        !answer.is_empty()
    });
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(!world.is_ready());
    world.site.configure(&configuration(4, &[]));
    eventually("the gateway is ready", || world.is_ready());
    let answer = world.ask(&Request::new("r2", "/look/x"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = world.ask(&Request::new("r3", "/nowhere/x"));
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

/// Guards against a configuration that is not taken over, or that an older one replaces.
#[test]
fn a_new_configuration_takes_effect() {
    let world = World::start(&Plan::default());
    let look = |id: &str| world.ask(&Request::new(id, "/new/x"));
    assert!(look("r1").starts_with("HTTP/1.1 404"));
    world.site.configure(&configuration(9, &["/new/"]));
    eventually("the route is in force", || {
        look("r2").starts_with("HTTP/1.1 200")
    });
    world.site.configure(&configuration(5, &[]));
    thread::sleep(Duration::from_millis(300));
    assert!(look("r3").starts_with("HTTP/1.1 200"));
}

/// Guards against own refusals that bear a server's signature, and against improper requests
/// that reach a server.
#[test]
fn refusals_are_unsigned() {
    let world = World::start(&Plan::default());
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
        let answer = ask_raw(world.callers, &text);
        // The rest of a body that is refused early may end the connection before the answer.
        if !answer.is_empty() {
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{status}: {answer}"
            );
        }
        assert!(!answer.contains("response-signature"), "{answer}");
    }
    assert!(world.site.runs().is_empty());
}

/// Guards against work for a client that has left.
#[test]
fn a_client_that_leaves_ends_the_run() {
    let plan = Plan {
        events: 2_000,
        ..Plan::default()
    };
    let world = World::start(&plan);
    let mut stream = TcpStream::connect(world.callers).expect("the gateway accepts");
    let text = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: gone\r\nModel: m1\r\n\
                Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let mut first = [0; 12];
    std::io::Read::read_exact(&mut stream, &mut first).expect("the answer begins");
    drop(stream);
    eventually("the run ends", || {
        let runs = world.site.runs();
        runs.iter()
            .any(|run| run.request == "gone" && run.abandoned)
    });
}

/// Guards against new requests for a server that says it is leaving.
#[test]
fn a_draining_server_gets_no_new_request() {
    let world = World::start(&Plan::default());
    world.site.describe_service(0, "draining");
    let served_by = |id: &str| {
        let answer = world.ask(&Request::new(id, "/look/x"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let runs = world.site.runs();
        let run = runs.iter().find(|run| run.request == id);
        run.expect("the request ran").server.clone()
    };
    let mut number = 0;
    eventually("ten requests in a row go to the other server", || {
        (0..10).all(|_| {
            number += 1;
            served_by(&format!("d{number}")) == "desk-1"
        })
    });
    for number in 0..20 {
        assert_eq!(served_by(&format!("e{number}")), "desk-1");
    }
}

/// Guards against a stop that cuts a stream or refuses a client that the balancer still sends.
#[test]
fn sigterm_cuts_no_request() {
    let plan = Plan {
        events: 120,
        pace: Duration::from_millis(30),
        ..Plan::default()
    };
    let mut world = World::start(&plan);
    let callers = world.callers;
    let ask = move |id: &str| {
        let text = format!(
            "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: m1\r\n\
             Deadline-Ms: 6000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        ask_raw(callers, &text)
    };
    let early = thread::spawn(move || ask("early"));
    thread::sleep(Duration::from_millis(300));
    world.gateway.signal("TERM");
    eventually("the gateway is not ready", || !world.is_ready());
    let late = thread::spawn(move || ask("late"));
    for answer in [early.join(), late.join()] {
        let answer = answer.expect("the client ends");
        assert!(is_whole(&answer), "{answer}");
        assert_eq!(events(&answer).len(), 120);
    }
    eventually("the gateway ends", || world.gateway.ended().is_some());
    assert_eq!(world.gateway.ended(), Some(true));
}

/// Guards against a hangup that ends the process or cuts a request.
#[test]
fn a_hangup_disturbs_no_request() {
    let world = World::start(&Plan::default());
    let callers = world.callers;
    let ask = Request::model("r1", "/chat/x", "m1").text();
    let running = thread::spawn(move || ask_raw(callers, &ask));
    for daemon in world.loaders.iter().chain([&world.gateway]) {
        daemon.signal("HUP");
    }
    assert!(is_whole(&running.join().expect("the client ends")));
    let answer = world.ask(&Request::model("r2", "/chat/x", "m3"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a request that still waits for its model when its gateway stops, and whose
/// connection ends without an answer.
#[test]
fn a_stop_refuses_what_still_waits_for_its_model() {
    let plan = Plan {
        load: Duration::from_secs(60),
        ..Plan::default()
    };
    let mut world = World::start(&plan);
    let callers = world.callers;
    let waiting = thread::spawn(move || {
        let text = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nModel: m4\r\n\
                    Deadline-Ms: 19000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        ask_raw(callers, text)
    });
    thread::sleep(Duration::from_millis(500));
    world.gateway.signal("TERM");
    let answer = waiting.join().expect("the client ends");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(world.site.runs().is_empty());
    eventually("the gateway ends", || world.gateway.ended().is_some());
    assert_eq!(world.gateway.ended(), Some(true));
}

/// Guards against a server that can't be used because the loader beside it has ended.
#[test]
fn a_server_without_its_loader_serves_what_it_holds() {
    let mut world = World::start(&Plan::default());
    assert!(
        world
            .ask(&Request::model("r1", "/chat/x", "m1"))
            .starts_with("HTTP/1.1 200")
    );
    drop(world.loaders.remove(0));
    for number in 0..5 {
        let id = format!("w{number}");
        let answer = world.ask(&Request::model(&id, "/chat/x", "m1"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against a store outage that stops requests for what is known.
#[test]
fn requests_are_served_while_the_store_is_down() {
    let world = World::start(&Plan::default());
    world.site.store_fault(json!({ "kind": "drop_before" }));
    thread::sleep(Duration::from_millis(2_500));
    for (id, path, model) in [("r1", "/look/x", None), ("r2", "/chat/x", Some("m3"))] {
        let request = Request {
            model,
            ..Request::new(id, path)
        };
        let answer = world.ask(&request);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    world.site.clear_store_faults();
    world.site.configure(&configuration(3, &["/new/"]));
    eventually("the new route is in force", || {
        world
            .ask(&Request::new("r3", "/new/x"))
            .starts_with("HTTP/1.1 200")
    });
}

/// Guards against a request that waits for its model at a server which refused it, and is not sent
/// there when the model is loaded.
#[test]
fn a_server_that_refused_gets_the_request_once_it_holds_the_model() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let world = World::start(&plan);
    for number in 0..3 {
        // The gateway learns of this with the loader's next report, after the request was sent.
        world.site.drop_model(0, "m1");
        let id = format!("r{number}");
        let answer = world.ask(&Request::model(&id, "/chat/x", "m1"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
    }
}

/// Guards against requests that keep going to the address of a server that was replaced, and
/// against refusals for that reason while its successor could answer.
#[test]
fn a_replaced_server_is_not_asked_again() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let world = World::start(&plan);
    for former in ["engine-a", "engine-b", "engine-c", "engine-d", "engine-e"] {
        world.site.describe_former_engine(0, former);
    }
    thread::sleep(Duration::from_millis(1_200));
    for number in 0..10 {
        let id = format!("r{number}");
        let answer = world.ask(&Request::model(&id, "/chat/x", "m1"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
    }
}

/// Guards against a stream that waits for a frozen machine until its client gives up, although
/// another server could continue it.
#[test]
fn a_stream_moves_off_a_silent_machine() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        events: 150,
        pace: Duration::from_millis(30),
        ..Plan::default()
    };
    let world = World::start(&plan);
    let stream = start_stream(&world, "moved");
    let first = running(&world);
    // The emulated engine goes on; to the gateway its machine falls silent with the loader.
    world.loaders[first].signal("STOP");
    assert_moved(&world, stream, "moved", 150);
}

/// Guards against outcomes that can't be counted from outside.
#[test]
fn metrics_count_answers_and_failures() {
    let world = World::start(&Plan::default());
    world.ask(&Request::new("r1", "/look/x"));
    world.ask(&Request::new("r2", "/nowhere/x"));
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let metrics = ask_raw(world.metrics, text);
    for outcome in ["200", "404"] {
        let line = format!("kind=\"request\",outcome=\"{outcome}\"}} 1");
        assert!(metrics.contains(&line), "{metrics}");
    }
}

/// Guards against requests that wait for a server that went dark although its machine is alive and
/// its entry still says ready.
#[test]
fn a_stream_moves_off_a_dark_server() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        events: 300,
        pace: Duration::from_millis(30),
        ..Plan::default()
    };
    let world = World::start(&plan);
    let stream = start_stream(&world, "dark");
    let first = running(&world);
    // Running streams go on; new calls, the loader's among them, get no answer.
    world.site.engine_fault(first, json!({ "kind": "hold" }));
    assert_moved(&world, stream, "dark", 300);
}

/// Starts a stream that may be resumed.
fn start_stream(world: &World, id: &str) -> JoinHandle<String> {
    let text = format!(
        "POST /review/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: m1\r\n\
         Deadline-Ms: 20000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let callers = world.callers;
    thread::spawn(move || ask_raw(callers, &text))
}

/// Returns the engine that runs the only stream.
fn running(world: &World) -> usize {
    let find = || (0..2).find(|index| world.site.running(*index) > 0);
    eventually("the stream runs", || find().is_some());
    find().expect("the stream runs")
}

/// Asserts that a stream is whole and that a second server ran it to its end.
fn assert_moved(world: &World, stream: JoinHandle<String>, id: &str, count: usize) {
    let answer = stream.join().expect("the client ends");
    assert!(is_whole(&answer), "{answer}");
    let expected: Vec<_> = (0..count).map(|event| format!("data: e{event}")).collect();
    assert_eq!(events(&answer), expected);
    let ran = || {
        let runs = world.site.runs();
        runs.iter().filter(|run| run.request == id).count()
    };
    eventually("both servers have ended their runs", || ran() == 2);
}

//! Machines, servers and hubs that do not respond.

use std::{
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

use chestnuthub::emulator::site::Plan;
use serde_json::json;

use crate::{
    deployment::{
        Deployment,
        Request,
        events, //
    },
    site_support::{
        is_terminated,
        send_raw,
        wait_until, //
    },
};

/// Guards against a stream that waits for a frozen machine until its client times out, although
/// another server could continue it.
#[test]
fn a_stream_moves_off_an_unresponsive_machine() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        events: 150,
        event_interval: Duration::from_millis(30),
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    let stream = start_stream(&system, "moved");
    let first = running_engine(&system);
    // The engine keeps running, but its frozen loader makes the machine look unresponsive.
    system.loaders[first].signal("STOP");
    assert_moved(&system, stream, "moved", 150);
}

/// Guards against requests that wait for an unresponsive server because its machine is alive and
/// its description in the store still says that it is ready.
#[test]
fn a_stream_moves_off_an_unresponsive_server() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        events: 300,
        event_interval: Duration::from_millis(30),
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    let stream = start_stream(&system, "dark");
    let first = running_engine(&system);
    // New requests, including the loader's, get no response; running streams continue.
    system.site.engine_fault(first, json!({ "kind": "hold" }));
    assert_moved(&system, stream, "dark", 300);
}

/// Guards against requests for cold models that wait for a hub whose machine is frozen or whose
/// process has ended, although another hub is reachable.
#[test]
fn cold_models_are_loaded_while_any_hub_is_down() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"], vec!["m1"]],
        ..Plan::default()
    };
    for signal in ["STOP", "KILL"] {
        for index in 0..3 {
            let system = Deployment::start(&plan);
            let warm = system.send(&Request::model("w", "/chat/x", "m2"));
            assert!(warm.starts_with("HTTP/1.1 200"), "{warm}");
            system.loaders[index].signal(signal);
            for (id, model) in [("r1", "m3"), ("r2", "m4")] {
                let response = system.send(&Request::model(id, "/chat/x", model));
                assert!(
                    response.starts_with("HTTP/1.1 200"),
                    "{signal} {index} {model}: {response}"
                );
            }
        }
    }
}

/// Guards against a stream that is cut because its server does not respond to its loader, although
/// the server is still at work and no other server could go on at once.
#[test]
fn a_stream_stays_where_no_other_server_could_go_on() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m2"]],
        events: 120,
        event_interval: Duration::from_millis(30),
        load: Duration::from_secs(60),
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    let stream = start_stream(&system, "stays");
    let first = running_engine(&system);
    system.site.engine_fault(first, json!({ "kind": "hold" }));
    let response = stream.join().expect("the client ends");
    assert!(is_terminated(&response), "{response}");
    assert_eq!(events(&response).len(), 120);
}

/// Sends a request for a resumable stream in a thread, which returns the response.
fn start_stream(system: &Deployment, id: &str) -> JoinHandle<String> {
    let text = format!(
        "POST /review/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: m1\r\n\
         Deadline-Ms: 20000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let caller_addr = system.caller_addr;
    thread::spawn(move || send_raw(caller_addr, &text))
}

/// Waits until an engine runs the stream and returns the index of the engine.
fn running_engine(system: &Deployment) -> usize {
    let find = || (0..2).find(|index| system.site.running_streams(*index) > 0);
    wait_until("the stream runs", || find().is_some());
    find().expect("the stream runs")
}

/// Asserts that a stream is complete and that two servers ran it.
fn assert_moved(system: &Deployment, stream: JoinHandle<String>, id: &str, count: usize) {
    let response = stream.join().expect("the client ends");
    assert!(is_terminated(&response), "{response}");
    let expected: Vec<_> = (0..count).map(|event| format!("data: e{event}")).collect();
    assert_eq!(events(&response), expected);
    let ran = || {
        let runs = system.site.runs();
        runs.iter().filter(|run| run.request == id).count()
    };
    wait_until("both servers have ended their runs", || ran() == 2);
}

/// Guards against requests that are sent again and again to a server which has said that it lacks
/// their model, because its description still lists the model and no loader reports otherwise.
#[test]
fn a_server_that_lacks_a_model_is_rarely_asked_again() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let mut system = Deployment::start(&plan);
    system.loaders.clear();
    assert_rarely_asked(&system);
}

/// Guards against all waiting requests being sent at once to a server that lacks their model, when
/// the gateway gives up the server's loader.
#[test]
fn a_lost_loader_does_not_say_that_its_server_has_a_model() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let mut system = Deployment::start(&plan);
    // A model is loaded only once the gateway is connected to the loader.
    let response = system.send(&Request::model("loaded", "/chat/x", "m2"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    system.loaders.clear();
    assert_rarely_asked(&system);
}

/// Makes the first engine drop a model that its description lists, and asserts that requests for the
/// model are refused and hardly reach the engine.
fn assert_rarely_asked(system: &Deployment) {
    system.site.drop_model(0, "m1");
    let clients = (0..12).map(|number| {
        let caller_addr = system.caller_addr;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(150 * number));
            let id = format!("r{number}");
            send_raw(caller_addr, &Request::model(&id, "/chat/x", "m1").text())
        })
    });
    for client in clients.collect::<Vec<_>>() {
        let response = client.join().expect("the client ends");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    // The first pauses are 0.5, 1 and 2 s.
    assert!(system.site.refusals(0) <= 4, "{}", system.site.refusals(0));
}

//! Streams while servers of two software versions serve.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
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
        Request,
        events, //
    },
    site_support::{
        HOST,
        is_terminated,
        send_raw,
        wait_until, //
    },
};

/// Number of events of a stream.
const EVENTS: usize = 6;

fn plan() -> Plan {
    Plan {
        engines: vec![vec!["m1"], vec!["m1"], vec!["m1"], vec!["m1"]],
        ..Plan::default()
    }
}

/// Time within which gateways have read of an upgrade and use the new version for all streams.
const UPGRADE_TIME: Duration = Duration::from_millis(5_000);

/// Upgrades engines and waits until gateways know.
fn upgrade(system: &Deployment, indices: &[usize], version: &str) {
    for index in indices {
        system.site.upgrade_engine(*index, version);
    }
    thread::sleep(UPGRADE_TIME);
}

/// Returns the software versions that wrote the events of a response.
fn versions(response: &str) -> BTreeSet<String> {
    let version = |event: &str| event.split_once('-').map_or("v1", |(_, v)| v).to_owned();
    events(response).into_iter().map(version).collect()
}

/// Begins streams until one comes from the version; returns the id of its request.
fn begin(system: &Deployment, name: &str, version: &str) -> String {
    let mut number = 0;
    let mut id = String::new();
    wait_until("a stream begins at the version", || {
        number += 1;
        id = format!("{name}-{number}");
        let response = system.send(&Request::model(&id, "/review/x", "m1"));
        versions(&response) == BTreeSet::from([version.to_owned()])
    });
    id
}

/// Takes a stream of `m1` up again after its event 2; returns the response.
fn take_up(address: SocketAddr, id: &str, resumes: &str) -> String {
    take_up_model(address, id, resumes, "m1")
}

/// Takes a stream of a model up again after its event 2; returns the response.
fn take_up_model(address: SocketAddr, id: &str, resumes: &str, model: &str) -> String {
    let text = format!(
        "POST /review/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
         Model: {model}\r\nResumes: {resumes}\r\nLast-Event-Id: 2\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    send_raw(address, &text)
}

fn assert_goes_on(response: &str, version: &str) {
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(events(response).len(), EVENTS - 3, "{response}");
    let expected = BTreeSet::from([version.to_owned()]);
    assert_eq!(versions(response), expected, "{response}");
}

/// Guards against a response that joins the pieces of two software versions, because a broken stream
/// is resumed at any server that holds its model.
#[test]
fn a_broken_stream_resumes_at_the_version_that_began_it() {
    let system = Deployment::start(&plan());
    upgrade(&system, &[0, 1], "v2");
    let mut resumed = BTreeSet::new();
    for number in 0..60 {
        system.site.clear_breaks();
        system.site.break_next_stream(number % 4, 3);
        let id = format!("broken-{number}");
        let response = system.send(&Request::model(&id, "/review/x", "m1"));
        let versions = versions(&response);
        assert_eq!(versions.len(), 1, "{response}");
        assert!(is_terminated(&response), "{response}");
        assert_eq!(events(&response).len(), EVENTS, "{response}");
        if system
            .site
            .runs()
            .iter()
            .filter(|run| run.request == id)
            .count()
            > 1
        {
            resumed.extend(versions);
        }
    }
    assert_eq!(resumed.len(), 2, "streams of each version were resumed");
}

/// Guards against a stream that goes on at another version, or not at all, when its client takes it
/// up at another gateway, also after the first gateway is gone.
#[test]
fn a_stream_taken_up_at_another_gateway_goes_on_at_its_version() {
    let system = Deployment::start(&plan());
    let before = begin(&system, "before", "v1");
    let (_second, clients) = system.start_gateway("front-2");
    upgrade(&system, &[0, 1], "v2");
    let new = begin(&system, "new", "v2");
    let old = begin(&system, "old", "v1");
    for number in 0..6 {
        for (begun, version) in [(&before, "v1"), (&new, "v2"), (&old, "v1")] {
            let id = format!("again-{begun}-{number}");
            assert_goes_on(&take_up(clients, &id, begun), version);
        }
    }
    thread::sleep(Duration::from_millis(500));
    system.gateway.signal("KILL");
    let (_third, clients) = system.start_gateway("front-3");
    for (begun, version) in [(&before, "v1"), (&new, "v2"), (&old, "v1")] {
        let id = format!("after-{begun}");
        assert_goes_on(&take_up(clients, &id, begun), version);
    }
}

/// Guards against a stream that goes on at the server that began it, after that has broken the stream
/// because it starts anew with another version, before its loader has noticed.
#[test]
fn a_stream_does_not_go_on_at_once_where_its_connection_broke() {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        events: 40,
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    upgrade(&system, &[0], "v2");
    for number in 0.. {
        let id = format!("broken-{number}");
        let client = system.start_request(&Request::model(&id, "/review/x", "m1"));
        wait_until("the stream runs", || {
            system.site.running_streams(0) + system.site.running_streams(1) > 0
        });
        if system.site.running_streams(1) == 0 {
            client.join().expect("the client ends");
            continue;
        }
        system.site.upgrade_engine_unlisted(1, "v2");
        let response = client.join().expect("the client ends");
        assert!(!is_terminated(&response), "{response}");
        let response = take_up(system.caller_addr, "again", &id);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        return;
    }
}

/// Guards against a stream of unknown version that is joined or held, and against one that is
/// refused although all servers have the same version.
#[test]
fn a_stream_of_unknown_version_is_refused_at_once_while_two_serve() {
    let system = Deployment::start(&plan());
    assert_goes_on(&take_up(system.caller_addr, "alone", "unknown"), "v1");
    upgrade(&system, &[0], "v2");
    let start = Instant::now();
    let response = take_up(system.caller_addr, "refused", "never-seen");
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
}

/// Guards against a stream that is joined at a gateway which has not heard of the upgrade, because it
/// reaches neither the store nor a hub.
#[test]
fn a_stream_of_unknown_version_is_refused_where_the_list_of_servers_is_old() {
    let mut system = Deployment::start(&plan());
    system.site.store_fault(json!({ "kind": "refuse" }));
    system.loaders.clear();
    system.site.upgrade_engine_unlisted(0, "v2");
    thread::sleep(UPGRADE_TIME);
    let response = take_up(system.caller_addr, "refused", "begun-elsewhere");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

/// Guards against a stream that is held to its deadline because no server of its version is left.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let system = Deployment::start(&plan());
    upgrade(&system, &[0], "v2");
    let new = begin(&system, "new", "v2");
    upgrade(&system, &[0], "v3");
    let start = Instant::now();
    let response = take_up(system.caller_addr, "gone", &new);
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

/// Guards against a stream that goes on at a server which has started anew with another version,
/// before the list of servers says so.
#[test]
fn a_stream_does_not_go_on_at_a_server_that_started_anew_unlisted() {
    let system = Deployment::start(&plan());
    let begun = begin(&system, "begun", "v1");
    for index in 0..3 {
        system.site.upgrade_engine_unlisted(index, "v2");
    }
    // Loaders read their engines' reports every 0.3 s.
    thread::sleep(Duration::from_millis(1_000));
    for number in 0..12 {
        let id = format!("again-{number}");
        assert_goes_on(&take_up(system.caller_addr, &id, &begun), "v1");
    }
}

/// Guards against a stream that waits for its model and goes on at a version that is listed meanwhile.
#[test]
fn a_stream_that_waits_does_not_go_on_at_a_version_listed_meanwhile() {
    let system = Deployment::start(&Plan {
        load: Duration::from_millis(1_500),
        ..plan()
    });
    let caller_addr = system.caller_addr;
    let client = thread::spawn(move || take_up_model(caller_addr, "again", "elsewhere", "m2"));
    thread::sleep(Duration::from_millis(300));
    upgrade(&system, &[0, 1, 2, 3], "v2");
    let response = client.join().expect("the client ends");
    assert!(!response.contains("-v2"), "{response}");
}

/// Guards against streams that wait for a load although the server that holds their model takes them,
/// because its software version has been listed only lately.
#[test]
fn a_model_that_only_an_upgraded_server_holds_is_served_there() {
    let plan = Plan {
        engines: vec![vec!["m2"], vec!["m1"]],
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    system.site.upgrade_engine(0, "v2");
    wait_until("the gateway has read of the new version", || {
        system.gateway_log().contains("version=v2")
    });
    for number in 0..8 {
        let id = format!("rare-{number}");
        let response = system.send(&Request::model(&id, "/review/x", "m2"));
        assert!(is_terminated(&response), "{response}");
    }
    let runs = system.site.runs();
    assert!(runs.iter().all(|run| run.server == "engine-0"), "{runs:#?}");
}

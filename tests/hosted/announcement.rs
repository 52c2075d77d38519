//! What servers and the store announce in their responses.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::Plan;

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

/// Returns the server that ran the request with this id.
fn server_of(system: &Deployment, id: &str) -> String {
    let runs = system.site.runs();
    let run = runs.iter().find(|run| run.request == id);
    run.expect("the request ran").server.clone()
}

/// Guards against requests to a server that has announced in a response that it leaves, while the
/// store still lists it as ready.
#[test]
fn a_server_that_announces_its_leaving_gets_no_further_request() {
    let system = Deployment::start(&Plan::default());
    system.site.announce_leaving(0);
    let mut announced = false;
    for number in 0..40 {
        let id = format!("l{number}");
        let response = system.send(&Request::new(&id, "/look/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
        let server = server_of(&system, &id);
        assert!(!announced || server == "desk-1", "{id} reached {server}");
        announced |= server == "desk-0";
    }
    assert!(announced, "the server that leaves got no request");
}

/// Guards against requests to a server that has asked for rest, and against requests that fail
/// although another server takes them.
#[test]
fn a_server_that_asks_for_rest_gets_no_request_meanwhile() {
    let system = Deployment::start(&Plan::default());
    system.site.ask_for_rest(0, "1.5");
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < Duration::from_millis(1_300) {
        number += 1;
        let id = format!("r{number}");
        let response = system.send(&Request::new(&id, "/look/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
    }
    assert_eq!(system.site.violations(), Vec::<String>::new());
    wait_until("the server gets requests again", || {
        number += 1;
        let id = format!("r{number}");
        system.send(&Request::new(&id, "/look/x"));
        server_of(&system, &id) == "desk-0"
    });
}

/// Guards against requests that are held, or refused with a time to retry after at which no server
/// takes them, while all servers rest.
#[test]
fn a_request_is_refused_at_once_while_all_servers_rest() {
    let system = Deployment::start(&Plan::default());
    for index in 0..2 {
        system.site.ask_for_rest(index, "30.5");
    }
    system.send(&Request::new("r0", "/look/x"));
    let start = Instant::now();
    let response = system.send(&Request::new("r1", "/look/x"));
    assert!(start.elapsed() < Duration::from_secs(1));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let header = response
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let seconds: f64 = header
        .and_then(|text| text.trim().parse().ok())
        .expect("a time to retry after");
    assert!((25.0..31.0).contains(&seconds), "{seconds}");
    assert_eq!(system.site.violations(), Vec::<String>::new());
}

/// Guards against a server that gets no more requests because the time for which it asks for rest
/// can't be read.
#[test]
fn an_unreadable_time_to_rest_is_ignored() {
    let system = Deployment::start(&Plan::default());
    for index in 0..2 {
        system.site.ask_for_rest(index, "soon");
    }
    for number in 0..4 {
        let id = format!("r{number}");
        let response = system.send(&Request::new(&id, "/look/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
    }
}

/// Guards against a gateway that returns to an older configuration, or reads no further one, after
/// the store came back from a copy that lacks the newest records.
#[test]
fn a_store_that_comes_back_older_reverts_no_configuration() {
    let system = Deployment::start(&Plan::default());
    let is_served = |path: &str| {
        let response = system.send(&Request::new("r", path));
        response.starts_with("HTTP/1.1 200")
    };
    system.site.configure(&configuration(2, &["/new/"]));
    wait_until("the new route is in force", || is_served("/new/x"));
    system.site.restore_store(1);
    thread::sleep(Duration::from_millis(1_500));
    assert!(is_served("/new/x"));
    system
        .site
        .configure(&configuration(3, &["/new/", "/newer/"]));
    wait_until("the newer route is in force", || is_served("/newer/x"));
}

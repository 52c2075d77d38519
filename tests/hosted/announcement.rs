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

/// Returns the time in seconds after which a refused request may be sent again.
fn retry_after(response: &str) -> f64 {
    let mut lines = response.lines();
    let text = lines.find_map(|line| line.strip_prefix("retry-after: "));
    let seconds = text.and_then(|text| text.trim().parse().ok());
    seconds.expect("a time to retry after")
}

/// Guards against requests beyond the limit that servers name in their responses, and against
/// requests that are held although no server takes them.
#[test]
fn servers_get_no_more_requests_than_the_limit_that_they_name() {
    const LIMIT_PER_S: f64 = 0.5;
    let system = Deployment::start(&Plan::default());
    for index in 0..2 {
        system.site.name_service_limit(index, Some("0.5"));
        system.site.name_engine_limit(index, Some("0.5"));
    }
    let requests = [
        Request::new("told", "/look/x"),
        Request::model("told", "/chat/x", "m1"),
    ];
    for request in requests {
        let start = Instant::now();
        let mut served = 0;
        for number in 0..60 {
            let id = format!("{}-{number}", request.path.replace('/', ""));
            let response = system.send(&Request { id: &id, ..request });
            let is_served = response.starts_with("HTTP/1.1 200");
            served += u32::from(is_served);
            assert!(is_served || retry_after(&response) > 0.0, "{response}");
        }
        let allowed = 2.0 * (1.5 * LIMIT_PER_S * start.elapsed().as_secs_f64() + 5.0);
        assert!(
            f64::from(served) <= allowed,
            "{}: {served} of 60 requests served, {allowed} allowed",
            request.path,
        );
    }
}

/// Guards against a limit that stays in force after a server has stopped naming it, or that can't be
/// read and keeps all requests away.
#[test]
fn a_limit_that_is_no_longer_named_ends() {
    let system = Deployment::start(&Plan::default());
    for index in 0..2 {
        system.site.name_service_limit(index, Some("4"));
    }
    system.send(&Request::new("told", "/look/x"));
    for text in [None, Some("many"), Some("-1")] {
        for index in 0..2 {
            system.site.name_service_limit(index, text);
        }
        let mut number = 0;
        wait_until("twelve requests in a row are served", || {
            number += 1;
            (0..12).all(|part| {
                let id = format!("{text:?}-{number}-{part}");
                let response = system.send(&Request::new(&id, "/look/x"));
                response.starts_with("HTTP/1.1 200")
            })
        });
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

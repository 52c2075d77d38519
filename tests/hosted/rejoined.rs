//! Streams that clients take up again after all gateways were killed around an upgrade.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    thread,
    time::Duration, //
};

use chestnuthub::emulator::site::Plan;

use crate::{
    deployment::{
        Deployment,
        Request,
        events, //
    },
    site_support::{
        HOST,
        send_raw,
        wait_until, //
    },
};

/// Number of events of a stream.
const EVENTS: usize = 6;

/// Time within which daemons have read a list of servers and told others of it.
const SETTLING_TIME: Duration = Duration::from_millis(4_000);

/// Streams that are taken up in each case.
const STREAMS: usize = 12;

fn plan() -> Plan {
    Plan {
        engines: vec![vec!["m1"], vec!["m1"], vec!["m1"], vec!["m1"]],
        ..Plan::default()
    }
}

fn upgrade(system: &Deployment, indices: &[usize], version: &str) {
    for index in indices {
        system.site.upgrade_engine(*index, version);
    }
}

/// Begins a stream; returns the id of its request and the version that wrote it.
fn begin(system: &Deployment, number: usize) -> (String, String) {
    let id = format!("begun-{number}");
    let response = system.send(&Request::model(&id, "/review/x", "m1"));
    assert_eq!(events(&response).len(), EVENTS, "{response}");
    let versions = versions(&response);
    assert_eq!(versions.len(), 1, "{response}");
    (id, versions.into_iter().next().unwrap_or_default())
}

/// Returns the software versions that wrote the events of a response.
fn versions(response: &str) -> BTreeSet<String> {
    let version = |event: &str| event.split_once('-').map_or("v1", |(_, v)| v).to_owned();
    events(response).into_iter().map(version).collect()
}

/// Takes a stream up again after its event 2; returns the response.
fn take_up(address: SocketAddr, resumes: &str, number: usize) -> String {
    let text = format!(
        "POST /review/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: again-{resumes}-{number}\r\n\
         Deadline-Ms: 5000\r\nModel: m1\r\nResumes: {resumes}\r\nLast-Event-Id: 2\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    send_raw(address, &text)
}

/// Takes streams up at a gateway; returns how many went on. Each that does not must be refused with
/// a time to retry after, and none may be joined from two versions.
fn take_all_up(address: SocketAddr, streams: &[(String, String)]) -> usize {
    let mut went_on = 0;
    for (number, (id, version)) in streams.iter().enumerate() {
        let response = take_up(address, id, number);
        if response.starts_with("HTTP/1.1 503") {
            assert!(response.contains("retry-after: "), "{response}");
            continue;
        }
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let expected = BTreeSet::from([version.clone()]);
        assert_eq!(versions(&response), expected, "stream {id} of {version}");
        went_on += 1;
    }
    went_on
}

fn begin_all(system: &Deployment) -> Vec<(String, String)> {
    (0..STREAMS).map(|number| begin(system, number)).collect()
}

/// Guards against streams that go on at the new version because no gateway lived to read of it: all
/// are killed, the servers of the old version leave, and the gateways that start see one version.
#[test]
fn no_stream_goes_on_at_a_version_that_came_while_no_gateway_ran() {
    let system = Deployment::start(&plan());
    let streams = begin_all(&system);
    system.gateway.signal("KILL");
    upgrade(&system, &[0, 1, 2, 3], "v2");
    let (_second, clients) = system.start_gateway("front-2");
    assert_eq!(take_all_up(clients, &streams), 0);
    thread::sleep(SETTLING_TIME);
    assert_eq!(take_all_up(clients, &streams), 0);
}

/// Guards against the same where all hubs have lost what they knew as well.
#[test]
fn no_stream_goes_on_at_a_version_that_came_while_nothing_ran() {
    let mut system = Deployment::start(&plan());
    let streams = begin_all(&system);
    system.gateway.signal("KILL");
    upgrade(&system, &[0, 1, 2, 3], "v2");
    system.restart_loaders();
    let (_second, clients) = system.start_gateway("front-2");
    assert_eq!(take_all_up(clients, &streams), 0);
    thread::sleep(SETTLING_TIME);
    assert_eq!(take_all_up(clients, &streams), 0);
}

/// Guards against streams that are joined where the old version leaves while the gateways run, and
/// they are killed at once or after they have told hubs.
#[test]
fn no_stream_goes_on_at_a_version_that_came_just_before_the_gateways_ended() {
    for wait in [Duration::from_millis(50), SETTLING_TIME] {
        let system = Deployment::start(&plan());
        let streams = begin_all(&system);
        upgrade(&system, &[0, 1, 2, 3], "v2");
        thread::sleep(wait);
        system.gateway.signal("KILL");
        let (_second, clients) = system.start_gateway("front-2");
        assert_eq!(take_all_up(clients, &streams), 0);
    }
}

/// Guards against streams that are joined where the list that the new gateways read still contains,
/// or no longer contains, servers of the other version.
#[test]
fn no_stream_is_joined_where_the_first_list_is_behind() {
    for is_listed in [false, true] {
        let mut system = Deployment::start(&plan());
        upgrade(&system, &[0, 1], "v2");
        wait_until("the gateway has read of the new version", || {
            system.gateway_log().contains("version=v2")
        });
        let streams = begin_all(&system);
        system.gateway.signal("KILL");
        for index in 2..4 {
            if is_listed {
                system.site.upgrade_engine(index, "v2");
            } else {
                system.site.upgrade_engine_unlisted(index, "v2");
            }
        }
        system.restart_loaders();
        let (_second, clients) = system.start_gateway("front-2");
        take_all_up(clients, &streams);
        thread::sleep(SETTLING_TIME);
        take_all_up(clients, &streams);
    }
}

/// Guards against streams that are refused although one version served all the time: hubs outlive
/// the gateways and know it, and a gateway that lives tells hubs that have started anew.
#[test]
fn streams_go_on_after_a_restart_while_one_version_serves() {
    let mut system = Deployment::start(&plan());
    let streams = begin_all(&system);
    thread::sleep(SETTLING_TIME);
    system.gateway.signal("KILL");
    let (second, clients) = system.start_gateway("front-2");
    wait_until("the gateway knows what served before", || {
        take_all_up(clients, &streams[..1]) == 1
    });
    assert_eq!(take_all_up(clients, &streams), STREAMS);
    system.restart_loaders();
    thread::sleep(SETTLING_TIME);
    drop(second);
    let (_third, clients) = system.start_gateway("front-3");
    wait_until("the gateway knows what served before", || {
        take_all_up(clients, &streams[..1]) == 1
    });
    assert_eq!(take_all_up(clients, &streams), STREAMS);
}

//! Allowances of client accounts, shared by several gateways.

use std::{
    net::SocketAddr,
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
use serde_json::json;

use crate::{
    deployment::Deployment,
    site_support::{
        HOST,
        configuration,
        send_raw,
        wait_until, //
    },
};

/// Requests per second of the account that asks for more, and its burst.
const ALLOWED: f64 = 20.0;

/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(6);

/// What a client has seen.
#[derive(Debug, Default)]
struct Seen {
    served: u32,
    refused: u32,
    /// Refusals that state no time after which to retry.
    without_time: u32,
    other: Vec<String>,
}

/// Guards against an allowance that each gateway grants for itself, that lies idle because most of
/// the requests come in at one gateway, and against a second account that suffers from the first.
#[test]
fn gateways_share_the_allowance_of_an_account() {
    let plan = Plan {
        event_interval: Duration::from_millis(1),
        ..Plan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    let mut content = configuration(1, &[]);
    content["tenants"] = json!([
        { "name": "hot", "apiKeys": ["k-hot"], "ratePerS": ALLOWED, "burst": ALLOWED },
        { "name": "sound", "apiKeys": ["k-sound"], "ratePerS": 1_000, "burst": 1_000 },
    ]);
    site.configure(&content);
    let system = Deployment::start_unconfigured(site);
    wait_until("the gateway is ready", || system.is_ready());
    let (_second, second) = system.start_gateway("front-2");
    let (_third, third) = system.start_gateway("front-3");
    // Each gateway serves the sound account, thus knows a hub.
    for (number, gateway) in [system.caller_addr, second, third].into_iter().enumerate() {
        wait_until("the gateway knows a hub", || {
            ask(gateway, &format!("first-{number}"), "k-sound").starts_with("HTTP/1.1 200")
        });
    }

    let started = Instant::now();
    let client = |name: &'static str, gateway: SocketAddr, key: &'static str, pause_ms: u64| {
        let pause = Duration::from_millis(pause_ms);
        thread::spawn(move || client(name, gateway, key, pause, started))
    };
    let hot = [
        client("h1", system.caller_addr, "k-hot", 5),
        client("h2", system.caller_addr, "k-hot", 5),
        client("h3", second, "k-hot", 60),
        client("h4", third, "k-hot", 300),
    ];
    let sound = [
        client("s1", system.caller_addr, "k-sound", 50),
        client("s2", third, "k-sound", 50),
    ];
    let hot = hot.map(|client| client.join().expect("the client ends"));
    let sound = sound.map(|client| client.join().expect("the client ends"));
    let elapsed_s = started.elapsed().as_secs_f64();
    println!("{elapsed_s:.2} s; {hot:?}; {sound:?}");

    let served = f64::from(hot.iter().map(|seen| seen.served).sum::<u32>());
    let allowed = ALLOWED * elapsed_s + ALLOWED;
    assert!(served <= 1.1 * allowed + ALLOWED / 2.0, "{served}");
    assert!(served >= 0.7 * ALLOWED * LENGTH.as_secs_f64(), "{served}");
    assert!(hot.iter().all(|seen| seen.served > 0));
    assert!(hot.iter().any(|seen| seen.refused > 0));
    for seen in hot.iter().chain(&sound) {
        assert_eq!((seen.without_time, seen.other.len()), (0, 0), "{seen:?}");
    }
    assert!(sound.iter().all(|seen| seen.refused == 0));
    let log = system.gateway_log();
    assert!(log.contains("over_allowance"));
    assert!(!log.contains("k-hot"));
}

fn ask(gateway: SocketAddr, id: &str, key: &str) -> String {
    let text = format!(
        "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
         Authorization: Bearer {key}\r\nConnection: close\r\n\r\n"
    );
    send_raw(gateway, &text)
}

fn client(name: &str, gateway: SocketAddr, key: &str, pause: Duration, started: Instant) -> Seen {
    let mut seen = Seen::default();
    for number in 0_u32.. {
        if started.elapsed() >= LENGTH {
            break;
        }
        let response = ask(gateway, &format!("{name}-{number}"), key);
        if response.starts_with("HTTP/1.1 200") {
            seen.served += 1;
        } else if response.starts_with("HTTP/1.1 429") {
            seen.refused += 1;
            let has_time = response.to_ascii_lowercase().contains("retry-after:");
            seen.without_time += u32::from(!has_time);
        } else {
            seen.other.push(response);
        }
        thread::sleep(pause);
    }
    seen
}

//! Client accounts: keys, withdrawn and moved ones, and what servers are told.

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use chestnuthub::emulator::site::Plan;
use serde_json::{
    Value,
    json, //
};

use crate::{
    deployment::Deployment,
    site_support::{
        HOST,
        configuration,
        send_raw,
        wait_until, //
    },
};

/// Returns a configuration with these accounts and their keys. The route `/look/` is public.
fn keyed(version: u64, accounts: &[(&str, &[&str])]) -> Value {
    let mut configuration = configuration(version, &[]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["public"] = json!(route["name"] == "look");
    }
    let accounts = accounts.iter();
    let accounts: Vec<_> = accounts
        .map(|(name, keys)| json!({ "name": name, "apiKeys": keys, "priority": 3 }))
        .collect();
    configuration["tenants"] = json!(accounts);
    configuration
}

/// Sends a request with these further header lines.
fn send(address: SocketAddr, id: &str, path: &str, lines: &str) -> String {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m1\r\n\
         Deadline-Ms: 5000\r\n{lines}Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    send_raw(address, &text)
}

/// Returns the status of the response to a request with this key.
fn status(address: SocketAddr, path: &str, key: &str) -> String {
    let line = format!("Authorization: Bearer {key}\r\n");
    let response = send(address, "s", path, &line);
    response.split(' ').nth(1).unwrap_or_default().to_owned()
}

const START: [(&str, &[&str]); 2] = [
    ("cascade", &["secret-key-1", "secret-key-2"]),
    ("tengis", &["secret-key-3"]),
];

fn start() -> Deployment {
    Deployment::start_with(&Plan::default(), &keyed(1, &START), &json!({}))
}

/// Guards against a server that sees a key or takes a request for that of another account, and
/// against a key in a log line or metric.
#[test]
fn servers_get_the_name_of_the_account_and_nobody_the_key() {
    let system = start();
    let address = system.caller_addr;
    wait_until("keys are accepted", || {
        status(address, "/book/x", "secret-key-1") == "200"
    });
    let spoofs = "Authorization: bearer secret-key-1\r\nTENANT: tengis\r\ntenant: other\r\n\
                  Connection: Tenant, Authorization\r\n";
    for (id, path) in [("r1", "/book/x"), ("r2", "/chat/x"), ("r3", "/review/x")] {
        let response = send(address, id, path, spoofs);
        assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
    }
    let response = send(address, "r4", "/look/x", spoofs);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let chunked = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r5\r\n\
                   Authorization: Bearer secret-key-3\r\nTrailer: Tenant\r\nConnection: close\r\n\
                   Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTenant: cascade\r\n\r\n";
    let response = send_raw(address, chunked);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let runs = || system.site.runs();
    wait_until("all runs are recorded", || {
        let is_run = |id: &str| runs().iter().any(|run| run.request == id);
        ["r1", "r2", "r3", "r4", "r5"].into_iter().all(is_run)
    });
    for run in runs() {
        let expected: &[&str] = match run.request.as_str() {
            "r4" => &[],
            "r5" => &["tengis"],
            _ => &["cascade"],
        };
        assert_eq!(run.accounts, expected, "{run:?}");
        assert!(run.credentials.is_empty(), "{run:?}");
    }
    send(
        address,
        "r6",
        "/book/x",
        "Authorization: Bearer secret-key-9\r\n",
    );
    let metrics = send_raw(
        system.metrics_addr,
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    );
    let logs = ["front-1", "side-0", "side-1"].map(Deployment::log_of);
    for text in logs.iter().chain([&metrics]) {
        assert!(!text.contains("secret-key"), "{text}");
    }
    let denied = logs[0].lines().find(|line| line.contains("request=r6"));
    assert!(
        denied.is_some_and(|line| line.contains("event=no_account")),
        "{denied:?}"
    );
}

/// Guards against requests without a key of an account that run, and against public routes that need
/// one.
#[test]
fn only_keys_of_accounts_open_routes() {
    let system = start();
    let address = system.caller_addr;
    wait_until("keys are accepted", || {
        status(address, "/book/x", "secret-key-1") == "200"
    });
    let before = system.site.runs().len();
    for (id, lines) in [
        ("d1", ""),
        ("d2", "Authorization: Bearer secret-key-9\r\n"),
        ("d3", "Authorization: Basic secret-key-1\r\n"),
        (
            "d4",
            "Authorization: Bearer secret-key-9\r\nAuthorization: Bearer secret-key-1\r\n",
        ),
        ("d5", "Tenant: cascade\r\n"),
        ("d6", "Proxy-Authorization: Bearer secret-key-1\r\n"),
    ] {
        let response = send(address, id, "/book/x", lines);
        assert!(response.starts_with("HTTP/1.1 401"), "{id}: {response}");
        assert!(response.contains("www-authenticate: Bearer"), "{response}");
    }
    assert_eq!(system.site.runs().len(), before);
    let response = send(address, "o1", "/look/x", "");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let response = send(address, "o2", "/nowhere/x", "");
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

/// Guards against a key that works on after it was withdrawn, or for the account that held it before,
/// and against routes that are open because no account is left.
#[test]
fn keys_follow_the_newest_version() {
    let system = start();
    let address = system.caller_addr;
    wait_until("keys are accepted", || {
        status(address, "/book/x", "secret-key-2") == "200"
    });
    let moved: [(&str, &[&str]); 2] = [
        ("cascade", &["secret-key-1"]),
        ("tengis", &["secret-key-2", "secret-key-4"]),
    ];
    system.site.configure(&keyed(2, &moved));
    wait_until("the new key is accepted", || {
        status(address, "/book/x", "secret-key-4") == "200"
    });
    assert_eq!(status(address, "/book/x", "secret-key-3"), "401");
    let line = "Authorization: Bearer secret-key-2\r\n";
    let response = send(address, "m1", "/book/x", line);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let runs = system.site.runs();
    let run = runs.iter().find(|run| run.request == "m1");
    let run = run.expect("the run is recorded");
    assert_eq!(run.accounts, ["tengis"]);
    system.site.configure(&keyed(3, &[]));
    wait_until("all keys are withdrawn", || {
        status(address, "/book/x", "secret-key-1") == "401"
    });
    for key in ["secret-key-1", "secret-key-2", "secret-key-4", ""] {
        assert_eq!(status(address, "/book/x", key), "401", "{key}");
    }
    assert_eq!(status(address, "/look/x", ""), "200");
}

/// Guards against a proper client that is turned away for good while the store is away, by a gateway
/// that knows no configuration or may lack the one that adds its key.
#[test]
fn no_key_is_refused_for_good_while_the_store_is_away() {
    let system = start();
    let address = system.caller_addr;
    wait_until("keys are accepted", || {
        status(address, "/book/x", "secret-key-1") == "200"
    });
    assert_eq!(status(address, "/book/x", "secret-key-9"), "401");
    system.site.store_fault(json!({ "kind": "refuse" }));
    wait_until("the gateway doubts its configuration", || {
        status(address, "/book/x", "secret-key-9") == "503"
    });
    let line = "Authorization: Bearer secret-key-9\r\n";
    let response = send(address, "a1", "/book/x", line);
    assert!(response.contains("retry-after: "), "{response}");
    assert_eq!(status(address, "/book/x", "secret-key-1"), "200");
    system.site.clear_store_faults();
    wait_until("the gateway trusts its configuration", || {
        status(address, "/book/x", "secret-key-9") == "401"
    });
}

/// Guards against a withdrawn key that is in use again at a gateway that started anew and read the
/// configuration from a store that has come back from an older copy.
#[test]
fn a_restart_at_an_older_store_brings_no_withdrawn_key_back() {
    let system = start();
    let address = system.caller_addr;
    wait_until("keys are accepted", || {
        status(address, "/book/x", "secret-key-2") == "200"
    });
    let withdrawn: [(&str, &[&str]); 1] = [("cascade", &["secret-key-1"])];
    system.site.configure(&keyed(2, &withdrawn));
    wait_until("the key is withdrawn", || {
        status(address, "/book/x", "secret-key-2") == "401"
    });
    // By then the gateway has told its hub.
    thread::sleep(Duration::from_millis(500));
    system.site.restore_store(1);
    system.site.publish_service(1, "ready");
    let (_other, other) = system.start_gateway("front-2");
    assert_eq!(status(other, "/book/x", "secret-key-2"), "503");
    assert_eq!(status(other, "/look/x", ""), "200");
    assert_eq!(status(address, "/book/x", "secret-key-2"), "401");
    system.site.configure(&keyed(2, &withdrawn));
    wait_until("the other gateway has the newest version", || {
        status(other, "/book/x", "secret-key-1") == "200"
    });
    assert_eq!(status(other, "/book/x", "secret-key-2"), "401");
}

/// Guards against a gateway that can't hear of withdrawn keys and accepts keys beyond the time that
/// its settings allow.
#[test]
fn strict_revocation_ends_the_use_of_keys_without_the_store() {
    let strict = json!({ "revocation": { "strict": true, "after_ms": 2_000 } });
    let system = Deployment::start_with(&Plan::default(), &keyed(1, &START), &strict);
    let address = system.caller_addr;
    wait_until("keys are accepted", || {
        status(address, "/book/x", "secret-key-1") == "200"
    });
    system.site.store_fault(json!({ "kind": "refuse" }));
    wait_until("no key is accepted", || {
        status(address, "/book/x", "secret-key-1") == "503"
    });
    assert_eq!(status(address, "/look/x", ""), "200");
    system.site.clear_store_faults();
    wait_until("keys are accepted again", || {
        status(address, "/book/x", "secret-key-1") == "200"
    });
}

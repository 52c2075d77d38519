//! Settings of daemons on the users' platform.

use chestnuthub::hosted::{
    Live,
    Settings, //
};

const SETTINGS: &str = r#"{
    // An instance with an engine.
    "instance": "side-1", "failure_domain": "z1", "regions": { "z1": "r1" },
    "peer_ip": "10.0.0.1", "peer_port": 7000, "metrics_port": 9464,
    "store_addr": "10.0.0.9:80", "engine_addr": "10.0.0.1:81", "grace_ms": 8e3,
    "retry": { "ratio": 0.2, "slack": 54, "window_ms": 10e3 },
    "store_load_window_ms": 5e3, "server_drain_ms": 2500, "settled_after_ms": 4000,
}"#;

/// Guards against a parser that refuses settings in the form of the deploy template.
#[test]
fn settings_are_read() {
    let settings = Settings::parse("node.jsonc", SETTINGS).expect("valid settings");
    assert_eq!(settings.peer_port, 7_000);
    assert!(settings.listen.is_none());
    assert!(settings.revocation.is_none());
}

/// Guards against a bound on withdrawn keys that the operators set and that is not in force.
#[test]
fn the_treatment_of_withdrawn_keys_is_read() {
    let line = r#""revocation": { "strict": true, "after_ms": 5000 }, "grace_ms""#;
    let text = SETTINGS.replace("\"grace_ms\"", line);
    let settings = Settings::parse("node.jsonc", &text).expect("valid settings");
    let revocation = settings.revocation.expect("it is set");
    assert!(revocation.strict);
    assert!((revocation.after_ms - 5_000.0).abs() < 1e-9);
    let wrong = text.replace("true", "1");
    assert!(Settings::parse("node.jsonc", &wrong).is_err());
}

/// Guards against errors in the settings that are reported one at a time or without their position.
#[test]
fn all_findings_are_reported_together() {
    let wrong = SETTINGS
        .replace("7000", "0")
        .replace("\"10.0.0.9:80\"", "\"nowhere\"")
        .replace("\"grace_ms\"", "\"grace\"");
    let findings = Settings::parse("node.jsonc", &wrong).expect_err("invalid settings");
    let lines = findings.to_string();
    for path in ["peer_port", "store_addr", "grace_ms", "grace"] {
        assert!(lines.contains(path), "{path}: {lines}");
    }
    assert!(
        lines.lines().all(|line| line.starts_with("node.jsonc:")),
        "{lines}"
    );
}

/// Guards against changed settings that need a restart although they could be applied at once, and
/// against addresses that are reported as current although the process still uses the previous
/// ones.
#[test]
fn settings_that_can_change_at_run_time_are_applied() {
    let parse = |text: &str| Settings::parse("node.jsonc", text).expect("valid settings");
    let live = Live::new(parse(SETTINGS));
    let changed = SETTINGS
        .replace("\"slack\": 54", "\"slack\": 20")
        .replace("\"grace_ms\": 8e3", "\"grace_ms\": 5e3")
        .replace("10.0.0.9:80", "10.0.0.8:80")
        .replace("9464", "9465");
    assert_eq!(
        live.replace(parse(&changed)),
        ["metrics_port", "store_addr"]
    );
    let settings = live.get();
    assert!((settings.retry.slack - 20.0).abs() < 1e-9);
    assert!((settings.grace_ms - 5_000.0).abs() < 1e-9);
    assert_eq!(settings.metrics_port, 9_464);
    assert_eq!(settings.store_addr.to_string(), "10.0.0.9:80");
    assert!(live.replace(parse(SETTINGS)).is_empty());
}

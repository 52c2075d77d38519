//! Short runs of the commands of the load tool. The tests check the structure of reports and the
//! counts in them, but no times.

use std::{
    fs,
    path::Path,
    process::Command,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use serde_json::{
    Value,
    json, //
};

/// Held while the load tool runs. One fleet runs at a time, to stay within the limits of the
/// machine.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Runs a command of the load tool with a seed and returns its JSON report and its plots.
fn run(name: &str, args: &[&str]) -> (Value, String) {
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let svg = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("load-{name}.svg"));
    let output = Command::new(env!("CARGO_BIN_EXE_chestnuthub-load"))
        .args([name, "--json", "--seed", "7", "--svg"])
        .arg(&svg)
        .args(args)
        .output()
        .expect("the load tool starts");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    let report = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    (report, fs::read_to_string(&svg).expect("plots"))
}

fn check_provenance(name: &str, report: &Value, plots: &str) {
    assert_eq!(report["command"], json!(name));
    assert_eq!(report["seed"], json!(7));
    let commit = report["commit"].as_str().expect("a commit");
    assert!(!commit.is_empty());
    assert!(report["settings"].is_object());
    for row in report["rows"].as_array().expect("rows") {
        assert!(row["value"].is_f64() && row["unit"].is_string(), "{row}");
    }
    assert!(plots.starts_with("<svg") && plots.trim_end().ends_with("</svg>"));
    assert!(plots.contains("seed=7") && plots.contains(commit));
}

fn value(report: &Value, name: &str) -> f64 {
    let rows = report["rows"].as_array().expect("rows");
    let row = rows.iter().find(|row| row["name"] == name);
    let value = row.and_then(|row| row["value"].as_f64());
    value.unwrap_or_else(|| panic!("no row {name:?} in {rows:?}"))
}

/// Guards against a report that lacks a figure, or whose counts of requests differ from those sent.
#[test]
fn path_compares_streams_through_the_system_with_direct_ones() {
    let load = ["--requests", "4", "--streams", "2", "--tokens", "4"];
    let rounds = ["--rounds", "2", "--open", "8"];
    let (report, plots) = run("path", &[load.as_slice(), &rounds].concat());
    check_provenance("path", &report, &plots);
    for time in ["first token", "between tokens"] {
        for side in ["system", "direct", "added"] {
            for quantile in ["p50", "p95", "p99"] {
                value(&report, &format!("{time}, {side}, {quantile}"));
            }
        }
    }
    for side in ["system", "direct"] {
        assert_eq!(value(&report, &format!("served, {side}")), 4.0);
        assert_eq!(value(&report, &format!("failed, {side}")), 0.0);
    }
    let costs = ["requests a second per core", "tokens a second per core"];
    let memory = [
        "memory per open stream, entry",
        "memory per open stream, agent",
    ];
    for name in costs.into_iter().chain(memory) {
        value(&report, name);
    }
}

/// Guards against a burst that omits requests from its report, or that causes a second load of the
/// model.
#[test]
fn burst_accounts_for_every_request() {
    let load = ["--callers", "6", "--load-ms", "400", "--timeout-ms", "2500"];
    let (report, plots) = run("burst", &load);
    check_provenance("burst", &report, &plots);
    for store in ["store at full speed", "store slowed tenfold"] {
        let count = |what: &str| value(&report, &format!("{store}: {what}"));
        let ends = ["served", "refused", "broken off or without an answer"];
        let answered: f64 = ends.into_iter().map(count).sum();
        assert_eq!(answered, count("sent"), "{report}");
        assert_eq!(count("refused with a time to come back"), count("refused"));
        assert!(count("loads by the engines' record") <= 1.0, "{report}");
        count("answered after the deadline");
    }
}

/// Guards against a report that omits attempts or requests.
#[test]
fn retries_counts_attempts_and_requests() {
    let load = ["--rate", "10", "--fault-ms", "500", "--after-ms", "1000"];
    let (report, plots) = run("retries", &load);
    check_provenance("retries", &report, &plots);
    let count = |name| value(&report, name);
    assert_eq!(count("offered"), 35.0);
    assert_eq!(count("served") + count("not served"), count("offered"));
    assert!(count("attempted") >= count("served"), "{report}");
    let ratio = count("attempted") / count("offered");
    // The last digit may change when a number is written as JSON and parsed again.
    assert!((count("attempted to offered") - ratio).abs() < 1e-9);
    count("last failure after the agent's return");
}

/// Guards against a report on keys that lacks what it is compared with.
#[test]
fn keys_compares_accounts_with_none() {
    let (report, plots) = run("keys", &["--time-ms", "5"]);
    check_provenance("keys", &report, &plots);
    for name in ["decoding of a request's head", "check without accounts"] {
        assert!(value(&report, name) > 0.0);
    }
    for count in [16, 10_000] {
        let known = value(&report, &format!("check with {count} accounts, known key"));
        assert!(known > 0.0);
        value(
            &report,
            &format!("check with {count} accounts, unknown key"),
        );
        value(&report, &format!("memory of {count} accounts"));
        let bytes = value(
            &report,
            &format!("bytes of {count} accounts in the configuration"),
        );
        // Two keys of 32 characters each.
        assert!(bytes > f64::from(count) * 64.0, "{bytes}");
    }
}

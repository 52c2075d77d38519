//! Random faults against real gateways and loaders: signals, and a loopback proxy on every link.
//!
//! Each seed draws its own table of faults. The environment variable `CHESTNUTHUB_SOAK_SEEDS` holds
//! the number of seeds, which are played in order; without it a few are. The logs of the daemons
//! stay in the directory for temporary files of the build, under the seed.

mod client;
mod fault;
mod proxy;
#[path = "../site_support/mod.rs"]
mod site_support;
mod system;

use std::{
    collections::BTreeMap,
    env,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::{
        self,
        sleep, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use client::{
    KINDS,
    Kind,
    Record, //
};
use system::{
    RECOVERY,
    SIZE,
    System, //
};

/// Variable with the number of seeds.
const SEEDS: &str = "CHESTNUTHUB_SOAK_SEEDS";

/// Seeds that are played without the variable, about 10 s each.
const FEW: u64 = 2;

const CLIENTS: u64 = 5;

/// Guards against a rule that breaks under a combination of faults that no other test plays.
#[test]
fn random_faults_break_no_rule() {
    let seeds = env::var(SEEDS).map_or(FEW, |seeds| seeds.parse().expect("a number of seeds"));
    let broken: Vec<_> = (0..seeds).flat_map(play).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Plays a seed and returns the rules that were broken.
fn play(seed: u64) -> Vec<String> {
    let mut system = System::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (gateways, stop) = (system.callers(), stop.clone());
            let name = format!("c{number}");
            thread::spawn(move || client::run(&gateways, seed * CLIENTS + number, &name, &stop))
        })
        .collect();
    let start = Instant::now();
    let schedule = fault::schedule(&mut fastrand::Rng::with_seed(seed), SIZE);
    for (at, action) in &schedule {
        sleep(at.saturating_sub(start.elapsed()));
        println!("seed={seed} at_ms={} action={action:?}", at.as_millis());
        system.apply(action);
    }
    system.recover(unserved);
    stop.store(true, Ordering::Relaxed);
    let records: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("the client ends"))
        .collect();
    // Runs are recorded at their end.
    sleep(Duration::from_millis(500));
    note_outcomes(seed, &records);
    let runs = system.runs();
    let broken = records.iter().flat_map(|record| {
        let rules = record.broken(&runs);
        let describe = move |rule| format!("seed {seed}: {rule}: {record:?}");
        rules.into_iter().map(describe)
    });
    let violations = system.violations().into_iter();
    let violations = violations.map(|rule| format!("seed {seed}: {rule}"));
    broken.chain(violations).collect()
}

fn note_outcomes(seed: u64, records: &[Record]) {
    let mut outcomes = BTreeMap::new();
    for record in records {
        *outcomes
            .entry((record.status(), record.is_served()))
            .or_insert(0) += 1;
    }
    println!(
        "seed={seed} requests={} outcomes={outcomes:?}",
        records.len()
    );
}

/// Asks every gateway for each kind of request and for the newest route; returns the first request
/// that is not served.
fn unserved(system: &System) -> Option<Record> {
    let newest = format!("{}x", system.newest_prefix());
    let paths = KINDS.map(|kind| (kind, kind.path()));
    let paths = paths.into_iter().chain([(Kind::Look, newest.as_str())]);
    let asked = paths.flat_map(|(kind, path)| {
        let gateways = system.callers().into_iter();
        gateways.map(move |gateway| {
            let id = format!("after-{}", fastrand::u64(..));
            client::ask(gateway, &id, kind, path, "m1", RECOVERY)
        })
    });
    asked.into_iter().find(|record| !record.is_served())
}

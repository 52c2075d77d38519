//! Random faults against real gateways and loaders, injected by signals, by a loopback proxy on
//! every link, and by the emulated site.
//!
//! Each seed generates its own schedule of faults. The environment variable
//! `CHESTNUTHUB_SOAK_SEEDS` sets the number of seeds, which run in order from 0; the default is 2.
//! `CHESTNUTHUB_SOAK_SCALE` multiplies the numbers of gateways, engines and clients.
//! Each daemon writes its log to `soak-<seed>-<role>-<index>.log` in cargo's directory for
//! temporary files of tests, where it stays after the run.

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
        JoinHandle,
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
use proxy::lock;
use system::{
    RECOVERY,
    System,
    scale,
    size, //
};

/// Environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "CHESTNUTHUB_SOAK_SEEDS";

/// Number of seeds to run if the variable is not set. A seed takes about 10 s.
const DEFAULT_SEEDS: u64 = 2;

/// Time for which all processes are gone after a loss of power.
const POWER_OFF: Duration = Duration::from_millis(500);

/// Each of so many seeds has a client whose requests crash engines.
const CRASHING_SEEDS: u64 = 3;

/// Time without faults after which all gateways know what crashes engines.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time after that in which requests that crash engines are counted, and how many may reach one.
const COUNTED_TIME: Duration = Duration::from_secs(3);
const MAX_ARRIVALS: usize = 3;

/// Number of clients that send requests concurrently to a system of the usual size.
const CLIENTS: usize = 5;

/// Guards against wrong outcomes of requests under combinations of faults that no other test
/// covers: processes are killed, stopped and frozen, links cut, and servers and the store fail
/// while clients send requests.
#[test]
fn random_faults_break_no_rule() {
    let seeds = env::var(SEEDS_VARIABLE).map_or(DEFAULT_SEEDS, |seeds| {
        seeds.parse().expect("a number of seeds")
    });
    let violations: Vec<_> = (0..seeds).flat_map(run_seed).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Runs the fault schedule of a seed and returns a description of each violated rule.
fn run_seed(seed: u64) -> Vec<String> {
    let mut system = System::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let client_count = (CLIENTS * scale()) as u64;
    let clients: Vec<_> = (0..client_count)
        .map(|number| {
            let (gateways, stop) = (system.caller_addrs(), stop.clone());
            let name = format!("c{number}");
            let credential = system.credential(number);
            thread::spawn(move || {
                let seed = seed * client_count + number;
                client::run(&gateways, seed, &name, credential.as_ref(), &stop)
            })
        })
        .collect();
    let crashing = seed.is_multiple_of(CRASHING_SEEDS).then(|| {
        let (gateways, stop) = (system.caller_addrs(), stop.clone());
        thread::spawn(move || client::run_crashing(&gateways, seed, &stop))
    });
    let forging = system.has_accounts().then(|| {
        let (gateways, stop) = (system.caller_addrs(), stop.clone());
        thread::spawn(move || client::run_forged(&gateways, seed, &stop))
    });
    let start = Instant::now();
    let schedule = fault::schedule(&mut fastrand::Rng::with_seed(seed), size());
    for (at, action) in &schedule {
        sleep(at.saturating_sub(start.elapsed()));
        println!("seed={seed} at_ms={} action={action:?}", at.as_millis());
        system.apply(action);
    }
    if seed % 2 == 1 {
        system.kill_all();
        sleep(POWER_OFF);
    }
    system.recover(unserved);
    let withdrawn = withdrawn_in_use(seed, &system);
    let late_arrivals = crashing
        .is_some()
        .then(|| count_late_arrivals(seed, &system));
    stop.store(true, Ordering::Relaxed);
    let records: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("the client ends"))
        .collect();
    // The emulated engines record a run when it ends.
    sleep(Duration::from_millis(500));
    drop(forging.map(JoinHandle::join));
    print_outcomes(seed, &records);
    let runs = system.runs();
    let forged = client::forged_runs(&runs);
    let forged = (forged > 0).then(|| format!("seed {seed}: {forged} runs with a forged key"));
    let client_violations = records.iter().flat_map(|record| {
        let rules = record.violations(&runs);
        let describe = move |rule| format!("seed {seed}: {rule}: {record:?}");
        rules.into_iter().map(describe)
    });
    let engine_violations = system.violations().into_iter();
    let engine_violations = engine_violations.map(|rule| format!("seed {seed}: {rule}"));
    let late = late_arrivals.filter(|late| *late > MAX_ARRIVALS);
    let late = late.map(|late| format!("seed {seed}: {late} late requests that crash engines"));
    let all = client_violations.chain(engine_violations).chain(late);
    let all = all.chain(withdrawn).chain(forged);
    all.collect()
}

/// Returns the number of requests that crash engines and still reach one when all gateways must know
/// them.
fn count_late_arrivals(seed: u64, system: &System) -> usize {
    sleep(CONTACT_TIME);
    let bound = Instant::now();
    sleep(COUNTED_TIME);
    let arrivals = lock(&system.trigger.arrivals).clone();
    let crashes = lock(&system.trigger.crashes).len();
    let late = arrivals.iter().filter(|at| **at > bound).count();
    println!(
        "seed={seed} crashing_arrivals={} crashes={crashes} late={late}",
        arrivals.len()
    );
    late
}

/// Returns the gateways that accept a withdrawn key, or do not refuse it for good, after the faults.
fn withdrawn_in_use(seed: u64, system: &System) -> Vec<String> {
    let Some(credential) = system.withdrawn() else {
        return Vec::new();
    };
    let gateways = system.caller_addrs().into_iter();
    let statuses = gateways.map(|gateway| {
        let request = client::Request {
            id: &format!("withdrawn-{}", fastrand::u64(..)),
            kind: Kind::Book,
            path: Kind::Book.path(),
            model: "m1",
            earlier: None,
            credential: Some(&credential),
        };
        let record = client::send(gateway, &request, &mut None, RECOVERY);
        (gateway, record.status().to_owned())
    });
    let others = statuses.filter(|(_, status)| status != "401");
    let describe = |(gateway, status)| format!("seed {seed}: withdrawn key: {status} at {gateway}");
    others.map(describe).collect()
}

/// Prints how many requests ended with each status, and whether they were served.
fn print_outcomes(seed: u64, records: &[Record]) {
    let mut outcomes = BTreeMap::new();
    for record in records {
        *outcomes
            .entry((record.status(), record.is_served()))
            .or_insert(0) += 1;
    }
    let taken_up: Vec<_> = records
        .iter()
        .filter(|record| record.is_taken_up())
        .collect();
    let went_on = taken_up.iter().filter(|record| record.status() == "200");
    println!(
        "seed={seed} requests={} outcomes={outcomes:?} taken_up={} went_on={}",
        records.len(),
        taken_up.len(),
        went_on.count()
    );
}

/// Sends each kind of request, and one for the newest route, to every gateway. Returns the first
/// request that is not served.
fn unserved(system: &System) -> Option<Record> {
    let newest = format!("{}x", system.newest_prefix());
    let paths = KINDS.map(|kind| (kind, kind.path()));
    let paths = paths.into_iter().chain([(Kind::Look, newest.as_str())]);
    let credential = system.credential(1);
    let credential = credential.as_ref();
    let records = paths.flat_map(|(kind, path)| {
        let gateways = system.caller_addrs().into_iter();
        gateways.map(move |gateway| {
            let id = format!("after-{}", fastrand::u64(..));
            let request = client::Request {
                id: &id,
                kind,
                path,
                model: "m1",
                earlier: None,
                credential,
            };
            client::send(gateway, &request, &mut None, RECOVERY)
        })
    });
    records.into_iter().find(|record| !record.is_served())
}

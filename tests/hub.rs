//! Hubs: which loaders are hubs, what a hub passes on, and what a connection still lacks.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use chestnuthub::{
    deployment::{
        Copies,
        Replica,
        Server, //
    },
    hub::{
        self,
        Hearing,
        Sent,
        Table, //
    },
    link::{
        Backlog,
        Contact,
        Demand,
        Holdings,
        Ledger,
        Pace,
        ServerDemand,
        ServerState,
        Spending,
        Status,
        Told,
        Traffic,
        Usage,
        Workload, //
    },
    platform::server,
    timer::Time,
    watch::Mirror,
};

const DOMAINS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];

fn regions() -> BTreeMap<String, String> {
    let region = |domain: &str| (domain.to_owned(), domain[..1].to_owned());
    DOMAINS.into_iter().map(region).collect()
}

fn entry(number: usize, domain: &str, state: &str) -> Server {
    let text = format!(
        r#"{{"service":"llm","address":"10.0.{}.{}:80","zone":"{domain}","slots":4,
            "state":"{state}","coldLeftMs":0,"seq":1,"born":1}}"#,
        number / 200,
        number % 200 + 1,
    );
    server::decode(&format!("s{number:03}"), text.as_bytes()).expect("an entry")
}

fn fleet(count: usize) -> BTreeMap<String, Server> {
    let entries = (0..count).map(|number| entry(number, DOMAINS[number % DOMAINS.len()], "ready"));
    entries.map(|server| (server.id.clone(), server)).collect()
}

fn ids(servers: &BTreeMap<String, Server>) -> BTreeSet<String> {
    let hubs = hub::all(servers, "llm").into_values().flatten();
    let addresses: BTreeSet<_> = hubs.map(|hub| hub.address).collect();
    let servers = servers
        .values()
        .filter(|server| addresses.contains(&server.address));
    servers.map(|server| server.id.clone()).collect()
}

/// Guards against connections that grow with the square of the fleet, and against a fleet whose
/// hubs all change when one server leaves.
#[test]
fn hubs_grow_with_failure_domains_and_change_only_where_one_leaves() {
    for count in [12, 160, 600] {
        let servers = fleet(count);
        let hubs = ids(&servers);
        assert_eq!(hubs.len(), 12, "{count} servers");
        for gone in &hubs {
            let mut rest = servers.clone();
            rest.get_mut(gone).expect("a hub").state = entry(0, "a1", "draining").state;
            let changed = ids(&rest);
            assert!(!changed.contains(gone));
            assert!(changed.difference(&hubs).count() <= 1, "{gone}");
        }
    }
}

/// Guards against gateways and loaders that part because a hub's server started anew under another
/// id, and against one machine that counts as two hubs while its former entry is still listed.
#[test]
fn a_machine_keeps_its_rank_when_its_server_starts_anew() {
    let servers = fleet(24);
    let addresses = |servers: &BTreeMap<String, Server>| -> Vec<_> {
        let hubs = hub::all(servers, "llm").into_values().flatten();
        hubs.map(|hub| hub.address).collect()
    };
    let hubs = addresses(&servers);
    for id in ids(&servers) {
        let mut restarted = servers.clone();
        let mut server = servers[&id].clone();
        server.id = format!("new-{id}");
        server.started_ms += 1;
        restarted.insert(server.id.clone(), server);
        assert_eq!(addresses(&restarted), hubs, "{id}");
        restarted.remove(&id);
        assert_eq!(addresses(&restarted), hubs, "{id}");
    }
}

/// Guards against gateways that all use one hub of their failure domain, and against a gateway that
/// sends its messages to another region while a hub of its own is listed.
#[test]
fn gateways_prefer_near_hubs_and_spread_over_them() {
    let servers = fleet(160);
    let by_address: BTreeMap<_, _> = servers.values().map(|s| (s.address, s)).collect();
    let mut first = BTreeSet::new();
    for number in 0..40 {
        let name = format!("front-{number}");
        let hubs = hub::preferred(&servers, "llm", &name, "a2", &regions());
        let domains: Vec<_> = hubs
            .iter()
            .map(|address| by_address[address].failure_domain.clone())
            .collect();
        assert_eq!(domains[..2], ["a2", "a2"], "{name}");
        assert!(domains[2..6].iter().all(|domain| domain.starts_with('a')));
        assert!(domains[6..].iter().all(|domain| domain.starts_with('b')));
        first.insert(hubs[0]);
    }
    assert_eq!(first.len(), 2);
}

/// Guards against a service without hubs because its servers are in other failure domains than the
/// gateway.
#[test]
fn a_gateway_without_near_hubs_uses_others() {
    let servers = BTreeMap::from([("s000".to_owned(), entry(0, "b1", "ready"))]);
    let hubs = hub::preferred(&servers, "llm", "front-1", "a1", &regions());
    assert_eq!(hubs, [servers["s000"].address]);
}

fn holdings(server: &str, random: &mut fastrand::Rng) -> Holdings {
    let names = |random: &mut fastrand::Rng, count: usize| -> Vec<String> {
        (0..random.usize(..count))
            .map(|index| format!("m{index}"))
            .collect()
    };
    let replica = |model: String| Replica {
        model,
        adapters: Vec::new(),
    };
    Holdings {
        server: server.to_owned(),
        started_ms: 1,
        is_responsive: random.bool(),
        replicas: names(random, 4).into_iter().map(replica).collect(),
        copies: Copies {
            in_memory: names(random, 2),
            on_disk: names(random, 3),
        },
        ..Holdings::default()
    }
}

/// Returns what a new connection is sent of the servers.
fn everything(table: &Table) -> BTreeMap<String, ServerState> {
    let mut mirror = Mirror::default();
    mirror.apply(1, table.update_since(0), Time::ZERO);
    mirror.states().clone()
}

/// Guards against a connection that misses a change, or keeps a server whose loader is gone.
/// Loaders connect, change, fall silent and come back with other ids; connections are updated at
/// random times.
#[test]
fn updates_add_up_to_what_the_hub_knows() {
    for seed in 0..2_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut table = Table::default();
        let mut mirrors: Vec<(Mirror, u64)> = (0..3).map(|_| (Mirror::default(), 0)).collect();
        let mut read_at = Time::from_millis(1);
        for step in 0..80 {
            let connection = random.u64(1..8);
            match random.u32(..8) {
                0 => table.end_contact(connection, Contact::Silent),
                1 if random.bool() => table.end_contact(connection, Contact::Lost),
                1 => {
                    let id = format!("s{:03}", random.usize(..8));
                    let contacts = [Contact::Lost, Contact::Silent];
                    table.set_contact(&id, contacts[random.usize(..2)]);
                }
                2 => {
                    read_at = read_at + Duration::from_secs(1);
                    let mut listed = fleet(8);
                    listed.retain(|_, _| random.u32(..4) > 0);
                    table.set_listing(&listed, read_at);
                }
                3 => {
                    let workload = Workload {
                        running: random.u32(..40),
                        ..Workload::default()
                    };
                    let status = Status {
                        workload,
                        ..Status::default()
                    };
                    table.set_status(connection, status);
                }
                _ => {
                    let id = format!("s{:03}", random.usize(..8));
                    let status = Status {
                        holdings: Some(holdings(&id, &mut random)),
                        ..Status::default()
                    };
                    table.set_status(connection, status);
                }
            }
            let index = random.usize(..mirrors.len());
            let (mirror, version) = &mut mirrors[index];
            mirror.apply(1, table.update_since(*version), Time::ZERO);
            *version = table.version();
            assert_eq!(
                *mirror.states(),
                everything(&table),
                "seed {seed}, step {step}"
            );
        }
    }
}

/// Guards against a workload that is sent with every heartbeat to every gateway.
#[test]
fn small_changes_of_the_workload_are_not_passed_on() {
    let mut table = Table::default();
    let mut random = fastrand::Rng::with_seed(1);
    let status = |running, holdings| Status {
        workload: Workload {
            running,
            ..Workload::default()
        },
        holdings,
        ..Status::default()
    };
    table.set_status(1, status(20, Some(holdings("s1", &mut random))));
    let version = table.version();
    for running in [21, 19, 24, 20] {
        table.set_status(1, status(running, None));
        assert_eq!(table.version(), version, "{running}");
    }
    table.set_status(1, status(30, None));
    assert_eq!(table.update_since(version).servers[0].workload.running, 30);
}

fn waiting(server: &str, waiting: u32, priority: u8) -> ServerDemand {
    let backlogs = (waiting > 0).then(|| Backlog {
        model: "m1".to_owned(),
        adapter: None,
        waiting,
        priority,
        oldest_ms: 0,
        due_ms: Vec::new(),
        leaves_ms: 10_000,
    });
    ServerDemand {
        server: server.to_owned(),
        usage: vec![Usage {
            model: "m2".to_owned(),
            adapter: None,
            in_flight: waiting,
        }],
        backlogs: backlogs.into_iter().collect(),
    }
}

/// Guards against demand that is counted twice or for ever: that of a gateway which sends it again,
/// waits no longer, or has disconnected.
#[test]
fn needs_are_the_sum_of_the_connected_gateways() {
    let now = Time::from_millis(1_000);
    let mut table = Table::default();
    let demand = |servers| Demand {
        servers,
        rates: vec![Traffic {
            per_s: 1.0,
            in_flight: 2,
            ..traffic()
        }],
        ..Demand::default()
    };
    assert_eq!(
        table.set_demand(1, demand(vec![waiting("s1", 2, 3)]), now),
        ["s1"]
    );
    assert_eq!(
        table.set_demand(2, demand(vec![waiting("s1", 3, 1)]), now),
        ["s1"]
    );
    // The same backlog again wakes nobody.
    assert!(
        table
            .set_demand(2, demand(vec![waiting("s1", 3, 1)]), now)
            .is_empty()
    );
    let summary = |table: &Table| {
        let (backlogs, rates) = table.demand_of("s1", now);
        let backlog = backlogs.first().map(|b| (b.waiting, b.priority));
        (backlog, rates.first().map_or(0, |rate| rate.in_flight))
    };
    assert_eq!(summary(&table), (Some((5, 1)), 4));
    table.set_demand(2, demand(vec![waiting("s1", 0, 1)]), now);
    assert_eq!(summary(&table), (Some((2, 3)), 4));
    table.remove_gateway(1);
    assert_eq!(summary(&table), (None, 2));
}

fn traffic() -> Traffic {
    Traffic {
        model: "m1".to_owned(),
        per_s: 0.0,
        recent_per_s: 0.0,
        prefill_ms: 0.0,
        in_flight: 0,
    }
}

/// Guards against a list of servers that shrinks to its newest changes: after more removals than the
/// hub remembers, it sends everything again, and the list belongs to that.
#[test]
fn the_list_is_complete_after_everything_is_sent_again() {
    let mut random = fastrand::Rng::with_seed(1);
    let (mut table, mut sent, mut mirror) = (Table::default(), Sent::default(), Mirror::default());
    let mut listed = fleet(12);
    let mut now = Time::from_millis(1_000);
    table.set_listing(&listed, now);
    let first = mirror.apply(1, sent.update(&table, now), now);
    assert_eq!(first.expect("a list").servers.len(), 12);
    for number in 0..600 {
        let status = Status {
            holdings: Some(holdings(&format!("x{number}"), &mut random)),
            ..Status::default()
        };
        table.set_status(1, status);
    }
    mirror.apply(1, sent.update(&table, now), now);
    now = now + Duration::from_secs(1);
    listed.remove("s000");
    table.set_listing(&listed, now);
    let next = mirror.apply(1, sent.update(&table, now), now);
    assert_eq!(next.expect("a list").servers.len(), 11);
}

/// Guards against a mixture of what two hubs know: changes of the hub that was observed before may
/// arrive after the new one has sent everything.
#[test]
fn changes_of_a_former_hub_are_ignored() {
    let mut random = fastrand::Rng::with_seed(1);
    let (mut former, mut current) = (Table::default(), Table::default());
    let status = |server: &str, random: &mut fastrand::Rng| Status {
        holdings: Some(holdings(server, random)),
        ..Status::default()
    };
    former.set_status(1, status("s1", &mut random));
    current.set_status(1, status("s2", &mut random));
    let (mut former_sent, mut current_sent) = (Sent::default(), Sent::default());
    let mut mirror = Mirror::default();
    mirror.apply(1, former_sent.update(&former, Time::ZERO), Time::ZERO);
    mirror.apply(2, current_sent.update(&current, Time::ZERO), Time::ZERO);
    former.set_status(2, status("s3", &mut random));
    mirror.apply(1, former_sent.update(&former, Time::ZERO), Time::ZERO);
    assert_eq!(mirror.states().keys().collect::<Vec<_>>(), ["s2"]);
}

/// Guards against use that is told twice, never, or back to the gateway that told it.
#[test]
fn each_use_is_told_once_to_each_of_the_others() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut ledger = Ledger::default();
        let mut told = Told::new(&ledger, Pace::Collected);
        let mut expected: BTreeMap<u64, (i64, u64)> = BTreeMap::new();
        let mut heard: BTreeMap<u64, (i64, u64)> = BTreeMap::new();
        let add = |sums: &mut BTreeMap<u64, (i64, u64)>, spending: &Spending| {
            let sum = sums.entry(spending.account).or_default();
            *sum = (sum.0 + spending.admitted, sum.1 + spending.asked);
        };
        let mut now = Time::from_millis(5_000);
        for _ in 0..400 {
            now = now + Duration::from_millis(random.u64(0..40));
            let asked = random.u64(0..10_000);
            let spending = Spending {
                account: random.u64(0..40),
                per_s: 30_000.0,
                admitted: random.i64(-200..10_000).min(asked as i64),
                asked,
                recent_per_s: None,
            };
            ledger.record(&spending, now);
            if random.f64() < 0.2 {
                told.skip(&spending);
            } else {
                add(&mut expected, &spending);
            }
            let news = ledger.news(&mut told, now);
            for spending in &news {
                add(&mut heard, spending);
            }
        }
        while ledger.due_in(&mut told, now).is_some() {
            now = now + Duration::from_millis(2_000);
            let news = ledger.news(&mut told, now);
            for spending in &news {
                add(&mut heard, spending);
            }
        }
        assert_eq!(heard, expected, "seed {seed}");
    }
}

/// Guards against an allowance that two parts of a fleet each use whole, and against one that stays
/// small after gateways have gone to another hub.
#[test]
fn gateways_behind_a_silent_hub_are_missing_until_they_are_heard() {
    let at = |ms: u64| Time::from_millis(100_000 + ms);
    let mut hearing = Hearing::default();
    hearing.set("own", 6, at(0));
    hearing.set("far", 6, at(0));
    hearing.lose("far", at(1_000));
    assert_eq!(hearing.fraction(at(1_000)), 0.5);
    // Three of them come to another hub, and are settled after a time.
    hearing.set("near", 3, at(2_000));
    assert!(hearing.fraction(at(2_500)) < 0.65);
    assert_eq!(hearing.fraction(at(4_500)), 0.75);
    // An orderly end leaves none missing.
    hearing.set("near", 0, at(5_000));
    assert_eq!(hearing.fraction(at(5_000)), 6.0 / 9.0);
    hearing.set("far", 3, at(6_000));
    assert_eq!(hearing.fraction(at(8_500)), 1.0);
    hearing.lose("far", at(9_000));
    assert_eq!(hearing.fraction(at(40_000)), 1.0);
}

//! Tests of placement: which server loads a model and which models are evicted for it.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chestnuthub::{
    deployment::{
        Engine,
        Model, //
    },
    placement::{
        CurrentOrder,
        Host,
        Pool,
        Rate,
        Resident,
        evict, //
    },
};

fn engine(sizes: &[(&str, f64)]) -> Engine {
    let mut models: Vec<_> = sizes
        .iter()
        .map(|(name, weights_mb)| Model {
            name: (*name).to_owned(),
            weights_mb: *weights_mb,
            adapter_mb: 1.0,
            store_load: Duration::from_secs(6),
            disk_load: Duration::from_millis(800),
            memory_load: Duration::from_millis(300),
        })
        .collect();
    models.sort_by(|a, b| a.name.cmp(&b.name));
    Engine {
        slots: 64,
        memory_mb: 100.0,
        adapter_slots: 8,
        loads_per_s: 2.0,
        models,
    }
}

fn host(id: &str, resident: &[&str], on_disk: &[&str]) -> Host {
    Host {
        id: id.to_owned(),
        reachable: true,
        resident: resident
            .iter()
            .map(|name| ((*name).to_owned(), Resident::default()))
            .collect(),
        on_disk: on_disk.iter().map(|name| (*name).to_owned()).collect(),
        ..Host::default()
    }
}

fn pool<'a>(engine: &'a Engine, hosts: Vec<Host>, rates: &[(&str, f64)]) -> Pool<'a> {
    let rates = rates.iter();
    Pool {
        engine,
        hosts,
        rates: rates
            .map(|(name, per_s)| {
                let rate = Rate {
                    per_s: *per_s,
                    recent_per_s: *per_s,
                    prefill_ms: 150.0 * per_s,
                    in_flight: 0.0,
                };
                ((*name).to_owned(), rate)
            })
            .collect::<BTreeMap<_, _>>(),
    }
}

/// Guards against a load from the weight store (6 s) while a server has the weights on its disk
/// (0.8 s), and against a ranking that depends on the order of the servers, by which processes
/// would ask different servers to load the same model.
#[test]
fn server_with_a_copy_on_disk_ranks_first() {
    let engine = engine(&[("cold", 40.0), ("a", 40.0), ("b", 40.0)]);
    let hosts = vec![
        host("s1", &["a"], &[]),
        host("s2", &["b"], &["cold"]),
        host("s3", &[], &[]),
    ];
    let pool = pool(&engine, hosts, &[]);
    let ranked = pool.rank("cold");
    assert_eq!(pool.hosts[ranked[0].host].id, "s2");
    let mut reversed = pool.clone();
    reversed.hosts.reverse();
    let ids = |pool: &Pool<'_>| {
        let ranked = pool.rank("cold").into_iter();
        ranked
            .map(|candidate| pool.hosts[candidate.host].id.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ids(&pool), ids(&reversed));
}

/// Guards against a second load of a model that another server is already loading.
#[test]
fn load_in_progress_is_not_duplicated() {
    let engine = engine(&[("cold", 40.0)]);
    let mut loading = host("s1", &[], &[]);
    loading.current_order = Some(CurrentOrder {
        model: "cold".to_owned(),
        is_load: true,
        remaining_ms: 300.0,
    });
    let hosts = vec![loading, host("s2", &[], &["cold"])];
    let pool = pool(&engine, hosts, &[]);
    assert_eq!(pool.rank("cold")[0].host, 0);
    assert!(pool.spare_replica(1).is_none());
}

/// Guards against the eviction of a busy model while a rarely requested one could be evicted, and
/// against the eviction of a model that requests wait for.
#[test]
fn model_with_the_lowest_cost_is_evicted() {
    let engine = engine(&[
        ("busy", 30.0),
        ("idle", 30.0),
        ("rare", 30.0),
        ("cold", 40.0),
    ]);
    let hosts = vec![
        host("s1", &["busy", "idle", "rare"], &[]),
        host("s2", &["busy"], &[]),
    ];
    let rates = [("busy", 6.0), ("rare", 0.1)];
    let mut pool = pool(&engine, hosts, &rates);
    let eviction = evict(&pool, 0, 40.0).expect("evictions free enough memory");
    assert_eq!(eviction.victims, ["idle"]);
    pool.hosts[0]
        .resident
        .get_mut("idle")
        .expect("resident")
        .wanted = true;
    let eviction = evict(&pool, 0, 40.0).expect("evictions free enough memory");
    assert_eq!(eviction.victims, ["rare"]);
    for resident in pool.hosts[0].resident.values_mut() {
        resident.wanted = true;
    }
    assert_eq!(evict(&pool, 0, 40.0), None);
}

/// Guards against a requested model that stays without a replica while idle models occupy the
/// accelerators, and against two servers that load the same spare replica.
#[test]
fn model_without_a_replica_is_loaded_once_before_requests_wait() {
    let engine = engine(&[("lost", 60.0), ("idle", 60.0)]);
    let hosts = vec![host("s1", &["idle"], &[]), host("s2", &["idle"], &[])];
    let pool = pool(&engine, hosts, &[("lost", 0.2)]);
    let loading: Vec<_> = (0..2)
        .filter_map(|index| pool.spare_replica(index))
        .collect();
    assert_eq!(loading.len(), 1);
    assert_eq!(loading[0].0.name, "lost");
}

/// Guards against a busy model whose requests queue at one server while others hold idle models,
/// because a second replica has to be loaded from the weight store.
#[test]
fn busy_model_gets_a_second_replica_from_the_store() {
    let engine = engine(&[("busy", 60.0), ("idle", 60.0)]);
    let hosts = vec![host("s1", &["busy"], &[]), host("s2", &["idle"], &[])];
    let quiet = pool(&engine, hosts.clone(), &[("busy", 0.3), ("idle", 0.1)]);
    assert!(quiet.spare_replica(1).is_none());
    let busy = pool(&engine, hosts, &[("busy", 5.0), ("idle", 0.1)]);
    assert_eq!(
        busy.spare_replica(1).map(|(model, _)| model.name.as_str()),
        Some("busy")
    );
}

/// Guards against several servers that evict the same busy model at once because each relies on the
/// others to keep it.
#[test]
fn at_most_one_server_evicts_a_busy_model() {
    let engine = engine(&[("busy", 60.0), ("cold", 60.0)]);
    let hosts: Vec<_> = ["s1", "s2", "s3"].map(|id| host(id, &["busy"], &[])).into();
    let pool = pool(&engine, hosts, &[("busy", 5.0)]);
    let reload_ms = 5.0 * 10.0 * 800.0;
    let losses: Vec<_> = (0..3).map(|index| pool.loss_ms("busy", index)).collect();
    let low_cost = losses.iter().filter(|loss| **loss < reload_ms).count();
    assert_eq!(low_cost, 1, "{losses:?}");
}

/// Guards against a busy model that never gets a second replica: each server knows only its own
/// running requests, takes the other servers for idle and leaves the load to them.
#[test]
fn local_requests_do_not_change_which_server_loads() {
    let engine = engine(&[("busy", 40.0), ("a", 80.0), ("b", 80.0), ("c", 80.0)]);
    let rates = [("busy", 12.0), ("a", 0.2), ("b", 0.2), ("c", 0.2)];
    let hosts = || {
        vec![
            host("s0", &["busy"], &["busy"]),
            host("s1", &["a"], &["a", "busy"]),
            host("s2", &["b"], &["b", "busy"]),
            host("s3", &["c"], &["c", "busy"]),
        ]
    };
    let mut loading = Vec::new();
    for index in 0..4 {
        let mut pool = pool(&engine, hosts(), &rates);
        for resident in pool.hosts[index].resident.values_mut() {
            resident.in_flight = 3;
        }
        if let Some((model, _)) = pool.spare_replica(index) {
            assert_eq!(model.name, "busy");
            loading.push(index);
        }
    }
    assert_eq!(loading.len(), 1, "{loading:?}");
}

/// Guards against a load from the weight store while a server that has the weights on its disk is
/// restarting, and against a wait for a server that is not expected back, that has no copy, or
/// that is not needed because another disk has one.
#[test]
fn load_waits_for_a_restarting_server_with_a_copy() {
    let engine = engine(&[("cold", 40.0)]);
    let mut starting = host("s1", &[], &["cold"]);
    starting.reachable = false;
    starting.expected = true;
    let mut pool = pool(&engine, vec![starting, host("s2", &[], &[])], &[]);
    let best = pool.rank("cold").remove(0);
    assert_eq!(best.host, 1);
    assert!(pool.should_wait_for_copy("cold", &best));
    pool.hosts[0].expected = false;
    assert!(!pool.should_wait_for_copy("cold", &best));
    pool.hosts[0].expected = true;
    pool.hosts[0].on_disk.clear();
    assert!(!pool.should_wait_for_copy("cold", &best));
    pool.hosts[1].on_disk.insert("cold".to_owned());
    assert!(!pool.should_wait_for_copy("cold", &best));
}

/// Guards against loads of further replicas that use up the store's bandwidth while a model without
/// any replica has yet to be loaded.
#[test]
fn models_without_a_replica_load_from_the_store_first() {
    let engine = engine(&[("busy", 40.0), ("lost", 40.0), ("other", 40.0)]);
    let mut loading = host("s2", &[], &[]);
    loading.current_order = Some(CurrentOrder {
        model: "other".to_owned(),
        is_load: true,
        remaining_ms: 5_000.0,
    });
    let hosts = vec![
        host("s1", &["busy"], &["busy"]),
        loading,
        host("s3", &[], &[]),
    ];
    let loads = |rates: &[(&str, f64)]| {
        let pool = pool(&engine, hosts.clone(), rates);
        let spare = (0..3).find_map(|host| pool.spare_replica(host));
        spare.map(|(model, _)| model.name.clone())
    };
    assert_eq!(loads(&[("busy", 20.0)]).as_deref(), Some("lost"));
    assert_eq!(
        loads(&[("busy", 20.0), ("lost", 1.0)]).as_deref(),
        Some("lost")
    );
}

/// Guards against a model that gets no further replica although long responses occupy all slots of
/// its only one: prefill of their prompts is short, so only the requests in flight show the load.
#[test]
fn model_with_full_replicas_gets_another_one_from_the_store() {
    let engine = engine(&[("full", 40.0), ("other", 40.0)]);
    let mut loading = host("s2", &[], &[]);
    loading.current_order = Some(CurrentOrder {
        model: "other".to_owned(),
        is_load: true,
        remaining_ms: 5_000.0,
    });
    let hosts = vec![
        host("s1", &["full"], &["full"]),
        loading,
        host("s3", &[], &[]),
    ];
    let spare = |in_flight| {
        let mut pool = pool(&engine, hosts.clone(), &[]);
        let rate = Rate {
            per_s: 12.0,
            recent_per_s: 12.0,
            prefill_ms: 250.0,
            in_flight,
        };
        pool.rates.insert("full".to_owned(), rate);
        (0..3).find_map(|host| {
            pool.spare_replica(host)
                .map(|(model, _)| model.name.clone())
        })
    };
    assert_eq!(spare(20.0), None);
    assert_eq!(spare(150.0).as_deref(), Some("full"));
}

/// Guards against more loads from the weight store under way than it serves at full speed, each of
/// which only takes longer, and against requests that wait for such a load as if it were alone.
#[test]
fn loads_from_the_store_are_bounded_and_estimated_with_those_under_way() {
    let models: Vec<(String, f64)> = (0..8).map(|index| (format!("m{index}"), 40.0)).collect();
    let sizes: Vec<(&str, f64)> = models
        .iter()
        .map(|(name, mb)| (name.as_str(), *mb))
        .collect();
    let engine = engine(&sizes);
    let hosts = |loading: usize| -> Vec<Host> {
        let host = |index: usize| Host {
            current_order: (index < loading).then(|| CurrentOrder {
                model: format!("m{index}"),
                is_load: true,
                remaining_ms: 6_000.0,
            }),
            ..host(&format!("s{index}"), &[], &[])
        };
        (0..8).map(host).collect()
    };
    let mut last_ready_ms = 0.0;
    for loading in [0, 3, 4, 6] {
        let pool = pool(&engine, hosts(loading), &[]);
        assert_eq!(pool.may_load_from_store(), loading < 4, "{loading}");
        let ranked = pool.rank("m7");
        let ready_ms = ranked[0].ready_ms;
        assert!(ready_ms >= last_ready_ms, "{loading}");
        last_ready_ms = ready_ms;
    }
    assert!(last_ready_ms > 6_000.0, "{last_ready_ms}");
}

/// Guards against requests that join others waiting at a server and stay there although the loads
/// before theirs take longer than they have.
#[test]
fn a_joined_load_is_estimated_with_the_order_and_the_backlog_before_it() {
    let engine = engine(&[("a", 40.0), ("b", 40.0)]);
    let model = engine.model("a").expect("a known model");
    let mut server = host("s1", &[], &["a"]);
    let alone_ms = Pool::ready_ms(&server, model);
    server.current_order = Some(CurrentOrder {
        model: "b".to_owned(),
        is_load: true,
        remaining_ms: 4_000.0,
    });
    assert_eq!(Pool::ready_ms(&server, model), alone_ms + 4_000.0);
    server.backlog_ms = 10_000.0;
    assert!(Pool::ready_ms(&server, model) > alone_ms + 8_000.0);
    server.current_order = Some(CurrentOrder {
        model: "a".to_owned(),
        is_load: true,
        remaining_ms: 300.0,
    });
    assert_eq!(Pool::ready_ms(&server, model), 300.0);
}

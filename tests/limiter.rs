//! The limit on loads from the weight store.

use std::time::Duration;

use chestnuthub::{
    loader::{
        Limit,
        Limiter, //
    },
    timer::Time,
};

/// Guards against a server that waits for a turn by a clock, which may jump, while the store is free
/// and its rate allows each server a load in the window.
#[test]
fn an_idle_server_may_load_from_the_store_at_any_time() {
    for index in 0..160 {
        let limit = Limit {
            servers: 160,
            index,
            loads_per_s: 33.0,
            window: Duration::from_secs(5),
        };
        for step in 0..100 {
            let now = Time::from_millis(step * 77);
            assert!(Limiter::default().allows(now, &limit), "{index} at {step}");
        }
    }
}

/// Guards against servers that together start loads from the weight store faster than it allows.
#[test]
fn loads_of_all_servers_stay_within_the_store_limit() {
    const WINDOW: Duration = Duration::from_secs(5);
    let cases = [
        (9, 1.6),
        (9, 2.1),
        (50, 11.0),
        (40, 0.5),
        (3, 4.0),
        (160, 33.0),
    ];
    for (servers, loads_per_s) in cases {
        let mut limiters: Vec<Limiter> = (0..servers).map(|_| Limiter::default()).collect();
        let mut started: Vec<Time> = Vec::new();
        for step in 0..600_u64 {
            let now = Time::from_millis(step * 100);
            for (index, limiter) in limiters.iter_mut().enumerate() {
                let limit = Limit {
                    servers,
                    index,
                    loads_per_s,
                    window: WINDOW,
                };
                if limiter.allows(now, &limit) {
                    limiter.record(now);
                    started.push(now);
                }
            }
            started.retain(|time| now - *time < WINDOW);
            let allowed = loads_per_s * WINDOW.as_secs_f64() + 3.0;
            let started = started.len() as f64;
            assert!(
                started <= allowed,
                "{servers} servers: {started} > {allowed} at {step}"
            );
        }
    }
}

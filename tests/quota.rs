//! Shares of a server's limit at all processes together, over seeded loads.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chestnuthub::{
    dispatch::{
        Quota,
        RequestRate,
        Share, //
    },
    timer::Time,
};
use fastrand::Rng;

/// Number of loads for each fleet.
const LOADS: u64 = 40;

/// Length of a load in ms.
const LENGTH_MS: u64 = 60_000;

/// Window in which a server counts requests, in ms.
const WINDOW_MS: u64 = 4_000;

/// Time within which all processes know a change, in ms.
const DELAY_MS: u64 = 500;

/// Number of processes and their limits in requests per second, which change in turn.
const FLEETS: [(u32, &[f64]); 9] = [
    (1, &[1.0]),
    (4, &[1.0]),
    (5, &[1.0, 10.0]),
    (5, &[0.5]),
    (5, &[40.0, 0.3, 5.0]),
    (30, &[2.0]),
    (103, &[1.0]),
    (103, &[20.0, 3.0]),
    (330, &[300.0, 30.0]),
];

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

/// Requests that arrive in a load, sorted by time in ms: steady, in bursts, or everywhere at once.
fn arrivals(rng: &mut Rng, processes: u32, per_s: f64) -> Vec<(u64, u32)> {
    let total = (per_s * 6.0 * LENGTH_MS as f64 / 1_000.0) as usize + 400;
    let burst_ms = rng.u64(1..8_000);
    let is_bursty = rng.bool();
    let mut arrivals: Vec<_> = (0..total)
        .map(|_| {
            let at_ms = rng.u64(0..LENGTH_MS);
            let at_ms = if is_bursty {
                at_ms / burst_ms * burst_ms + rng.u64(0..20)
            } else {
                at_ms
            };
            (at_ms, rng.u32(0..processes))
        })
        .collect();
    for process in 0..processes {
        arrivals.push((30_000, process));
    }
    arrivals.sort_unstable();
    arrivals
}

/// Limit in force at a time, in requests per second.
fn limit_at(limits: &[f64], at_ms: u64) -> f64 {
    limits[(at_ms / 15_000) as usize % limits.len()]
}

/// Plays a load and returns the number of requests sent, and the largest excess of a window over
/// what the server tolerates.
fn play(seed: u64, processes: u32, limits: &[f64]) -> (usize, f64) {
    let mut rng = Rng::with_seed(seed);
    let most = limits.iter().copied().fold(0.0, f64::max);
    let start = Time::from_millis(0);
    let share = |per_s| Share {
        limit: rate(per_s),
        processes,
    };
    let mut quotas: Vec<_> = (0..processes)
        .map(|process| Quota::new(share(limits[0]), start, seed ^ u64::from(process) << 20))
        .collect();
    let delays: Vec<_> = (0..processes).map(|_| rng.u64(0..DELAY_MS)).collect();
    let mut window: VecDeque<u64> = VecDeque::new();
    let (mut sent, mut worst) = (0, f64::MIN);
    for (at_ms, process) in arrivals(&mut rng, processes, most) {
        let now = Time::from_millis(at_ms);
        let quota = &mut quotas[process as usize];
        let known_ms = at_ms.saturating_sub(delays[process as usize]);
        quota.set_share(share(limit_at(limits, known_ms)), now);
        if !quota.try_send(now) {
            continue;
        }
        sent += 1;
        window.push_back(at_ms);
        while window
            .front()
            .is_some_and(|first| first + WINDOW_MS <= at_ms)
        {
            window.pop_front();
        }
        let begin_ms = at_ms.saturating_sub(WINDOW_MS + DELAY_MS);
        let steps = (begin_ms..=at_ms).step_by(100);
        let in_force = steps
            .map(|at_ms| limit_at(limits, at_ms))
            .fold(0.0, f64::max);
        let allowed = 1.5 * in_force * WINDOW_MS as f64 / 1_000.0 + 5.0;
        worst = worst.max(window.len() as f64 - allowed);
    }
    (sent, worst)
}

/// Guards against more requests than a server's limit allows, summed over all processes, because
/// shares are rounded up, kept for a burst at many processes, or outlive a higher limit.
#[test]
fn all_processes_together_stay_within_a_server_limit() {
    for (processes, limits) in FLEETS {
        for seed in 0..LOADS {
            let (sent, excess) = play(seed, processes, limits);
            assert!(
                excess <= 0.0,
                "{processes} processes at {limits:?}, seed {seed}: {excess} requests too many"
            );
            assert!(sent > 0, "{processes} processes at {limits:?}, seed {seed}");
        }
    }
}

/// Guards against a share that is so small that a server gets far fewer requests than it takes.
#[test]
fn a_busy_server_gets_most_of_its_limit() {
    for processes in [1, 4, 5, 12] {
        let mut sent = 0;
        for seed in 0..LOADS {
            sent += play(seed, processes, &[10.0]).0;
        }
        let possible = 10.0 * (LOADS * LENGTH_MS) as f64 / 1_000.0;
        assert!(
            sent as f64 > 0.5 * possible,
            "{processes}: {sent} of {possible}"
        );
    }
}

/// Guards against clients that are all told the same time to return, when the server takes one of
/// them.
#[test]
fn refused_clients_return_one_after_the_other() {
    let start = Time::from_millis(0);
    let share = Share {
        limit: rate(1.0),
        processes: 2,
    };
    let mut quota = Quota::new(share, start, 1);
    let returns: Vec<_> = (0..4)
        .map(|_| quota.reserve_return(start).as_secs())
        .collect();
    assert_eq!(returns, [2, 4, 6, 8]);
    let far: Vec<_> = (0..40).map(|_| quota.reserve_return(start)).collect();
    assert!(far.iter().all(|after| *after <= Duration::from_secs(30)));
}

/// Guards against a server that takes nothing and gets requests all the same.
#[test]
fn a_limit_of_zero_lets_no_request_pass() {
    let start = Time::from_millis(0);
    let share = Share {
        limit: rate(0.0),
        processes: 1,
    };
    let mut quota = Quota::new(share, start, 1);
    let times = (0..600).map(|second| Time::from_millis(second * 1_000));
    assert!(times.into_iter().all(|now| !quota.try_send(now)));
}

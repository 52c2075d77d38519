//! The choice of servers and the budget for sending once more.

use std::time::Duration;

use chestnuthub::{
    dispatch::{
        Budget,
        Candidate,
        Share,
        choose, //
    },
    timer::Time,
};

/// Guards against retries of all processes that add up to more than the service may get.
#[test]
fn shares_stay_within_the_budget() {
    const PROCESSES: u32 = 4;
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 54.0;
    const WINDOW: Duration = Duration::from_secs(10);
    let share = Share {
        ratio: RATIO,
        slack: SLACK,
        window: WINDOW,
        processes: PROCESSES,
    };
    let mut random = fastrand::Rng::with_seed(7);
    let mut budgets: Vec<Budget> = (0..PROCESSES).map(|_| Budget::default()).collect();
    let mut requests: Vec<Time> = Vec::new();
    let mut repeats: Vec<Time> = Vec::new();
    for millis in 0..60_000_u64 {
        let now = Time::from_millis(millis);
        if random.f64() > 0.02 {
            continue;
        }
        let budget = &mut budgets[random.usize(..PROCESSES as usize)];
        budget.count(now, WINDOW);
        requests.push(now);
        // Each request fails and asks for three more sends.
        for _ in 0..3 {
            if budget.take(now, &share) {
                repeats.push(now);
            }
        }
        let recent = |times: &[Time]| times.iter().filter(|time| now - **time <= WINDOW).count();
        let allowed = RATIO * recent(&requests) as f64 + SLACK;
        assert!(recent(&repeats) as f64 <= allowed, "at {millis} ms");
    }
    assert!(!repeats.is_empty());
}

/// Guards against a queue at one server while another is free, and against long ways that cost
/// more than a short queue.
#[test]
fn the_shortest_delay_wins() {
    let near = Candidate {
        load: 2,
        slots: 6,
        ..Candidate::default()
    };
    let far = Candidate {
        load: 0,
        distance: Duration::from_millis(45),
        ..near
    };
    assert_eq!(choose(&[far, near], 0.0), Some(1));
    let full = Candidate { load: 9, ..near };
    assert_eq!(choose(&[far, full], 0.0), Some(0));
    let failing = Candidate {
        failures: 0.9,
        load: 0,
        ..near
    };
    assert_eq!(choose(&[failing, near], 0.0), Some(1));
}

/// Guards against prompts that are read again although a server has read them.
#[test]
fn a_read_prompt_outweighs_a_few_requests() {
    let reader = Candidate {
        load: 5,
        slots: 64,
        prompt_tokens: 2_900,
        is_engine: true,
        ..Candidate::default()
    };
    let other = Candidate {
        load: 0,
        prompt_tokens: 9_200,
        ..reader
    };
    assert_eq!(choose(&[other, reader], 0.0), Some(1));
    let busy = Candidate { load: 64, ..reader };
    assert_eq!(choose(&[other, busy], 0.0), Some(0));
}

/// Guards against a prompt that joins the queue of other gateways' prompts at one server.
#[test]
fn waiting_prompts_count() {
    let queued = Candidate {
        load: 6,
        waiting: 6,
        slots: 64,
        prompt_tokens: 9_200,
        is_engine: true,
        ..Candidate::default()
    };
    let streaming = Candidate {
        load: 20,
        waiting: 0,
        ..queued
    };
    assert_eq!(choose(&[queued, streaming], 0.0), Some(1));
}

/// Guards against memory that grows with every request of a service whose requests never fail.
#[test]
fn a_budget_forgets_requests_before_its_window() {
    const WINDOW: Duration = Duration::from_secs(10);
    let mut budget = Budget::default();
    for second in 0..1_000 {
        budget.count(Time::from_millis(second * 1_000), WINDOW);
    }
    assert!(budget.remembered() <= 11, "{}", budget.remembered());
}

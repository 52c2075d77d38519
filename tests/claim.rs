//! Calls that are not idempotent run at most once, and "not run" stays true.

#[path = "claim_world/mod.rs"]
mod world;

use std::collections::HashMap;

use chestnuthub::{
    claim::Answer,
    wire::Reason, //
};
use world::{
    Choice,
    Request,
    World, //
};

/// Seeds of the random fault schedules.
const SEEDS: u64 = 8_000;

/// A retry must be answered from the first call's result instead of running again.
#[test]
fn retry_gets_the_first_result() {
    let mut world = World::new(2, 5_000);
    for agent in [0, 0, 1] {
        let (key, print) = (0, 0);
        world.apply(Choice::Arrive { agent, key, print });
        world.settle();
    }
    world.check_settled();
    assert_eq!(world.ran.len(), 1);
    let answers: Vec<_> = world.requests.iter().map(|r| r.answer.clone()).collect();
    assert!(matches!(answers[0], Some(Answer::Response(_))));
    assert_eq!(answers[0], answers[1]);
    assert_eq!(answers[0], answers[2]);
}

/// Guards against every order of messages and faults that random choices reach.
#[test]
fn seeded_fault_schedules() {
    let mut reached = HashMap::new();
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(3, rng.u64(500..8_000));
        for _ in 0..rng.usize(10..120) {
            world.apply(choose(&mut rng, &world));
            world.check();
        }
        world.offered = true;
        world.settle();
        world.check_settled();
        for request in &world.requests {
            *reached.entry(outcome(request)).or_insert(0) += 1;
        }
    }
    println!("{reached:#?}");
    // A schedule generator that misses an outcome would prove nothing about it.
    let refusals = [
        Reason::Deadline,
        Reason::LogDown,
        Reason::Unknown,
        Reason::KeyReused,
        Reason::KeyExpired,
        Reason::OutcomeUnknown,
        Reason::Backend,
    ];
    for outcome in refusals.map(Some).into_iter().chain([None]) {
        let mut outcomes = reached.keys();
        assert!(outcomes.any(|reached| reached.0 == outcome), "{outcome:?}");
    }
}

/// Returns a request's reason of refusal, or nothing for a response, and whether it did not run.
fn outcome(request: &Request) -> (Option<Reason>, bool) {
    match &request.answer {
        Some(Answer::Refused(refusal)) => (Some(refusal.reason), refusal.not_run),
        Some(Answer::Response(_)) => (None, false),
        None => (Some(Reason::OutcomeUnknown), false),
    }
}

fn choose(rng: &mut fastrand::Rng, world: &World) -> Choice {
    let key = u8::from(rng.u8(0..8) == 0);
    let print = u8::from(rng.u8(0..10) == 0);
    let agent = rng.usize(0..world.agents.len());
    let choices = world.choices();
    let deliveries: Vec<_> = choices
        .iter()
        .filter(|choice| matches!(choice, Choice::Deliver(_)))
        .collect();
    match rng.u8(0..40) {
        0..4 if world.requests.len() < 12 => Choice::Arrive { agent, key, print },
        4 => Choice::Wait(rng.u64(1..3_000)),
        5..8 => {
            let index = rng.usize(0..choices.len());
            rare(rng, choices[index])
        }
        8..11 if choices.contains(&Choice::Wake) => Choice::Wake,
        _ if deliveries.is_empty() => Choice::Wait(250),
        _ => *deliveries[rng.usize(0..deliveries.len())],
    }
}

/// Replaces most of the faults after which little can happen.
fn rare(rng: &mut fastrand::Rng, choice: Choice) -> Choice {
    match choice {
        Choice::Forget | Choice::Withdraw if rng.u8(0..8) > 0 => Choice::Offer,
        Choice::LogDown | Choice::Crash(_) if rng.bool() => Choice::LogUp,
        choice => choice,
    }
}

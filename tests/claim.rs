//! Calls that are not idempotent run at most once, and "not run" stays true.

#[path = "claim_world/mod.rs"]
mod world;

use chestnuthub::claim::Answer;
use world::{
    Choice,
    World, //
};

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
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(3, rng.u64(500..8_000));
        for _ in 0..rng.usize(10..120) {
            world.apply(choose(&mut rng, &world));
            world.check();
        }
        world.offered = true;
        world.settle();
        world.check_settled();
    }
}

fn choose(rng: &mut fastrand::Rng, world: &World) -> Choice {
    let key = rng.u8(0..2);
    let print = u8::from(rng.u8(0..10) == 0);
    let agent = rng.usize(0..world.agents.len());
    match rng.u8(0..20) {
        0..3 if world.requests.len() < 12 => Choice::Arrive { agent, key, print },
        3 => Choice::Wait(rng.u64(1..3_000)),
        4..7 => {
            let choices = world.choices();
            choices[rng.usize(0..choices.len())]
        }
        7..10 => Choice::Wake,
        _ if world.pending.is_empty() => Choice::Wake,
        _ => {
            let index = rng.usize(0..world.pending.len());
            let choices = world.choices();
            let deliver = Choice::Deliver(index);
            if choices.contains(&deliver) {
                deliver
            } else {
                Choice::Wake
            }
        }
    }
}

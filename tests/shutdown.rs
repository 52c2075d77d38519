//! Graceful shutdown, leaving backend servers and instances that vanish or pause.

mod support;

use std::thread;

use support::{
    TIMEOUT,
    eventually,
    model,
    start, //
};

/// Guards against a shutdown of an entry that cuts the streams in its hands.
#[test]
fn terminated_entry_finishes_its_streams() {
    let mut turn = start(|plan| plan.token_interval_ms = 50);
    let caller = turn.fleet.caller(0);
    let warm = caller
        .chat(&model(), "warm", 2, TIMEOUT)
        .expect("an answer");
    assert!(warm.is_complete());
    let stream = thread::spawn(move || caller.chat(&model(), "long", 150, TIMEOUT));
    eventually("the stream runs", || {
        turn.fleet.count_engines("began").expect("a record") == 2
    });
    turn.fleet.entries[0].process.terminate();
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete(), "{answer:?}");
    let status = turn.fleet.entries[0].process.wait().expect("an end");
    assert!(status.success());
}

/// Guards against a leaving backend server that cuts its streams, or gets new work although its
/// agent knows that it leaves and the instance list does not say so yet.
#[test]
fn terminated_agent_finishes_its_streams_and_gets_no_new_work() {
    let mut turn = start(|plan| plan.token_interval_ms = 50);
    let caller = turn.fleet.caller(0);
    let warm = caller
        .chat(&model(), "warm", 2, TIMEOUT)
        .expect("an answer");
    assert!(warm.is_complete());
    let loaded = turn
        .fleet
        .engines
        .iter()
        .position(|engine| engine.count("began").expect("a record") == 1)
        .expect("one engine serves");
    let stream = {
        let caller = caller.clone();
        thread::spawn(move || caller.chat(&model(), "long", 350, TIMEOUT))
    };
    eventually("the stream runs", || {
        turn.fleet.engines[loaded].count("began").expect("a record") == 2
    });
    turn.fleet.engine_agents[loaded].process.terminate();
    eventually("new work goes to the other server", || {
        let answer = turn.fleet.caller(1).chat(&model(), "new", 2, TIMEOUT);
        let other = turn.fleet.engines[1 - loaded]
            .count("began")
            .expect("a record");
        answer.is_ok_and(|answer| answer.is_complete()) && other > 0
    });
    let began = turn.fleet.engines[loaded].count("began").expect("a record");
    for _ in 0..5 {
        let answer = turn.fleet.caller(0).chat(&model(), "new", 2, TIMEOUT);
        assert!(answer.expect("an answer").is_complete());
    }
    let still = turn.fleet.engines[loaded].count("began").expect("a record");
    assert_eq!(still, began, "a leaving server got new work");
    // Once it has ended, a server gets no work in any case.
    let draining = turn.fleet.engine_agents[loaded].process.is_running();
    assert!(draining, "the server left before new work was kept from it");
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete(), "{answer:?}");
    // A stream that was cut would be continued on the other server and look whole as well.
    let record = turn.fleet.engines[loaded].record().expect("a record");
    let completions = record["completions"].as_array().expect("a list");
    let finished = completions.iter().all(|one| one["end"] == "finished");
    assert!(finished, "{record}");
    let status = turn.fleet.engine_agents[loaded]
        .process
        .wait()
        .expect("an end");
    assert!(status.success());
}

/// Guards against requests that hang on a paused agent, and against a paused agent that gives
/// old orders when it resumes.
#[test]
fn frozen_agent_is_passed_over_and_resumes_safely() {
    let turn = start(|_| ());
    let fleet = &turn.fleet;
    let caller = fleet.caller(0);
    let warm = caller
        .chat(&model(), "warm", 2, TIMEOUT)
        .expect("an answer");
    assert!(warm.is_complete());
    let loaded = fleet
        .engines
        .iter()
        .position(|engine| engine.count("began").expect("a record") == 1)
        .expect("one engine serves");
    fleet.engine_agents[loaded].process.freeze();
    eventually("the other server serves", || {
        let answer = caller.chat(&model(), "again", 2, TIMEOUT);
        answer.is_ok_and(|answer| answer.is_complete())
    });
    fleet.engine_agents[loaded].process.thaw();
    let answer = caller
        .chat(&model(), "after", 2, TIMEOUT)
        .expect("an answer");
    assert!(answer.is_complete(), "{answer:?}");
    assert!(fleet.count_engines("loads_started").expect("a record") <= 2);
}

/// Guards against an agent that dies in the middle of a load and a new one that loads the model
/// a second time or beyond the memory.
#[test]
fn agent_killed_during_a_load_leads_to_no_second_replica() {
    let mut turn = start(|plan| {
        plan.engines = 1;
        plan.store_bytes_per_s = 4 << 30;
    });
    let caller = turn.fleet.caller(0);
    let first = thread::spawn(move || caller.chat(&model(), "wake", 2, TIMEOUT));
    eventually("the load starts", || {
        turn.fleet.count_engines("loads_started").expect("a record") == 1
    });
    turn.fleet.engine_agents[0].restart().expect("a restart");
    first.join().expect("no panic").expect("an answer");
    let caller = turn.fleet.caller(1);
    eventually("the model is served", || {
        let answer = caller.chat(&model(), "again", 2, TIMEOUT);
        answer.is_ok_and(|answer| answer.is_complete())
    });
    let record = turn.fleet.engines[0].record().expect("a record");
    let loads = record["loads_started"].as_array().map(Vec::len);
    assert_eq!(loads, Some(1), "{record}");
    let most = turn.fleet.engines[0]
        .count("most_memory_mb")
        .expect("a record");
    assert!(most <= turn.fleet.plan.memory_mb);
}

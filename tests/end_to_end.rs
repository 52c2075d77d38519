//! Requests through real processes: cold starts, streams and calls.

mod support;

use std::{
    thread,
    time::Duration, //
};

use chestnuthub::bench::TENGIS;
use serde_json::json;
use support::{
    TIMEOUT,
    eventually,
    model,
    start, //
};
use uuid::Uuid;

/// Guards against a burst of first requests at several entries that loads a model twice, drops a
/// request or mixes up answers.
#[test]
fn burst_of_first_requests_causes_one_load() {
    let turn = start(|_| ());
    let fleet = &turn.fleet;
    let answers: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|number| {
                scope.spawn(move || {
                    let prompt = format!("manifest {number}");
                    let caller = fleet.caller(number % 2);
                    caller.chat(&model(), &prompt, 6, TIMEOUT)
                })
            })
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined.map(|answer| answer.expect("no panic")).collect()
    });
    let mut texts = Vec::new();
    for answer in answers {
        let answer = answer.expect("an answer");
        assert!(answer.is_complete(), "{answer:?}");
        texts.push(answer.text());
    }
    texts.sort();
    texts.dedup();
    assert_eq!(texts.len(), 8, "each prompt has its own answer");
    assert_eq!(fleet.count_engines("loads_started").expect("a record"), 1);
}

/// Guards against an engine that dies in the middle of a stream and leaves a caller with part of
/// an answer that looks whole.
#[test]
fn broken_stream_is_continued_or_ends_with_an_error() {
    let turn = start(|_| ());
    let fleet = &turn.fleet;
    let caller = fleet.caller(0);
    let whole = caller
        .chat(&model(), "check", 10, TIMEOUT)
        .expect("an answer");
    assert!(whole.is_complete());
    let fault = json!({ "kind": "break_stream", "after": 4, "calls": 1, "path": "/v1/chat" });
    for engine in &fleet.engines {
        engine.add_fault(&fault).expect("a fault");
    }
    let broken = caller
        .chat(&model(), "check", 10, TIMEOUT)
        .expect("an answer");
    if broken.is_complete() {
        assert_eq!(broken.text(), whole.text());
    } else {
        assert!(broken.body.contains("event: error"), "{broken:?}");
    }
}

/// Guards against a booking that runs once for each entry that its caller tries.
#[test]
fn one_key_at_two_entries_at_once_runs_once() {
    let turn = start(|plan| plan.services = 2);
    let fleet = &turn.fleet;
    for round in 0..10 {
        let key = Uuid::now_v7().to_string();
        let body = format!("{{\"round\":{round}}}");
        let answers: Vec<_> = thread::scope(|scope| {
            let send = |entry: usize| {
                let caller = fleet.caller(entry);
                caller.call(TENGIS.service, TENGIS.booking_path, Some(&key), &body)
            };
            let threads: Vec<_> = (0..2)
                .map(|entry| scope.spawn(move || send(entry)))
                .collect();
            let joined = threads.into_iter().map(|thread| thread.join());
            joined.map(|answer| answer.expect("no panic")).collect()
        });
        for answer in answers {
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 201, "{answer:?}");
        }
    }
    assert_eq!(fleet.count_services("runs").expect("a record"), 10);
}

/// Guards against a second run, or a false "not run", after the executor died while the call was
/// in progress.
#[test]
fn executor_killed_during_the_call_never_leads_to_a_second_run() {
    let mut turn = start(|plan| plan.services = 2);
    let hold = json!({ "kind": "hold_answer", "path": "/bookings" });
    for service in &turn.fleet.services {
        service.add_fault(&hold).expect("a fault");
    }
    let key = Uuid::now_v7().to_string();
    let caller = turn.fleet.caller(0);
    let first = {
        let (caller, key) = (caller.clone(), key.clone());
        thread::spawn(move || {
            caller.call(
                TENGIS.service,
                TENGIS.booking_path,
                Some(&key),
                TENGIS.booking,
            )
        })
    };
    eventually("the call runs", || {
        turn.fleet.count_services("runs").expect("a record") == 1
    });
    let ran = turn
        .fleet
        .services
        .iter()
        .position(|service| service.count("runs").expect("a record") == 1);
    let executor = ran.expect("one service ran it");
    turn.fleet.service_agents[executor].process.kill();
    for service in &turn.fleet.services {
        service.clear_faults().expect("faults clear");
    }
    let answer = first.join().expect("no panic").expect("an answer");
    assert!(answer.status >= 400 && !answer.not_run(), "{answer:?}");
    for entry in 0..2 {
        let retry = turn.fleet.caller(entry).call(
            TENGIS.service,
            TENGIS.booking_path,
            Some(&key),
            TENGIS.booking,
        );
        let retry = retry.expect("an answer");
        assert!(retry.status >= 400 && !retry.not_run(), "{retry:?}");
    }
    assert_eq!(turn.fleet.count_services("runs").expect("a record"), 1);
}

/// Guards against a claim whose append took effect without an answer: it must neither be
/// appended again under another id nor block the call.
#[test]
fn append_without_an_answer_runs_the_call_once() {
    let turn = start(|_| ());
    let fleet = &turn.fleet;
    let fault = json!({
        "kind": "drop_after", "calls": 1, "method": "POST", "path": "/streams/claims",
    });
    fleet.log.add_fault(&fault).expect("a fault");
    let key = Uuid::now_v7().to_string();
    let caller = fleet.caller(0);
    let answer = caller.call(
        TENGIS.service,
        TENGIS.booking_path,
        Some(&key),
        TENGIS.booking,
    );
    assert_eq!(answer.expect("an answer").status, 201);
    assert_eq!(fleet.count_services("runs").expect("a record"), 1);
}

/// Guards against a caller that has gone and whose stream still occupies the engine.
#[test]
fn stream_of_a_caller_that_is_gone_is_cancelled() {
    let turn = start(|plan| plan.token_interval_ms = 50);
    let fleet = &turn.fleet;
    let caller = fleet.caller(0);
    let warm = caller
        .chat(&model(), "warm", 2, TIMEOUT)
        .expect("an answer");
    assert!(warm.is_complete());
    caller
        .chat_and_leave(&model(), "long", 2_000, Duration::from_secs(120))
        .expect("the stream starts");
    eventually("the engine's stream ends", || {
        fleet.engines.iter().any(|engine| {
            let record = engine.record().expect("a record");
            let completions = record["completions"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            completions
                .iter()
                .any(|one| one["end"] == "cancelled" || one["end"] == "caller_gone")
        })
    });
}

/// Guards against a cold start that outlasts the connections' idle time and is taken for a dead
/// agent.
#[test]
fn long_cold_start_is_waited_for() {
    let turn = start(|plan| {
        plan.engines = 1;
        // The emulated checkpoint has 64 MiB, so that the load takes 16 s.
        plan.store_bytes_per_s = 4 << 20;
    });
    let fleet = &turn.fleet;
    let timeout = Duration::from_secs(55);
    let answer = fleet.caller(0).chat(&model(), "wake", 3, timeout);
    let answer = answer.expect("an answer");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(fleet.count_engines("loads_started").expect("a record"), 1);
    assert_eq!(fleet.count_engines("began").expect("a record"), 1);
}

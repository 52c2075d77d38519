//! What callers get from the order in which a loader serves the models that requests wait for.

use std::cmp::Reverse;

use chestnuthub::{
    link::Backlog,
    loader::precedence, //
};

/// Number of models with many requests.
const BUSY: usize = 4;

/// Number of models in all.
const MODELS: usize = 9;

/// Duration of an unload and a load, in ms.
const LOAD_MS: u32 = 1_200;

/// Length of a play in ms.
const PLAY_MS: u32 = 120_000;

/// Deadline of the requests in ms.
const DEADLINE_MS: u32 = 12_000;

/// Latency objective of the requests in ms.
const OBJECTIVE_MS: u32 = 3_000;

/// What the callers of a play got.
#[derive(Debug, Default)]
struct Outcome {
    /// Waiting times of the requests for rare models, in ms.
    rare_waits: Vec<u32>,
    /// Number of requests served.
    served: usize,
    /// Number of requests whose model was loaded within their latency objective.
    in_time: usize,
}

/// Probabilities of a request for each model in 100 ms.
struct Load {
    busy: f64,
    rare: f64,
}

/// Busy models with 2 requests a second each, rare ones with a request in twenty seconds.
const UNEVEN: Load = Load {
    busy: 0.2,
    rare: 0.005,
};

/// All models with a request in two seconds each: twice what the server can load.
const EVEN: Load = Load {
    busy: 0.05,
    rare: 0.05,
};

/// A crowded server: there is room for one model at a time, and requests for all models arrive at
/// random. Loading a model serves all requests that wait for it.
fn play(seed: u64, load: &Load, sort: impl Fn(&mut [Backlog])) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut waiting: Vec<Vec<u32>> = vec![Vec::new(); MODELS];
    let mut outcome = Outcome::default();
    for step in 0..PLAY_MS / 100 {
        let now = step * 100;
        for (model, arrivals) in waiting.iter_mut().enumerate() {
            let probability = if model < BUSY { load.busy } else { load.rare };
            if random.f64() < probability {
                arrivals.push(now);
            }
        }
        if now % LOAD_MS != 0 {
            continue;
        }
        let mut backlogs: Vec<_> = (0..MODELS)
            .filter(|model| !waiting[*model].is_empty())
            .map(|model| Backlog {
                model: format!("{model}"),
                adapter: None,
                waiting: waiting[model].len() as u32,
                priority: 1,
                oldest_ms: now - waiting[model][0],
                leaves_ms: (waiting[model][0] + DEADLINE_MS).saturating_sub(now),
                due_ms: waiting[model]
                    .iter()
                    .filter_map(|arrival| (arrival + OBJECTIVE_MS).checked_sub(now))
                    .collect(),
            })
            .collect();
        sort(&mut backlogs);
        if let Some(first) = backlogs.first() {
            let model: usize = first.model.parse().expect("a number");
            let waits: Vec<_> = waiting[model].drain(..).map(|at| now - at).collect();
            let ready = waits.iter().map(|wait| wait + LOAD_MS);
            outcome.served += waits.len();
            outcome.in_time += ready.filter(|ready| *ready <= OBJECTIVE_MS).count();
            if model >= BUSY {
                outcome.rare_waits.extend(waits);
            }
        }
    }
    let unserved = waiting.iter().skip(BUSY).flatten();
    let unserved = unserved.map(|arrival| PLAY_MS - arrival);
    outcome.rare_waits.extend(unserved);
    outcome
}

fn sort(backlogs: &mut [Backlog]) {
    precedence::sort(backlogs, |_| LOAD_MS);
}

/// Guards against a model with one waiting request that is passed over until the request's deadline,
/// because models with more waiting requests always go first.
#[test]
fn rare_models_are_served_before_their_deadline_beside_busy_ones() {
    for seed in 0..20 {
        let Outcome {
            rare_waits: mut waits,
            served,
            ..
        } = play(seed, &UNEVEN, sort);
        waits.sort_unstable();
        let late = waits.iter().filter(|wait| **wait > DEADLINE_MS).count();
        assert!(
            late * 20 <= waits.len(),
            "seed {seed}: {late} of {} waited too long, the last {:?} ms",
            waits.len(),
            waits.last()
        );
        // The rival serves the model with the most waiting requests. It serves more requests at
        // first, but the rare models starve.
        let rival = play(seed, &UNEVEN, |backlogs| {
            backlogs.sort_by_key(|backlog| Reverse(backlog.waiting));
        });
        let rival_served = rival.served;
        let rival_late = rival.rare_waits.iter().filter(|wait| **wait > DEADLINE_MS);
        assert!(rival_late.count() > late, "seed {seed}");
        assert!(served * 20 >= rival_served * 17, "seed {seed}");
    }
}

/// Guards against an overloaded server at which nearly all requests are late, because those that are
/// late already always go before those that could still be in time, and against buying that with
/// requests that are never served.
#[test]
fn an_overloaded_server_serves_many_in_time() {
    let (mut in_time, mut rival_in_time) = (0, 0);
    let (mut late, mut rare) = (0, 0);
    for seed in 0..20 {
        let outcome = play(seed, &EVEN, sort);
        let waits = outcome.rare_waits.iter();
        late += waits.filter(|wait| **wait > DEADLINE_MS).count();
        rare += outcome.rare_waits.len();
        in_time += outcome.in_time;
        // The rival serves the model whose first request has waited longest.
        let rival = play(seed, &EVEN, |backlogs| {
            backlogs.sort_by_key(|backlog| Reverse(backlog.oldest_ms));
        });
        rival_in_time += rival.in_time;
    }
    println!("in time: {in_time}, rival {rival_in_time}; waited too long: {late} of {rare}");
    assert!(in_time * 4 >= rival_in_time * 5);
    assert!(late * 20 <= rare);
}

/// Guards against urgent requests that wait behind less urgent ones that arrived with them.
#[test]
fn urgent_requests_go_first() {
    let backlog = |model: &str, priority, oldest_ms| Backlog {
        model: model.to_owned(),
        adapter: None,
        waiting: 1,
        priority,
        oldest_ms,
        due_ms: Vec::new(),
        leaves_ms: DEADLINE_MS,
    };
    let mut backlogs = [backlog("later", 2, 500), backlog("urgent", 0, 0)];
    sort(&mut backlogs);
    assert_eq!(backlogs[0].model, "urgent");
}

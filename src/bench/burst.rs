//! A burst of first requests for an idle model, at the store's full speed and slowed tenfold.

use std::{
    sync::Barrier,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bpaf::Parser;
use fastrand::Rng;
use serde::Serialize;
use serde_json::json;

use super::{
    Answer, Error, Fleet, Plan, TENGIS,
    report::{
        Output,
        Plot,
        Report,
        Row,
        Times,
        bounded,
        seed, //
    },
};

/// Tokens of each completion.
const TOKENS: u32 = 4;

/// Times by which the store is slowed.
const SLOW_FACTOR: u32 = 10;

/// Time after the burst's start at which the store is slowed, while the load is in progress.
const SLOW_AFTER: Duration = Duration::from_millis(200);

/// Longest random pause of a caller before its request.
const SPREAD_MS: u64 = 50;

/// Size of an idle model's checkpoint in bytes.
const CHECKPOINT_BYTES: u64 = 64 << 20;

/// Accelerator memory of each engine in MiB, enough for the models of both bursts.
const MEMORY_MB: u64 = 80_000;

/// Completions that an engine runs at once.
const MAX_RUNNING: u32 = 1_024;

/// Time for an answer to travel, by which it may arrive after its deadline.
const TRAVEL: Duration = Duration::from_millis(250);

/// Settings of a run.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Settings {
    /// Seed of the starts of the requests.
    #[serde(skip)]
    pub(super) seed: u64,
    /// Callers, spread over all entries, with one request each.
    pub(super) callers: u32,
    /// Time that the store needs for a checkpoint at full speed in milliseconds.
    pub(super) load_ms: u32,
    /// Deadline of each request in milliseconds.
    pub(super) timeout_ms: u32,
}

/// Returns the parser of the settings.
pub(super) fn settings() -> impl Parser<Settings> {
    let seed = seed();
    let callers = bounded("callers", "Callers with one request each", 64, 256);
    let load_ms = bounded("load-ms", "Time of a load at full speed", 1_500, 20_000);
    let timeout_ms = bounded("timeout-ms", "Deadline of each request", 6_000, 60_000);
    bpaf::construct!(Settings {
        seed,
        callers,
        load_ms,
        timeout_ms,
    })
}

/// Runs both bursts and reports them.
pub(super) fn run(settings: &Settings, output: &Output) -> Result<(), Error> {
    let mut plan = Plan::new(TENGIS);
    plan.memory_mb = MEMORY_MB;
    plan.max_running = MAX_RUNNING;
    plan.store_bytes_per_s = CHECKPOINT_BYTES * 1_000 / u64::from(settings.load_ms);
    let fleet = Fleet::start(plan)?;
    let mut report = Report::new("burst", settings.seed, json!(settings));
    let normal = Burst::run(&fleet, settings, 1, false)?;
    let slowed = Burst::run(&fleet, settings, 2, true)?;
    normal.report("store at full speed", &mut report.rows);
    slowed.report("store slowed tenfold", &mut report.rows);
    report.plots.push(Plot {
        title: "Time of an answer in a burst by percentile".to_owned(),
        axes: ("percentile", "ms"),
        curves: vec![
            ("cold start, full speed", normal.cold_start.curve()),
            ("cold start, slowed", slowed.cold_start.curve()),
            ("refusal, slowed", slowed.refusal.curve()),
        ],
    });
    report.publish(output)
}

/// What a burst has shown.
#[derive(Debug)]
struct Burst {
    sent: u32,
    loads: u64,
    /// Times to the first token.
    cold_start: Times,
    /// Times to a refusal.
    refusal: Times,
    refused_with_time: u64,
    refused_not_run: u64,
    /// Requests without an HTTP answer or with a stream that ended with an error.
    broken: u64,
    /// Answers and refusals that came after the deadline.
    late: u64,
}

impl Burst {
    fn run(fleet: &Fleet, settings: &Settings, model: u32, slow: bool) -> Result<Self, Error> {
        let name = TENGIS.model(model).to_string();
        let before = fleet.count_engines("loads_started")?;
        let answers = send(fleet, settings, &name, slow)?;
        fleet.store.clear_faults()?;
        let mut burst = Self {
            sent: settings.callers,
            loads: fleet.count_engines("loads_started")? - before,
            cold_start: Times::new()?,
            refusal: Times::new()?,
            refused_with_time: 0,
            refused_not_run: 0,
            broken: 0,
            late: 0,
        };
        for (took, answer) in answers {
            burst.note(
                took,
                answer,
                Duration::from_millis(u64::from(settings.timeout_ms)),
            );
        }
        Ok(burst)
    }

    fn note(&mut self, took: Duration, answer: Result<Answer, Error>, timeout: Duration) {
        if took > timeout + TRAVEL {
            self.late += 1;
        }
        match answer {
            Ok(answer) if answer.is_complete() => {
                if let Some((first, _)) = answer.events.first() {
                    self.cold_start.record(*first);
                }
            }
            Ok(answer) if answer.status != 200 => {
                self.refusal.record(took);
                self.refused_with_time += u64::from(answer.retry_after.is_some());
                self.refused_not_run += u64::from(answer.not_run());
            }
            _ => self.broken += 1,
        }
    }

    fn report(&self, name: &str, rows: &mut Vec<Row>) {
        let counts = [
            ("sent", u64::from(self.sent)),
            ("loads by the engines' record", self.loads),
            ("served", self.cold_start.count()),
            ("refused", self.refusal.count()),
            ("refused with a time to come back", self.refused_with_time),
            ("refused as not run", self.refused_not_run),
            ("broken off or without an answer", self.broken),
            ("answered after the deadline", self.late),
        ];
        let counts = counts.map(|(what, count)| {
            let name = format!("{name}: {what}");
            Row::new(name, count as f64, "")
        });
        rows.extend(counts);
        for (what, times) in [("cold start", &self.cold_start), ("refusal", &self.refusal)] {
            if times.count() > 0 {
                rows.extend(times.rows(&format!("{name}: {what}")));
                let longest = times.longest_ms();
                rows.push(Row::new(format!("{name}: {what}, longest"), longest, "ms"));
            }
        }
    }
}

type Timed = (Duration, Result<Answer, Error>);

/// Sends all requests at once and waits for their answers; slows the store meanwhile if asked to.
fn send(fleet: &Fleet, settings: &Settings, model: &str, slow: bool) -> Result<Vec<Timed>, Error> {
    let barrier = Barrier::new(settings.callers as usize + 1);
    thread::scope(|scope| {
        let barrier = &barrier;
        let threads: Vec<_> = (0..settings.callers)
            .map(|caller| scope.spawn(move || ask(fleet, settings, model, caller, barrier)))
            .collect();
        barrier.wait();
        if slow {
            thread::sleep(SLOW_AFTER);
            let fault = json!({ "kind": "slow_transfer", "factor": SLOW_FACTOR });
            fleet.store.add_fault(&fault)?;
        }
        let joined = threads.into_iter().map(|thread| thread.join());
        joined
            .map(|timed| timed.map_err(|_| Error::Check("a caller panicked".to_owned())))
            .collect()
    })
}

/// Sends one request and returns how long its whole answer took.
fn ask(fleet: &Fleet, settings: &Settings, model: &str, number: u32, barrier: &Barrier) -> Timed {
    let caller = fleet.caller(number as usize % fleet.entries.len());
    let mut random = Rng::with_seed(settings.seed << 32 | u64::from(number));
    let timeout = Duration::from_millis(u64::from(settings.timeout_ms));
    barrier.wait();
    thread::sleep(Duration::from_millis(random.u64(..=SPREAD_MS)));
    let start = Instant::now();
    let answer = caller.chat(model, &format!("manifest {number}"), TOKENS, timeout);
    (start.elapsed(), answer)
}

//! Attempts for each request while an agent is dead, and the time until the system has recovered.

use std::{
    fs,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bpaf::Parser;
use serde::Serialize;
use serde_json::json;

use super::{
    Caller, Daemon, Error, Fleet, Plan, TENGIS,
    report::{
        Output,
        Plot,
        Report,
        Row,
        bounded,
        seed, //
    },
};

/// Tokens of each completion.
const TOKENS: u32 = 10;

/// Deadline of each request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time before the fault.
const BEFORE: Duration = Duration::from_secs(2);

/// Accelerator memory of each engine in MiB.
const MEMORY_MB: u64 = 80_000;

/// Completions that an engine runs at once.
const MAX_RUNNING: u32 = 1_024;

/// Share of the requests by which the retry budget bounds retries.
const BUDGET_SHARE: f64 = 0.1;

/// Settings of a run.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Settings {
    /// Seed of the prompts.
    #[serde(skip)]
    pub(super) seed: u64,
    /// Requests a second, sent whether earlier ones are answered or not.
    pub(super) rate: u32,
    /// Time for which the agent is dead in milliseconds.
    pub(super) fault_ms: u32,
    /// Time after the agent is back in milliseconds.
    pub(super) after_ms: u32,
}

/// Returns the parser of the settings.
pub(super) fn settings() -> impl Parser<Settings> {
    let seed = seed();
    let rate = bounded("rate", "Requests a second", 40, 100);
    let fault_ms = bounded(
        "fault-ms",
        "Time for which the agent is dead",
        4_000,
        60_000,
    );
    let after_ms = bounded("after-ms", "Time after the agent is back", 8_000, 60_000);
    bpaf::construct!(Settings {
        seed,
        rate,
        fault_ms,
        after_ms,
    })
}

/// A request as its caller saw it.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// Time from the run's start to its end.
    ended: Duration,
    took: Duration,
    served: bool,
}

/// Kills an agent under load, starts it again and reports what the callers saw.
pub(super) fn run(settings: &Settings, output: &Output) -> Result<(), Error> {
    let mut plan = Plan::new(TENGIS);
    plan.memory_mb = MEMORY_MB;
    plan.max_running = MAX_RUNNING;
    let mut fleet = Fleet::start(plan)?;
    let model = TENGIS.model(1).to_string();
    for entry in 0..fleet.entries.len() {
        fleet.caller(entry).chat(&model, "warm", 2, TIMEOUT)?;
    }
    let victim = victim(&fleet)?;
    let before = Attempts::read(&fleet)?;
    let schedule = Schedule::new(&fleet, settings, model);
    let (calls, back_at) = schedule.run(&mut fleet.engine_agents[victim])?;
    let attempts = Attempts::read(&fleet)?.since(before);
    let mut report = Report::new("retries", settings.seed, json!(settings));
    summarise(&mut report, &calls, attempts, back_at);
    report.publish(output)
}

/// Requests at a steady rate, sent by as many threads as can be waiting for answers.
#[derive(Debug)]
struct Schedule<'a> {
    settings: &'a Settings,
    callers: Vec<Caller>,
    model: String,
    start: Instant,
    fault: Duration,
    count: u32,
    next: AtomicU32,
}

impl<'a> Schedule<'a> {
    fn new(fleet: &Fleet, settings: &'a Settings, model: String) -> Self {
        let fault = Duration::from_millis(u64::from(settings.fault_ms));
        let total = BEFORE + fault + Duration::from_millis(u64::from(settings.after_ms));
        Self {
            settings,
            callers: (0..fleet.entries.len()).map(|n| fleet.caller(n)).collect(),
            model,
            start: Instant::now(),
            fault,
            count: (f64::from(settings.rate) * total.as_secs_f64()) as u32,
            next: AtomicU32::new(0),
        }
    }

    /// Sends all requests, with the agent killed and started again meanwhile; returns them with
    /// the time at which the agent was started again.
    fn run(&self, victim: &mut Daemon) -> Result<(Vec<Call>, Duration), Error> {
        let threads = self.settings.rate * u32::try_from(TIMEOUT.as_secs()).unwrap_or(1);
        thread::scope(|scope| {
            let threads: Vec<_> = (0..threads.min(self.count))
                .map(|_| scope.spawn(|| self.work()))
                .collect();
            thread::sleep(BEFORE.saturating_sub(self.start.elapsed()));
            victim.process.kill();
            thread::sleep(self.fault);
            let restarted = victim.restart();
            let back_at = self.start.elapsed();
            let mut calls = Vec::new();
            for thread in threads {
                let joined = thread.join();
                calls.extend(joined.map_err(|_| Error::Check("a caller panicked".to_owned()))?);
            }
            restarted.map(|()| (calls, back_at))
        })
    }

    /// Sends one request after the other, each at its time, while there are any left.
    fn work(&self) -> Vec<Call> {
        let mut calls = Vec::new();
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.count {
                return calls;
            }
            let at = Duration::from_secs_f64(f64::from(number) / f64::from(self.settings.rate));
            thread::sleep(at.saturating_sub(self.start.elapsed()));
            let prompt = format!("manifest {}-{number}", self.settings.seed);
            let caller = &self.callers[number as usize % self.callers.len()];
            let sent = Instant::now();
            let answer = caller.chat(&self.model, &prompt, TOKENS, TIMEOUT);
            calls.push(Call {
                ended: self.start.elapsed(),
                took: sent.elapsed(),
                served: answer.is_ok_and(|answer| answer.is_complete()),
            });
        }
    }
}

/// Returns the engine whose model is loaded.
fn victim(fleet: &Fleet) -> Result<usize, Error> {
    for (number, engine) in fleet.engines.iter().enumerate() {
        if engine.count("loads_finished")? > 0 {
            return Ok(number);
        }
    }
    Err(Error::Check("an engine has loaded the model".to_owned()))
}

/// Attempts of the entries, counted by their log lines.
#[derive(Debug, Clone, Copy, Default)]
struct Attempts {
    routed: u64,
    /// Attempts that ended after the agent may have begun, whose repetition the budget bounds.
    lost: u64,
    /// Attempts that certainly did not run.
    not_run: u64,
}

impl Attempts {
    fn read(fleet: &Fleet) -> Result<Self, Error> {
        let mut attempts = Self::default();
        for entry in &fleet.entries {
            let path = fleet.directory().join(format!("{}.log", entry.name));
            let text = fs::read_to_string(&path)
                .map_err(|error| Error::Io(path.display().to_string(), error))?;
            for line in text.lines() {
                attempts.count(line);
            }
        }
        Ok(attempts)
    }

    fn count(&mut self, line: &str) {
        if line.contains(" event=route ") {
            self.routed += 1;
        }
        if line.contains(" event=attempt_failed ") {
            let started = ["Lost(", "Failed(", "Deadline"];
            if started.iter().any(|reason| line.contains(reason)) {
                self.lost += 1;
            } else {
                self.not_run += 1;
            }
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            routed: self.routed - before.routed,
            lost: self.lost - before.lost,
            not_run: self.not_run - before.not_run,
        }
    }
}

fn summarise(report: &mut Report, calls: &[Call], attempts: Attempts, back_at: Duration) {
    let offered = calls.len() as f64;
    let served = calls.iter().filter(|call| call.served).count() as f64;
    let last_failure = calls
        .iter()
        .filter(|call| !call.served)
        .map(|call| call.ended);
    let last_failure = last_failure.max();
    let behind_fault = last_failure.map_or(Duration::ZERO, |at| at.saturating_sub(BEFORE));
    let recovery = last_failure.map_or(Duration::ZERO, |at| at.saturating_sub(back_at));
    let seconds = calls
        .iter()
        .map(|call| call.ended)
        .max()
        .unwrap_or_default();
    let bound = f64::max(BUDGET_SHARE * offered, seconds.as_secs_f64());
    report.rows.extend([
        Row::new("offered", offered, "requests"),
        Row::new("served", served, "requests"),
        Row::new("not served", offered - served, "requests"),
        Row::new("attempted", attempts.routed as f64, "attempts"),
        Row::new(
            "attempts that certainly did not run",
            attempts.not_run as f64,
            "attempts",
        ),
        Row::new(
            "attempts lost after they were sent",
            attempts.lost as f64,
            "attempts",
        ),
        Row::new("attempted to offered", attempts.routed as f64 / offered, ""),
        Row::new(
            "retries that the budget allows at each entry at most",
            bound,
            "attempts",
        ),
        Row::new(
            "last failure after the agent's death",
            behind_fault.as_secs_f64(),
            "s",
        ),
        Row::new(
            "last failure after the agent's return",
            recovery.as_secs_f64(),
            "s",
        ),
    ]);
    let points = |served| {
        let mut points: Vec<_> = calls
            .iter()
            .filter(|call| call.served == served)
            .map(|call| (call.ended.as_secs_f64(), 1e3 * call.took.as_secs_f64()))
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        points
    };
    report.plots.push(Plot {
        title: "Time of an answer over the run".to_owned(),
        axes: ("s since the start", "ms"),
        curves: vec![("served", points(true)), ("not served", points(false))],
    });
}

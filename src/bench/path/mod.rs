//! Time, processor time and memory that entry and agent add to a stream.

mod drive;
mod memory;

use std::time::{
    Duration,
    Instant, //
};

use bpaf::Parser;
use serde::Serialize;
use serde_json::json;

use self::drive::{
    Load,
    Tally, //
    Target,
};
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
    usage::Usage,
};
use crate::client::engine::{
    Engine,
    State, //
};

/// Required time to the first token of 95 in 100 requests, in milliseconds.
const FIRST_TARGET_MS: f64 = 420.0;

/// Required time between tokens of 95 in 100 requests, in milliseconds.
const BETWEEN_TARGET_MS: f64 = 51.0;

/// Streams of one model version that an agent gives to the engine at once.
const STREAMS_PER_MODEL: usize = 32;

/// Accelerator memory of each engine in MiB, enough for all models of a run.
const MEMORY_MB: u64 = 200_000;

/// Completions that an engine runs at once, above all bounds of the settings.
const MAX_RUNNING: u32 = 1_024;

/// Longest time of a round's streams. The agent does not see the direct ones and unloads a model
/// that stays idle for long.
const LONGEST_ROUND: Duration = Duration::from_secs(4);

/// Settings of a run.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Settings {
    /// Seed of the starts of the streams.
    #[serde(skip)]
    pub(super) seed: u64,
    /// Requests through the system, and as many directly.
    pub(super) requests: u32,
    /// Streams at once.
    pub(super) streams: u32,
    /// Tokens of each completion.
    pub(super) tokens: u32,
    /// Time between tokens of the engine in milliseconds.
    pub(super) interval_ms: u32,
    /// Rounds, each with a part through the system and a part directly.
    pub(super) rounds: u32,
    /// Open streams at which memory is read, after a quarter of them.
    pub(super) open: u32,
}

/// Returns the parser of the settings.
pub(super) fn settings() -> impl Parser<Settings> {
    let seed = seed();
    let requests = bounded("requests", "Requests through the system", 256, 10_000);
    let streams = bounded("streams", "Streams at once", 32, 256);
    let tokens = bounded("tokens", "Tokens of each completion", 64, 1_024);
    let interval_ms = bounded("interval-ms", "Time between the engine's tokens", 20, 1_000);
    let rounds = bounded("rounds", "Rounds of streams", 4, 100);
    let open = bounded("open", "Open streams at which memory is read", 128, 256);
    bpaf::construct!(Settings {
        seed,
        requests,
        streams,
        tokens,
        interval_ms,
        rounds,
        open,
    })
}

impl Settings {
    /// Returns the number of rounds, more than asked for if a round would be too long.
    fn rounds(&self) -> u32 {
        let requests = self.requests.div_ceil(self.streams);
        let total = Duration::from_millis(u64::from(self.tokens * self.interval_ms)) * requests;
        let least = total.as_secs().div_ceil(LONGEST_ROUND.as_secs());
        self.rounds.max(u32::try_from(least).unwrap_or(u32::MAX))
    }
}

/// Runs the measurement and reports it.
pub(super) fn run(settings: &Settings, output: &Output) -> Result<(), Error> {
    let fleet = Fleet::start(plan(settings))?;
    let models = models(settings);
    warm(&fleet, &models)?;
    let mut report = Report::new("path", settings.seed, json!(settings));
    let memory = memory::measure(&fleet, &models, settings.open)?;
    let sides = compare(&fleet, &models, settings)?;
    sides.report(&mut report);
    report.rows.extend(memory);
    report.publish(output)
}

fn plan(settings: &Settings) -> Plan {
    let mut plan = Plan::new(TENGIS);
    plan.memory_mb = MEMORY_MB;
    plan.max_running = MAX_RUNNING;
    plan.token_interval_ms = u64::from(settings.interval_ms);
    plan
}

/// Returns the models over which the streams are spread.
fn models(settings: &Settings) -> Vec<String> {
    let most = settings.streams.max(settings.open) as usize;
    let count = u32::try_from(most.div_ceil(STREAMS_PER_MODEL)).unwrap_or(1);
    (1..=count.max(1))
        .map(|number| TENGIS.model(number).to_string())
        .collect()
}

/// Loads the models and connects each entry to their agents.
fn warm(fleet: &Fleet, models: &[String]) -> Result<(), Error> {
    for model in models {
        for entry in 0..fleet.entries.len() {
            let timeout = Duration::from_secs(30);
            let answer = fleet.caller(entry).chat(model, "warm", 2, timeout)?;
            if !answer.is_complete() {
                return Err(Error::Check(format!("{model} is warm: {}", answer.body)));
            }
        }
    }
    Ok(())
}

/// Processor time of all entries and of all agents of engines.
#[derive(Debug, Clone, Copy, Default)]
struct Processor {
    entry: Duration,
    agent: Duration,
}

impl Processor {
    fn read(fleet: &Fleet) -> Result<Self, Error> {
        Ok(Self {
            entry: processor(&fleet.entries)?,
            agent: processor(&fleet.engine_agents)?,
        })
    }

    fn add_since(&mut self, start: Self, now: Self) {
        self.entry += now.entry.saturating_sub(start.entry);
        self.agent += now.agent.saturating_sub(start.agent);
    }
}

fn processor(daemons: &[Daemon]) -> Result<Duration, Error> {
    daemons
        .iter()
        .map(|daemon| Ok(Usage::of(daemon.process.id())?.processor))
        .sum()
}

/// What the streams through the system and the direct ones have shown.
#[derive(Debug)]
struct Sides {
    system: Tally,
    direct: Tally,
    processor: Processor,
    elapsed: Duration,
}

/// Drives the same streams through the system and directly, in turns, so that a change of the
/// machine's load meets both alike.
fn compare(fleet: &Fleet, models: &[String], settings: &Settings) -> Result<Sides, Error> {
    let through: Vec<_> = (0..fleet.entries.len())
        .map(|entry| fleet.caller(entry))
        .collect();
    let system: Vec<_> = models
        .iter()
        .flat_map(|model| through.iter().map(|caller| Target::new(caller, model)))
        .collect();
    let direct = direct_targets(fleet, models, through.len())?;
    let mut sides = Sides {
        system: Tally::new()?,
        direct: Tally::new()?,
        processor: Processor::default(),
        elapsed: Duration::ZERO,
    };
    for round in 0..settings.rounds() {
        let load = Load::of(settings, round);
        let (start, before) = (Instant::now(), Processor::read(fleet)?);
        sides.system.add(&drive::run(&system, &load)?);
        sides.elapsed += start.elapsed();
        sides.processor.add_since(before, Processor::read(fleet)?);
        sides.direct.add(&drive::run(&direct, &load)?);
    }
    Ok(sides)
}

/// Returns the engine of each model, as often as there are entries.
fn direct_targets(fleet: &Fleet, models: &[String], times: usize) -> Result<Vec<Target>, Error> {
    let mut targets = Vec::new();
    for model in models {
        let url = engine_of(fleet, model)?;
        let target = Target::new(&Caller::direct(url), model);
        targets.extend(std::iter::repeat_n(target, times));
    }
    Ok(targets)
}

fn engine_of<'a>(fleet: &'a Fleet, model: &str) -> Result<&'a str, Error> {
    for engine in &fleet.engines {
        let inventory = Engine::new(&engine.url).inventory()?;
        let mut loaded = inventory.models.iter();
        if loaded.any(|one| one.model.as_str() == model && one.state == State::Loaded) {
            return Ok(&engine.url);
        }
    }
    Err(Error::Check(format!("{model} is loaded")))
}

impl Sides {
    fn report(&self, report: &mut Report) {
        let times = [
            ("first token", &self.system.first, &self.direct.first),
            ("between tokens", &self.system.between, &self.direct.between),
        ];
        for (name, system, direct) in times {
            report.rows.extend(system.rows(&format!("{name}, system")));
            report.rows.extend(direct.rows(&format!("{name}, direct")));
            for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
                let added = system.quantile_ms(quantile) - direct.quantile_ms(quantile);
                let name = format!("{name}, added, {label}");
                report.rows.push(Row::new(name, added, "ms"));
            }
            report.plots.push(Plot {
                title: format!("Time of {name} by percentile"),
                axes: ("percentile", "ms"),
                curves: vec![("system", system.curve()), ("direct", direct.curve())],
            });
        }
        let rows = [
            ("first token, target p95", FIRST_TARGET_MS, "ms"),
            ("between tokens, target p95", BETWEEN_TARGET_MS, "ms"),
        ];
        let rows = rows.map(|(name, value, unit)| Row::new(name, value, unit));
        report.rows.extend(rows);
        self.report_cost(&mut report.rows);
    }

    fn report_cost(&self, rows: &mut Vec<Row>) {
        let (requests, tokens) = (self.system.served as f64, self.system.tokens as f64);
        let entry = self.processor.entry.as_secs_f64();
        let agent = self.processor.agent.as_secs_f64();
        let spent = (entry + agent).max(f64::MIN_POSITIVE);
        let elapsed = self.elapsed.as_secs_f64();
        rows.extend([
            Row::new("served, system", requests, "requests"),
            Row::new("served, direct", self.direct.served as f64, "requests"),
            Row::new("failed, system", self.system.failed as f64, "requests"),
            Row::new("failed, direct", self.direct.failed as f64, "requests"),
            Row::new("requests a second", requests / elapsed, "1/s"),
            Row::new("tokens a second", tokens / elapsed, "1/s"),
            Row::new("processor time, entries", entry, "s"),
            Row::new("processor time, agents", agent, "s"),
            Row::new("requests a second per core", requests / spent, "1/s"),
            Row::new("tokens a second per core", tokens / spent, "1/s"),
            Row::new(
                "processor time per token, entry",
                1e6 * entry / tokens,
                "us",
            ),
            Row::new(
                "processor time per token, agent",
                1e6 * agent / tokens,
                "us",
            ),
        ]);
    }
}

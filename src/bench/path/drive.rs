//! Drives streams in parallel and records their times.

use std::{
    thread,
    time::Duration, //
};

use fastrand::Rng;

use super::Settings;
use crate::bench::{
    Answer,
    Caller,
    Error,
    report::Times, //
};

/// Deadline of each request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longest random pause before a stream starts.
const LONGEST_STAGGER_MS: u64 = 100;

/// Where a stream goes.
#[derive(Debug, Clone)]
pub(super) struct Target {
    caller: Caller,
    model: String,
}

impl Target {
    pub(super) fn new(caller: &Caller, model: &str) -> Self {
        Self {
            caller: caller.clone(),
            model: model.to_owned(),
        }
    }
}

/// The streams of one round.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    seed: u64,
    streams: u32,
    /// Requests of each stream, one after the other.
    requests: u32,
    tokens: u32,
}

impl Load {
    /// Returns the part of the run's streams in a round.
    pub(super) fn of(settings: &Settings, round: u32) -> Self {
        let parts = settings.streams * settings.rounds();
        Self {
            seed: settings.seed + u64::from(round),
            streams: settings.streams,
            requests: settings.requests.div_ceil(parts),
            tokens: settings.tokens,
        }
    }
}

/// What streams have shown.
#[derive(Debug)]
pub(super) struct Tally {
    /// Times to the first token.
    pub(super) first: Times,
    /// Times between tokens.
    pub(super) between: Times,
    /// Requests answered by a complete stream.
    pub(super) served: u64,
    /// Requests answered otherwise or not at all.
    pub(super) failed: u64,
    /// Tokens of complete streams.
    pub(super) tokens: u64,
}

impl Tally {
    pub(super) fn new() -> Result<Self, Error> {
        Ok(Self {
            first: Times::new()?,
            between: Times::new()?,
            served: 0,
            failed: 0,
            tokens: 0,
        })
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.first.add(&other.first);
        self.between.add(&other.between);
        self.served += other.served;
        self.failed += other.failed;
        self.tokens += other.tokens;
    }

    fn note(&mut self, answer: Result<Answer, Error>) {
        let Some(answer) = answer.ok().filter(Answer::is_complete) else {
            self.failed += 1;
            return;
        };
        self.served += 1;
        // The last event ends the stream.
        let (_, tokens) = answer.events.split_last().unwrap_or_else(|| unreachable!());
        self.tokens += tokens.len() as u64;
        if let Some((first, _)) = tokens.first() {
            self.first.record(*first);
        }
        for pair in tokens.windows(2) {
            self.between.record(pair[1].0 - pair[0].0);
        }
    }
}

/// Drives the streams of a round over the targets and waits for their ends.
pub(super) fn run(targets: &[Target], load: &Load) -> Result<Tally, Error> {
    let tallies: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..load.streams)
            .map(|stream| {
                let target = &targets[stream as usize % targets.len()];
                scope.spawn(move || drive(target, load, stream))
            })
            .collect();
        threads.into_iter().map(|thread| thread.join()).collect()
    });
    let mut total = Tally::new()?;
    for tally in tallies {
        total.add(&tally.map_err(|_| Error::Check("a stream panicked".to_owned()))??);
    }
    Ok(total)
}

fn drive(target: &Target, load: &Load, stream: u32) -> Result<Tally, Error> {
    let mut tally = Tally::new()?;
    let mut random = Rng::with_seed(load.seed << 32 | u64::from(stream));
    for request in 0..load.requests {
        thread::sleep(Duration::from_millis(random.u64(..=LONGEST_STAGGER_MS)));
        let prompt = format!("manifest {stream}, revision {request}");
        let answer = target
            .caller
            .chat(&target.model, &prompt, load.tokens, TIMEOUT);
        tally.note(answer);
    }
    Ok(tally)
}

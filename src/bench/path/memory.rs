//! Memory of each open stream.

use std::{
    sync::atomic::{
        AtomicBool,
        AtomicU32,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::bench::{
    Caller,
    Daemon,
    Error,
    Fleet,
    report::Row,
    usage::Usage, //
};

/// Tokens of a stream that stays open until it is left.
const MANY_TOKENS: u32 = 100_000;

/// Longest wait until all streams are open.
const OPEN_LIMIT: Duration = Duration::from_secs(20);

/// Pause before the memory is read, in which buffers reach their size.
const SETTLE: Duration = Duration::from_secs(1);

/// Pause between checks whether all streams are open.
const PAUSE: Duration = Duration::from_millis(20);

/// Memory of the entries and of the agents in KiB.
#[derive(Debug, Clone, Copy)]
struct Resident {
    entry: u64,
    agent: u64,
}

impl Resident {
    fn read(fleet: &Fleet) -> Result<Self, Error> {
        Ok(Self {
            entry: resident(&fleet.entries)?,
            agent: resident(&fleet.engine_agents)?,
        })
    }
}

fn resident(daemons: &[Daemon]) -> Result<u64, Error> {
    daemons
        .iter()
        .map(|daemon| Ok(Usage::of(daemon.process.id())?.resident_kib))
        .sum()
}

/// Reads the memory at a quarter of `open` streams and at all of them.
pub(super) fn measure(fleet: &Fleet, models: &[String], open: u32) -> Result<Vec<Row>, Error> {
    let few = open / 4;
    let before = with_open(fleet, models, few)?;
    let after = with_open(fleet, models, open)?;
    let streams = f64::from((open - few).max(1));
    let each = |before: u64, after: u64| (after as f64 - before as f64) / streams;
    Ok(vec![
        Row::new(
            "memory per open stream, entry",
            each(before.entry, after.entry),
            "KiB",
        ),
        Row::new(
            "memory per open stream, agent",
            each(before.agent, after.agent),
            "KiB",
        ),
    ])
}

fn with_open(fleet: &Fleet, models: &[String], count: u32) -> Result<Resident, Error> {
    let (opened, left) = (AtomicU32::new(0), AtomicBool::new(false));
    thread::scope(|scope| {
        let streams: Vec<_> = (0..count as usize)
            .map(|stream| {
                let caller = fleet.caller(stream % fleet.entries.len());
                let model = &models[stream / fleet.entries.len() % models.len()];
                let (opened, left) = (&opened, &left);
                scope.spawn(move || hold(&caller, model, opened, left))
            })
            .collect();
        let start = Instant::now();
        while opened.load(Ordering::Relaxed) < count && start.elapsed() < OPEN_LIMIT {
            thread::sleep(PAUSE);
        }
        thread::sleep(SETTLE);
        let resident = Resident::read(fleet);
        left.store(true, Ordering::Relaxed);
        for stream in streams {
            let held = stream.join();
            held.map_err(|_| Error::Check("a stream panicked".to_owned()))??;
        }
        resident
    })
}

/// Holds a stream open until it is left, counting it at its first token.
fn hold(caller: &Caller, model: &str, opened: &AtomicU32, left: &AtomicBool) -> Result<(), Error> {
    let mut first = true;
    caller.chat_while(model, "hold", MANY_TOKENS, || {
        if std::mem::take(&mut first) {
            opened.fetch_add(1, Ordering::Relaxed);
        }
        !left.load(Ordering::Relaxed)
    })
}

//! Seeded schedules of requests that crash servers, of crashes by chance and of sound requests, for
//! the decision which requests are refused.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    time::Duration,
};

use chestnuthub::{
    quarantine::{
        Crash,
        Evidence,
        Fact,
        Mark,
        Pattern,
        Run, //
    },
    timer::Time,
};
use fastrand::Rng;

/// Time after the fifth crash from which at most three requests that crash servers may reach one.
const CONTACT_MS: u64 = 4_000;

const MAX_ARRIVALS: usize = 3;

/// Id of the part that crashes servers.
const CRASHING: u64 = 0xbad;

/// Time from a fact at one gateway to what follows from it at another, in ms.
const DELAY_MS: u64 = 80;

/// Time in which a hub collects facts before it decides, in ms.
const DECISION_MS: u64 = 20;

/// Length of a schedule in ms.
const LENGTH_MS: u64 = 40_000;

/// A system and its traffic.
#[derive(Debug, Clone)]
struct Load {
    gateways: u64,
    servers: usize,
    sound_per_s: u64,
    crashing_per_s: f64,
    /// Time between moments at which a third of the servers crash by chance, in ms.
    chance_interval_ms: Option<u64>,
    /// Position of the crashing part among the shared parts.
    position: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { is_crashing: bool },
    Complete { run: u64 },
    Chance,
    Crash { server: usize, process: u64 },
    Back { server: usize },
    Told { number: usize },
    Decide,
    Learned { number: usize },
}

#[derive(Debug, Clone)]
struct Running {
    server: usize,
    gateway: u64,
    sent_at: u64,
    marks: Vec<Mark>,
    is_crashing: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<u64>,
    /// Arrivals of requests that crash servers.
    arrivals: Vec<u64>,
    sound: usize,
    /// Sound requests that were refused.
    refused: usize,
}

struct World {
    load: Load,
    rng: Rng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    runs: BTreeMap<u64, Running>,
    /// Number of the process of each server, or `None` while it is down.
    processes: Vec<Option<u64>>,
    started: u64,
    told: Vec<(u64, Fact)>,
    learned: Vec<Vec<Pattern>>,
    patterns: Vec<Pattern>,
    evidence: Evidence,
    is_deciding: bool,
    outcome: Outcome,
}

impl World {
    fn new(load: &Load, seed: u64) -> Self {
        let mut world = Self {
            load: load.clone(),
            rng: Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
            processes: (0..load.servers)
                .map(|server| Some(server as u64))
                .collect(),
            started: load.servers as u64,
            told: Vec::new(),
            learned: Vec::new(),
            patterns: Vec::new(),
            evidence: Evidence::default(),
            is_deciding: false,
            outcome: Outcome::default(),
        };
        world.at(1, Event::Request { is_crashing: false });
        if load.crashing_per_s > 0.0 {
            world.at(8_000, Event::Request { is_crashing: true });
        }
        if let Some(interval) = load.chance_interval_ms {
            world.at(interval, Event::Chance);
        }
        world
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((time, self.sequence, event)));
    }

    fn play(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now > LENGTH_MS {
                break;
            }
            self.handle(now, event);
        }
        self.outcome
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Request { is_crashing } => self.request(now, is_crashing),
            Event::Complete { run } => {
                if let Some(run) = self.runs.remove(&run) {
                    let marks = run.marks;
                    self.tell(now, Fact::Cleared { marks, age_ms: 0 });
                }
            }
            Event::Chance => {
                for server in 0..self.load.servers {
                    if let Some(process) = self.processes[server].filter(|_| self.rng.u8(..3) == 0)
                    {
                        let at = now + self.rng.u64(0..1_000);
                        self.at(at, Event::Crash { server, process });
                    }
                }
                let interval = self.load.chance_interval_ms.unwrap_or(LENGTH_MS);
                self.at(now + interval, Event::Chance);
            }
            Event::Crash { server, process } if self.processes[server] == Some(process) => {
                self.crash(now, server, process);
            }
            Event::Crash { .. } => (),
            Event::Back { server } => {
                self.started += 1;
                self.processes[server] = Some(self.started);
            }
            Event::Told { number } => {
                let (at, fact) = self.told[number].clone();
                let fact = fact.after(Duration::from_millis(now - at));
                let is_new = self.evidence.record(fact, Time::from_millis(now));
                if is_new && !std::mem::replace(&mut self.is_deciding, true) {
                    self.at(now + DECISION_MS, Event::Decide);
                }
            }
            Event::Decide => {
                self.is_deciding = false;
                let findings = self.evidence.findings(Time::from_millis(now));
                self.learned.push(findings.patterns);
                let number = self.learned.len() - 1;
                self.at(now + DELAY_MS / 2, Event::Learned { number });
            }
            Event::Learned { number } => self.patterns = self.learned[number].clone(),
        }
    }

    fn tell(&mut self, now: u64, fact: Fact) {
        self.told.push((now, fact));
        let number = self.told.len() - 1;
        let delay = self.rng.u64(DELAY_MS / 4..=DELAY_MS / 2);
        self.at(now + delay, Event::Told { number });
    }

    fn request(&mut self, now: u64, is_crashing: bool) {
        let per_s = if is_crashing {
            self.load.crashing_per_s
        } else {
            self.load.sound_per_s as f64
        };
        let pause = 1.0 + self.rng.f64() * 2_000.0 / per_s;
        self.at(now + pause as u64, Event::Request { is_crashing });
        let marks = self.marks(now, is_crashing);
        let is_refused = self.patterns.iter().any(|pattern| pattern.matches(&marks));
        let up: Vec<_> = (0..self.load.servers)
            .filter(|server| self.processes[*server].is_some())
            .collect();
        if !is_crashing {
            self.outcome.sound += 1;
            self.outcome.refused += usize::from(is_refused);
        }
        if is_refused || up.is_empty() {
            return;
        }
        let server = up[self.rng.usize(..up.len())];
        let gateway = self.rng.u64(..self.load.gateways);
        self.sequence += 1;
        let id = self.sequence;
        if is_crashing {
            self.outcome.arrivals.push(now);
            let process = self.processes[server].unwrap_or_default();
            let at = now + self.rng.u64(20..200);
            self.at(at, Event::Crash { server, process });
        } else {
            let at = now + self.rng.u64(300..3_000);
            self.at(at, Event::Complete { run: id });
        }
        self.runs.insert(
            id,
            Running {
                server,
                gateway,
                sent_at: now,
                marks,
                is_crashing,
            },
        );
    }

    /// Draws the marks of a prompt: a part of its route, one of its subject, and one of its own.
    fn marks(&mut self, now: u64, is_crashing: bool) -> Vec<Mark> {
        let mut parts = vec![self.rng.u64(1..4), 1_000 + self.rng.u64(..50)];
        if is_crashing {
            parts.insert(self.load.position.min(parts.len()), CRASHING);
        }
        parts.push(1_000_000 + now * 64 + self.rng.u64(..64));
        parts.into_iter().map(Mark::of_part).collect()
    }

    fn crash(&mut self, now: u64, server: usize, process: u64) {
        self.processes[server] = None;
        if self
            .runs
            .values()
            .any(|run| run.server == server && run.is_crashing)
        {
            self.outcome.crashes.push(now);
        }
        let back = now + self.rng.u64(1_000..5_000);
        self.at(back, Event::Back { server });
        let ended: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.server == server)
            .map(|(id, run)| (*id, run.clone()))
            .collect();
        let mut by_gateway: BTreeMap<u64, Vec<Run>> = BTreeMap::new();
        for (id, run) in ended {
            self.runs.remove(&id);
            let worked_ms = (now - run.sent_at) as u32;
            // What has answered for a second is not reported; answers begin after 100 ms here.
            if worked_ms < 1_100 {
                let marks = run.marks;
                let runs = by_gateway.entry(run.gateway).or_default();
                runs.push(Run {
                    id,
                    worked_ms,
                    marks,
                });
            }
        }
        for runs in by_gateway.into_values() {
            let crash = Crash {
                process,
                address: server as u64,
                age_ms: 0,
                runs,
            };
            self.tell(now, Fact::Crash(crash));
        }
    }
}

fn loads() -> [Load; 3] {
    [(5, 9, 25), (30, 50, 120), (330, 600, 800)].map(|(gateways, servers, sound_per_s)| Load {
        gateways,
        servers,
        sound_per_s,
        crashing_per_s: 1.5,
        chance_interval_ms: None,
        position: 1,
    })
}

/// Returns the number of arrivals later than the bound allows them freely.
fn late_arrivals(outcome: &Outcome) -> usize {
    let Some(fifth) = outcome.crashes.get(4) else {
        return 0;
    };
    let late = |at: &&u64| **at > fifth + CONTACT_MS;
    outcome.arrivals.iter().filter(late).count()
}

/// Guards against a crashing part that goes on reaching servers at any size of the fleet, and against
/// sound requests that are refused because they share its other parts.
#[test]
fn a_crashing_part_is_found_at_any_size() {
    for (load, seeds) in loads().into_iter().zip([40, 10, 1]) {
        for position in 0..3 {
            let load = Load {
                position,
                ..load.clone()
            };
            let (mut most_crashes, mut refused, mut sound) = (0, 0, 0);
            for seed in 0..seeds {
                let outcome = World::new(&load, seed).play();
                let late = late_arrivals(&outcome);
                assert!(late <= MAX_ARRIVALS, "{late} late, seed {seed}, {load:?}");
                assert!(!outcome.crashes.is_empty(), "seed {seed}, {load:?}");
                most_crashes = most_crashes.max(outcome.crashes.len());
                refused += outcome.refused;
                sound += outcome.sound;
            }
            println!(
                "{load:?}: at most {most_crashes} crashes, {refused} of {sound} sound refused"
            );
            assert!(refused * 100 <= sound * 5, "{refused} of {sound}, {load:?}");
        }
    }
}

/// Guards against sound requests that are refused because servers crash by chance under load.
#[test]
fn crashes_by_chance_lead_to_no_refusals() {
    for (load, seeds) in loads().into_iter().zip([40, 10, 1]) {
        let load = Load {
            crashing_per_s: 0.0,
            chance_interval_ms: Some(6_000),
            ..load
        };
        let (mut refused, mut sound) = (0, 0);
        for seed in 0..seeds {
            let outcome = World::new(&load, seed).play();
            refused += outcome.refused;
            sound += outcome.sound;
        }
        println!("{load:?}: {refused} of {sound} refused");
        assert!(refused * 1_000 <= sound, "{refused} of {sound}, {load:?}");
    }
}

/// Guards against a crashing part that is not found while servers also crash by chance.
#[test]
fn a_crashing_part_is_found_among_crashes_by_chance() {
    for (load, seeds) in loads().into_iter().zip([40, 10, 1]) {
        let load = Load {
            chance_interval_ms: Some(6_000),
            ..load
        };
        let (mut refused, mut sound) = (0, 0);
        for seed in 0..seeds {
            let outcome = World::new(&load, seed).play();
            let late = late_arrivals(&outcome);
            assert!(late <= MAX_ARRIVALS, "{late} late, seed {seed}, {load:?}");
            refused += outcome.refused;
            sound += outcome.sound;
        }
        println!("{load:?}: {refused} of {sound} refused");
        assert!(refused * 100 <= sound * 5, "{refused} of {sound}, {load:?}");
    }
}

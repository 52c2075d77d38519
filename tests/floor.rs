//! Withdrawn keys after restarts of gateways at a store that has come back from an older copy.

use std::time::Duration;

use chestnuthub::{
    hub::Description,
    link::EngineVersion,
    timer::Time,
    watch::Floor, //
};
use fastrand::Rng;

/// Number of schedules.
const SCHEDULES: u64 = 2_000;

/// Length of a schedule in ms.
const LENGTH_MS: u64 = 60_000;

/// Length of a step in ms.
const STEP_MS: u64 = 50;

/// Time after the start in which a gateway minds the versions of others, in ms.
const LASTS_MS: u64 = 8_000;

/// Interval of the messages between hubs, in ms.
const HEARTBEAT_MS: u64 = 1_000;

/// Interval of the messages of hubs to gateways, in ms.
const UPDATE_MS: u64 = 250;

/// Time after its start after which a hub tells gateways what it knows, in ms.
const INFORMED_MS: u64 = 1_000;

/// Time within which a gateway hears from a hub that knows a version, in ms.
const HEARING_MS: u64 = 1_500;

const GATEWAYS: usize = 4;
const HUBS: usize = 2;

/// A boot of a gateway.
struct Gateway {
    started_ms: u64,
    version: u64,
    read_at: Option<Time>,
    floor: Floor,
    hub: usize,
    /// Until when the store does not answer it.
    cut_until_ms: u64,
    /// Whether its hub knows its version.
    is_told: bool,
    /// Newest version that hubs had to know when it started.
    known: u64,
}

impl Gateway {
    fn new(now_ms: u64, known: u64, rng: &mut Rng) -> Self {
        Self {
            started_ms: now_ms,
            version: 0,
            read_at: None,
            floor: Floor::new(Duration::from_millis(LASTS_MS)),
            hub: rng.usize(..HUBS),
            cut_until_ms: 0,
            is_told: false,
            known,
        }
    }
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    /// Steps in which a gateway accepted the keys of a version older than one that hubs had to know
    /// when it started, within the time for which the floor holds.
    back: u64,
    /// Longest time for which a gateway with the newest version accepted no key, in ms.
    idle_ms: u64,
    /// Longest time for which a gateway held back once it had read a configuration, in ms.
    longest_ms: u64,
    steps: u64,
}

struct World {
    rng: Rng,
    now_ms: u64,
    gateways: Vec<Gateway>,
    hubs: Vec<Description>,
    /// When each hub started.
    hubs_started_ms: [u64; HUBS],
    /// Newest version that all hubs have known at a time.
    known: u64,
    /// Newest version in the store, and the one that the operator has written last.
    stored: u64,
    written: u64,
    /// When the operator writes again what the store has lost.
    rewrite_ms: Option<u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let gateways = (0..GATEWAYS)
            .map(|_| Gateway::new(0, 0, &mut rng))
            .collect();
        Self {
            rng,
            now_ms: 0,
            gateways,
            hubs: (0..HUBS).map(|_| Description::default()).collect(),
            hubs_started_ms: [0; HUBS],
            known: 0,
            stored: 1,
            written: 1,
            rewrite_ms: None,
        }
    }

    fn restart(&mut self, index: usize) {
        self.gateways[index] = Gateway::new(self.now_ms, self.known, &mut self.rng);
    }

    fn disturb(&mut self) {
        match self.rng.u32(..400) {
            0..=2 => {
                self.written += 1;
                self.stored = self.written;
                self.rewrite_ms = None;
            }
            // The store comes back from a copy; the operator writes again later, or never.
            3..=4 => {
                self.stored = self.stored.saturating_sub(self.rng.u64(1..3)).max(1);
                let later = self.now_ms + self.rng.u64(200..12_000);
                self.rewrite_ms = Some(later);
                if self.rng.bool() {
                    (0..GATEWAYS).for_each(|index| self.restart(index));
                }
            }
            5..=6 => {
                let index = self.rng.usize(..GATEWAYS);
                self.restart(index);
            }
            7 => (0..GATEWAYS).for_each(|index| self.restart(index)),
            8..=9 => {
                let until_ms = self.now_ms + self.rng.u64(100..8_000);
                let index = self.rng.usize(..GATEWAYS);
                self.gateways[index].cut_until_ms = until_ms;
            }
            10 => self.restart_hub(),
            _ => (),
        }
        if self.rewrite_ms.is_some_and(|at_ms| at_ms <= self.now_ms) {
            self.stored = self.written;
            self.rewrite_ms = None;
        }
    }

    /// Restarts a hub, unless the other one has not been told everything since its own start.
    fn restart_hub(&mut self) {
        let index = self.rng.usize(..HUBS);
        if self.now_ms - self.hubs_started_ms[1 - index] <= HEARTBEAT_MS + INFORMED_MS {
            return;
        }
        self.hubs[index] = Description::default();
        self.hubs_started_ms[index] = self.now_ms;
        // Gateways leave a hub that ends, and tell the next one everything.
        for gateway in &mut self.gateways {
            gateway.hub = 1 - index;
            gateway.is_told = false;
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn read(&mut self) {
        let now = self.now();
        for gateway in &mut self.gateways {
            if gateway.cut_until_ms > self.now_ms {
                continue;
            }
            if self.stored > gateway.version {
                gateway.version = self.stored;
                gateway.is_told = false;
            }
            gateway.read_at.get_or_insert(now);
        }
    }

    fn tell(&mut self) {
        let now = self.now();
        let version = |configuration| EngineVersion {
            configuration,
            digest: 1,
        };
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
            let known: Vec<_> = self.hubs.iter().map(Description::newest).collect();
            for (index, hub) in self.hubs.iter_mut().enumerate() {
                if let Some(newest) = known[1 - index] {
                    hub.offer(100, version(newest), now);
                }
            }
        }
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let age_ms = self.now_ms - gateway.started_ms;
            let hub = &mut self.hubs[gateway.hub];
            if gateway.version > 0 && !gateway.is_told {
                hub.offer(index as u64, version(gateway.version), now);
                gateway.is_told = true;
            }
            let is_informed = self.now_ms - self.hubs_started_ms[gateway.hub] >= INFORMED_MS;
            if is_informed
                && age_ms.is_multiple_of(UPDATE_MS)
                && let Some(newest) = hub.newest()
            {
                gateway.floor.hear(newest);
            }
        }
        let known = self.hubs.iter().map(Description::newest).min();
        self.known = self.known.max(known.flatten().unwrap_or_default());
    }

    /// Records what the gateways accept in this step.
    fn check(&self, is_floor_used: bool, outcome: &mut Outcome) {
        let now = self.now();
        for gateway in &self.gateways {
            let Some(read_at) = gateway.read_at else {
                continue;
            };
            outcome.steps += 1;
            let is_met = gateway.floor.is_met(gateway.version, read_at, now);
            let accepts = is_met || !is_floor_used;
            let age_ms = (now - read_at).as_millis() as u64;
            if accepts && gateway.version < gateway.known && age_ms < LASTS_MS {
                outcome.back += 1;
            }
            if !accepts {
                outcome.longest_ms = outcome.longest_ms.max(age_ms);
                let is_newest = gateway.version == self.written && gateway.version >= gateway.known;
                if is_newest {
                    outcome.idle_ms = outcome.idle_ms.max(age_ms);
                }
            }
        }
    }
}

fn play(is_floor_used: bool) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        while world.now_ms < LENGTH_MS {
            world.disturb();
            world.read();
            world.tell();
            world.check(is_floor_used, &mut outcome);
            world.now_ms += STEP_MS;
        }
    }
    println!("floor used: {is_floor_used}, {outcome:?}");
    outcome
}

/// Guards against a withdrawn key that is in use again because one gateway, or all of them, started
/// anew and read an older copy of the store, while hubs knew the version that withdrew it.
#[test]
fn no_restart_brings_a_withdrawn_key_back() {
    let without = play(false);
    assert!(without.back > 1_000, "{without:?}");
    let with = play(true);
    assert_eq!(with.back, 0, "{with:?}");
    assert!(with.longest_ms < LASTS_MS, "{with:?}");
}

/// Guards against gateways that hold back although they have the newest version, for longer than it
/// takes to hear from a hub.
#[test]
fn a_gateway_with_the_newest_version_serves() {
    let with = play(true);
    assert!(with.idle_ms < HEARING_MS, "{with:?}");
}

//! How soon a process that follows the configuration has a new version in force, over seeded
//! disruptions of its reads.

use std::time::Duration;

use chestnuthub::watch::{
    Pace,
    Read, //
};
use fastrand::Rng;

/// Number of schedules for each set of bounds.
const SCHEDULES: u64 = 4_000;

/// Length of a schedule in ms.
const LENGTH_MS: u64 = 60_000;

/// Timeout for a new connection in ms.
const CONNECT_MS: u64 = 500;

/// What is wrong with the reads of a process for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Connections that exist carry nothing any more; new ones work.
    Silence,
    /// No connection can be made, and those that exist carry nothing any more.
    Cut,
    /// The store takes requests and does not respond.
    Mute,
    /// The store refuses requests at once.
    Refusal,
}

const FAULTS: [Fault; 4] = [Fault::Silence, Fault::Cut, Fault::Mute, Fault::Refusal];

#[derive(Debug, Clone, Copy)]
struct Disruption {
    fault: Fault,
    from_ms: u64,
    until_ms: u64,
}

/// Outcome of a read: when it ended, and whether the store responded.
#[derive(Debug, Clone, Copy)]
struct End {
    at_ms: u64,
    is_answered: bool,
}

#[derive(Debug)]
struct World {
    disruptions: Vec<Disruption>,
    /// Times at which versions are acknowledged, in ms.
    versions: Vec<u64>,
    round_trip_ms: u64,
}

impl World {
    fn new(rng: &mut Rng) -> Self {
        let mut disruptions = Vec::new();
        let mut at_ms = rng.u64(2_000..8_000);
        while at_ms < LENGTH_MS {
            let fault = FAULTS[rng.usize(..FAULTS.len())];
            let lasts_ms = match fault {
                Fault::Silence => 1,
                _ => rng.u64(1..12_000),
            };
            disruptions.push(Disruption {
                fault,
                from_ms: at_ms,
                until_ms: at_ms + lasts_ms,
            });
            at_ms += lasts_ms + rng.u64(1..9_000);
        }
        let mut versions: Vec<u64> = (0..30).map(|_| rng.u64(0..LENGTH_MS)).collect();
        versions.sort_unstable();
        Self {
            disruptions,
            versions,
            round_trip_ms: rng.u64(1..90),
        }
    }

    fn fault_at(&self, at_ms: u64) -> Option<Fault> {
        let mut disruptions = self.disruptions.iter();
        let current = disruptions.find(|d| d.from_ms <= at_ms && at_ms < d.until_ms);
        current.map(|d| d.fault)
    }

    /// Returns whether a connection that carries a read from one time to another falls silent.
    fn is_silenced(&self, from_ms: u64, until_ms: u64) -> bool {
        let ends = |d: &&Disruption| d.from_ms <= until_ms && d.until_ms > from_ms;
        let mut disruptions = self.disruptions.iter().filter(ends);
        disruptions.any(|d| d.fault != Fault::Refusal)
    }

    /// Number of versions that have been acknowledged.
    fn newest(&self, at_ms: u64) -> usize {
        self.versions.partition_point(|version| *version <= at_ms)
    }

    /// Plays a read by a process that knows the first `known` versions.
    fn read(&self, now_ms: u64, read: Read, known: usize, is_connected: bool) -> End {
        let failed = |at_ms| End {
            at_ms,
            is_answered: false,
        };
        let fault = self.fault_at(now_ms);
        let ends_ms = now_ms + read.timeout.as_millis() as u64;
        if !is_connected && fault == Some(Fault::Cut) {
            return failed(ends_ms.min(now_ms + CONNECT_MS));
        }
        let setup_ms = if is_connected { 0 } else { self.round_trip_ms };
        let arrives_ms = now_ms + setup_ms + self.round_trip_ms;
        if fault == Some(Fault::Refusal) {
            return failed(arrives_ms);
        }
        let next = self.versions.get(known).copied().unwrap_or(u64::MAX);
        let waited_ms = arrives_ms + read.wait.as_millis() as u64;
        let answered_ms = next.saturating_add(self.round_trip_ms);
        let answered_ms = answered_ms.clamp(arrives_ms, waited_ms);
        if self.is_silenced(now_ms, answered_ms) || answered_ms > ends_ms {
            return failed(ends_ms);
        }
        End {
            at_ms: answered_ms,
            is_answered: true,
        }
    }

    /// Returns the latest time at which a version must be in force: `apply_ms` after its
    /// acknowledgement, but not before the process was undisturbed for `settled_ms`.
    fn deadline(&self, acknowledged_ms: u64, apply_ms: u64, settled_ms: u64) -> u64 {
        let mut deadline_ms = acknowledged_ms + apply_ms;
        for disruption in &self.disruptions {
            if disruption.from_ms <= deadline_ms {
                deadline_ms = deadline_ms.max(disruption.until_ms + settled_ms);
            }
        }
        deadline_ms
    }
}

/// Plays a follower through a schedule; returns the worst delay of a version beyond its deadline in
/// ms, or 0.
fn worst_delay(seed: u64, apply_ms: u64, settled_ms: u64) -> u64 {
    let mut rng = Rng::with_seed(seed);
    let world = World::new(&mut rng);
    let mut pace = Pace::new(Duration::from_millis(settled_ms));
    let (mut now_ms, mut known, mut is_connected, mut worst_ms) = (0, 0, false, 0);
    while now_ms < LENGTH_MS {
        let read = pace.next(true);
        let end = world.read(now_ms, read, known, is_connected);
        is_connected = end.is_answered;
        now_ms = end.at_ms;
        if end.is_answered {
            pace.record_response();
            let newest = world.newest(now_ms - world.round_trip_ms / 2);
            for acknowledged_ms in &world.versions[known..newest.max(known)] {
                let deadline_ms = world.deadline(*acknowledged_ms, apply_ms, settled_ms);
                worst_ms = worst_ms.max(now_ms.saturating_sub(deadline_ms));
            }
            known = newest.max(known);
        } else {
            now_ms += pace.record_failure().as_millis() as u64;
        }
    }
    worst_ms
}

/// Guards against a version that is used too late because the timeouts and pauses of reads after a
/// disruption add up to more than the time within which all bounds must hold again.
#[test]
fn a_version_is_in_force_in_time_after_any_disruptions() {
    for (apply_ms, settled_ms) in [(2_500, 4_000), (5_000, 5_000), (1_000, 2_500)] {
        let late = (0..SCHEDULES).filter_map(|seed| {
            let delay_ms = worst_delay(seed, apply_ms, settled_ms);
            (delay_ms > 0).then_some((delay_ms, seed))
        });
        let late: Vec<_> = late.collect();
        assert!(
            late.is_empty(),
            "bounds {apply_ms} and {settled_ms} ms: {} of {SCHEDULES} schedules late, the worst by \
             {:?} (ms, seed)",
            late.len(),
            late.iter().max(),
        );
    }
}

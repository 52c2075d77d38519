//! Followers of a store that comes back from copies which lack the newest records.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use chestnuthub::{
    deployment::Server,
    platform::server,
    timer::Time,
    watch::{
        Cursor,
        Roster, //
    },
};

/// Number of schedules.
const SCHEDULES: u64 = 4_000;

/// Number of steps in a schedule.
const STEPS: usize = 60;

/// A store of configuration versions that may lose its newest records.
#[derive(Debug, Default)]
struct Log {
    era: u64,
    versions: Vec<u64>,
    /// Newest version that the operator wrote.
    newest: u64,
}

/// Answer to a read of the log.
#[derive(Debug, Clone, Copy)]
struct Answer {
    era: u64,
    next: u64,
    version: Option<u64>,
    is_expired: bool,
}

impl Log {
    fn read(&self, from: Option<u64>) -> Answer {
        let end = self.versions.len() as u64;
        let first = from.unwrap_or(0).min(end) as usize;
        Answer {
            era: self.era,
            next: end,
            version: self.versions[first..].last().copied(),
            is_expired: from.is_some_and(|from| from > end),
        }
    }

    fn write(&mut self) {
        self.newest += 1;
        self.versions.push(self.newest);
    }

    /// Loses the newest records; the operator writes the newest version again later.
    fn restore(&mut self, lost: usize) {
        self.versions
            .truncate(self.versions.len().saturating_sub(lost));
        self.era += 1;
    }
}

/// A follower of the log, as the gateway runs it.
#[derive(Debug, Default)]
struct Follower {
    cursor: Cursor,
    newest_era: u64,
    version: u64,
}

impl Follower {
    /// Takes an answer and checks that the version does not fall.
    fn take(&mut self, answer: Answer, seed: u64) {
        if answer.era < self.newest_era || answer.is_expired {
            self.cursor.restart();
            return;
        }
        self.newest_era = answer.era;
        let before = self.version;
        if let Some(version) = answer.version {
            self.version = self.version.max(version);
        }
        self.cursor.advance(answer.era, answer.next);
        assert!(self.version >= before, "seed {seed}");
    }
}

/// Guards against a follower that misses a configuration because the store gave out the offsets of
/// lost records again. Answers are lost and arrive late; the era rises between any two reads.
#[test]
fn a_follower_has_the_newest_version_after_any_number_of_eras() {
    for seed in 0..SCHEDULES {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut log = Log::default();
        let mut follower = Follower::default();
        let mut late = Vec::new();
        for _ in 0..STEPS {
            match random.u32(..10) {
                0..=2 => log.write(),
                3 => log.restore(random.usize(..4)),
                4 => {
                    let from = follower.cursor.next();
                    late.push((from, log.read(from)));
                }
                5 if !late.is_empty() => {
                    let (from, answer) = late.swap_remove(random.usize(..late.len()));
                    // The follower has one read under way at a time.
                    if follower.cursor.next() == from {
                        follower.take(answer, seed);
                    }
                }
                _ => follower.take(log.read(follower.cursor.next()), seed),
            }
        }
        log.newest += 1;
        log.versions.push(log.newest);
        // An expired offset and a new era cost one read each.
        for _ in 0..3 {
            follower.take(log.read(follower.cursor.next()), seed);
        }
        assert_eq!(follower.version, log.newest, "seed {seed}");
    }
}

fn entry(id: usize, started_ms: u64, seq: u64) -> Server {
    let text = format!(
        r#"{{"service":"llm","address":"10.0.0.{id}:80","zone":"z","slots":4,"state":"ready",
            "coldLeftMs":0,"seq":{seq},"born":{started_ms}}}"#
    );
    server::decode(&format!("s{id}"), text.as_bytes()).expect("an entry")
}

/// Guards against a server that has left and is listed again by a store that came back from a copy.
#[test]
fn no_server_that_left_returns_with_an_older_store() {
    for seed in 0..SCHEDULES {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = Time::from_millis(1_000);
        let mut roster = Roster::default();
        let mut listed: Vec<Server> = (1..6).map(|id| entry(id, 100, 1)).collect();
        let mut copies = vec![listed.clone()];
        let mut left = BTreeSet::new();
        roster.update(listed.clone(), now);
        for seq in 2..40 {
            now = now + Duration::from_millis(random.u64(300..1_500));
            for server in &mut listed {
                server.seq = seq;
            }
            match random.u32(..6) {
                0 if listed.len() > 1 => {
                    let gone = listed.swap_remove(random.usize(..listed.len()));
                    left.insert(gone.id);
                }
                1 => {
                    // Only the running servers write again; the copy is read first.
                    let copy = copies[random.usize(..copies.len())].clone();
                    roster.record_failure();
                    roster.update(copy, now);
                }
                _ => (),
            }
            copies.push(listed.clone());
            roster.update(listed.clone(), now);
            now = now + Duration::from_millis(2_100);
            roster.update(listed.clone(), now);
            let known = roster.servers().keys();
            let returned: Vec<_> = known.filter(|id| left.contains(*id)).collect();
            assert!(returned.is_empty(), "seed {seed}: {returned:?}");
            let copy = copies[random.usize(..copies.len())].clone();
            roster.record_failure();
            roster.update(copy, now);
            let known = roster.servers().keys();
            let returned: Vec<_> = known.filter(|id| left.contains(*id)).collect();
            assert!(returned.is_empty(), "seed {seed}: {returned:?}");
        }
    }
}

/// Guards against a server that started anew under its former id and is taken for the one that left.
#[test]
fn a_server_that_starts_anew_is_listed() {
    let mut roster = Roster::default();
    let start = Time::from_millis(1_000);
    roster.update(vec![entry(1, 100, 9)], start);
    roster.update(Vec::new(), start + Duration::from_secs(1));
    assert!(roster.servers().is_empty());
    roster.update(vec![entry(1, 200, 1)], start + Duration::from_secs(2));
    assert_eq!(roster.servers().len(), 1);
}

/// Guards against a server that had left and that a gateway uses again for long after it started anew
/// at an older store: its hub remembers what left.
#[test]
fn a_gateway_that_starts_at_an_older_store_soon_forgets_what_had_left() {
    /// Interval of the lists of a hub, in ms.
    const INTERVAL_MS: u64 = 1_600;
    /// Time for which servers that a read lacks are kept after failed reads, in ms.
    const RECOVERY_MS: u64 = 2_000;
    let mut returned_at_first = 0;
    for seed in 0..SCHEDULES {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = Time::from_millis(1_000);
        let mut listed: Vec<Server> = (1..8).map(|id| entry(id, 100, 1)).collect();
        let copy = listed.clone();
        let mut hub = Roster::default();
        hub.update(listed.clone(), now);
        now = now + Duration::from_millis(INTERVAL_MS);
        let gone = listed.swap_remove(random.usize(..listed.len()));
        hub.update(listed.clone(), now);
        now = now + Duration::from_millis(random.u64(1..10_000));
        let mut gateway = Roster::default();
        if random.bool() {
            gateway.record_failure();
        }
        gateway.update(copy.clone(), now);
        returned_at_first += u64::from(gateway.servers().contains_key(&gone.id));
        let started = now;
        while now - started <= Duration::from_millis(RECOVERY_MS + INTERVAL_MS) {
            now = now + Duration::from_millis(random.u64(1..=INTERVAL_MS));
            hub.record_failure();
            hub.update(copy.clone(), now);
            let told = hub.servers().values().cloned();
            gateway.update(told.collect(), now);
        }
        assert!(!gateway.servers().contains_key(&gone.id), "seed {seed}");
        gateway.update(copy, now);
        assert!(!gateway.servers().contains_key(&gone.id), "seed {seed}");
    }
    assert_eq!(returned_at_first, SCHEDULES);
}

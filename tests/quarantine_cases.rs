//! Single cases of the decision which requests are refused because requests like them crash servers.

use std::time::Duration;

use chestnuthub::{
    quarantine::{
        Crash,
        Evidence,
        Fact,
        MAX_MARKS,
        Mark,
        Pattern,
        Run,
        key, //
    },
    timer::Time,
};

/// Id of the part that crashes servers.
const CRASHING: u64 = 0xbad;

/// Guards against a part that all requests share, which is refused because it counts as the cause
/// before the crashing part does: requests with it were sent at any moment.
#[test]
fn a_shared_part_is_spared_while_a_narrower_one_explains_the_same() {
    let mut evidence = Evidence::default();
    let run = |id, worked_ms, parts: &[u64]| Run {
        id,
        worked_ms,
        marks: parts.iter().map(|part| Mark::of_part(*part)).collect(),
    };
    let ends = [
        (147, vec![run(1, 90, &[1, CRASHING, 11])]),
        (
            384,
            vec![run(2, 148, &[1, CRASHING, 12]), run(3, 20, &[1, 13])],
        ),
        (
            466,
            vec![run(4, 90, &[1, CRASHING, 14]), run(5, 16, &[1, 15])],
        ),
    ];
    for (process, (at, runs)) in ends.into_iter().enumerate() {
        let process = process as u64;
        let crash = Crash {
            process,
            address: process,
            age_ms: 0,
            runs,
        };
        evidence.record(Fact::Crash(crash), Time::from_millis(at));
    }
    let findings = evidence.findings(Time::from_millis(470));
    let shared = [Mark::of_part(1), Mark::of_part(16)];
    let refuses_shared = |pattern: &Pattern| pattern.matches(&shared);
    assert!(
        !findings.patterns.iter().any(refuses_shared),
        "{findings:?}"
    );
}

/// Guards against crashes that count as one because a server is back under its id before its new start
/// is listed.
#[test]
fn each_crash_of_a_server_counts_before_its_new_start_is_listed() {
    let mut evidence = Evidence::default();
    for number in 0..6 {
        let crash = |age_ms, id, parts: [u64; 2]| Crash {
            process: number % 2,
            address: number % 2,
            age_ms,
            runs: vec![Run {
                id,
                worked_ms: 90,
                marks: parts.map(Mark::of_part).to_vec(),
            }],
        };
        let now = Time::from_millis(5_000 * number + 10_000);
        let crashing = crash(0, 10 * number, [CRASHING, 100 + number]);
        evidence.record(Fact::Crash(crashing), now);
        // Another gateway saw the same crash and tells of it later.
        let other = crash(90, 10 * number + 1, [1_000 + number, 2_000 + number]);
        evidence.record(Fact::Crash(other), now + Duration::from_millis(100));
    }
    let findings = evidence.findings(Time::from_millis(40_000));
    let marks: Vec<_> = findings.patterns.iter().map(|p| p.marks.clone()).collect();
    assert_eq!(marks, [vec![Mark::of_part(CRASHING)]]);
}

fn passed(part: u64) -> Fact {
    Fact::Cleared {
        marks: vec![Mark::of_part(part)],
        age_ms: 0,
    }
}

/// Guards against a pattern that another process found, which is dropped as a whole because requests
/// with a part of it get through.
#[test]
fn a_learned_pattern_gets_narrower_when_a_part_of_it_gets_through() {
    let mut evidence = Evidence::default();
    let mut marks = [1, 2, CRASHING].map(Mark::of_part).to_vec();
    marks.sort_unstable();
    let pattern = Pattern {
        marks,
        age_ms: 500,
        lasts_ms: 1_800_000,
    };
    evidence.record(Fact::Found(pattern), Time::from_millis(10_000));
    for (part, at) in [(1, 11_000), (2, 12_000)] {
        evidence.record(passed(part), Time::from_millis(at));
    }
    let findings = evidence.findings(Time::from_millis(13_000));
    let marks: Vec<_> = findings.patterns.iter().map(|p| p.marks.clone()).collect();
    assert_eq!(marks, [vec![Mark::of_part(CRASHING)]]);
    evidence.record(passed(CRASHING), Time::from_millis(14_000));
    assert_eq!(evidence.findings(Time::from_millis(15_000)).patterns, []);
}

/// Guards against a part that was sound until it counted as a cause, which is refused for longer and
/// longer because nothing with it can get through while it is refused.
#[test]
fn a_part_that_was_sound_before_is_refused_for_a_short_time_only() {
    let mut evidence = Evidence::default();
    evidence.record(passed(7), Time::from_millis(9_000));
    for number in 0..6 {
        let run = Run {
            id: number,
            worked_ms: 50,
            marks: [7, 100 + number].map(Mark::of_part).to_vec(),
        };
        let crash = Crash {
            process: number,
            address: number,
            age_ms: 0,
            runs: vec![run],
        };
        evidence.record(
            Fact::Crash(crash),
            Time::from_millis(10_000 + 1_000 * number),
        );
    }
    for now in [16_000, 100_000] {
        let findings = evidence.findings(Time::from_millis(now));
        assert_eq!(findings.patterns.len(), 1);
        assert_eq!(findings.patterns[0].lasts_ms, 60_000);
    }
}

/// Guards against a pattern that is dropped from the store because a wider one, whose key had the same
/// first bytes, is dropped.
#[test]
fn patterns_of_many_marks_have_short_keys_of_their_own() {
    const MAX_KEY_BYTES: usize = 255;
    let marks: Vec<_> = (0..MAX_MARKS as u64).map(Mark::of_part).collect();
    let stored = |marks| key(marks).chars().take(MAX_KEY_BYTES).collect::<String>();
    assert_ne!(stored(&marks), stored(&marks[..MAX_MARKS - 1]));
    assert!(key(&marks).len() <= MAX_KEY_BYTES);
}

//! The evidence by which a gateway ends a request whose server's process is gone.

use std::time::Duration;

use chestnuthub::{
    dispatch::{
        Cause,
        Detector,
        Probe,
        Run, //
    },
    timer::Time,
};

const TICK: Duration = Duration::from_millis(100);

/// Time that each schedule lasts, in ticks.
const TICKS: u64 = 300;

/// Maximum time from the first evidence to the end of a request: two probes and their pauses.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// What becomes of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    /// It answers after a long pause.
    Slow,
    /// It is stopped or its requests queue: its machine accepts connections.
    Frozen,
    /// Nothing reaches it, but it goes on once it is reached again.
    Cut,
    /// Its process ends, and its machine says so.
    Ended,
    /// Its process ends silently, and another one has its port soon after.
    Restarted,
    /// Its machine is gone, and its entry lapses.
    Gone,
}

const FATES: [Fate; 6] = [
    Fate::Slow,
    Fate::Frozen,
    Fate::Cut,
    Fate::Ended,
    Fate::Restarted,
    Fate::Gone,
];

/// Plays one server with one request; returns when and why the request ended.
fn play(fate: Fate, seed: u64) -> (Time, Option<(Time, Cause)>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let start = Time::from_millis(1_000);
    let fails_at = start + TICK * random.u32(20..60);
    let evident_at = fails_at + TICK * random.u32(5..40);
    let heals_at = evident_at + TICK * random.u32(30..100);
    let mut run = Run {
        connected_at: start,
        heard_at: start,
        stream_objective: None,
    };
    let mut detector = Detector::default();
    detector.record_heard(start);
    for tick in 0..TICKS {
        let now = start + TICK * tick as u32;
        let speaks = now < fails_at || (now >= heals_at && fate == Fate::Slow);
        if speaks && random.u32(0..3) == 0 {
            run.heard_at = now;
            detector.record_heard(now);
        }
        if now == evident_at && fate == Fate::Restarted {
            detector.record_restart(TICK * random.u32(0..3), now);
        }
        if now == evident_at && fate == Fate::Gone {
            detector.set_listed(false);
        }
        if detector.is_probe_due(now) {
            let probe = match fate {
                _ if now < fails_at => Probe::Accepted,
                Fate::Slow | Fate::Frozen | Fate::Restarted => Probe::Accepted,
                Fate::Cut | Fate::Gone => Probe::Unanswered,
                Fate::Ended if now < evident_at => Probe::Unanswered,
                Fate::Ended => Probe::Refused,
            };
            detector.record_probe(probe, now, now);
        }
        if let Some(cause) = detector.cause(&run, now) {
            return (evident_at, Some((now, cause)));
        }
    }
    (evident_at, None)
}

/// Guards against a client that waits for its deadline although the server's process is known to be
/// gone, and against an answer that is cut because its server is slow, stopped or cut off.
#[test]
fn requests_end_by_evidence_and_never_by_silence() {
    for seed in 0..2_000 {
        for fate in FATES {
            let (evident_at, end) = play(fate, seed);
            let expected = match fate {
                Fate::Slow | Fate::Frozen | Fate::Cut => None,
                Fate::Ended => Some(Cause::Refused),
                Fate::Restarted => Some(Cause::Restarted),
                Fate::Gone => Some(Cause::Gone),
            };
            let cause = end.map(|(_, cause)| cause);
            assert_eq!(cause, expected, "{fate:?}, seed {seed}");
            if let Some((at, _)) = end {
                let is_timely = at >= evident_at && at - evident_at <= MAX_DELAY;
                assert!(is_timely, "{fate:?}, seed {seed}: {:?}", at - evident_at);
            }
        }
    }
}

/// Guards against a request at a process that has just started, which is ended by the evidence
/// against the one before it.
#[test]
fn evidence_concerns_only_earlier_connections() {
    let at = Time::from_millis;
    let mut detector = Detector::default();
    detector.record_probe(Probe::Refused, at(1_000), at(1_001));
    detector.record_restart(Duration::from_millis(500), at(2_000));
    let run = |connected_ms, heard_ms| Run {
        connected_at: at(connected_ms),
        heard_at: at(heard_ms),
        stream_objective: None,
    };
    assert_eq!(
        detector.cause(&run(500, 900), at(9_000)),
        Some(Cause::Refused)
    );
    assert_eq!(
        detector.cause(&run(1_200, 1_300), at(9_000)),
        Some(Cause::Restarted)
    );
    assert_eq!(detector.cause(&run(1_200, 1_600), at(9_000)), None);
    assert_eq!(detector.cause(&run(1_600, 1_600), at(9_000)), None);
}

/// Guards against a stream that is held for good for a machine which answers nothing, and against a
/// call that is given up there although its client still waits.
#[test]
fn only_a_stream_that_nobody_reads_ends_without_evidence() {
    let at = Time::from_millis;
    let mut detector = Detector::default();
    let call = Run {
        connected_at: at(0),
        heard_at: at(0),
        stream_objective: None,
    };
    let stream = Run {
        stream_objective: Some(Duration::from_millis(800)),
        ..call
    };
    let mut ended_at = None;
    for ms in (500..20_000).step_by(500) {
        if detector.is_probe_due(at(ms)) {
            detector.record_probe(Probe::Unanswered, at(ms), at(ms));
        }
        assert_eq!(detector.cause(&call, at(ms)), None);
        if detector.cause(&stream, at(ms)).is_some() {
            ended_at.get_or_insert(ms);
        }
    }
    // Clients leave after four objectives, 3.2 s; the gateway after twice that.
    assert_eq!(ended_at, Some(7_000));
}

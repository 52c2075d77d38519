//! Tests of retries, of the checks on response heads, and of resumed streams.

use chestnuthub::{
    dispatch::{
        Attempts,
        Ending,
        Outcome, //
    },
    gateway::{
        Events,
        ResponseHead,
        Verdict,
        verdict, //
    },
};

/// Number of sends per history; more than the limit of refusals allows.
const DEPTH: usize = 6;

/// The sends of one request and their outcomes.
#[derive(Debug)]
struct History {
    is_repeatable: bool,
    max_runs: u32,
    /// For each send, whether the retry budget allows it and its outcome.
    sends: Vec<(bool, Outcome)>,
}

impl History {
    /// Replays the sends until the request ends. Returns the ending, if there is one, and the
    /// outcomes of the sends made.
    fn replay(&self) -> (Option<Ending>, Vec<Outcome>) {
        let mut attempts = Attempts::new(self.is_repeatable, self.max_runs);
        let mut made = Vec::new();
        for (allowed, outcome) in &self.sends {
            if let Err(ending) = attempts.begin(|| *allowed) {
                return (Some(ending), made);
            }
            made.push(*outcome);
            if let Err(ending) = attempts.record(*outcome) {
                return (Some(ending), made);
            }
        }
        (None, made)
    }

    fn check(&self) {
        let (ending, made) = self.replay();
        let count = |outcome| made.iter().filter(|made| **made == outcome).count() as u32;
        let may_have_run = count(Outcome::Unknown);
        if !self.is_repeatable {
            assert!(may_have_run <= 1, "runs twice: {self:?}");
            let after = made.iter().skip_while(|made| **made != Outcome::Unknown);
            assert!(after.count() <= 1, "sent after it may have run: {self:?}");
        }
        assert!(
            may_have_run <= self.max_runs.max(1),
            "too many servers: {self:?}"
        );
        assert!(
            may_have_run + count(Outcome::NotRun) <= 4,
            "too many refusals: {self:?}"
        );
        let expected = if may_have_run > 0 {
            Ending::Unknown
        } else {
            Ending::NotRun
        };
        if let Some(ending) = ending {
            assert_eq!(ending, expected, "{self:?}");
        }
        let arrived = made.iter().position(|made| *made != Outcome::NotSent);
        let first_repeat = arrived.map_or(made.len(), |first| first + 1);
        let mut repeats = self.sends[..made.len()].iter().skip(first_repeat);
        assert!(
            repeats.all(|(allowed, _)| *allowed),
            "a repeat beyond the budget: {self:?}"
        );
    }
}

/// Guards against a request that runs more often than allowed, is sent again without retry budget,
/// or is reported as not run although it may have run. The cause would be a miscount of outcomes,
/// so every history of [`DEPTH`] sends is replayed.
#[test]
fn all_short_histories_respect_the_limits() {
    const CHOICES: [(bool, Outcome); 8] = [
        (true, Outcome::NotSent),
        (true, Outcome::Replaced),
        (true, Outcome::NotRun),
        (true, Outcome::Unknown),
        (false, Outcome::NotSent),
        (false, Outcome::Replaced),
        (false, Outcome::NotRun),
        (false, Outcome::Unknown),
    ];
    let mut count = 0_u64;
    for is_repeatable in [false, true] {
        for max_runs in 0..4 {
            for number in 0..CHOICES.len().pow(DEPTH as u32) {
                let digits = (0..DEPTH as u32).map(|index| number / CHOICES.len().pow(index));
                let history = History {
                    is_repeatable,
                    max_runs,
                    sends: digits.map(|digit| CHOICES[digit % CHOICES.len()]).collect(),
                };
                history.check();
                count += 1;
            }
        }
    }
    println!("{count} histories of {DEPTH} sends");
}

fn response_head(status: u16, id: Option<&str>) -> ResponseHead {
    ResponseHead {
        status,
        id: id.map(str::to_owned),
        instance: None,
        is_signed: true,
        is_encoded: false,
        has_not_run: false,
        load: None,
        keep_alive: None,
        closes: false,
        is_leaving: false,
        rest: None,
        request_limit: None,
    }
}

/// Guards against passing on a late, forged or foreign response as the response to this request,
/// and against counting a refusal as a run. A late response arrives on a connection used before, a
/// foreign one from another server that has taken over the address.
#[test]
fn responses_are_checked_by_id_signature_and_server() {
    let own = || response_head(200, Some("r1"));
    let refused = |status, instance: Option<&str>| ResponseHead {
        has_not_run: true,
        is_signed: false,
        instance: instance.map(str::to_owned),
        ..response_head(status, Some("r1"))
    };
    let cases = [
        (own(), Verdict::Response),
        (response_head(200, None), Verdict::Response),
        (response_head(404, Some("r1")), Verdict::Response),
        (response_head(500, Some("r1")), Verdict::Failed),
        (response_head(200, Some("r0")), Verdict::Mismatched),
        (response_head(503, Some("r0")), Verdict::Mismatched),
        (
            ResponseHead {
                is_signed: false,
                ..own()
            },
            Verdict::Unsigned,
        ),
        (
            ResponseHead {
                is_signed: false,
                ..response_head(503, Some("r1"))
            },
            Verdict::Unsigned,
        ),
        (
            ResponseHead {
                is_encoded: true,
                ..own()
            },
            Verdict::Encoded,
        ),
        (refused(503, None), Verdict::NotRun("refused")),
        (
            refused(421, Some("s1")),
            Verdict::NotRun("the model is not there"),
        ),
        (refused(421, Some("s2")), Verdict::Replaced),
        (
            ResponseHead {
                id: Some("r0".to_owned()),
                ..refused(503, None)
            },
            Verdict::Mismatched,
        ),
    ];
    for (head, expected) in cases {
        assert_eq!(verdict(&head, "r1", "s1"), expected, "{head:?}");
    }
}

/// Returns the bytes of the events from `first` up to, but not including, `count`.
fn stream(first: usize, count: usize) -> Vec<u8> {
    let events = (first..count).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect::<String>().into_bytes()
}

/// Guards against a missing or repeated event, or an event joined from the parts of two runs. This
/// would happen when a stream breaks off, possibly within an event, and another server resumes it
/// at the wrong point.
#[test]
fn seeded_streams_resume_without_gap() {
    const SEEDS: u64 = 3_000;
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let count = random.usize(1..30);
        let mut events = Events::new(true, None);
        let mut passed = Vec::new();
        for _ in 0..random.usize(0..4) {
            let point = events.resume_point().expect("the stream may be resumed");
            let first = point.map_or(0, |id| id.parse::<usize>().expect("an id") + 1);
            let bytes = stream(first, count);
            let broken = random.usize(..=bytes.len());
            feed(&mut events, &bytes[..broken], &mut passed, &mut random);
            events.restart();
        }
        let point = events.resume_point().expect("the stream may be resumed");
        let first = point.map_or(0, |id| id.parse::<usize>().expect("an id") + 1);
        feed(&mut events, &stream(first, count), &mut passed, &mut random);
        passed.extend_from_slice(&events.rest());
        assert_eq!(passed, stream(0, count), "seed {seed}");
        assert_eq!(events.count(), count as u64, "seed {seed}");
    }
}

/// Passes bytes on in chunks of random length.
fn feed(events: &mut Events, bytes: &[u8], passed: &mut Vec<u8>, random: &mut fastrand::Rng) {
    let mut rest = bytes;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(random.usize(1..=rest.len().min(40)));
        passed.extend_from_slice(&events.push(piece.to_vec().into()));
        rest = after;
    }
}

/// Guards against changing a response while passing it on, and against resuming one whose request
/// may run only once or whose resume point is unknown because its events have no ids.
#[test]
fn other_responses_pass_unchanged_and_are_not_resumed() {
    let mut events = Events::new(false, None);
    let bytes = b"id: 0\ndata: a\n\nid: 1\nda".as_slice();
    assert_eq!(events.push(bytes.into()), bytes);
    assert_eq!(events.resume_point(), None);
    let mut events = Events::new(true, None);
    assert_eq!(events.resume_point(), Some(None));
    assert_eq!(events.push(b"data: a\n\n".as_slice().into()), "data: a\n\n");
    assert_eq!(events.resume_point(), None);
    let mut events = Events::new(true, Some("4".to_owned()));
    assert_eq!(events.resume_point(), Some(Some("4".to_owned())));
    events.push(b"id: 5\nda".as_slice().into());
    assert_eq!(events.resume_point(), Some(Some("4".to_owned())));
}

/// Guards against comments between events, which keep a connection alive, that are held back from the
/// client or counted as part of the next event, which is then cut as too long.
#[test]
fn comments_between_events_belong_to_no_event() {
    for is_resumable in [true, false] {
        let mut events = Events::new(is_resumable, None);
        events.push(b"id: 0\ndata: a\n\n".as_slice().into());
        let comment = b": keep-alive\n\n".as_slice();
        assert_eq!(events.push(comment.into()), comment, "{is_resumable}");
        assert_eq!(events.event_bytes(), 0, "{is_resumable}");
    }
}

//! Decides from crashes and from requests that got through what crashes servers.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    Crash,
    Fact,
    Findings,
    MAX_MARKS,
    Mark,
    Pattern, //
};
use crate::timer::Time;

/// Time for which crashes and what follows from them count.
pub(super) const RETENTION: Duration = Duration::from_secs(30 * 60);

/// Time for which it counts that requests with a mark got through, and for which requests are refused
/// that carry only such marks. What is said to crash servers although it did not before may be
/// innocent, and while it is refused nothing can show that.
pub(crate) const PROOF_TIME: Duration = Duration::from_secs(60);

/// Number of crashes, on servers of at least two addresses, after which a mark counts as their cause.
const MIN_CRASHES: u32 = 3;

/// The same where all servers had one address: a server that ends again and again by itself ends
/// under whatever it runs.
const MIN_CRASHES_AT_ONE_ADDRESS: u32 = 6;

/// The same for a mark with which requests have got through lately.
const MIN_CRASHES_OF_PROVEN: u32 = 6;

/// Time between two crashes from which they count as two whatever ran there. Servers that fail for one
/// common reason end at about the same moment.
const SEPARATION: Duration = Duration::from_millis(250);

/// Time after which it is told again that requests with a mark get through, while no crash is known
/// under such requests.
const CLEARANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time within which gateways see the same end of a process. A server needs longer to be back.
const SAME_END_TIME: Duration = Duration::from_millis(500);

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;

/// Number of crashes that are kept after some were dropped because there were too many.
const KEPT_CRASHES: usize = 192;

/// Time between two removals of outdated facts.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of requests of one crash that are kept.
const MAX_RUNS: usize = 256;

/// Maximum number of patterns that are kept of those that others found.
const MAX_LEARNED: usize = 128;

/// Maximum number of suspects that are told to gateways.
const MAX_SUSPECTS: usize = 1_024;

/// Process and time of the first report of its end. A server that is back with the same id counts as the
/// same process until its new start is known.
type EndKey = (u64, Time);

/// A request that was at work when its server's process ended.
#[derive(Debug)]
struct Run {
    sent_at: Time,
    /// What the request carries, without what has got through since.
    marks: BTreeSet<Mark>,
}

/// The end of a server's process, as all gateways saw it.
#[derive(Debug)]
struct End {
    at: Time,
    address: u64,
    runs: BTreeMap<u64, Run>,
}

/// What the crashes say of one mark.
#[derive(Debug, Default)]
struct Tally {
    /// Number of crashes that are apart from one another.
    crashes: u32,
    /// All of the crashes, by their positions in time.
    ends: BTreeSet<usize>,
    addresses: BTreeSet<u64>,
    runs: usize,
    /// Time of the first crash, and of the last one that was counted.
    first: Option<Time>,
    last: Option<Time>,
}

impl Tally {
    fn is_enough(&self, is_proven: bool) -> bool {
        let needed = match self.addresses.len() {
            1 => MIN_CRASHES_AT_ONE_ADDRESS,
            _ if is_proven => MIN_CRASHES_OF_PROVEN,
            _ => MIN_CRASHES,
        };
        self.crashes >= needed
    }

    /// Returns whether the mark explains all crashes that `other` explains, with fewer requests.
    fn is_narrower(&self, other: &Self) -> bool {
        self.runs < other.runs && self.ends.is_superset(&other.ends)
    }

    /// Counts a crash under runs with the mark, of which the last was sent at `sent_at`, unless it may
    /// have the same cause as the one counted before.
    fn count(&mut self, end: &End, sent_at: Time, runs: usize) {
        self.runs += runs;
        self.first.get_or_insert(end.at);
        self.addresses.insert(end.address);
        let is_separate = |last: Time| sent_at >= last || end.at - last >= SEPARATION;
        if self.last.is_none_or(is_separate) {
            self.crashes += 1;
            self.last = Some(end.at);
        }
    }
}

/// A pattern that another process found.
#[derive(Debug)]
struct Learned {
    /// Time of the last crash that showed it.
    at: Time,
    lasts_ms: u32,
}

/// Facts about crashes, and what follows from them.
///
/// A mark is suspected of what ended under it, and is cleared by any request that got through with
/// it. What remains is the cause of the crashes if it was there often enough. Of several marks that
/// explain the same crashes, the one that explains most is chosen, then the one with the fewest
/// requests; none is chosen while a narrower one explains the same, even if that was not there often
/// enough yet. Marks that only came together can't be told apart, so only requests that carry all of
/// them match.
///
/// # Examples
///
/// ```
/// use chestnuthub::quarantine::{Crash, Evidence, Fact, Mark, Run};
/// use chestnuthub::timer::Time;
///
/// let mut evidence = Evidence::default();
/// for process in 0..3 {
///     let marks = vec![Mark::of_part(7), Mark::of_part(100 + process)];
///     let run = Run { id: process, worked_ms: 50, marks };
///     let crash = Crash { process, address: process, age_ms: 0, runs: vec![run] };
///     evidence.record(Fact::Crash(crash), Time::from_millis(1_000 * process));
/// }
/// let findings = evidence.findings(Time::from_millis(3_000));
/// assert_eq!(findings.patterns[0].marks, [Mark::of_part(7)]);
/// ```
#[derive(Debug, Default)]
pub struct Evidence {
    ends: BTreeMap<EndKey, End>,
    /// When a request with the mark last got through.
    cleared: BTreeMap<Mark, Time>,
    /// Patterns that others found.
    learned: BTreeMap<Vec<Mark>, Learned>,
    /// When outdated facts were last removed.
    expired_at: Option<Time>,
}

impl Evidence {
    /// Records a fact; returns whether it was new.
    pub fn record(&mut self, fact: Fact, now: Time) -> bool {
        self.expire(now);
        match fact {
            Fact::Crash(crash) => self.record_crash(crash, now),
            Fact::Cleared { marks, age_ms } => {
                let at = before(now, age_ms);
                let news = marks.into_iter().map(|mark| self.clear(mark, at));
                news.fold(false, |any, is_new| any | is_new)
            }
            Fact::Found(pattern) => self.learn(pattern, now),
        }
    }

    fn record_crash(&mut self, crash: Crash, now: Time) -> bool {
        let at = before(now, crash.age_ms);
        if now - at > RETENTION {
            return false;
        }
        let key = self.end_key(crash.process, at);
        let end = self.ends.entry(key).or_insert_with(|| End {
            at,
            address: crash.address,
            runs: BTreeMap::new(),
        });
        end.at = end.at.min(at);
        let mut is_new = false;
        for run in crash.runs {
            if end.runs.len() >= MAX_RUNS || end.runs.contains_key(&run.id) {
                continue;
            }
            let has_got_through =
                |mark: &Mark| self.cleared.get(mark).is_some_and(|cleared| *cleared >= at);
            let marks = run.marks.into_iter().take(MAX_MARKS);
            let marks = marks.filter(|mark| !has_got_through(mark)).collect();
            let sent_at = before(at, run.worked_ms);
            end.runs.insert(run.id, Run { sent_at, marks });
            is_new = true;
        }
        self.limit_ends();
        is_new
    }

    /// Returns the key of the end of a process: that of a known end at about the same time, else a new
    /// one.
    fn end_key(&self, process: u64, at: Time) -> EndKey {
        let earliest = at.before(SAME_END_TIME);
        let latest = at + SAME_END_TIME;
        let mut known = self.ends.range((process, earliest)..=(process, latest));
        known.next().map_or((process, at), |(key, _)| *key)
    }

    /// Records that a request with the mark got through; returns whether that was not known.
    fn clear(&mut self, mark: Mark, at: Time) -> bool {
        let known = self.cleared.get(&mark).copied();
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        self.cleared.insert(mark, at);
        let mut is_new = known.is_none_or(|known| at - known >= CLEARANCE_INTERVAL);
        for end in self.ends.values_mut().filter(|end| end.at <= at) {
            for run in end.runs.values_mut() {
                is_new |= run.marks.remove(&mark);
            }
        }
        is_new | self.narrow_learned(mark, at)
    }

    /// Takes a mark that got through out of the patterns that others found; returns whether any had it.
    fn narrow_learned(&mut self, mark: Mark, at: Time) -> bool {
        let has_mark =
            |marks: &Vec<Mark>, pattern: &mut Learned| pattern.at <= at && marks.contains(&mark);
        let wider: Vec<_> = self.learned.extract_if(.., has_mark).collect();
        let any = !wider.is_empty();
        for (mut marks, pattern) in wider {
            marks.retain(|other| *other != mark);
            if !marks.is_empty() {
                self.learned.insert(marks, pattern);
            }
        }
        any
    }

    /// Adopts a pattern that another process found, without what has got through since.
    fn learn(&mut self, pattern: Pattern, now: Time) -> bool {
        let at = before(now, pattern.age_ms);
        let is_cleared = |mark: &Mark| self.cleared.get(mark).is_some_and(|cleared| *cleared >= at);
        let mut marks = pattern.marks;
        marks.retain(|mark| !is_cleared(mark));
        if marks.is_empty() || now - at > RETENTION {
            return false;
        }
        if self.learned.len() >= MAX_LEARNED && !self.learned.contains_key(&marks) {
            return false;
        }
        let lasts_ms = pattern.lasts_ms;
        let known = self.learned.insert(marks, Learned { at, lasts_ms });
        known.is_none()
    }

    /// Returns what is to be refused, and what is suspected.
    pub fn findings(&self, now: Time) -> Findings {
        let mut patterns = self.causes(now);
        for (marks, learned) in &self.learned {
            if !patterns.iter().any(|known| known.marks == *marks) {
                patterns.push(Pattern {
                    marks: marks.clone(),
                    age_ms: age_ms(learned.at, now),
                    lasts_ms: learned.lasts_ms,
                });
            }
        }
        Findings {
            suspects: self.suspects(&patterns),
            patterns,
        }
    }

    /// Returns the smallest set of patterns found that explains the crashes for which there is a cause.
    fn causes(&self, now: Time) -> Vec<Pattern> {
        let mut ends: Vec<&End> = self.ends.values().collect();
        ends.retain(|end| now - end.at <= RETENTION);
        ends.sort_by_key(|end| end.at);
        let mut patterns: Vec<Pattern> = Vec::new();
        loop {
            let tallies = tallies(&ends);
            let Some((mark, tally)) = self.best(&tallies) else {
                return patterns;
            };
            let marks = self.companions(mark);
            ends.retain(|end| !end.runs.values().any(|run| run.marks.is_superset(&marks)));
            let is_proven = marks.iter().all(|mark| self.was_proven(*mark, tally));
            let lasts = if is_proven { PROOF_TIME } else { RETENTION };
            patterns.push(Pattern {
                marks: marks.into_iter().collect(),
                age_ms: age_ms(tally.last.unwrap_or(now), now),
                lasts_ms: lasts.as_millis() as u32,
            });
        }
    }

    /// Returns the mark that counts as the cause of most crashes, if any does.
    fn best<'a>(&self, tallies: &'a BTreeMap<Mark, Tally>) -> Option<(Mark, &'a Tally)> {
        let mut best: Option<(Mark, &Tally)> = None;
        for (mark, tally) in tallies {
            let weight = |tally: &Tally| (tally.crashes, Reverse(tally.runs));
            let is_better = best.is_none_or(|(_, known)| weight(tally) > weight(known));
            let is_explained = || tallies.values().any(|other| other.is_narrower(tally));
            if is_better && tally.is_enough(self.was_proven(*mark, tally)) && !is_explained() {
                best = Some((*mark, tally));
            }
        }
        best
    }

    /// Returns whether requests with a mark got through shortly before the crashes of a tally. It counts
    /// then and not now, since nothing with the mark gets through while it is refused.
    fn was_proven(&self, mark: Mark, tally: &Tally) -> bool {
        let cleared = self.cleared.get(&mark);
        let first = tally.first.unwrap_or(Time::ZERO);
        cleared.is_some_and(|at| first - *at <= PROOF_TIME)
    }

    /// Returns the marks that all requests with this mark carried, itself included.
    fn companions(&self, mark: Mark) -> BTreeSet<Mark> {
        let runs = self.ends.values().flat_map(|end| end.runs.values());
        let mut with_mark = runs.filter(|run| run.marks.contains(&mark));
        let mut common = with_mark
            .next()
            .map_or_else(BTreeSet::new, |run| run.marks.clone());
        for run in with_mark {
            common.retain(|other| run.marks.contains(other));
        }
        common
    }

    /// Returns the marks of patterns, and those that several requests carried.
    fn suspects(&self, patterns: &[Pattern]) -> Vec<Mark> {
        let mut counts: BTreeMap<Mark, u32> = BTreeMap::new();
        let runs = self.ends.values().flat_map(|end| end.runs.values());
        for mark in runs.flat_map(|run| &run.marks) {
            *counts.entry(*mark).or_default() += 1;
        }
        let of_patterns = patterns.iter().flat_map(|pattern| &pattern.marks).copied();
        let several = counts.iter().filter(|(_, count)| **count > 1);
        let all: BTreeSet<_> = of_patterns.chain(several.map(|(mark, _)| *mark)).collect();
        all.into_iter().take(MAX_SUSPECTS).collect()
    }

    fn expire(&mut self, now: Time) {
        if self.expired_at.is_some_and(|at| now - at < EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        self.ends.retain(|_, end| now - end.at <= RETENTION);
        self.cleared.retain(|_, at| now - *at <= RETENTION);
        let lasts = |learned: &Learned| Duration::from_millis(u64::from(learned.lasts_ms));
        self.learned
            .retain(|_, learned| now - learned.at <= lasts(learned));
    }

    /// Drops crashes if there are too many: first those that say least, because nothing that ended in
    /// them was in many others, and of these the oldest.
    fn limit_ends(&mut self) {
        if self.ends.len() <= MAX_CRASHES {
            return;
        }
        let mut ends: Vec<&End> = self.ends.values().collect();
        ends.sort_by_key(|end| end.at);
        let tallies = tallies(&ends);
        let weight = |end: &End| {
            let marks = end.runs.values().flat_map(|run| &run.marks);
            marks
                .filter_map(|mark| Some(tallies.get(mark)?.crashes))
                .max()
        };
        let entries = self.ends.iter();
        let mut order: Vec<_> = entries
            .map(|(process, end)| (weight(end), end.at, *process))
            .collect();
        order.sort_unstable();
        for (_, _, process) in &order[..order.len() - KEPT_CRASHES] {
            self.ends.remove(process);
        }
    }
}

/// Counts the crashes of each mark; `ends` are in the order of time.
fn tallies(ends: &[&End]) -> BTreeMap<Mark, Tally> {
    let mut tallies: BTreeMap<Mark, Tally> = BTreeMap::new();
    for (position, end) in ends.iter().enumerate() {
        let mut here: BTreeMap<Mark, (Time, usize)> = BTreeMap::new();
        for run in end.runs.values() {
            for mark in &run.marks {
                let (sent_at, runs) = here.entry(*mark).or_insert((run.sent_at, 0));
                *sent_at = (*sent_at).max(run.sent_at);
                *runs += 1;
            }
        }
        for (mark, (sent_at, runs)) in here {
            let tally = tallies.entry(mark).or_default();
            tally.ends.insert(position);
            tally.count(end, sent_at, runs);
        }
    }
    tallies
}

fn before(now: Time, age_ms: u32) -> Time {
    now.before(Duration::from_millis(u64::from(age_ms)))
}

fn age_ms(at: Time, now: Time) -> u32 {
    u32::try_from((now - at).as_millis()).unwrap_or(u32::MAX)
}

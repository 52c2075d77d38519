//! Requests that this gateway refuses because requests like them crash servers.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration,
};

use tokio::time::sleep;

use super::{
    job::Job,
    passes::Passes,
    state::State, //
};
use crate::{
    platform::store::Store,
    quarantine::{
        Crash,
        Evidence,
        Fact,
        FactLog,
        Findings,
        Mark,
        PROOF_TIME, //
        Pattern,
    },
    report,
    timer::{
        self,
        Time, //
    },
};

/// Timeout for the store's response when the gateway starts.
const RECALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay after a read of the store that failed.
const RECALL_DELAY: Duration = Duration::from_millis(500);

/// Limits of the groups in which marks that got through are told, each with its longest time since.
const PASSED_AGES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(1_000),
    Duration::from_millis(8_000),
    PROOF_TIME,
];

/// Until when requests that carry the marks of a pattern are refused.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Time of the last crash that showed the pattern.
    at: Time,
    lasts_ms: u32,
}

impl Refusal {
    fn ends_at(&self) -> Time {
        self.at + Duration::from_millis(u64::from(self.lasts_ms))
    }
}

/// What a gateway knows of requests that crash servers.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    /// Patterns whose requests are refused.
    patterns: RefCell<BTreeMap<Vec<Mark>, Refusal>>,
    /// What the hub of each service found out last.
    findings: RefCell<BTreeMap<String, Findings>>,
    /// Marks of which hubs want to know when a request that carries them gets through.
    suspects: RefCell<BTreeSet<Mark>>,
    /// When a request with the mark last got through at this gateway.
    passed: RefCell<Passes>,
    /// What this gateway has seen itself.
    own: RefCell<Evidence>,
    /// The same, to be told to hubs.
    log: RefCell<FactLog>,
}

impl Quarantine {
    /// Records the end of a server's process, and before it what had got through of the same kind.
    pub(super) fn record_crash(&self, crash: Crash, now: Time) {
        let marks = crash.runs.iter().flat_map(|run| &run.marks);
        let marks: BTreeSet<_> = marks.copied().collect();
        self.tell_passed(&marks, now);
        self.record(Fact::Crash(crash), now);
    }

    /// Records when requests with these marks last got through, if they did lately.
    fn tell_passed(&self, marks: &BTreeSet<Mark>, now: Time) {
        let mut shortest = Duration::ZERO;
        for longest in PASSED_AGES {
            let passed = self.passed.borrow();
            let age = |mark: &Mark| passed.last(*mark).map(|at| now - at);
            let is_within = |age: Duration| age >= shortest && age < longest;
            let marks = marks.iter().filter(|mark| age(mark).is_some_and(is_within));
            let marks: Vec<_> = marks.copied().collect();
            drop(passed);
            if !marks.is_empty() {
                let age_ms = millis(longest);
                self.record(Fact::Cleared { marks, age_ms }, now);
            }
            shortest = longest;
        }
    }

    /// Records something that this gateway has seen.
    fn record(&self, fact: Fact, now: Time) {
        self.own.borrow_mut().record(fact.clone(), now);
        self.log.borrow_mut().push(fact, now);
    }

    /// Decides by what this gateway alone has seen, because no hub can be reached.
    pub(super) fn decide_alone(&self, now: Time) {
        let findings = self.own.borrow().findings(now);
        for pattern in findings.patterns {
            self.add(pattern, now);
        }
        self.suspects.borrow_mut().extend(findings.suspects);
    }

    /// Returns the facts to tell a hub, and advances the position of its connection. A new connection
    /// begins with the patterns that are known.
    pub(super) fn new_facts(&self, position: &mut Option<u64>, now: Time) -> Vec<Fact> {
        let mut facts = Vec::new();
        let position = position.get_or_insert_with(|| {
            let patterns = self.patterns.borrow();
            let found = patterns
                .iter()
                .map(|(marks, known)| pattern(marks, known, now));
            facts.extend(found.map(Fact::Found));
            0
        });
        facts.extend(self.log.borrow().since(position, now));
        facts
    }

    /// Returns whether there are facts to tell a hub.
    pub(super) fn has_new_facts(&self, position: Option<u64>) -> bool {
        position.is_none_or(|position| self.log.borrow().has_new(position))
    }

    /// Forgets what the hub of a service found out, but not the patterns: a new connection begins.
    pub(super) fn begin_connection(&self, service: &str) {
        self.findings.borrow_mut().remove(service);
    }

    /// Takes over what the hub of a service has found out. Patterns that the same hub no longer gives
    /// are dropped.
    pub(super) fn learn(&self, service: &str, findings: Findings, now: Time) {
        let known = self.findings.borrow_mut().remove(service);
        let is_given = |marks: &Vec<Mark>| findings.patterns.iter().any(|p| p.marks == *marks);
        let former = known.into_iter().flat_map(|known| known.patterns);
        for pattern in former.filter(|pattern| !is_given(&pattern.marks)) {
            if self.patterns.borrow_mut().remove(&pattern.marks).is_some() {
                log_pattern("quarantine_ended", &pattern);
            }
        }
        for pattern in &findings.patterns {
            self.add(pattern.clone(), now);
        }
        let mut all = self.findings.borrow_mut();
        all.insert(service.to_owned(), findings);
        let suspects = all.values().flat_map(|findings| &findings.suspects);
        let suspects: BTreeSet<_> = suspects.copied().collect();
        let known = self.suspects.replace(suspects.clone());
        self.tell_passed(&suspects.difference(&known).copied().collect(), now);
    }

    fn add(&self, pattern: Pattern, now: Time) {
        let at = now.before(Duration::from_millis(u64::from(pattern.age_ms)));
        let refusal = Refusal {
            at,
            lasts_ms: pattern.lasts_ms,
        };
        let mut patterns = self.patterns.borrow_mut();
        patterns.retain(|_, known| now < known.ends_at());
        let known = patterns.insert(pattern.marks.clone(), refusal);
        if known.is_none() {
            log_pattern("quarantine_begun", &pattern);
        }
    }

    /// Returns the time for which requests like this one are refused; `None` if they are not.
    pub(super) fn remaining(&self, job: &Job, now: Time) -> Option<Duration> {
        if self.patterns.borrow().is_empty() {
            return None;
        }
        let patterns = self.patterns.borrow();
        let mut patterns = patterns.iter().filter(|(_, known)| now < known.ends_at());
        let carried = job.marks();
        let is_carried = |marks: &[Mark]| marks.iter().all(|mark| carried.contains(mark));
        let (_, known) = patterns.find(|(marks, _)| is_carried(marks))?;
        Some(known.ends_at().remaining(now))
    }

    /// Records that a request got through on a server. Returns whether that clears a suspect.
    pub(super) fn record_passed(&self, job: &Job, now: Time) -> bool {
        self.passed.borrow_mut().record(job.marks(), now);
        if self.suspects.borrow().is_empty() {
            return false;
        }
        let mut marks = job.marks().to_vec();
        marks.retain(|mark| self.suspects.borrow_mut().remove(mark));
        let is_suspected = !marks.is_empty();
        if is_suspected {
            self.record(Fact::Cleared { marks, age_ms: 0 }, now);
        }
        is_suspected
    }
}

/// Reads from the store, once, what was known before all processes ended.
pub(super) async fn recall(state: Rc<State>, store: Store) {
    let stored = loop {
        match store.patterns(RECALL_TIMEOUT).await {
            Ok(stored) => break stored,
            Err(error) => report::warn("patterns_not_read", &[("error", &error)]),
        }
        sleep(RECALL_DELAY).await;
    };
    let now = Time::now();
    for pattern in stored
        .iter()
        .filter_map(|stored| stored.pattern(timer::unix_millis()))
    {
        state.quarantine.add(pattern.clone(), now);
        state.quarantine.record(Fact::Found(pattern), now);
    }
    if !stored.is_empty() {
        state.tell_facts();
    }
}

fn pattern(marks: &[Mark], known: &Refusal, now: Time) -> Pattern {
    Pattern {
        marks: marks.to_vec(),
        age_ms: millis(now - known.at),
        lasts_ms: known.lasts_ms,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn log_pattern(event: &str, pattern: &Pattern) {
    let marks: Vec<_> = pattern.marks.iter().map(Mark::to_string).collect();
    report::warn(
        event,
        &[("marks", &marks.join(",")), ("age_ms", &pattern.age_ms)],
    );
}

//! What a hub knows of requests that crash servers, from its gateways and from other hubs.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::{
    platform::store::Store,
    quarantine::{
        self,
        Evidence,
        Fact,
        FactLog,
        Findings,
        Mark,
        Pattern,
        Stored, //
    },
    report,
    timer::{
        self,
        Time, //
    },
};

/// Time in which facts are collected before it is decided what follows from them.
const DECISION_DELAY: Duration = Duration::from_millis(20);

/// Delay after a call to the store that failed.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Timeout for the store's response to a call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What followed from the facts when it was last decided.
#[derive(Debug, Default)]
struct Decision {
    findings: Findings,
    made_at: Option<Time>,
    /// Number of decisions so far.
    version: u64,
}

/// The facts that a hub knows and what follows from them.
///
/// What the hub's own gateways tell is passed on to the other hubs, over the connections that the
/// loader in the same process has to them; what other hubs tell is not.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    evidence: RefCell<Evidence>,
    /// New facts from the hub's gateways.
    own: RefCell<FactLog>,
    decision: RefCell<Decision>,
    /// Whether a decision is about to be made.
    is_deciding: Cell<bool>,
    /// Marks of the patterns that this hub keeps in the store.
    kept: RefCell<BTreeSet<Vec<Mark>>>,
    /// Notified of new facts from the hub's gateways.
    pub(crate) own_changed: watch::Sender<()>,
    /// Notified of any new fact.
    pub(super) changed: watch::Sender<()>,
}

impl Quarantine {
    /// Records facts that a gateway of this hub has told.
    pub(super) fn record_own(self: &Rc<Self>, facts: Vec<Fact>, now: Time) {
        let mut has_news = false;
        for fact in facts {
            if self.evidence.borrow_mut().record(fact.clone(), now) {
                self.own.borrow_mut().push(fact, now);
                has_news = true;
            }
        }
        if has_news {
            self.own_changed.send_replace(());
            self.decide_soon();
        }
    }

    /// Records facts that another hub has told.
    pub(super) fn record_others(self: &Rc<Self>, facts: Vec<Fact>, now: Time) {
        let mut evidence = self.evidence.borrow_mut();
        let news = facts.into_iter().map(|fact| evidence.record(fact, now));
        let has_news = news.fold(false, |any, is_new| any | is_new);
        drop(evidence);
        if has_news {
            self.decide_soon();
        }
    }

    fn decide_soon(self: &Rc<Self>) {
        if self.is_deciding.replace(true) {
            return;
        }
        let quarantine = self.clone();
        tokio::task::spawn_local(async move {
            sleep(DECISION_DELAY).await;
            quarantine.is_deciding.set(false);
            quarantine.decide(Time::now());
        });
    }

    fn decide(&self, now: Time) {
        let findings = self.evidence.borrow().findings(now);
        let mut decision = self.decision.borrow_mut();
        if marks(&decision.findings) != marks(&findings) {
            log_decision(&findings);
        }
        decision.findings = findings;
        decision.made_at = Some(now);
        decision.version += 1;
        self.changed.send_replace(());
    }

    /// Returns what the hub has found out if it changed since a connection was last sent it, and
    /// advances the version of the connection.
    pub(super) fn news(&self, version: &mut u64, now: Time) -> Option<Findings> {
        let decision = self.decision.borrow();
        let is_new = std::mem::replace(version, decision.version) != decision.version;
        let made_at = decision.made_at.filter(|_| is_new)?;
        Some(decision.findings.clone().after(now - made_at))
    }

    /// Keeps the patterns that this hub has found in the store, so that they are known after all
    /// processes have ended; never returns.
    pub(crate) async fn keep(&self, store: &Store) {
        let mut changed = self.changed.subscribe();
        loop {
            while let Some((marks, pattern)) = self.next_to_keep() {
                let stored = pattern.map(|pattern| Stored::new(&pattern, timer::unix_millis()));
                let key = quarantine::key(&marks);
                let result = store.keep_pattern(&key, stored.as_ref(), STORE_TIMEOUT);
                if let Err(error) = result.await {
                    report::warn("pattern_not_kept", &[("key", &key), ("error", &error)]);
                    sleep(STORE_RETRY_DELAY).await;
                    continue;
                }
                let mut kept = self.kept.borrow_mut();
                match stored {
                    Some(_) => kept.insert(marks),
                    None => kept.remove(&marks),
                };
            }
            // The sender lives as long as this value.
            let _ = changed.changed().await;
        }
    }

    /// Returns a pattern that is to be kept, or the marks of one that is to be dropped.
    fn next_to_keep(&self) -> Option<(Vec<Mark>, Option<Pattern>)> {
        let decision = self.decision.borrow();
        let kept = self.kept.borrow();
        let mut lasting = decision.findings.patterns.iter().filter(|p| p.is_lasting());
        let new = lasting.find(|pattern| !kept.contains(&pattern.marks));
        if let Some(pattern) = new {
            return Some((pattern.marks.clone(), Some(pattern.clone())));
        }
        let is_found = |marks: &Vec<Mark>| {
            let mut patterns = decision.findings.patterns.iter();
            patterns.any(|pattern| pattern.marks == *marks)
        };
        let dropped = kept.iter().find(|marks| !is_found(marks));
        dropped.map(|marks| (marks.clone(), None))
    }

    /// Returns the facts to pass on to another hub, and advances the position of its connection.
    pub(crate) fn new_facts(&self, position: &mut u64, now: Time) -> Vec<Fact> {
        self.own.borrow().since(position, now)
    }

    /// Returns whether there are facts to pass on from a position on.
    pub(crate) fn has_new_facts(&self, position: u64) -> bool {
        self.own.borrow().has_new(position)
    }
}

/// Returns the marks of the patterns that were found.
fn marks(findings: &Findings) -> Vec<&[Mark]> {
    let patterns = findings.patterns.iter();
    patterns.map(|pattern| pattern.marks.as_slice()).collect()
}

fn log_decision(findings: &Findings) {
    let (patterns, suspects) = (findings.patterns.len(), findings.suspects.len());
    report::warn(
        "crash_patterns",
        &[("patterns", &patterns), ("suspects", &suspects)],
    );
}

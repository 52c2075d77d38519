//! Starts small systems of real processes for end-to-end tests.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::bench::{
    Fleet,
    Plan,
    TENGIS, //
};

/// Limit after which an event that must happen counts as missing. It only ends a test that
/// would otherwise hang, and is far above the time that the event takes.
const MISSING_AFTER: Duration = Duration::from_secs(60);

/// Deadline of requests that are expected to be served.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// One fleet at a time in each test program, to stay within the machine's limits.
static TURN: Mutex<()> = Mutex::new(());

/// A fleet that has the machine to itself among the tests of this program.
pub(crate) struct Turn {
    pub(crate) fleet: Fleet,
    _turn: MutexGuard<'static, ()>,
}

/// Starts the fleet of a plan, changed by `change`.
pub(crate) fn start(change: impl FnOnce(&mut Plan)) -> Turn {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut plan = Plan::new(TENGIS);
    change(&mut plan);
    let fleet = Fleet::start(plan).expect("the fleet starts");
    Turn { fleet, _turn: turn }
}

/// Waits until `happened` returns true.
pub(crate) fn eventually(what: &str, mut happened: impl FnMut() -> bool) {
    let start = Instant::now();
    while !happened() {
        assert!(start.elapsed() < MISSING_AFTER, "never happened: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the first model of the deployment.
pub(crate) fn model() -> String {
    TENGIS.model(1).to_string()
}

//! The order in which a loader serves the models that requests wait for.

use std::cmp::Reverse;

use crate::link::Backlog;

/// Time of waiting that one more waiting request counts as, in ms.
const REQUEST_MS: u64 = 200;

/// Time of waiting that a request counts as which is in time if its model is loaded next, in ms.
const IN_TIME_MS: u64 = 5_000;

/// Time of waiting that the last turn counts as before a client leaves, in ms.
const LAST_TURN_MS: u64 = 60_000;

/// Ratio of the time that a request has waited to the time that is left for it from which on it has
/// its last turn.
const LAST_TURN_FACTOR: u32 = 3;

/// Time of waiting that a priority counts as, in ms.
const PRIORITY_MS: u64 = 1_500;

/// Priority of the least urgent requests.
const LOWEST_PRIORITY: u8 = 9;

/// Sorts backlogs by precedence, the first one to serve first. `load_ms` is the duration of a load of
/// a model here.
///
/// Answers the load of a server that can't load all models in time: requests that can still meet
/// their latency objective go before those that are late in any case, so that not all become late.
/// Urgent requests and models with many waiting requests go first. Each backlog gains precedence with
/// the time that its first request has waited, and has a last turn before that one's client leaves, so
/// none is passed over for ever.
///
/// # Examples
///
/// ```
/// use chestnuthub::link::Backlog;
/// use chestnuthub::loader::precedence;
///
/// let backlog = |model: &str, waiting, oldest_ms| Backlog {
///     model: model.to_owned(),
///     adapter: None,
///     waiting,
///     priority: 1,
///     oldest_ms,
///     due_ms: Vec::new(),
///     leaves_ms: 10_000,
/// };
/// let mut backlogs = vec![backlog("rare", 1, 100), backlog("busy", 3, 100)];
/// precedence::sort(&mut backlogs, |_| 1_000);
/// assert_eq!(backlogs[0].model, "busy");
/// backlogs[1].oldest_ms = 2_000;
/// precedence::sort(&mut backlogs, |_| 1_000);
/// assert_eq!(backlogs[0].model, "rare");
/// ```
pub fn sort(backlogs: &mut [Backlog], load_ms: impl Fn(&str) -> u32) {
    backlogs.sort_by_key(|backlog| Reverse(precedence_ms(backlog, load_ms(&backlog.model))));
}

fn precedence_ms(backlog: &Backlog, load_ms: u32) -> u64 {
    let in_time = backlog.due_ms.iter().filter(|due| **due > load_ms);
    let urgency = u64::from(LOWEST_PRIORITY.saturating_sub(backlog.priority));
    let waiting = u64::from(backlog.waiting);
    u64::from(backlog.oldest_ms)
        + waiting * REQUEST_MS
        + urgency * PRIORITY_MS
        + in_time.count() as u64 * IN_TIME_MS
        + u64::from(is_last_turn(backlog)) * LAST_TURN_MS
}

/// Returns whether most of the time has passed for which the client of the first request waits.
fn is_last_turn(backlog: &Backlog) -> bool {
    backlog.oldest_ms > LAST_TURN_FACTOR.saturating_mul(backlog.leaves_ms)
}

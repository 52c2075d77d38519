//! The order in which a loader serves the models that requests wait for.

use std::cmp::Reverse;

use crate::link::Backlog;

/// Time of waiting that one more waiting request counts as, in ms.
const REQUEST_MS: u64 = 200;

/// Time of waiting that a priority counts as, in ms.
const PRIORITY_MS: u64 = 1_500;

/// Priority of the least urgent requests.
const LOWEST_PRIORITY: u8 = 9;

/// Sorts backlogs by precedence, the first one to serve first.
///
/// Urgent requests and models with many waiting requests go first, but each backlog gains precedence
/// with the time that its first request has waited, so none is passed over for ever.
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
/// };
/// let mut backlogs = vec![backlog("rare", 1, 100), backlog("busy", 3, 100)];
/// precedence::sort(&mut backlogs);
/// assert_eq!(backlogs[0].model, "busy");
/// backlogs[1].oldest_ms = 2_000;
/// precedence::sort(&mut backlogs);
/// assert_eq!(backlogs[0].model, "rare");
/// ```
pub fn sort(backlogs: &mut [Backlog]) {
    backlogs.sort_by_key(|backlog| Reverse(precedence_ms(backlog)));
}

fn precedence_ms(backlog: &Backlog) -> u64 {
    let urgency = u64::from(LOWEST_PRIORITY.saturating_sub(backlog.priority));
    let waiting = u64::from(backlog.waiting);
    u64::from(backlog.oldest_ms) + waiting * REQUEST_MS + urgency * PRIORITY_MS
}

//! Which client account a request belongs to.

use std::{
    rc::Rc,
    time::Duration, //
};

use hyper::HeaderMap;
use tokio::time::timeout;

use super::{
    response::Failure,
    state::State, //
};
use crate::{
    credential,
    deployment::{
        Account,
        Configuration,
        Route, //
    },
    report,
    timer::Time,
};

/// Time after which a client may retry while this gateway can't tell whether its key is in force: the
/// maximum pause between reads of the configuration.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Interval at which a request checks whether the configuration may be acted on.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How far a gateway may rely on the configuration that it has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Currency {
    /// A newer version would be known.
    Current,
    /// There may be a newer version that this gateway could not read.
    Doubtful,
    /// There is a newer version that this gateway has not read since it started, or the store has not
    /// answered for so long that no key may be relied on.
    Outdated,
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request bears no key that an account holds.
    UnknownKey,
    /// A newer version may let the request in, or refuse it.
    Outdated,
}

/// Returns the account of a request on a route. There is none if the route is public or the
/// configuration names no accounts.
///
/// # Errors
///
/// Fails if the request needs a key and bears none that an account holds.
///
/// # Examples
///
/// ```
/// use chestnuthub::{
///     gateway::{
///         Currency,
///         Denial,
///         account, //
///     },
///     platform::configuration, //
/// };
/// use hyper::HeaderMap;
///
/// let text = br#"{"version":7,"tenants":[{"name":"a","apiKeys":["k1"]}],"routes":[{"name":"r",
///     "host":"h.example","pathPrefix":"/x/","kind":"safe","timeoutMs":1000,"service":"s"}]}"#;
/// let configuration = configuration::decode(text).unwrap();
/// let route = configuration.route("h.example", "/x/1").unwrap();
/// let mut headers = HeaderMap::new();
/// let found = account(&configuration, route, &headers, Currency::Current);
/// assert_eq!(found, Err(Denial::UnknownKey));
/// headers.insert("authorization", "Bearer k1".parse().unwrap());
/// let found = account(&configuration, route, &headers, Currency::Current);
/// assert_eq!(found.unwrap().unwrap().name, "a");
/// ```
pub fn account(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    currency: Currency,
) -> Result<Option<Rc<Account>>, Denial> {
    let Some(accounts) = configuration.accounts.as_ref() else {
        return Ok(None);
    };
    if route.is_public {
        return Ok(None);
    }
    let account = credential::token(headers).and_then(|key| accounts.find(key));
    match (account, currency) {
        (_, Currency::Outdated) | (None, Currency::Doubtful) => Err(Denial::Outdated),
        (None, Currency::Current) => Err(Denial::UnknownKey),
        (Some(account), _) => Ok(Some(account)),
    }
}

/// Returns how far this gateway may rely on the configuration that it has in force.
fn currency(state: &State, now: Time) -> Currency {
    let settings = state.settings.get();
    let age = state.follower.configuration_age(now);
    let is_within = |bound: Duration| age.is_some_and(|age| age <= bound);
    let is_revocable = settings.strict_revocation().is_none_or(is_within);
    if !is_revocable || !is_floor_met(state, now) {
        Currency::Outdated
    } else if is_within(settings.settled_after()) {
        Currency::Current
    } else {
        Currency::Doubtful
    }
}

/// Returns whether keys may be accepted on the configuration that this gateway has in force.
fn is_floor_met(state: &State, now: Time) -> bool {
    let configuration = state.follower.configuration();
    let mut services = configuration.services.iter();
    let expects_hubs = services.any(|service| service.engine.is_some());
    let read_at = state.follower.configured_at();
    !expects_hubs
        || read_at.is_some_and(|read_at| {
            let floor = state.floor.borrow();
            floor.is_met(configuration.version, read_at, now)
        })
}

/// Waits until keys may be accepted on the configuration that this gateway has in force, but at most
/// for `max_wait`.
pub(super) async fn wait_for_floor(state: &State, max_wait: Duration) {
    let ends_at = Time::now() + max_wait;
    loop {
        let now = Time::now();
        let remaining = ends_at.remaining(now);
        if remaining.is_zero() || is_floor_met(state, now) {
            return;
        }
        // A change of the configuration ends the wait.
        let wait = POLL_INTERVAL.min(remaining);
        let _ = timeout(wait, state.follower.changed.notified()).await;
    }
}

/// Returns the account of a request, or the failure that the client is told.
pub(super) fn check(
    state: &State,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    id: &str,
) -> Result<Option<Rc<Account>>, Failure> {
    let currency = currency(state, Time::now());
    let found = account(configuration, route, headers, currency);
    found.map_err(|denial| {
        log_denial(state, id, configuration, route, headers);
        match denial {
            Denial::UnknownKey => Failure::Unauthorized,
            Denial::Outdated => {
                Failure::Refused("the configuration may be out of date", OUTDATED_RETRY_AFTER)
            }
        }
    })
}

/// Logs what this process knew when it found no account, but nothing of the key.
fn log_denial(
    state: &State,
    id: &str,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) {
    let age = state.follower.configuration_age(Time::now());
    let newest = state.floor.borrow().newest();
    let has_key = credential::token(headers).is_some();
    report::info(
        "no_account",
        &[
            ("request", &id),
            ("route", &route.name),
            ("has_key", &has_key),
            ("version", &configuration.version),
            ("newest", &newest.unwrap_or_default()),
            ("read_ms_ago", &age.unwrap_or_default().as_millis()),
            ("process", &std::process::id()),
        ],
    );
}

//! Which client account a request belongs to.

use std::{
    rc::Rc,
    time::Duration, //
};

use hyper::HeaderMap;

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

/// Time after which a client may retry whose key this gateway may not know yet: the maximum pause
/// between reads of the configuration.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// How far a gateway may rely on the configuration that it has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Currency {
    /// A newer version would be known.
    Current,
    /// There may be a newer version that this gateway could not read.
    Doubtful,
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request bears no key that an account holds.
    UnknownKey,
    /// The request bears a key that a newer version may hold.
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
    // A request without a single key is refused by every version that names accounts.
    let key = credential::token(headers).ok_or(Denial::UnknownKey)?;
    match (accounts.find(key), currency) {
        (Some(account), _) => Ok(Some(account)),
        (None, Currency::Current) => Err(Denial::UnknownKey),
        (None, Currency::Doubtful) => Err(Denial::Outdated),
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
    let age = state.follower.configuration_age(Time::now());
    let is_current = age.is_some_and(|age| age <= state.settings.get().settled_after());
    let currency = if is_current {
        Currency::Current
    } else {
        Currency::Doubtful
    };
    let found = account(configuration, route, headers, currency);
    found.map_err(|denial| {
        log_denial(id, configuration, route, headers, age.unwrap_or_default());
        match denial {
            Denial::UnknownKey => Failure::Unauthorized,
            Denial::Outdated => Failure::Refused(
                "the key is unknown and the configuration may be out of date",
                OUTDATED_RETRY_AFTER,
            ),
        }
    })
}

/// Logs what this process knew when it found no account, but nothing of the key.
fn log_denial(
    id: &str,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    age: Duration,
) {
    let has_key = credential::token(headers).is_some();
    report::info(
        "no_account",
        &[
            ("request", &id),
            ("route", &route.name),
            ("has_key", &has_key),
            ("version", &configuration.version),
            ("read_ms_ago", &age.as_millis()),
            ("process", &std::process::id()),
        ],
    );
}

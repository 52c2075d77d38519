//! Reads the headers of clients' requests.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::HeaderName, //
};
use uuid::Uuid;

use super::problem::Problem;

/// Header with the request id, in requests and responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the time until the client's deadline, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Timeout for a request without the timeout header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum timeout for a request; longer ones are shortened to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Maximum length of a request id that is accepted from a client, in bytes.
const MAX_ID_BYTES: usize = 100;

/// Returns the client's request id, or a new one if there is none or it can't be logged unchanged.
///
/// # Examples
///
/// ```
/// use chestnuthub::entry::header;
/// use hyper::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert(header::REQUEST_ID, "order-17".parse().unwrap());
/// assert_eq!(header::request_id(&headers), "order-17");
/// headers.insert(header::REQUEST_ID, "two words".parse().unwrap());
/// assert_ne!(header::request_id(&headers), "two words");
/// ```
pub fn request_id(headers: &HeaderMap) -> String {
    match single_value(headers, &REQUEST_ID) {
        Ok(Some(id)) if is_loggable(id) => id.to_owned(),
        _ => Uuid::new_v4().to_string(),
    }
}

/// Returns the time until the deadline: the value of the header but at most 300 s, or 30 s if there
/// is no header.
///
/// # Errors
///
/// A problem with status 400 if the header is not a positive whole number of milliseconds.
///
/// # Examples
///
/// ```
/// use chestnuthub::entry::header;
/// use hyper::HeaderMap;
/// use std::time::Duration;
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(header::timeout(&headers), Ok(Duration::from_secs(30)));
/// headers.insert(header::TIMEOUT, "1500".parse().unwrap());
/// assert_eq!(header::timeout(&headers), Ok(Duration::from_millis(1_500)));
/// ```
pub fn timeout(headers: &HeaderMap) -> Result<Duration, Problem> {
    let malformed = || {
        let detail = "Request-Timeout-Ms must be one positive whole number";
        Problem::not_run(400, "bad_timeout", detail)
    };
    let Some(text) = single_value(headers, &TIMEOUT).map_err(|()| malformed())? else {
        return Ok(DEFAULT_TIMEOUT);
    };
    let millis: u64 = text.trim().parse().map_err(|_| malformed())?;
    if millis == 0 {
        return Err(malformed());
    }
    Ok(Duration::from_millis(millis).min(MAX_TIMEOUT))
}

/// Returns the idempotency key, if there is one.
///
/// # Errors
///
/// A problem with status 400 if the header is not one UUID.
///
/// # Examples
///
/// ```
/// use chestnuthub::entry::header;
/// use hyper::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(header::idempotency_key(&headers), Ok(None));
/// headers.insert(header::IDEMPOTENCY_KEY, "17".parse().unwrap());
/// assert_eq!(header::idempotency_key(&headers).unwrap_err().status, 400);
/// ```
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<Uuid>, Problem> {
    let malformed = || {
        let detail = "Idempotency-Key must be one UUID version 7";
        Problem::not_run(400, "bad_key", detail)
    };
    let Some(text) = single_value(headers, &IDEMPOTENCY_KEY).map_err(|()| malformed())? else {
        return Ok(None);
    };
    let key = Uuid::try_parse(text.trim()).map_err(|_| malformed())?;
    Ok(Some(key))
}

/// Returns the value of a header, or an error if there are several values or it is not text.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(());
    }
    first.to_str().map(Some).map_err(|_| ())
}

/// Returns whether a request id has a permitted length and only characters that need no escaping in
/// a log.
fn is_loggable(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}

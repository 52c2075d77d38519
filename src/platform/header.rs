//! Wire format of the headers of requests and responses.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{
        AUTHORIZATION,
        CONNECTION,
        CONTENT_ENCODING,
        HeaderName,
        HeaderValue, //
    },
};

use crate::{
    dispatch::{
        Part,
        RequestRate, //
    },
    gateway::{
        Caller,
        Load,
        Malformed,
        ModelName,
        Outgoing,
        RequestHead,
        RequestLimit,
        ResponseHead,
        Rest, //
    },
};

/// Names the server that a request is meant for; any other server refuses it without running it.
pub(super) const TARGET: HeaderName = HeaderName::from_static("target-instance");

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("model");
const TOKENS: HeaderName = HeaderName::from_static("token-count");
const PROMPT: HeaderName = HeaderName::from_static("prompt-prefix");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the attempt that brought the first event of a stream that its client takes up again.
const RESUMES: HeaderName = HeaderName::from_static("resumes");

/// Name of the client account that a request belongs to.
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
const PRIORITY: HeaderName = HeaderName::from_static("request-priority");
const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
const INSTANCE: HeaderName = HeaderName::from_static("instance-id");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");

/// Requests per second that a server takes from all machines together.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// Set to 1 in all responses of a server that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Headers that may occur only once. If one were repeated, two readers could use different values.
const SINGLE_VALUED: [HeaderName; 9] = [
    HeaderName::from_static("host"),
    REQUEST_ID,
    DEADLINE,
    MODEL,
    TOKENS,
    PROMPT,
    LAST_EVENT,
    RESUMES,
    HeaderName::from_static("content-length"),
];

/// Headers that only this system may set.
const RESERVED: [HeaderName; 10] = [
    TARGET,
    PRIORITY,
    NOT_EXECUTED,
    HeaderName::from_static("expect-version"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("hold"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    DEADLINE,
];

/// Hop-by-hop headers, which apply to a single connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authenticate"),
    HeaderName::from_static("proxy-authorization"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
];

/// Decodes the headers of a client's request.
///
/// # Errors
///
/// Fails if a header is repeated that may occur only once, if the id is missing, or if the request
/// has both a transfer encoding and a content length.
pub fn decode_request(headers: &HeaderMap) -> Result<RequestHead, Malformed> {
    if let Some(name) = SINGLE_VALUED.iter().find(|name| count(headers, name) > 1) {
        return Err(Malformed::Repeated(name.as_str().to_owned()));
    }
    if headers.contains_key("transfer-encoding") && headers.contains_key("content-length") {
        return Err(Malformed::TwoLengths);
    }
    let id = text(headers, &REQUEST_ID).filter(|id| !id.is_empty());
    let prompt: Vec<Part> = text(headers, &PROMPT)
        .map(|list| list.split(',').filter_map(part).collect())
        .unwrap_or_default();
    Ok(RequestHead {
        id: id.ok_or(Malformed::NoId)?.to_owned(),
        timeout: text(headers, &DEADLINE).and_then(millis),
        model: text(headers, &MODEL).map(model_name),
        prompt_tokens: text(headers, &TOKENS)
            .and_then(first_number)
            .unwrap_or_default(),
        tokens: text(headers, &TOKENS).and_then(sum),
        prompt,
        last_event: text(headers, &LAST_EVENT).map(str::to_owned),
        resumes: text(headers, &RESUMES).map(str::to_owned),
    })
}

/// Builds the headers of a request to a server from those of the client.
pub fn encode_request(client: &HeaderMap, outgoing: &Outgoing<'_>) -> HeaderMap {
    let mut headers = forwarded(client);
    for name in &RESERVED {
        headers.remove(name);
    }
    if outgoing.caller != Caller::Unchecked {
        headers.remove(AUTHORIZATION);
        headers.remove(ACCOUNT);
    }
    let mut set = |name: HeaderName, value: String| {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    };
    set(TARGET, outgoing.server.to_owned());
    // The server stops working on the request after this time, so it is rounded down.
    set(DEADLINE, outgoing.timeout.as_millis().to_string());
    if let Some(priority) = outgoing.priority {
        set(PRIORITY, priority.min(9).to_string());
    }
    if let Caller::Account(name) = outgoing.caller {
        set(ACCOUNT, name.to_owned());
    }
    if let Some(last_event) = outgoing.last_event {
        set(LAST_EVENT, last_event.to_owned());
    }
    headers
}

/// Decodes the headers of a server's response.
pub fn decode_response(status: u16, headers: &HeaderMap) -> ResponseHead {
    let signed = headers.contains_key(SIGNATURE);
    ResponseHead {
        status,
        id: text(headers, &REQUEST_ID).map(str::to_owned),
        instance: text(headers, &INSTANCE).map(str::to_owned),
        is_signed: signed,
        is_encoded: is_encoded(headers),
        // A server that is not the one named in the request refuses with 421 and runs nothing.
        has_not_run: headers.contains_key(NOT_EXECUTED) || (status == 421 && !signed),
        load: text(headers, &SERVER_LOAD).and_then(load),
        keep_alive: text(headers, &KEEP_ALIVE).and_then(idle_timeout),
        closes: has_connection_option(headers, "close"),
        is_leaving: is_leaving(headers),
        rest: rest(status, headers),
        request_limit: request_limit(headers),
    }
}

/// Returns whether a body has a content coding.
fn is_encoded(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(CONTENT_ENCODING).iter();
    let mut codings = codings.map(HeaderValue::as_bytes);
    codings.any(|coding| !coding.trim_ascii().eq_ignore_ascii_case(b"identity"))
}

/// Returns whether a server announces in a response that it leaves.
pub(crate) fn is_leaving(headers: &HeaderMap) -> bool {
    text(headers, &LEAVING) == Some("1")
}

/// Returns the time for which a server wants no requests. Only a response with the status 503
/// states it, in seconds, which may have a fraction.
pub(crate) fn rest(status: u16, headers: &HeaderMap) -> Option<Rest> {
    let value = headers.get(RETRY_AFTER).filter(|_| status == 503)?;
    let text = String::from_utf8_lossy(value.as_bytes()).trim().to_owned();
    let seconds = text.parse().ok();
    let time = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some(time.map_or(Rest::Unreadable(text), Rest::For))
}

/// Returns the limit that a server names on the requests of all processes together, a decimal number
/// of requests per second.
pub(crate) fn request_limit(headers: &HeaderMap) -> Option<RequestLimit> {
    let value = headers.get(SERVER_LIMIT)?;
    let text = String::from_utf8_lossy(value.as_bytes()).trim().to_owned();
    let per_s = text.parse().ok().and_then(RequestRate::from_per_s);
    Some(per_s.map_or(RequestLimit::Unreadable(text), RequestLimit::Rate))
}

/// Returns the headers without the hop-by-hop headers.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP {
        forwarded.remove(name);
    }
    for name in connection_options(headers) {
        // A client can't use `Connection` to remove headers that determine what runs, and for whom.
        let is_single_valued = SINGLE_VALUED.iter().any(|single| single.as_str() == name);
        if !is_single_valued {
            forwarded.remove(name.as_str());
        }
    }
    forwarded
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = String> + '_ {
    let values = headers.get_all(CONNECTION).into_iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
}

fn has_connection_option(headers: &HeaderMap, name: &str) -> bool {
    connection_options(headers).any(|option| option == name)
}

fn count(headers: &HeaderMap, name: &HeaderName) -> usize {
    headers.get_all(name).iter().count()
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn millis(text: &str) -> Option<Duration> {
    let millis: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}

fn first_number(list: &str) -> Option<u64> {
    list.split(',').next()?.trim().parse().ok()
}

/// Returns the sum of the first two numbers of a list; the second one may be missing.
fn sum(list: &str) -> Option<u64> {
    let first = first_number(list)?;
    let second = list.split(',').nth(1);
    let second = second.and_then(|number| number.trim().parse().ok());
    Some(first.saturating_add(second.unwrap_or_default()))
}

/// Parses MODEL or MODEL/ADAPTER.
fn model_name(text: &str) -> ModelName {
    match text.split_once('/') {
        Some((model, adapter)) => ModelName {
            model: model.to_owned(),
            adapter: Some(adapter.to_owned()),
        },
        None => ModelName {
            model: text.to_owned(),
            adapter: None,
        },
    }
}

/// Parses ID:TOKENS, with the id in hexadecimal.
fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Parses the numbers of running requests, waiting requests and slots, separated by commas. The
/// slots are ignored.
fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
    })
}

/// Parses the time for which a server keeps an idle connection: `timeout=` in whole seconds.
fn idle_timeout(text: &str) -> Option<Duration> {
    let mut parameters = text.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

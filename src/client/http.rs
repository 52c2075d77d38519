//! The HTTP client that all platform modules share.

use std::time::Duration;

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use ureq::{
    Agent,
    Body,
    http::Response, //
};

use super::Error;

/// Longest wait for a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that is read into memory, in bytes.
const MAX_ANSWER_BYTES: u64 = 32 << 20;

/// Makes a client whose calls take at most `timeout`, connecting included.
pub(super) fn client(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT.min(timeout)))
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build()
        .into()
}

/// Makes a client that opens a connection for each call, so that a call is never sent on a
/// pooled connection that the server has closed meanwhile.
pub(super) fn unpooled_client(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT.min(timeout)))
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .max_idle_connections(0)
        .build()
        .into()
}

/// Gets a URL and decodes the JSON answer.
pub(super) fn get<T: DeserializeOwned>(agent: &Agent, url: &str) -> Result<T, Error> {
    let response = agent.get(url).call()?;
    decode(response)
}

/// Posts JSON and decodes the JSON answer.
pub(super) fn post<B, T>(agent: &Agent, url: &str, body: &B) -> Result<T, Error>
where
    B: Serialize,
    T: DeserializeOwned,
{
    let response = agent.post(url).send_json(body)?;
    decode(response)
}

/// Decodes a JSON answer, or returns its error status.
pub(super) fn decode<T: DeserializeOwned>(response: Response<Body>) -> Result<T, Error> {
    let mut response = check_status(response)?;
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    Ok(body.read_json()?)
}

/// Turns an error status into an error.
pub(super) fn check_status(mut response: Response<Body>) -> Result<Response<Body>, Error> {
    let status = response.status().as_u16();
    if response.status().is_success() || status == 304 {
        return Ok(response);
    }
    let body = response.body_mut().read_to_string().unwrap_or_default();
    Err(Error::Status { status, body })
}

//! HTTP functions that the clients of external systems share.

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

/// Timeout for opening a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a JSON response, in bytes; it is read into memory as a whole.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

/// Creates a client whose calls take at most `timeout`, including the time to connect.
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

/// Creates a client that opens a new connection for each call, so that no call is sent on a pooled
/// connection that the server has already closed.
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

/// Sends a GET request and decodes the JSON response.
pub(super) fn get<T: DeserializeOwned>(agent: &Agent, url: &str) -> Result<T, Error> {
    let response = agent.get(url).call()?;
    decode(response)
}

/// Sends a POST request with a JSON body and decodes the JSON response.
pub(super) fn post<B, T>(agent: &Agent, url: &str, body: &B) -> Result<T, Error>
where
    B: Serialize,
    T: DeserializeOwned,
{
    let response = agent.post(url).send_json(body)?;
    decode(response)
}

/// Decodes a JSON response, or returns `Error::Status` if its status is an error.
pub(super) fn decode<T: DeserializeOwned>(response: Response<Body>) -> Result<T, Error> {
    let mut response = check_status(response)?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    Ok(body.read_json()?)
}

/// Returns `Error::Status` for any status other than success and 304 (not modified).
pub(super) fn check_status(mut response: Response<Body>) -> Result<Response<Body>, Error> {
    let status = response.status().as_u16();
    if response.status().is_success() || status == 304 {
        return Ok(response);
    }
    let body = response.body_mut().read_to_string().unwrap_or_default();
    Err(Error::Status { status, body })
}

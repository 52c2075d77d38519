//! Client of a plain service.

use std::time::Duration;

use ureq::http::Request;

use super::{
    Error,
    engine::Response,
    http, //
};

/// A call to a plain service.
#[derive(Debug)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query, beginning with `/`.
    pub path: &'a str,
    /// Content type of the body, if known.
    pub content_type: Option<&'a str>,
    /// Request id, sent for the service's log.
    pub request: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Timeout for the whole response, including the time to connect.
    pub timeout: Duration,
}

/// Client of a plain service.
#[derive(Debug, Clone)]
pub struct Service {
    base: String,
}

impl Service {
    /// Creates a client for the service at the base URL.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Sends a call once and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// `Unreachable` means that nothing was sent. After `NoResponse` or `Malformed` the service may
    /// have run the call.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::{Error, service::{Call, Service}};
    /// use std::time::Duration;
    ///
    /// // Nothing listens at this address.
    /// let result = Service::new("http://127.0.0.1:1").call(&Call {
    ///     method: "POST",
    ///     path: "/bookings",
    ///     content_type: Some("application/json"),
    ///     request: "r1",
    ///     body: b"{}",
    ///     timeout: Duration::from_secs(1),
    /// });
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn call(&self, call: &Call<'_>) -> Result<Response, Error> {
        let agent = http::unpooled_client(call.timeout);
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("{}{}", self.base, call.path))
            .header("X-Request-Id", call.request);
        if let Some(content_type) = call.content_type {
            request = request.header("Content-Type", content_type);
        }
        let request = request
            .body(call.body)
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        Ok(Response::from(agent.run(request)?))
    }
}

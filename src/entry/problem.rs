//! Problem details (`application/problem+json`): the error responses to clients.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER,
        WWW_AUTHENTICATE, //
    },
};
use serde_json::{
    Value,
    json, //
};

use super::{
    body::Body,
    header::REQUEST_ID, //
};
use crate::wire::{
    Reason,
    Refusal, //
};

/// Content type of problem details.
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Maximum random addition to a retry time, as a fraction of it, so that clients don't all retry at
/// the same moment.
const MAX_JITTER: f64 = 0.5;

/// Error of a request, as it is reported to the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short name of the kind of problem, used in the type URN, in logs and in metrics.
    pub code: &'static str,
    /// Description of this occurrence.
    pub detail: String,
    /// Whether the request was certainly not run. If false, it may have run.
    pub not_run: bool,
    /// Time after which the client may retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem for a request that was certainly not run.
    pub fn not_run(status: u16, code: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            code,
            detail: detail.into(),
            not_run: true,
            retry_after: None,
        }
    }

    /// Creates a problem for a request that may have run.
    pub fn outcome_unknown(status: u16, code: &'static str, detail: impl Into<String>) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(status, code, detail)
        }
    }

    /// Sets the time after which the client may retry.
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Returns the problem with the shorter retry time of itself and a previous problem of the same
    /// request.
    pub fn with_earliest_retry(self, previous: Option<&Self>) -> Self {
        let previous = previous.and_then(|previous| previous.retry_after);
        Self {
            retry_after: self.retry_after.into_iter().chain(previous).min(),
            ..self
        }
    }

    /// Creates the problem for an agent's refusal.
    pub fn from_refusal(refusal: &Refusal) -> Self {
        let detail = format!("refused by the agent: {}", refusal.reason);
        let problem = Self {
            not_run: refusal.not_run,
            ..Self::not_run(status(refusal.reason), refusal.reason.as_str(), detail)
        };
        match refusal.retry_after_ms {
            0 => problem,
            after => problem.retry_after(Duration::from_millis(after)),
        }
    }

    /// Returns the problem details as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::entry::problem::Problem;
    ///
    /// let problem = Problem::not_run(503, "busy", "the deadline can't be met");
    /// let data = problem.json("order-17");
    /// assert_eq!(data["type"], "urn:chestnuthub:problem:busy");
    /// assert_eq!(data["title"], "Service Unavailable");
    /// assert_eq!(data["not_run"], true);
    /// ```
    pub fn json(&self, request: &str) -> Value {
        let title = StatusCode::from_u16(self.status)
            .ok()
            .and_then(|status| status.canonical_reason());
        json!({
            "type": format!("urn:chestnuthub:problem:{}", self.code),
            "title": title.unwrap_or("Problem"),
            "status": self.status,
            "detail": self.detail,
            "request_id": request,
            "not_run": self.not_run,
        })
    }

    /// Returns the retry time in whole seconds, with jitter. `random` is a number from 0 to 1.
    pub fn retry_after_s(&self, random: f64) -> Option<u64> {
        let after = self.retry_after?;
        let delay = after.mul_f64(1.0 + MAX_JITTER * random.clamp(0.0, 1.0));
        Some(u64::max(1, delay.as_secs_f64().ceil() as u64))
    }

    /// Returns the response to the client.
    pub(super) fn response(&self, request: &str) -> Response<Body> {
        let mut response = Response::new(Body::full(self.json(request).to_string()));
        let status = StatusCode::from_u16(self.status);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, PROBLEM_JSON);
        if let Ok(id) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_ID, id);
        }
        if self.status == StatusCode::UNAUTHORIZED.as_u16() {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(seconds) = self.retry_after_s(fastrand::f64()) {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns the HTTP status for a refusal by an agent.
const fn status(reason: Reason) -> u16 {
    match reason {
        Reason::QueueFull => 429,
        Reason::Deadline => 504,
        Reason::BadKey => 400,
        Reason::KeyExpired => 410,
        Reason::KeyReused => 422,
        Reason::OutcomeUnknown => 409,
        Reason::Backend => 502,
        // `Unknown` is temporary: the agent has not yet read the catalogue up to where the entry
        // has, so the client may retry.
        Reason::Leaving
        | Reason::Busy
        | Reason::Loading
        | Reason::NoSlot
        | Reason::NoEpoch
        | Reason::LogDown
        | Reason::Unknown => 503,
    }
}

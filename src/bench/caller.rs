//! A caller of an entry's HTTP port.

use std::{
    io::{
        BufRead,
        BufReader,
        Read, //
    },
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::json;
use ureq::Agent;
use uuid::Uuid;

use super::Error;

/// Longest time for an answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// An answer to a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, or the events of a stream one a line.
    pub body: String,
    /// Events of a stream, with the time since the request.
    pub events: Vec<(Duration, String)>,
    /// Seconds after which to come back, if told.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// Returns whether a stream arrived whole.
    pub fn is_complete(&self) -> bool {
        self.status == 200
            && self
                .events
                .last()
                .is_some_and(|(_, event)| event == "[DONE]")
    }

    /// Returns the text of all pieces of a stream.
    pub fn text(&self) -> String {
        let deltas = self.events.iter().filter_map(|(_, event)| {
            let value: serde_json::Value = serde_json::from_str(event).ok()?;
            let content = &value["choices"][0]["delta"]["content"];
            content.as_str().map(str::to_owned)
        });
        deltas.collect()
    }

    /// Returns whether a refusal says that the request was not run.
    pub fn not_run(&self) -> bool {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["not_run"] == json!(true)
    }
}

/// A caller with its credential.
#[derive(Debug, Clone)]
pub struct Caller {
    base: String,
    token: String,
    /// Set for a caller that goes to an engine, past entry and agent.
    direct: bool,
    agent: Agent,
}

impl Caller {
    /// Makes a caller of the entry at `addr`.
    pub fn new(addr: SocketAddr, token: &str) -> Self {
        Self::with(format!("http://{addr}"), token, false)
    }

    /// Makes a caller that goes to an engine, past entry and agent.
    pub(super) fn direct(url: &str) -> Self {
        Self::with(url.to_owned(), "", true)
    }

    fn with(base: String, token: &str, direct: bool) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .build();
        Self {
            base,
            token: token.to_owned(),
            direct,
            agent: config.into(),
        }
    }

    /// Asks for a streamed completion of at most `max_tokens` tokens.
    ///
    /// # Errors
    ///
    /// Fails if there is no HTTP answer.
    pub fn chat(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let start = Instant::now();
        let response = self.send_chat(model, prompt, max_tokens, timeout)?;
        read(response, start)
    }

    /// Starts a streamed completion and closes the connection after its first bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no HTTP answer.
    pub fn chat_and_leave(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        timeout: Duration,
    ) -> Result<(), Error> {
        let response = self.send_chat(model, prompt, max_tokens, timeout)?;
        let mut first = [0; 1];
        let mut body = response.into_body().into_reader();
        body.read_exact(&mut first)
            .map_err(|error| Error::Call(error.to_string()))
    }

    /// Starts a streamed completion and reads its events while `wanted` returns true.
    pub(super) fn chat_while(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        mut wanted: impl FnMut() -> bool,
    ) -> Result<(), Error> {
        let response = self.send_chat(model, prompt, max_tokens, TIMEOUT)?;
        if response.status() != 200 {
            return Err(Error::Call(format!("status {}", response.status())));
        }
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = line.map_err(|error| Error::Call(error.to_string()))?;
            if line.starts_with("data: ") && !wanted() {
                return Ok(());
            }
        }
        Err(Error::Call("the stream ended early".to_owned()))
    }

    fn send_chat(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        timeout: Duration,
    ) -> Result<ureq::http::Response<ureq::Body>, Error> {
        let body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "stream": true,
            "max_tokens": max_tokens,
        });
        let request = self
            .agent
            .post(format!("{}/v1/chat/completions", self.base));
        let request = if self.direct {
            let id = Uuid::new_v4().to_string();
            request.header("X-Model", model).header("X-Request-Id", id)
        } else {
            request
                .header("Authorization", format!("Bearer {}", self.token))
                .header("Request-Timeout-Ms", timeout.as_millis().to_string())
        };
        Ok(request.send_json(body)?)
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Fails if there is no HTTP answer.
    pub fn call(
        &self,
        service: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Answer, Error> {
        let mut request = self
            .agent
            .post(format!("{}/services/{service}{path}", self.base))
            .header("Authorization", format!("Bearer {}", self.token))
            .header("Content-Type", "application/json");
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let start = Instant::now();
        read(request.send(body)?, start)
    }
}

fn read(response: ureq::http::Response<ureq::Body>, start: Instant) -> Result<Answer, Error> {
    let (parts, body) = response.into_parts();
    let retry_after = parts.headers.get("Retry-After");
    let mut answer = Answer {
        status: parts.status.as_u16(),
        body: String::new(),
        events: Vec::new(),
        retry_after: retry_after.and_then(|value| value.to_str().ok()?.parse().ok()),
    };
    for line in BufReader::new(body.into_reader()).lines() {
        let line = line.map_err(|error| Error::Call(error.to_string()))?;
        if let Some(event) = line.strip_prefix("data: ") {
            answer.events.push((start.elapsed(), event.to_owned()));
        }
        answer.body.push_str(&line);
        answer.body.push('\n');
    }
    Ok(answer)
}

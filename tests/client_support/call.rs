//! Calls of the clients of the external systems: read from test files, with results as JSON.

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        Read, //
    },
    time::Duration,
};

use bytes::Bytes;
use chestnuthub::{
    client::{
        Error,
        engine::{
            Completion,
            Engine,
            Order,
            Response, //
        },
        list::List,
        log::Log,
        service::{
            Call,
            Service, //
        },
        store::Store,
        stream::Stream, //
    },
    emulator, id,
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

/// A call of a client of an external system.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum ClientCall {
    Append(String, String),
    Read {
        stream: String,
        from: u64,
        #[serde(default)]
        wait_ms: u64,
    },
    Poll(Option<String>),
    Describe(String),
    Inventory,
    Load,
    Order {
        order: Order,
        #[serde(default = "default_timeout_ms")]
        timeout_ms: u64,
    },
    Complete(Chat),
    Cancel(String),
    Service {
        method: String,
        path: String,
        #[serde(default)]
        body: String,
        #[serde(default = "default_timeout_ms")]
        timeout_ms: u64,
    },
}

/// A completion request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Chat {
    pub(crate) request: String,
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    #[serde(default)]
    pub(crate) priority: u8,
    #[serde(default)]
    pub(crate) resume_from: u64,
    pub(crate) body: Value,
    #[serde(default = "default_timeout_ms")]
    pub(crate) timeout_ms: u64,
}

pub(crate) fn default_timeout_ms() -> u64 {
    60_000
}

impl ClientCall {
    /// Makes the call and returns a description of its result.
    pub(crate) fn run(&self, url: &str) -> Value {
        let result = match self {
            Self::Append(stream, body) => Log::new(url).append(stream, body).map(|n| json!(n)),
            Self::Read {
                stream,
                from,
                wait_ms,
            } => {
                let wait = Duration::from_millis(*wait_ms);
                Log::new(url).read(stream, *from, 100, wait).map(|page| {
                    let records = page.records.iter();
                    let records: Vec<_> = records.map(|r| json!([r.offset, r.body])).collect();
                    json!({ "first": page.first, "next": page.next, "records": records })
                })
            }
            Self::Poll(etag) => List::new(url).poll(etag.as_deref()).map(|listing| {
                listing.map_or(json!("unchanged"), |listing| {
                    let instances = listing.instances.iter();
                    let names: Vec<_> = instances.map(|i| i.name.as_str()).collect();
                    json!({ "etag": listing.etag, "names": names })
                })
            }),
            Self::Describe(model) => {
                let checkpoint = Store::new(url).describe(&id::Model::from(model.as_str()));
                checkpoint.map(|checkpoint| json!(checkpoint.bytes))
            }
            Self::Inventory => Engine::new(url).inventory().map(|i| json!(i)),
            Self::Load => Engine::new(url).load().map(|load| json!(load)),
            Self::Order { order, timeout_ms } => Engine::new(url)
                .order(order, Duration::from_millis(*timeout_ms))
                .map(|()| json!("done")),
            Self::Complete(chat) => chat.start(url).map(|response| chat.describe(response)),
            Self::Cancel(request) => Engine::new(url)
                .cancel(&id::Request::from(request.as_str()))
                .map(|()| json!("done")),
            Self::Service {
                method,
                path,
                body,
                timeout_ms,
            } => call_service(url, method, path, body, *timeout_ms),
        };
        result.unwrap_or_else(|error| describe_error(&error))
    }
}

fn call_service(
    url: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout_ms: u64,
) -> Result<Value, Error> {
    let response = Service::new(url).call(&Call {
        method,
        path,
        content_type: Some("application/json"),
        request: "request-1",
        body: body.as_bytes(),
        timeout: Duration::from_millis(timeout_ms),
    })?;
    let mut text = String::new();
    let complete = BufReader::new(response.body).read_line(&mut text).is_ok();
    Ok(json!({
        "status": response.status,
        "content_type": response.content_type,
        "body": text,
        "complete": complete,
    }))
}

fn describe_error(error: &Error) -> Value {
    let kind = match error {
        Error::Unreachable(_) => "unreachable".to_owned(),
        Error::NoResponse(_) => "no answer".to_owned(),
        Error::Malformed(_) => "malformed".to_owned(),
        Error::Status { status, .. } => format!("status {status}"),
    };
    json!({ "error": kind, "had_no_effect": error.had_no_effect() })
}

impl Chat {
    /// Sends the request and returns the response once its head has arrived.
    pub(crate) fn start(&self, url: &str) -> Result<Response, Error> {
        let adapter = self.adapter.as_deref().map(id::Adapter::from);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let engine = Engine::new(url);
        let stream = runtime.block_on(engine.complete(&Completion {
            request: &id::Request::from(self.request.as_str()),
            model: &id::Model::from(self.model.as_str()),
            adapter: adapter.as_ref(),
            priority: self.priority,
            resume_from: self.resume_from,
            body: self.body.to_string().into(),
            timeout: Duration::from_millis(self.timeout_ms),
        }))?;
        Ok(Response {
            status: stream.status,
            content_type: stream.content_type.clone(),
            is_end_marked: true,
            body: Box::new(Reader {
                runtime,
                stream,
                bytes: Bytes::new(),
            }),
        })
    }

    /// Returns a description of a response: its status, the indexes of its tokens and how its body
    /// ended.
    pub(crate) fn describe(&self, response: Response) -> Value {
        let status = response.status;
        let mut events = Events::new(response);
        let mut tokens = Vec::new();
        let end = loop {
            match events.next() {
                Ok(Some(event)) if event == "[DONE]" => break "done",
                Ok(Some(event)) => tokens.extend(self.token_indexes(&event)),
                Ok(None) => break "closed",
                Err(_) => break "broken",
            }
        };
        json!({ "status": status, "tokens": tokens, "end": end })
    }

    /// Returns the indexes of the tokens in an event or a whole body, -1 for a token that does not
    /// belong to this request.
    pub(crate) fn token_indexes(&self, event: &str) -> Vec<i64> {
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        let choice = &event["choices"][0];
        let content = choice["delta"]["content"].as_str();
        let content = content.or(choice["message"]["content"].as_str());
        let tokens = content.unwrap_or_default().split_inclusive(' ');
        let index = |text: &str| {
            let is_token =
                |index: &i64| emulator::token(&self.body["messages"], *index as u64) == text;
            (0..100).find(is_token).unwrap_or(-1)
        };
        tokens.map(index).collect()
    }
}

/// Blocking reader of a completion's body, for use outside a tokio runtime.
struct Reader {
    runtime: Runtime,
    stream: Stream,
    bytes: Bytes,
}

impl Read for Reader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.bytes.is_empty() {
            let next = self.runtime.block_on(self.stream.next());
            self.bytes = next.map_err(io::Error::other)?.unwrap_or_default();
        }
        let length = self.bytes.len().min(buffer.len());
        buffer[..length].copy_from_slice(&self.bytes.split_to(length));
        Ok(length)
    }
}

/// Reader of the events of a stream. A body that is not a stream is read as one event.
pub(crate) struct Events(BufReader<Box<dyn Read + Send>>);

impl Events {
    pub(crate) fn new(response: Response) -> Self {
        Self(BufReader::new(response.body))
    }

    /// Waits for the next event. Returns `None` at the end of the body.
    pub(crate) fn next(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        while line.trim().is_empty() {
            line.clear();
            if self.0.read_line(&mut line)? == 0 {
                return Ok(None);
            }
        }
        let line = line.trim();
        Ok(Some(line.strip_prefix("data: ").unwrap_or(line).to_owned()))
    }
}

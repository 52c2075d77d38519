//! Client of a model engine.

use std::{
    io::{
        self,
        Read, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Uri, //
};
use serde::{
    Deserialize,
    Serialize,
    de::IgnoredAny, //
};
use ureq::{
    Agent,
    Body,
    http::Response as HttpResponse, //
};
use uuid::Uuid;

use super::{
    Error,
    http,
    stream::Stream, //
};
use crate::id;

/// Timeout for an inventory, a load report or a cancellation.
const TIMEOUT: Duration = Duration::from_secs(2);

/// State of a model version in an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Weights are being fetched; the memory is already in use.
    Loading,
    /// Ready to serve.
    Loaded,
    /// Being removed; the memory is still in use.
    Unloading,
}

/// A model version in an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Model version.
    pub model: id::Model,
    /// State.
    pub state: State,
    /// Accelerator memory that the model version uses in MiB, without its adapters.
    pub memory_mb: u64,
    /// Loaded adapters, each with its memory in MiB.
    #[serde(default)]
    pub adapters: Vec<(id::Adapter, u64)>,
}

/// Contents of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Highest fencing token received, 0 if the engine doesn't check fencing tokens.
    pub fence: u64,
    /// Total accelerator memory in MiB.
    pub memory_mb: u64,
    /// Model versions in the engine's memory.
    pub models: Vec<Resident>,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Loads a model version; the reply comes when it is loaded.
    Load,
    /// Unloads a model version; the reply comes when its memory is free.
    Unload,
    /// Loads an adapter; the reply comes when it is loaded.
    LoadAdapter,
    /// Unloads an adapter.
    UnloadAdapter,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique id; the engine executes each id only once.
    pub id: Uuid,
    /// Fencing token.
    pub fence: u64,
    /// Kind.
    pub kind: Kind,
    /// Model version.
    pub model: id::Model,
    /// Adapter, for orders about adapters.
    #[serde(default)]
    pub adapter: Option<id::Adapter>,
    /// Accelerator memory that the model version or adapter needs, in MiB.
    pub memory_mb: u64,
}

/// Load report of an engine. It lags behind the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that the engine is running.
    pub running: u32,
    /// Number of requests that wait in the engine's queue.
    pub waiting: u32,
}

/// A completion request: the client's body with the headers that this system adds.
#[derive(Debug)]
pub struct Completion<'a> {
    /// Request id, by which the stream can be cancelled or resumed.
    pub request: &'a id::Request,
    /// Model version.
    pub model: &'a id::Model,
    /// Adapter, if any.
    pub adapter: Option<&'a id::Adapter>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Number of pieces to skip when a stream is resumed.
    pub resume_from: u64,
    /// The client's JSON body.
    pub body: Bytes,
    /// Timeout for the whole response, including the time to connect.
    pub timeout: Duration,
}

/// A response whose body is read as it arrives.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body; a read returns as soon as some bytes have arrived.
    pub body: Box<dyn Read + Send>,
    /// Whether a length or a last chunk marks the end of the body.
    pub is_end_marked: bool,
}

impl Response {
    /// Reads the body. Returns `None` if it is longer than `max_bytes`, or if its end is not marked
    /// and nothing else shows that it is whole: it may then have been cut short.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off before its marked end.
    pub fn read_whole(self, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let mut body = Vec::new();
        let limit = max_bytes as u64 + 1;
        self.body.take(limit).read_to_end(&mut body)?;
        let is_whole = self.is_end_marked || is_json(&body);
        Ok((is_whole && body.len() <= max_bytes).then_some(body))
    }
}

/// Returns whether a body is a JSON object or array, which no body that was cut short is.
fn is_json(body: &[u8]) -> bool {
    let is_compound = matches!(body.trim_ascii_start().first(), Some(b'{' | b'['));
    is_compound && serde_json::from_slice::<IgnoredAny>(body).is_ok()
}

impl From<HttpResponse<Body>> for Response {
    fn from(response: HttpResponse<Body>) -> Self {
        let (parts, body) = response.into_parts();
        let content_type = parts.headers.get("content-type");
        let is_marked = |name| parts.headers.contains_key(name);
        Self {
            is_end_marked: is_marked("content-length") || is_marked("transfer-encoding"),
            status: parts.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: Box::new(body.into_reader()),
        }
    }
}

/// Client of a model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    base: String,
    agent: Agent,
}

impl Engine {
    /// Creates a client for the engine at the base URL.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: http::client(TIMEOUT),
        }
    }

    /// Returns the engine's contents.
    ///
    /// # Errors
    ///
    /// On any error the inventory is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::{Error, engine::Engine};
    ///
    /// // Nothing listens at this address.
    /// let engine = Engine::new("http://127.0.0.1:1");
    /// let result = engine.inventory();
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn inventory(&self) -> Result<Inventory, Error> {
        http::get(&self.agent, &format!("{}/v1/inventory", self.base))
    }

    /// Sends an order and waits up to `timeout` until the engine has executed it.
    ///
    /// # Errors
    ///
    /// `Status` with 409 means that the fencing token is outdated, with 507 that there is not
    /// enough memory. After `NoResponse` the order may have been executed or still be in progress.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{id, client::{Error, engine::{Engine, Kind, Order}}};
    /// use std::time::Duration;
    /// use uuid::Uuid;
    ///
    /// // Nothing listens at this address.
    /// let engine = Engine::new("http://127.0.0.1:1");
    /// let order = Order {
    ///     id: Uuid::new_v4(),
    ///     fence: 7,
    ///     kind: Kind::Load,
    ///     model: id::Model::from("gears@3"),
    ///     adapter: None,
    ///     memory_mb: 24_000,
    /// };
    /// let result = engine.order(&order, Duration::from_secs(60));
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn order(&self, order: &Order, timeout: Duration) -> Result<(), Error> {
        let agent = http::unpooled_client(timeout);
        let url = format!("{}/v1/orders", self.base);
        let _: serde_json::Value = http::post(&agent, &url, order)?;
        Ok(())
    }

    /// Starts a completion and returns the response once its head has arrived; the body is read as
    /// it arrives. Must be awaited in the context of a tokio runtime.
    ///
    /// # Errors
    ///
    /// After `NoResponse` the engine may have started the completion.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::Bytes;
    /// use chestnuthub::{id, client::{Error, engine::{Completion, Engine}}};
    /// use std::time::Duration;
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // Nothing listens at this address.
    /// let engine = Engine::new("http://127.0.0.1:1");
    /// let (request, model) = (id::Request::from("r1"), id::Model::from("gears@3"));
    /// let completion = Completion {
    ///     request: &request,
    ///     model: &model,
    ///     adapter: None,
    ///     priority: 0,
    ///     resume_from: 0,
    ///     body: Bytes::from_static(br#"{"messages":[],"stream":true}"#),
    ///     timeout: Duration::from_secs(30),
    /// };
    /// let result = engine.complete(&completion).await;
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// # }
    /// ```
    pub async fn complete(&self, completion: &Completion<'_>) -> Result<Stream, Error> {
        let url = format!("{}/v1/chat/completions", self.base);
        let url: Uri = url.parse().map_err(not_sent)?;
        let mut request = Request::post(url.path())
            .header("Content-Type", "application/json")
            .header("X-Request-Id", completion.request.as_str())
            .header("X-Model", completion.model.as_str())
            .header("X-Priority", u16::from(completion.priority))
            .header("X-Resume-From", completion.resume_from);
        if let Some(adapter) = completion.adapter {
            request = request.header("X-Adapter", adapter.as_str());
        }
        let body = Full::new(completion.body.clone());
        let request = request.body(body).map_err(not_sent)?;
        Stream::open(&url, request, completion.timeout).await
    }

    /// Cancels a completion.
    ///
    /// # Errors
    ///
    /// On any error the completion may still be running.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{id, client::{Error, engine::Engine}};
    ///
    /// // Nothing listens at this address.
    /// let engine = Engine::new("http://127.0.0.1:1");
    /// let result = engine.cancel(&id::Request::from("r1"));
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn cancel(&self, request: &id::Request) -> Result<(), Error> {
        let url = format!("{}/v1/cancel", self.base);
        let body = serde_json::json!({ "id": request });
        let _: serde_json::Value = http::post(&self.agent, &url, &body)?;
        Ok(())
    }

    /// Returns the engine's load report.
    ///
    /// # Errors
    ///
    /// On any error the load is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::{Error, engine::Engine};
    ///
    /// // Nothing listens at this address.
    /// let engine = Engine::new("http://127.0.0.1:1");
    /// let result = engine.load();
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn load(&self) -> Result<Load, Error> {
        http::get(&self.agent, &format!("{}/v1/load", self.base))
    }
}

fn not_sent(error: impl ToString) -> Error {
    Error::Unreachable(error.to_string())
}

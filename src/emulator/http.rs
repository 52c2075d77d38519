//! HTTP server that all emulators share.
//!
//! It uses hyper because an emulator must be able to close a connection without a response, and
//! must serve many connections that are opened at the same time and stay open.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response as HyperResponse,
    body::{
        Body,
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::json;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        mpsc,
        watch, //
    },
    time::sleep, //
};

use super::fault::{
    Fault,
    Faults,
    Injection, //
};

/// Paths of the interface for tests, whose calls faults never affect.
const CONTROL_PATHS: [&str; 3] = ["/faults", "/record", "/release"];

/// A call to an emulator.
#[derive(Debug, Clone)]
pub(super) struct Call {
    /// Method.
    pub(super) method: Method,
    /// Path without the query.
    pub(super) path: String,
    /// Parameters of the query.
    pub(super) query: BTreeMap<String, String>,
    /// Headers.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: Bytes,
    /// Faults to inject into the call.
    pub(super) injection: Injection,
    /// Changes when the faults are cleared.
    pub(super) cleared: watch::Receiver<u64>,
    /// Closed when the caller closes the connection.
    caller: watch::Receiver<()>,
}

impl Call {
    /// Creates a call that no fault affects and whose caller stays connected. `target` is the path,
    /// possibly with a query.
    pub(super) fn new(method: Method, target: &str, headers: HeaderMap, body: Bytes) -> Self {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Self {
            method,
            path: path.to_owned(),
            query: parse_query(query),
            headers,
            body,
            injection: Injection::default(),
            cleared: watch::channel(0).1,
            caller: watch::channel(()).1,
        }
    }

    /// Adds the faults that affect the call.
    pub(super) fn with_faults(self, faults: &Faults) -> Self {
        // Subscribed before the faults are read, so that clearing them in between is not missed.
        let cleared = faults.subscribe_clear();
        Self {
            injection: faults.inject(self.method.as_str(), &self.path),
            cleared,
            ..self
        }
    }

    /// Returns the segments of the path.
    pub(super) fn segments(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }

    /// Returns the text of a header.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a numeric parameter of the query.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Waits until the caller has closed the connection. This notices only callers that leave
    /// before the response has begun.
    pub(super) async fn caller_gone(&self) {
        while self.caller.clone().changed().await.is_ok() {}
    }

    /// Waits until the faults are cleared.
    pub(super) async fn faults_cleared(&self) {
        // The sender lives as long as the server.
        let _ = self.cleared.clone().changed().await;
    }
}

/// A response of an emulator.
#[derive(Debug)]
pub(super) struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    content: Content,
}

/// A chunk of a streamed body; an error closes the connection.
pub(super) type Chunk = io::Result<Bytes>;

/// Body of a response.
#[derive(Debug)]
pub(super) enum Content {
    /// The whole body.
    Buffered(Bytes),
    /// The chunks of the body as they are produced.
    Streamed(mpsc::Receiver<Chunk>),
}

impl Response {
    /// Returns a response with a JSON body.
    pub(super) fn json<T: Serialize>(status: u16, body: &T) -> Self {
        let text = serde_json::to_vec(body).unwrap_or_default();
        Self::buffered(status, "application/json", Bytes::from(text))
    }

    /// Returns a response whose JSON body states an error.
    pub(super) fn error(status: u16, detail: &str) -> Self {
        Self::json(status, &json!({ "error": detail }))
    }

    /// Returns a response with a body of any content type.
    pub(super) fn buffered(status: u16, content_type: &str, body: Bytes) -> Self {
        Self {
            status,
            headers: vec![("content-type", content_type.to_owned())],
            content: Content::Buffered(body),
        }
    }

    /// Returns a response with a streamed body of server-sent events.
    pub(super) fn events(chunks: mpsc::Receiver<Chunk>) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", "text/event-stream".to_owned())],
            content: Content::Streamed(chunks),
        }
    }

    /// Returns the status, the headers and the body.
    pub(super) fn into_parts(self) -> (u16, Vec<(&'static str, String)>, Content) {
        (self.status, self.headers, self.content)
    }

    /// Adds a header.
    pub(super) fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// A streamed body.
struct ChunkStream {
    receiver: mpsc::Receiver<Chunk>,
    failure: Option<io::Error>,
}

impl Body for ChunkStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        match ready!(self.receiver.poll_recv(context)) {
            Some(Ok(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            Some(Err(failure)) => {
                // hyper flushes the chunks before the failure only when the body is pending.
                self.failure = Some(failure);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            None => Poll::Ready(None),
        }
    }
}

type HttpResponse = HyperResponse<UnsyncBoxBody<Bytes, io::Error>>;

impl From<Response> for HttpResponse {
    fn from(response: Response) -> Self {
        let body = match response.content {
            Content::Buffered(bytes) => Full::new(bytes).map_err(from_infallible).boxed_unsync(),
            Content::Streamed(receiver) => ChunkStream {
                receiver,
                failure: None,
            }
            .boxed_unsync(),
        };
        let mut builder = HyperResponse::builder().status(response.status);
        for (name, value) in response.headers {
            builder = builder.header(name, value);
        }
        builder.body(body).unwrap_or_default()
    }
}

/// Converts an error that can't occur.
fn from_infallible(never: Infallible) -> io::Error {
    match never {}
}

/// Serves calls with the handler until the process ends.
///
/// A call is executed even if its caller closes the connection before the response.
pub(super) fn serve<H, F>(listen: SocketAddr, faults: Arc<Faults>, handler: H) -> io::Result<()>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(listen).await?;
        println!("listening addr={}", listener.local_addr()?);
        accept(listener, faults, handler).await
    })
}

/// Serves the connections of a listener with the handler.
pub(super) async fn accept<H, F>(
    listener: TcpListener,
    faults: Arc<Faults>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(serve_connection(stream, faults.clone(), handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, faults: Arc<Faults>, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // With Nagle's algorithm, a small chunk would wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(request, faults.clone(), handler.clone()));
    // An error means that the caller closed the connection or that a fault dropped the response.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond<H, F>(
    request: Request<Incoming>,
    faults: Arc<Faults>,
    handler: H,
) -> io::Result<HttpResponse>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = head.uri.path().to_owned();
    if path == "/faults" {
        return Ok(handle_control(&faults, &head.method, &body).into());
    }
    // Subscribed before the faults are read, so that clearing them in between is not missed.
    let cleared = faults.subscribe_clear();
    let injection = if CONTROL_PATHS.contains(&path.as_str()) {
        Injection::default()
    } else {
        faults.inject(head.method.as_str(), &path)
    };
    // hyper drops this future, and `_alive` with it, when the caller closes the connection.
    let (_alive, caller) = watch::channel(());
    let call = Call {
        method: head.method,
        path,
        query: parse_query(head.uri.query().unwrap_or_default()),
        headers: head.headers,
        body,
        injection,
        cleared,
        caller,
    };
    let response = tokio::spawn(execute(call, handler)).await;
    match response.map_err(io::Error::other)? {
        Some(response) => Ok(response.into()),
        None => Err(io::Error::other("response dropped by a fault")),
    }
}

/// Executes a call with its faults; `None` means to close the connection without a response.
pub(super) async fn execute<H, F>(call: Call, handler: H) -> Option<Response>
where
    H: Fn(Call) -> F,
    F: Future<Output = Response>,
{
    let injection = call.injection.clone();
    if let Some(status) = injection.refuse {
        return Some(Response::error(status, "refused by a fault"));
    }
    sleep(injection.delay).await;
    if injection.hold {
        call.faults_cleared().await;
    }
    if injection.drop_before {
        return None;
    }
    let response = handler(call.clone()).await;
    if injection.duplicate {
        handler(call.clone()).await;
    }
    sleep(injection.delay_answer).await;
    if injection.hold_answer {
        call.faults_cleared().await;
    }
    (!injection.drop_after).then_some(response)
}

/// Handles a call of `/faults`.
fn handle_control(faults: &Faults, method: &Method, body: &[u8]) -> Response {
    match method.as_str() {
        "GET" => {}
        "DELETE" => faults.clear(),
        "POST" => match serde_json::from_slice::<Fault>(body) {
            Ok(fault) => faults.add(fault),
            Err(error) => return Response::error(400, &error.to_string()),
        },
        _ => return Response::error(405, "the methods of /faults are GET, POST and DELETE"),
    }
    Response::json(200, &faults.list())
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

//! HTTP server that all emulators share.
//!
//! hyper serves all emulators, since an emulator has to close a connection without an answer and
//! has to answer each of many connections that open at once and stay open.

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
    Response,
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
    Plan, //
};

/// Paths for tests, which meet no faults.
const CONTROL_PATHS: [&str; 3] = ["/faults", "/record", "/release"];

/// A call of an emulator.
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
    /// Faults that the call meets.
    pub(super) plan: Plan,
    /// When the faults are cleared.
    pub(super) cleared: watch::Receiver<u64>,
    caller: watch::Receiver<()>,
}

impl Call {
    /// Returns the segments of the path.
    pub(super) fn segments(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }

    /// Returns a header's text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a numeric parameter of the query.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Waits until the caller has closed the connection; for calls without an answer so far.
    pub(super) async fn caller_gone(&self) {
        while self.caller.clone().changed().await.is_ok() {}
    }

    /// Waits until the faults are cleared.
    pub(super) async fn faults_cleared(&self) {
        // The sender lives as long as the server.
        let _ = self.cleared.clone().changed().await;
    }
}

/// An answer of an emulator.
#[derive(Debug)]
pub(super) struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    content: Content,
}

/// A part of a streamed body; an error breaks the connection.
pub(super) type Part = io::Result<Bytes>;

#[derive(Debug)]
enum Content {
    Whole(Bytes),
    Streamed(mpsc::Receiver<Part>),
}

impl Answer {
    /// Makes an answer with a JSON body.
    pub(super) fn json<T: Serialize>(status: u16, body: &T) -> Self {
        let text = serde_json::to_vec(body).unwrap_or_default();
        Self::whole(status, "application/json", Bytes::from(text))
    }

    /// Makes an answer that says what is wrong.
    pub(super) fn error(status: u16, detail: &str) -> Self {
        Self::json(status, &json!({ "error": detail }))
    }

    /// Makes an answer with a body of any type.
    pub(super) fn whole(status: u16, content_type: &str, body: Bytes) -> Self {
        Self {
            status,
            headers: vec![("content-type", content_type.to_owned())],
            content: Content::Whole(body),
        }
    }

    /// Makes an answer with a streamed body of server-sent events.
    pub(super) fn events(parts: mpsc::Receiver<Part>) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", "text/event-stream".to_owned())],
            content: Content::Streamed(parts),
        }
    }

    /// Adds a header.
    pub(super) fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// A streamed body.
struct Parts {
    receiver: mpsc::Receiver<Part>,
    failure: Option<io::Error>,
}

impl Body for Parts {
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
            Some(Ok(part)) => Poll::Ready(Some(Ok(Frame::data(part)))),
            Some(Err(failure)) => {
                // hyper flushes the parts before the failure only when the body is pending.
                self.failure = Some(failure);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            None => Poll::Ready(None),
        }
    }
}

type Sent = Response<UnsyncBoxBody<Bytes, io::Error>>;

impl From<Answer> for Sent {
    fn from(answer: Answer) -> Self {
        let body = match answer.content {
            Content::Whole(bytes) => Full::new(bytes).map_err(from_infallible).boxed_unsync(),
            Content::Streamed(receiver) => Parts {
                receiver,
                failure: None,
            }
            .boxed_unsync(),
        };
        let mut builder = Response::builder().status(answer.status);
        for (name, value) in answer.headers {
            builder = builder.header(name, value);
        }
        builder.body(body).unwrap_or_default()
    }
}

fn from_infallible(never: Infallible) -> io::Error {
    match never {}
}

/// Serves calls with the handler until the process ends.
///
/// A call is carried out even if its caller goes away before its answer.
pub(super) fn serve<H, F>(listen: SocketAddr, faults: Arc<Faults>, handler: H) -> io::Result<()>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
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
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(serve_connection(stream, faults.clone(), handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, faults: Arc<Faults>, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    // Without it a small part of a stream waits for the acknowledgement of the part before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(request, faults.clone(), handler.clone()));
    // An error here is a caller that went away or an answer that a fault dropped.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond<H, F>(
    request: Request<Incoming>,
    faults: Arc<Faults>,
    handler: H,
) -> io::Result<Sent>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = parts.uri.path().to_owned();
    if path == "/faults" {
        return Ok(control(&faults, &parts.method, &body).into());
    }
    // Taken before the plan, so that no clearing falls in between.
    let cleared = faults.watch();
    let plan = if CONTROL_PATHS.contains(&path.as_str()) {
        Plan::default()
    } else {
        faults.meet(parts.method.as_str(), &path)
    };
    // Dropped together with this future when the caller closes the connection.
    let (_alive, caller) = watch::channel(());
    let call = Call {
        method: parts.method,
        path,
        query: parse_query(parts.uri.query().unwrap_or_default()),
        headers: parts.headers,
        body,
        plan,
        cleared,
        caller,
    };
    let answer = tokio::spawn(carry_out(call, handler)).await;
    match answer.map_err(io::Error::other)? {
        Some(answer) => Ok(answer.into()),
        None => Err(io::Error::other("a fault drops the answer")),
    }
}

/// Carries out a call with its faults; without an answer the connection is closed.
async fn carry_out<H, F>(call: Call, handler: H) -> Option<Answer>
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    let plan = call.plan.clone();
    if let Some(status) = plan.refuse {
        return Some(Answer::error(status, "refused by a fault"));
    }
    sleep(plan.delay).await;
    if plan.hold {
        call.faults_cleared().await;
    }
    if plan.drop_before {
        return None;
    }
    let answer = handler(call.clone()).await;
    if plan.duplicate {
        handler(call.clone()).await;
    }
    sleep(plan.delay_answer).await;
    if plan.hold_answer {
        call.faults_cleared().await;
    }
    (!plan.drop_after).then_some(answer)
}

fn control(faults: &Faults, method: &Method, body: &[u8]) -> Answer {
    match method.as_str() {
        "GET" => {}
        "DELETE" => faults.clear(),
        "POST" => match serde_json::from_slice::<Fault>(body) {
            Ok(fault) => faults.add(fault),
            Err(error) => return Answer::error(400, &error.to_string()),
        },
        _ => return Answer::error(405, "faults are read, added and cleared"),
    }
    Answer::json(200, &faults.list())
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

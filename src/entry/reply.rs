//! The caller's end of a request: where the answer goes as it arrives.

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

use super::{
    body::{
        Body,
        Part, //
    },
    header::REQUEST_ID,
    problem::Problem,
    sse::Splitter, //
};

/// Parts of a body that wait for a slow caller.
const WAITING_PARTS: usize = 16;

/// Content type of server-sent events.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// The caller is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Gone;

/// The caller's end of a request.
#[derive(Debug)]
pub(super) struct Reply {
    request: String,
    head: Option<oneshot::Sender<Response<Body>>>,
    parts: Option<mpsc::Sender<Part>>,
    events: Option<Splitter>,
    pieces: u64,
}

impl Reply {
    /// Makes the caller's end of the request with this id, and where its answer comes out.
    pub(super) fn new(request: &str) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (head, answer) = oneshot::channel();
        let reply = Self {
            request: request.to_owned(),
            head: Some(head),
            parts: None,
            events: None,
            pieces: 0,
        };
        (reply, answer)
    }

    /// Returns whether the head of the answer was sent.
    pub(super) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Returns the number of pieces of the body that were sent.
    pub(super) fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Returns the number of whole events that were sent, if the answer is an event stream.
    pub(super) fn events(&self) -> Option<u64> {
        self.events.as_ref().map(Splitter::events)
    }

    /// Returns whether the event that ends a complete stream was sent.
    pub(super) fn is_done(&self) -> bool {
        self.events.as_ref().is_some_and(Splitter::is_done)
    }

    /// Waits until the caller is gone.
    pub(super) async fn gone(&mut self) {
        match (&mut self.head, &self.parts) {
            (Some(head), _) => head.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => (),
        }
    }

    /// Sends the head of the answer, or prepares a stream that continues it.
    pub(super) fn begin(&mut self, status: u16, content_type: &str) -> Result<(), Gone> {
        let Some(head) = self.head.take() else {
            if let Some(events) = &mut self.events {
                events.restart();
            }
            return Ok(());
        };
        let (sender, receiver) = mpsc::channel(WAITING_PARTS);
        let mut response = Response::new(Body::stream(receiver));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.request) {
            headers.insert(REQUEST_ID, value);
        }
        self.events = content_type
            .starts_with(EVENT_STREAM)
            .then(Splitter::default);
        self.parts = Some(sender);
        head.send(response).map_err(|_| Gone)
    }

    /// Sends a piece of the body; of an event stream whole events only.
    pub(super) async fn piece(&mut self, bytes: Bytes) -> Result<(), Gone> {
        let bytes = match &mut self.events {
            Some(events) => events.push(&bytes),
            None => bytes,
        };
        if bytes.is_empty() {
            return Ok(());
        }
        self.pieces += 1;
        self.part(Part::Piece(bytes)).await
    }

    /// Ends a complete answer.
    pub(super) async fn complete(mut self) -> Result<(), Gone> {
        let rest = self.events.as_mut().map(Splitter::rest);
        if let Some(rest) = rest.filter(|rest| !rest.is_empty()) {
            self.part(Part::Piece(rest)).await?;
        }
        self.part(Part::End).await
    }

    /// Answers with a problem: as a whole answer, as the last event, or by cutting the body off.
    pub(super) async fn fail(mut self, problem: &Problem) {
        if let Some(head) = self.head.take() {
            // Fails only if the caller is gone.
            let _ = head.send(problem.response(&self.request));
            return;
        }
        if self.events.is_some() {
            let data = problem.json(&self.request);
            let event = Bytes::from(format!("event: error\ndata: {data}\n\n"));
            if self.part(Part::Piece(event)).await.is_ok() {
                let _ = self.part(Part::End).await;
            }
        }
    }

    async fn part(&self, part: Part) -> Result<(), Gone> {
        let parts = self.parts.as_ref().ok_or(Gone)?;
        parts.send(part).await.map_err(|_| Gone)
    }
}

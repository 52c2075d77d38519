//! Sends the response to the client while it arrives from the agent.

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

/// Maximum number of parts of a body that are buffered for a slow client.
const MAX_BUFFERED_PARTS: usize = 16;

/// Content type of server-sent events.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// The client has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Disconnected;

/// Sender of the response to one request.
#[derive(Debug)]
pub(super) struct Responder {
    request: String,
    head: Option<oneshot::Sender<Response<Body>>>,
    parts: Option<mpsc::Sender<Part>>,
    splitter: Option<Splitter>,
    /// Whether part of an event has been sent, after which the stream can't be resumed.
    has_split: bool,
    pieces: u64,
}

impl Responder {
    /// Creates the responder of the request with this id, and the receiver of its response.
    pub(super) fn new(request: &str) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (head, response) = oneshot::channel();
        let responder = Self {
            request: request.to_owned(),
            head: Some(head),
            parts: None,
            splitter: None,
            has_split: false,
            pieces: 0,
        };
        (responder, response)
    }

    /// Returns whether the head of the response has been sent.
    pub(super) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Returns the number of pieces of the body that have been sent.
    pub(super) fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Returns the number of whole events that have been sent, if the response is an event stream of
    /// which only whole events have been sent.
    pub(super) fn events(&self) -> Option<u64> {
        let splitter = self.splitter.as_ref().filter(|_| !self.has_split);
        splitter.map(Splitter::events)
    }

    /// Returns whether the event that ends a complete event stream has been sent.
    pub(super) fn is_done(&self) -> bool {
        self.splitter.as_ref().is_some_and(Splitter::is_done)
    }

    /// Waits until the client disconnects.
    pub(super) async fn disconnected(&mut self) {
        match (&mut self.head, &self.parts) {
            (Some(head), _) => head.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => (),
        }
    }

    /// Sends the head of the response. If it has been sent already, prepares for the resumed stream
    /// instead, which begins with a whole event.
    pub(super) fn begin(&mut self, status: u16, content_type: &str) -> Result<(), Disconnected> {
        let Some(head) = self.head.take() else {
            if let Some(splitter) = &mut self.splitter {
                splitter.restart();
            }
            return Ok(());
        };
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        let mut response = Response::new(Body::stream(receiver));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.request) {
            headers.insert(REQUEST_ID, value);
        }
        self.splitter = content_type
            .starts_with(EVENT_STREAM)
            .then(Splitter::default);
        self.parts = Some(sender);
        head.send(response).map_err(|_| Disconnected)
    }

    /// Sends a piece of the body. In an event stream only whole events are sent, and the rest is
    /// buffered.
    pub(super) async fn send_piece(&mut self, bytes: Bytes) -> Result<(), Disconnected> {
        let bytes = match &mut self.splitter {
            Some(splitter) => {
                let events = splitter.push(&bytes);
                let part = overlong_part(splitter);
                self.has_split |= !part.is_empty();
                Bytes::from([events, part].concat())
            }
            None => bytes,
        };
        if bytes.is_empty() {
            return Ok(());
        }
        self.pieces += 1;
        self.send_part(Part::Piece(bytes)).await
    }

    /// Ends a complete response.
    pub(super) async fn complete(mut self) -> Result<(), Disconnected> {
        let rest = self.splitter.as_mut().map(Splitter::rest);
        if let Some(rest) = rest.filter(|rest| !rest.is_empty()) {
            self.send_part(Part::Piece(rest)).await?;
        }
        self.send_part(Part::End).await
    }

    /// Reports a problem: as the response if nothing has been sent, as the last event of an event
    /// stream, and otherwise by truncating the body.
    pub(super) async fn fail(mut self, problem: &Problem) {
        if let Some(head) = self.head.take() {
            // Fails only if the client has disconnected.
            let _ = head.send(problem.response(&self.request));
            return;
        }
        if self.splitter.is_some() {
            let data = problem.json(&self.request);
            let event = Bytes::from(format!("event: error\ndata: {data}\n\n"));
            if self.send_part(Part::Piece(event)).await.is_ok() {
                let _ = self.send_part(Part::End).await;
            }
        }
    }

    async fn send_part(&self, part: Part) -> Result<(), Disconnected> {
        let parts = self.parts.as_ref().ok_or(Disconnected)?;
        parts.send(part).await.map_err(|_| Disconnected)
    }
}

/// Takes the bytes of an event that is too long to be buffered.
fn overlong_part(splitter: &mut Splitter) -> Bytes {
    if splitter.is_overlong() {
        splitter.rest()
    } else {
        Bytes::new()
    }
}

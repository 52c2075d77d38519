//! Reads the parts of a completion from the engine.

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::{
    client::{
        Error,
        engine::{
            Completion,
            Engine, //
        },
        stream::Stream,
    },
    timer::Time,
    wire::{
        Chat,
        Request, //
    },
};

/// Size in bytes from which an incomplete event is passed on.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// End of an event in a stream of server-sent events (SSE).
const EVENT_END: &[u8] = b"\n\n";

/// The last event of a complete stream.
const DONE: &[u8] = b"data: [DONE]";

/// A part of an engine's response.
#[derive(Debug)]
pub(super) enum Part {
    /// Start of the response.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
    },
    /// Piece of the body; in an event stream, one event.
    Piece(Bytes),
    /// The body is complete.
    End,
    /// The engine did not run the request.
    NotRun(String),
    /// The response is missing or incomplete; the engine may have run the request.
    Broken(String),
}

/// Reads the parts of the response to a completion as they arrive. Dropping it before the end
/// closes the connection to the engine.
pub(super) struct Reader<'a> {
    engine: &'a Engine,
    completion: Completion<'a>,
    stream: Option<Stream>,
    is_event_stream: bool,
    pending: BytesMut,
    is_done: bool,
}

impl<'a> Reader<'a> {
    /// Prepares a completion, which is sent on the first call of [`Reader::recv`].
    pub(super) fn new(
        engine: &'a Engine,
        request: &'a Request,
        chat: &'a Chat,
        body: Bytes,
        deadline: Time,
    ) -> Self {
        let completion = Completion {
            request: &request.id,
            model: &chat.model,
            adapter: chat.adapter.as_ref(),
            priority: request.priority,
            resume_from: chat.resume_from,
            body,
            timeout: deadline.remaining(Time::now()),
        };
        Self {
            engine,
            completion,
            stream: None,
            is_event_stream: false,
            pending: BytesMut::new(),
            is_done: false,
        }
    }

    /// Waits for the next part: first the head, then the pieces, then the end.
    pub(super) async fn recv(&mut self) -> Part {
        let Some(stream) = &mut self.stream else {
            return self.open().await;
        };
        loop {
            if let Some(event) = take_event(&mut self.pending) {
                self.is_done = event.starts_with(DONE);
                return Part::Piece(event);
            }
            match stream.next().await {
                Ok(Some(bytes)) if self.is_event_stream => self.pending.extend_from_slice(&bytes),
                Ok(Some(bytes)) => return Part::Piece(bytes),
                Ok(None) if self.is_event_stream && !(self.is_done && self.pending.is_empty()) => {
                    return Part::Broken("the stream ended without its last event".to_owned());
                }
                Ok(None) => return Part::End,
                Err(error) => return Part::Broken(error.to_string()),
            }
        }
    }

    async fn open(&mut self) -> Part {
        let stream = match self.engine.complete(&self.completion).await {
            Ok(stream) => stream,
            Err(error @ Error::Unreachable(_)) => return Part::NotRun(error.to_string()),
            Err(error) => return Part::Broken(error.to_string()),
        };
        let status = stream.status;
        // An engine responds with these if it did not accept the request.
        if matches!(status, 404 | 409 | 429 | 503) {
            return Part::NotRun(format!("status {status}"));
        }
        if status >= 500 {
            return Part::Broken(format!("status {status}"));
        }
        let content_type = stream.content_type.clone();
        self.is_event_stream = content_type.starts_with("text/event-stream");
        self.stream = Some(stream);
        Part::Head {
            status,
            content_type,
        }
    }
}

/// Takes one event from the buffer. One event makes one piece, so that pieces are counted the same
/// way when a stream is resumed.
fn take_event(pending: &mut BytesMut) -> Option<Bytes> {
    let end = pending
        .windows(EVENT_END.len())
        .position(|w| w == EVENT_END);
    let length = match end {
        Some(end) => end + EVENT_END.len(),
        None if pending.len() >= MAX_EVENT_BYTES => pending.len(),
        None => return None,
    };
    Some(pending.split_to(length).freeze())
}

//! Body of a response to a client, either complete or streamed.

use std::{
    fmt,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use hyper::body::{
    Frame,
    SizeHint, //
};
use tokio::sync::mpsc;

use super::connection::InFlight;

/// Part of a streamed body.
#[derive(Debug)]
pub(super) enum Part {
    /// Bytes of the body.
    Piece(Bytes),
    /// End of a complete body. If it is missing, the connection is closed before the end of the
    /// body, which shows the client that the body is truncated.
    End,
}

#[derive(Debug)]
enum Content {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<Part>),
}

/// Body of a response to a client.
#[derive(Debug)]
pub(super) struct Body {
    content: Content,
    _in_flight: Option<InFlight>,
}

impl Body {
    /// Creates a body from all of its bytes.
    pub(super) fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Full(Some(bytes.into())),
            _in_flight: None,
        }
    }

    /// Creates a body that sends each part as soon as it arrives.
    pub(super) fn stream(parts: mpsc::Receiver<Part>) -> Self {
        Self {
            content: Content::Stream(parts),
            _in_flight: None,
        }
    }

    /// Holds `in_flight` until the body has been sent or dropped.
    pub(super) fn hold(self, in_flight: InFlight) -> Self {
        Self {
            _in_flight: Some(in_flight),
            ..self
        }
    }
}

/// The parts ended before `Part::End`.
#[derive(Debug)]
pub(super) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response body ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.get_mut().content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(Part::Piece(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

//! Body of an answer to a caller.

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

/// Part of a body that is sent as it arrives.
#[derive(Debug)]
pub(super) enum Part {
    Piece(Bytes),
    /// The body is complete; without it the connection is cut, so that the caller can tell.
    End,
}

/// Body of an answer to a caller.
#[derive(Debug)]
pub(super) enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Part>),
}

/// The body ended before it was complete.
#[derive(Debug)]
pub(super) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for Cut {}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(Part::Piece(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(Cut)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

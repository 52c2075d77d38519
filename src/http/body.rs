//! Body of a server's response, and how it ended.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{
        Body as _,
        Incoming, //
    },
    header::TRANSFER_ENCODING,
};

use super::Response;

/// How the end of a body is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has a stated length.
    Length,
    /// The body comes in chunks, and the last one is marked.
    Chunks,
    /// The body has neither, and ends with its connection. A connection may also end because the
    /// server broke the response off.
    Connection,
}

impl Framing {
    /// Returns the name of the framing in log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// What reading a body yields next.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The next bytes.
    Data(Bytes),
    /// The end of the body.
    End,
}

/// Body of a server's response.
#[derive(Debug)]
pub(crate) struct Body {
    incoming: Incoming,
    framing: Framing,
}

impl Body {
    /// Returns the body of a response.
    pub(crate) fn new(response: Response) -> Self {
        let (head, incoming) = response.into_parts();
        Self {
            framing: framing(&head.headers, &incoming),
            incoming,
        }
    }

    /// Returns how the end of the body is recognized.
    pub(crate) const fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the next piece.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke, or ended before the end that the framing states.
    pub(crate) async fn next(&mut self) -> Result<Piece, hyper::Error> {
        match self.incoming.frame().await.transpose()? {
            Some(frame) => Ok(Piece::Data(frame.into_data().unwrap_or_default())),
            None => Ok(Piece::End),
        }
    }
}

fn framing(headers: &HeaderMap, incoming: &Incoming) -> Framing {
    let codings = headers.get_all(TRANSFER_ENCODING).iter();
    let last = codings.filter_map(|value| value.to_str().ok()).next_back();
    let is_chunked = last.is_some_and(|codings| {
        let last = codings.rsplit(',').next().unwrap_or_default();
        last.trim().eq_ignore_ascii_case("chunked")
    });
    if is_chunked {
        Framing::Chunks
    } else if incoming.size_hint().exact().is_some() {
        Framing::Length
    } else {
        Framing::Connection
    }
}

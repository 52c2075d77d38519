//! Body of a server's response, and how it ended.

use std::fmt;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::{
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
    /// Returns how the end of a response's body is recognized.
    fn of(response: &Response) -> Self {
        let codings = response.headers().get_all(TRANSFER_ENCODING).iter();
        let last = codings.filter_map(|value| value.to_str().ok()).next_back();
        let is_chunked = last.is_some_and(|codings| {
            let last = codings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        });
        if is_chunked {
            Self::Chunks
        } else if response.body().size_hint().exact().is_some() {
            Self::Length
        } else {
            Self::Connection
        }
    }

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

/// Why a body could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection broke, or ended before the end that the framing states.
    Broken(hyper::Error),
    /// The body is longer than allowed.
    TooLong,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the body broke off: {error}"),
            Self::TooLong => f.write_str("the body is too long"),
        }
    }
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
        Self {
            framing: Framing::of(&response),
            incoming: response.into_body(),
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

    /// Reads the rest of the body, which may have at most `max_bytes`. A body that ends with its
    /// connection may have been broken off.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or is longer.
    pub(crate) async fn read(mut self, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut bytes = BytesMut::new();
        while let Piece::Data(data) = self.next().await.map_err(ReadError::Broken)? {
            if bytes.len() + data.len() > max_bytes {
                return Err(ReadError::TooLong);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

//! Body of a server's response, and how its end is marked.

use std::{
    fmt,
    rc::Rc, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{
        Body as _,
        Incoming, //
    },
    header::TRANSFER_ENCODING,
};

use super::meter::Meter;

/// Maximum size in bytes of a body whose length is not stated.
const MAX_UNSTATED_BYTES: usize = 8 << 20;

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

/// Why a body could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection broke, or ended before the end that the framing states.
    Broken(hyper::Error),
    /// The body is longer than allowed.
    TooLong,
    /// The connection brings bytes that are no part of the body.
    Endless,
}

impl ReadError {
    /// Returns the name of the error in log lines.
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Broken(_) => "connection",
            Self::TooLong => "too_long",
            Self::Endless => "endless",
        }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the body broke off: {error}"),
            Self::TooLong => f.write_str("the body is too long"),
            Self::Endless => f.write_str("bytes that are no part of the body"),
        }
    }
}

/// Body of a server's response.
#[derive(Debug)]
pub(crate) struct Body {
    incoming: Incoming,
    meter: Rc<Meter>,
    /// Number of bytes read so far.
    length: usize,
}

impl Body {
    pub(super) const fn new(incoming: Incoming, meter: Rc<Meter>) -> Self {
        Self {
            incoming,
            meter,
            length: 0,
        }
    }

    /// Returns how the end of the body is recognized. `headers` are those of the response.
    pub(crate) fn framing(&self, headers: &HeaderMap) -> Framing {
        let codings = headers.get_all(TRANSFER_ENCODING).iter();
        let last = codings.filter_map(|value| value.to_str().ok()).next_back();
        let is_chunked = last.is_some_and(|codings| {
            let last = codings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        });
        if is_chunked {
            Framing::Chunks
        } else if self.incoming.size_hint().exact().is_some() {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Reads the next piece.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke or ended before the end that the framing states, if it brings
    /// other bytes for too long, or if a body of unstated length exceeds 8 MiB.
    pub(crate) async fn next(&mut self) -> Result<Piece, ReadError> {
        let frame = tokio::select! {
            biased;
            frame = self.incoming.frame() => frame,
            () = self.meter.overdue() => return Err(ReadError::Endless),
        };
        let Some(frame) = frame.transpose().map_err(ReadError::Broken)? else {
            return Ok(Piece::End);
        };
        let data = frame.into_data().unwrap_or_default();
        self.meter.record_used(data.len());
        self.length += data.len();
        let is_stated = self.incoming.size_hint().exact().is_some();
        if !is_stated && self.length > MAX_UNSTATED_BYTES {
            return Err(ReadError::TooLong);
        }
        Ok(Piece::Data(data))
    }

    /// Reads the rest of the body, which may have at most `max_bytes`. A body that ends with its
    /// connection may have been broken off.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::next`] does, or if the body is longer.
    pub(crate) async fn read(mut self, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut bytes = BytesMut::new();
        while let Piece::Data(data) = self.next().await? {
            if bytes.len() + data.len() > max_bytes {
                return Err(ReadError::TooLong);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

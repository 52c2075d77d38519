//! Responses to clients.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use super::buffer::{
    Chunk,
    Reader, //
};
use crate::http::Framing;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode, Version,
    body::{
        Body,
        Frame,
        SizeHint, //
    },
    header::{
        CONNECTION,
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER,
        WWW_AUTHENTICATE, //
    },
};

/// The response could not be completed. The client's connection is closed before the end of the
/// body, so that the client does not take the response for complete.
#[derive(Debug)]
pub(super) struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for Incomplete {}

/// Body of a response to a client.
#[derive(Debug)]
pub(super) enum ResponseBody {
    /// The gateway's own text.
    Local(Full<Bytes>),
    /// The body of a server's response, passed on as it arrives.
    Relayed(Reader),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match self.get_mut() {
            Self::Local(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map_err(|error: Infallible| match error {})
            }
            Self::Relayed(chunks) => {
                let chunk = ready!(chunks.poll_next(context));
                Poll::Ready(match chunk {
                    Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
                    Some(Chunk::End) => None,
                    None => Some(Err(Incomplete)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Why a request gets no response of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request is malformed, for this reason.
    Malformed(String),
    /// No route matches the request, or the route has no service.
    NoRoute,
    /// No account holds the key that the request bears, or it bears none or several.
    Unauthorized,
    /// The body exceeds the limit.
    TooLarge,
    /// The request has not run and will not, for this reason; the client may retry after this time.
    Refused(&'static str, Duration),
    /// The request is over its account's allowance; the client may retry after this time.
    OverAllowance(Duration),
    /// The request may have run, and its outcome is unknown for this reason.
    Unknown(&'static str),
    /// The request timed out and may have run.
    TimedOut,
}

impl Failure {
    pub(super) const fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverAllowance(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Refused(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(super) fn reason(&self) -> &str {
        match self {
            Self::Malformed(reason) => reason,
            Self::NoRoute => "no route",
            Self::Unauthorized => "no account holds this key",
            Self::TooLarge => "body too large",
            Self::OverAllowance(_) => "over the account's allowance",
            Self::Refused(reason, _) | Self::Unknown(reason) => reason,
            Self::TimedOut => "the time ran out",
        }
    }

    /// Builds the response to the client.
    pub(super) fn response(&self) -> Response<ResponseBody> {
        let text = format!("{}\n", self.reason());
        let mut response = Response::new(ResponseBody::Local(Full::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if *self == Self::Unauthorized {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Self::Refused(_, after) | Self::OverAllowance(after) = self {
            let seconds = format!("{:.2}", after.as_secs_f64().max(0.05));
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Builds the response to the client from that of a server.
///
/// A response that ends with its server's connection ends with the client's connection too: a last
/// chunk would tell the client that the response is whole, which is not known.
pub(super) fn relayed(
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
    chunks: Reader,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Relayed(chunks));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if framing == Framing::Connection {
        // The HTTP library marks the end of every body in a response of a later version.
        *response.version_mut() = Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

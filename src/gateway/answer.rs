//! Answers to clients.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{
        Body,
        Frame,
        SizeHint, //
    },
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    },
};
use tokio::sync::mpsc::Receiver;

use super::relay::Broken;

/// Body of an answer to a client.
#[derive(Debug)]
pub(super) enum Answer {
    /// An answer of the gateway's own.
    Own(Full<Bytes>),
    /// A server's answer, as it arrives.
    Relayed(Receiver<Result<Bytes, Broken>>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Own(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map_err(|error: Infallible| match error {})
            }
            Self::Relayed(parts) => {
                let part = parts.poll_recv(context);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Why a request has no answer of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failure {
    /// It is not proper; the text says why.
    Malformed(String),
    /// No route leads anywhere.
    NoRoute,
    /// Its body is larger than allowed.
    TooLarge,
    /// It has not run and will not; come back after this time.
    Refused(&'static str, Duration),
    /// It may have run.
    Unknown(&'static str),
    /// The time ran out; it may have run.
    Late,
}

impl Failure {
    pub(super) const fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Refused(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(super) fn reason(&self) -> &str {
        match self {
            Self::Malformed(reason) => reason,
            Self::NoRoute => "no route",
            Self::TooLarge => "body too large",
            Self::Refused(reason, _) | Self::Unknown(reason) => reason,
            Self::Late => "the time ran out",
        }
    }

    /// Makes the answer to the client.
    pub(super) fn answer(&self) -> Response<Answer> {
        let text = format!("{}\n", self.reason());
        let mut response = Response::new(Answer::Own(Full::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Self::Refused(_, after) = self {
            let seconds = format!("{:.2}", after.as_secs_f64().max(0.05));
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Makes the answer to the client from a server's.
pub(super) fn relayed(
    status: StatusCode,
    headers: HeaderMap,
    parts: Receiver<Result<Bytes, Broken>>,
) -> Response<Answer> {
    let mut response = Response::new(Answer::Relayed(parts));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

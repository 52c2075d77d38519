//! An answer of an engine that is read as it arrives, without a thread of its own.

use std::{
    future::{
        Future,
        poll_fn, //
    },
    io,
    pin::{
        Pin,
        pin, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request, Uri,
    body::Incoming,
    client::conn::http1,
    header::{
        CONTENT_TYPE,
        HOST, //
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{
        Sleep,
        sleep,
        timeout, //
    },
};

use super::{
    Error,
    http::CONNECT_TIMEOUT, //
};

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An answer that is read as it arrives; its connection is closed when it is dropped.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    body: Incoming,
    /// Driven by whoever waits for the answer; nothing once it has ended.
    connection: Option<Connection>,
    deadline: Pin<Box<Sleep>>,
}

impl Stream {
    /// Sends a request over a connection of its own and waits for the head of the answer. The
    /// whole answer takes at most `limit`, connecting included.
    pub(super) async fn open(
        base: &Uri,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Self, Error> {
        let mut deadline = Box::pin(sleep(limit));
        let authority = base.authority().map_or("", |authority| authority.as_str());
        let host = authority.parse().map_err(unreachable)?;
        request.headers_mut().insert(HOST, host);
        let socket = timeout(CONNECT_TIMEOUT.min(limit), connect(base));
        let socket = socket.await.map_err(unreachable)?.map_err(unreachable)?;
        // The request is one small write; a failure costs time only.
        let _ = socket.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (mut sender, connection) = handshake.map_err(|error| lost(&error))?;
        let mut connection = Some(connection);
        let response = tokio::select! {
            biased;
            response = drive(&mut connection, sender.send_request(request)) => response,
            () = &mut deadline => return Err(expired()),
        };
        let (parts, body) = response.map_err(|error| lost(&error))?.into_parts();
        let content_type = parts.headers.get(CONTENT_TYPE);
        Ok(Self {
            status: parts.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body,
            connection,
            deadline,
        })
    }

    /// Waits for the next bytes of the body; nothing after its end.
    ///
    /// # Errors
    ///
    /// `NoAnswer` if the connection breaks or the time is over, `Malformed` if the bytes are not
    /// HTTP.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = drive(&mut self.connection, self.body.frame()) => frame,
                () = &mut self.deadline => return Err(expired()),
            };
            match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(lost(&error)),
                Some(Ok(frame)) => {
                    // Trailers carry nothing that is needed.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }
}

async fn connect(base: &Uri) -> io::Result<TcpStream> {
    let host = base.host().unwrap_or_default();
    TcpStream::connect((host, base.port_u16().unwrap_or(80))).await
}

/// Waits for `future`, which depends on the connection's progress.
async fn drive<F: Future>(connection: &mut Option<Connection>, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        let ready = future.as_mut().poll(context);
        if ready.is_ready() {
            return ready;
        }
        let ended = connection
            .as_mut()
            .is_some_and(|own| Pin::new(own).poll(context).is_ready());
        if ended {
            // Its errors reach the answer as well.
            *connection = None;
        }
        future.as_mut().poll(context)
    })
    .await
}

fn unreachable(error: impl ToString) -> Error {
    Error::Unreachable(error.to_string())
}

fn lost(error: &hyper::Error) -> Error {
    if error.is_parse() {
        Error::Malformed(error.to_string())
    } else {
        Error::NoAnswer(error.to_string())
    }
}

fn expired() -> Error {
    Error::NoAnswer("the time for the answer is over".to_owned())
}

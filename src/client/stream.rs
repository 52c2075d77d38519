//! A response of an engine whose body is read as it arrives, without a thread for it.

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

/// A response whose body is read as it arrives. Dropping it closes its connection.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    body: Incoming,
    /// Polled while the response or its body is waited for; `None` once the connection has ended.
    connection: Option<Connection>,
    deadline: Pin<Box<Sleep>>,
}

impl Stream {
    /// Sends a request on a new connection and waits for the head of the response. The whole
    /// response, including the time to connect, may take up to `limit`.
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
        // The request is one small write, so a failure to set this only adds delay.
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

    /// Waits for the next bytes of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// `NoResponse` if the connection is lost or the time limit is exceeded, `Malformed` if the
    /// bytes received are not HTTP.
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
                    // Trailers are skipped: they carry nothing that is needed.
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

/// Waits for `future` while polling the connection, without which `future` makes no progress.
async fn drive<F: Future>(connection: &mut Option<Connection>, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        let ready = future.as_mut().poll(context);
        if ready.is_ready() {
            return ready;
        }
        let ended = connection
            .as_mut()
            .is_some_and(|connection| Pin::new(connection).poll(context).is_ready());
        if ended {
            // The response and its body return the connection's errors too.
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
        Error::NoResponse(error.to_string())
    }
}

fn expired() -> Error {
    Error::NoResponse("the time for the answer is over".to_owned())
}

//! One HTTP/1.1 connection to a server.

use std::{
    fmt,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    body::Body,
    meter::{
        Meter,
        Metered, //
    },
};
use crate::timer::Time;

/// Response of a server whose body has not been read yet.
pub(crate) type Response = hyper::Response<Body>;

/// Maximum time that sent bytes may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size of the read buffer of a connection in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection could not be made, so the request was not sent.
    Connect(io::Error),
    /// The connection ended before the request was written, so the request was not sent.
    NotSent(hyper::Error),
    /// The request was sent but got no response; it may have run.
    NoResponse(hyper::Error),
    /// The request was sent but timed out; it may have run.
    Timeout,
    /// The request was sent and got bytes that are no answer; it may have run.
    Endless,
    /// The request was sent and the server's process has ended, for this reason; it may have run.
    Ended(&'static str),
}

impl Error {
    /// Returns whether the request was certainly not sent.
    pub(crate) const fn was_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "can't connect: {error}"),
            Self::NotSent(error) => write!(f, "the request was not sent: {error}"),
            Self::NoResponse(error) => write!(f, "no answer: {error}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Endless => f.write_str("bytes that are no answer"),
            Self::Ended(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<Meter>,
    connected_at: Time,
}

impl Channel {
    /// Connects to a server.
    pub(crate) async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, Error> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        let stream = connected.map_err(|_| Error::Connect(timed_out()))?;
        let stream = stream.map_err(Error::Connect)?;
        configure(&stream).map_err(Error::Connect)?;
        // An abandoned request must not reach the server later, when a frozen machine resumes or a
        // network partition heals. Closing the connection therefore resets it, which discards the
        // bytes that are still in transit.
        let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        linger.map_err(Error::Connect)?;
        let meter = Rc::new(Meter::default());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(Metered::new(stream, meter.clone())))
            .await;
        let (sender, connection) = handshake.map_err(Error::NotSent)?;
        tokio::task::spawn_local(async move {
            // The sender gets the error of the connection as the error of its request.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            meter,
            connected_at: Time::now(),
        })
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response, Error> {
        self.sender.ready().await.map_err(Error::NotSent)?;
        self.meter.reset();
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = self.meter.overdue() => return Err(Error::Endless),
        };
        match sent {
            Ok(response) => {
                self.meter.reset();
                Ok(response.map(|incoming| Body::new(incoming, self.meter.clone())))
            }
            Err(mut error) => {
                // The request is returned only if no byte of it was written.
                if error.take_message().is_some() {
                    Err(Error::NotSent(error.into_error()))
                } else {
                    Err(Error::NoResponse(error.into_error()))
                }
            }
        }
    }

    /// Returns when the connection was opened.
    pub(crate) const fn connected_at(&self) -> Time {
        self.connected_at
    }

    /// Returns whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection is ready for a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Sets the socket options that every connection of a daemon needs.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

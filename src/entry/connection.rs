//! Timeouts on a client's connection that the HTTP library lacks.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Sleep,
        sleep, //
    },
};

/// Timeout for receiving the head of a request, from its first byte to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for a client that takes no bytes of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether a request is in flight on a connection, and how many requests it has had.
#[derive(Debug, Clone, Default)]
pub(super) struct Activity(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    busy: AtomicBool,
    requests: AtomicU64,
}

impl Activity {
    /// Records that the head of a request is complete. The request is in flight until the returned
    /// guard is dropped.
    pub(super) fn begin(&self) -> InFlight {
        self.0.busy.store(true, Ordering::Relaxed);
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::Relaxed)
    }

    /// Returns the number of heads that have been received completely.
    fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }
}

/// Guard that marks a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight(Activity);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.0.busy.store(false, Ordering::Relaxed);
    }
}

type Timer = Option<Pin<Box<Sleep>>>;

/// A client's connection with timeouts for slow request heads and for clients that don't read.
///
/// The HTTP library's own timeout for heads also runs while the connection is idle, so it is used
/// as the idle timeout.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    activity: Activity,
    requests: u64,
    head_timer: Timer,
    write_timer: Timer,
}

impl Connection {
    /// Wraps a new connection and starts the timeout for its first head.
    pub(super) fn new(stream: TcpStream, activity: Activity) -> Self {
        Self {
            stream,
            activity,
            requests: 0,
            head_timer: Some(Box::pin(sleep(HEAD_TIMEOUT))),
            write_timer: None,
        }
    }

    /// Returns the result of a write, or an error once writes have been pending for the timeout.
    fn with_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let requests = this.activity.requests();
        if this.requests != requests {
            this.requests = requests;
            this.head_timer = None;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let received = buffer.filled().len() > before;
        if received && this.head_timer.is_none() && !this.activity.is_busy() {
            this.head_timer = Some(Box::pin(sleep(HEAD_TIMEOUT)));
        }
        let timed_out = this
            .head_timer
            .as_mut()
            .is_some_and(|timer| timer.as_mut().poll(cx).is_ready());
        if timed_out {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        result
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.with_write_timeout(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, buffers);
        this.with_write_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

//! Time limits on a caller's connection that the HTTP library does not have.

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

/// Longest time from the first byte of a request's head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which a caller may take none of an answer's bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether a request is being answered on a connection.
#[derive(Debug, Clone, Default)]
pub(super) struct Busy(Arc<Marks>);

#[derive(Debug, Default)]
struct Marks {
    busy: AtomicBool,
    requests: AtomicU64,
}

impl Busy {
    /// Notes that the head of a request is complete; lasts until the result is dropped.
    pub(super) fn begin(&self) -> Answering {
        self.0.busy.store(true, Ordering::Relaxed);
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        Answering(self.clone())
    }

    fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::Relaxed)
    }

    /// Returns the number of heads that were complete.
    fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }
}

/// Lasts while a request is being answered.
#[derive(Debug)]
pub(super) struct Answering(Busy);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.0.busy.store(false, Ordering::Relaxed);
    }
}

type Timer = Option<Pin<Box<Sleep>>>;

/// A caller's connection with time limits on heads and on callers that don't read.
///
/// The library's own limit on a head also runs while the connection is idle, so that it serves
/// as the limit on idle connections.
#[derive(Debug)]
pub(super) struct Guarded {
    stream: TcpStream,
    busy: Busy,
    requests: u64,
    head: Timer,
    write: Timer,
}

impl Guarded {
    /// Wraps a new connection, on which the first head is due.
    pub(super) fn new(stream: TcpStream, busy: Busy) -> Self {
        Self {
            stream,
            busy,
            requests: 0,
            head: Some(Box::pin(sleep(HEAD_TIMEOUT))),
            write: None,
        }
    }

    /// Notes the outcome of a write and limits how long writes stay pending.
    fn limit_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if outcome.is_ready() {
            self.write = None;
            return outcome;
        }
        let timer = self
            .write
            .get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let requests = this.busy.requests();
        if this.requests != requests {
            this.requests = requests;
            this.head = None;
        }
        let before = buffer.filled().len();
        let outcome = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let arrived = buffer.filled().len() > before;
        if arrived && this.head.is_none() && !this.busy.is_busy() {
            this.head = Some(Box::pin(sleep(HEAD_TIMEOUT)));
        }
        let late = this
            .head
            .as_mut()
            .is_some_and(|timer| timer.as_mut().poll(cx).is_ready());
        if late {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        outcome
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let outcome = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.limit_write(cx, outcome)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let outcome = Pin::new(&mut this.stream).poll_write_vectored(cx, buffers);
        this.limit_write(cx, outcome)
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

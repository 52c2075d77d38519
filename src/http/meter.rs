//! Limits the bytes that a connection receives without coming closer to an answer.
//!
//! A server in trouble may send a head, a chunk header or trailers without end. The HTTP library
//! bounds most of these in length, but not in time, and reads interim responses and the leading
//! zeros of a chunk's size forever.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
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
        Instant,
        sleep, //
    },
};

/// Maximum number of bytes that may be received without use. It covers what the HTTP library reads
/// ahead.
const MAX_UNUSED_BYTES: u64 = 512 << 10;

/// Maximum time for which bytes may arrive without use.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(2);

/// Interval at which that time is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Received bytes for one byte of a body: a chunk of one byte takes six.
const MAX_FRAMING_FACTOR: u64 = 8;

/// Counts the bytes of a connection that have not become part of an answer.
#[derive(Debug, Default)]
pub(super) struct Meter {
    unused_bytes: Cell<u64>,
    /// When the first and the newest of these bytes arrived.
    unused_times: Cell<Option<(Instant, Instant)>>,
}

impl Meter {
    /// Records that the head of a response was read, or that a request is sent.
    pub(super) fn reset(&self) {
        self.unused_bytes.set(0);
        self.unused_times.set(None);
    }

    /// Records that bytes of a body were read.
    pub(super) fn record_used(&self, bytes: usize) {
        let used = MAX_FRAMING_FACTOR * bytes as u64;
        self.unused_bytes
            .set(self.unused_bytes.get().saturating_sub(used));
        self.unused_times.set(None);
    }

    /// Waits until bytes have arrived for too long without use.
    pub(super) async fn overdue(&self) {
        while !self.is_overdue() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn is_overdue(&self) -> bool {
        let times = self.unused_times.get();
        times.is_some_and(|(first, newest)| newest - first > MAX_UNUSED_TIME)
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        let now = Instant::now();
        let first = self.unused_times.get().map_or(now, |(first, _)| first);
        self.unused_times.set(Some((first, now)));
        let unused = self.unused_bytes.get() + bytes as u64;
        self.unused_bytes.set(unused);
        if unused > MAX_UNUSED_BYTES {
            return Err(io::Error::other("bytes without end"));
        }
        Ok(())
    }
}

/// A connection whose received bytes are counted.
#[derive(Debug)]
pub(super) struct Metered {
    stream: TcpStream,
    meter: Rc<Meter>,
}

impl Metered {
    pub(super) const fn new(stream: TcpStream, meter: Rc<Meter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        Poll::Ready(self.meter.record_received(received))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

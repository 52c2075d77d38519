//! A connection whose socket options can be set while the HTTP library uses it.

use std::{
    cell::Cell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

use crate::report;

/// A connection that can be shared.
#[derive(Debug, Clone)]
pub(crate) struct Socket(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    /// Number of bytes that may still be received.
    allowance: Cell<usize>,
}

impl Socket {
    /// Shares a connection, from which at most `allowance` bytes are received.
    pub(crate) fn new(stream: TcpStream, allowance: usize) -> Self {
        Self(Rc::new(Inner {
            stream,
            allowance: Cell::new(allowance),
        }))
    }

    /// Sets how many bytes may be received from now on. Reading more fails.
    pub(crate) fn set_allowance(&self, allowance: usize) {
        self.0.allowance.set(allowance);
    }

    /// Sets whether closing the connection resets it, also if this process is killed. A reset
    /// discards the bytes that have not been sent.
    pub(crate) fn set_reset_on_close(&self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.0.stream).set_linger(linger) {
            report::warn("linger_failed", &[("error", &error)]);
        }
    }

    /// Returns whether bytes have arrived that are not read yet.
    pub(crate) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.0.stream)
            .peek(&mut byte)
            .is_ok_and(|count| count > 0)
    }

    /// Returns whether closing the connection resets it.
    pub(crate) fn resets_on_close(&self) -> bool {
        let linger = SockRef::from(&self.0.stream).linger();
        linger.is_ok_and(|linger| linger == Some(Duration::ZERO))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(context))?;
            match self.0.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    let Some(left) = self.0.allowance.get().checked_sub(count) else {
                        return Poll::Ready(Err(io::Error::other("bytes without end")));
                    };
                    self.0.allowance.set(left);
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match self.0.stream.try_write_vectored(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

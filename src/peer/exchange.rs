//! An exchange of frames between two daemons, on a bidirectional QUIC stream.

use std::sync::Arc;

use quinn::{
    ReadExactError,
    RecvStream,
    SendStream,
    VarInt, //
};

use super::Error;
use crate::wire::{
    Frame,
    MAX_FRAME_BYTES, //
};

/// Size of a frame's length prefix in bytes; the prefix is big-endian.
const PREFIX_BYTES: usize = 4;

/// An exchange of frames between two daemons.
#[derive(Debug)]
pub struct Exchange {
    send: SendStream,
    receive: RecvStream,
    /// Keeps the endpoint from closing the connection as unused.
    guard: Option<Arc<()>>,
}

impl Exchange {
    /// Creates an exchange from the two halves of a QUIC stream.
    pub fn new(send: SendStream, receive: RecvStream) -> Self {
        Self {
            send,
            receive,
            guard: None,
        }
    }

    /// Holds `guard` until the exchange is dropped.
    pub(super) fn with_guard(mut self, guard: Arc<()>) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// `Protocol` if the frame is too large, `Lost` if the peer is gone.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let mut buffer = vec![0; PREFIX_BYTES];
        buffer = postcard::to_extend(frame, buffer)
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let length = buffer.len() - PREFIX_BYTES;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Protocol(format!("frame of {length} bytes")));
        }
        let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
        buffer[..PREFIX_BYTES].copy_from_slice(&prefix);
        self.send
            .write_all(&buffer)
            .await
            .map_err(|error| Error::Lost(error.to_string()))
    }

    /// Waits for the next frame. Returns `None` once the peer has finished sending.
    ///
    /// # Errors
    ///
    /// `Protocol` if the bytes received are not a frame, `Lost` if the peer is gone.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        let mut prefix = [0; PREFIX_BYTES];
        match self.receive.read_exact(&mut prefix).await {
            Ok(()) => (),
            Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(error) => return Err(Error::Lost(error.to_string())),
        }
        let length = u32::from_be_bytes(prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Protocol(format!("frame of {length} bytes")));
        }
        let mut buffer = vec![0; length];
        self.receive
            .read_exact(&mut buffer)
            .await
            .map_err(|error| Error::Lost(error.to_string()))?;
        let frame =
            postcard::from_bytes(&buffer).map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(Some(frame))
    }

    /// Signals to the peer that no more frames will be sent.
    pub fn finish(&mut self) {
        // Fails only if the peer has stopped reading and so doesn't need the signal.
        let _ = self.send.finish();
    }

    /// Waits until the peer has received all frames or stopped reading.
    pub async fn flush(&mut self) {
        let _ = self.send.stopped().await;
    }

    /// Waits until the peer stops reading the frames of this side, for example because the client
    /// that waits for them has disconnected.
    pub async fn cancelled(&self) {
        let _ = self.send.stopped().await;
    }

    /// Abandons the exchange. The peer's `cancelled` returns, so that it can stop its work.
    pub fn cancel(mut self) {
        let _ = self.receive.stop(VarInt::from_u32(0));
        let _ = self.send.reset(VarInt::from_u32(0));
    }
}

//! Holds the part of a response that its client has not taken yet.

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::{
    Notify,
    mpsc::{
        self,
        UnboundedReceiver,
        UnboundedSender, //
    },
};

use crate::dispatch::{
    Hold,
    Memory, //
};

/// Maximum number of bytes that are held for one client, that of the longest event. Most answers are
/// shorter, so that they are read out at once however slowly their clients read.
const MAX_CLIENT_BYTES: usize = 256 << 10;

/// Bytes that a piece counts beside its own.
const PIECE_OVERHEAD: usize = 128;

/// Part of a server's response that is passed on.
#[derive(Debug)]
pub(super) enum Chunk {
    /// The next bytes.
    Data(Bytes),
    /// The response has ended and nothing shows that it is incomplete. Without this, the response is
    /// incomplete when the sender is dropped.
    End,
}

/// The client has disconnected.
#[derive(Debug)]
pub(super) struct Disconnected;

#[derive(Debug)]
struct Shared {
    hold: Hold,
    taken: Notify,
}

/// The side that fills the buffer.
#[derive(Debug)]
pub(super) struct Writer {
    chunks: UnboundedSender<Chunk>,
    shared: Rc<Shared>,
}

/// The side that empties it.
#[derive(Debug)]
pub(super) struct Reader {
    chunks: UnboundedReceiver<Chunk>,
    shared: Rc<Shared>,
}

/// Creates a buffer whose bytes count in `memory`.
pub(super) fn buffer(memory: &Rc<Memory>) -> (Writer, Reader) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        hold: memory.hold(),
        taken: Notify::new(),
    });
    let writer = Writer {
        chunks: sender,
        shared: shared.clone(),
    };
    let reader = Reader {
        chunks: receiver,
        shared,
    };
    (writer, reader)
}

impl Writer {
    /// Adds bytes once there is room.
    pub(super) async fn write(&self, data: Bytes) -> Result<(), Disconnected> {
        let size = data.len() + PIECE_OVERHEAD;
        while !self.shared.hold.may_add(size, MAX_CLIENT_BYTES) {
            tokio::select! {
                () = self.shared.taken.notified() => (),
                () = self.chunks.closed() => return Err(Disconnected),
            }
        }
        self.shared.hold.add(size);
        let sent = self.chunks.send(Chunk::Data(data));
        sent.map_err(|_| Disconnected)
    }

    /// Marks the response as ended in order.
    pub(super) fn end(&self) {
        // The client may have disconnected meanwhile.
        let _ = self.chunks.send(Chunk::End);
    }

    /// Waits until the client has disconnected.
    pub(super) async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl Reader {
    /// Takes the next part.
    pub(super) fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Chunk>> {
        let chunk = std::task::ready!(self.chunks.poll_recv(context));
        if let Some(Chunk::Data(data)) = &chunk {
            self.shared.hold.remove(data.len() + PIECE_OVERHEAD);
            self.shared.taken.notify_one();
        }
        std::task::Poll::Ready(chunk)
    }
}

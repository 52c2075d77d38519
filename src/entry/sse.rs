//! Server-sent events in a byte stream.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Data of the event that ends a complete stream.
const DONE: &[u8] = b"data: [DONE]";

/// Cuts a byte stream at the ends of events, so that a stream can be resumed after whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    events: u64,
    done: bool,
}

impl Splitter {
    /// Returns the number of whole events passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the event that ends a complete stream was passed on.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Takes bytes and returns the whole events that they complete, possibly none.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::entry::sse::Splitter;
    ///
    /// let mut splitter = Splitter::default();
    /// assert_eq!(splitter.push(b"data: a\n\ndata: "), "data: a\n\n");
    /// assert_eq!(splitter.push(b"b\n\n"), "data: b\n\n");
    /// assert_eq!(splitter.events(), 2);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(length) = event_length(&self.pending[whole..]) {
            self.done |= self.pending[whole..whole + length].starts_with(DONE);
            self.events += 1;
            whole += length;
        }
        self.pending.split_to(whole).freeze()
    }

    /// Forgets the bytes of an event that was not completed.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Returns what is left of a stream that ended within an event.
    pub fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Returns the length of the first event with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    for (index, _) in newlines {
        match bytes[index + 1..] {
            [b'\n', ..] => return Some(index + 2),
            [b'\r', b'\n', ..] => return Some(index + 3),
            _ => (),
        }
    }
    None
}

//! Splits a byte stream into server-sent events.

use bytes::{
    Bytes,
    BytesMut, //
};

/// First bytes of the event that ends a complete stream.
const DONE: &[u8] = b"data: [DONE]";

/// Maximum size of an event in bytes. A longer one does not end, as far as can be told.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Position in a stream of events.
///
/// An event ends with an empty line. A line ends with CR, LF or both, and one that begins with a
/// colon is a comment, which belongs to no event.
#[derive(Debug, Default)]
pub struct Position {
    line: Line,
    /// Whether the current event has a line.
    has_fields: bool,
    /// Whether the last byte is a CR, so that an LF after it belongs to the same end of line.
    after_cr: bool,
    /// Number of bytes since the last event ended.
    event_bytes: usize,
}

/// Part of a line that has been read.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Field,
    Comment,
}

/// What a byte means in a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The byte is part of an event, or of a line that is not complete.
    Within,
    /// The byte ends a comment or an empty line between two events.
    Between,
    /// The byte ends an event.
    Ends,
    /// The byte belongs to the end of line that the byte before it began.
    Joins,
}

impl Position {
    /// Returns whether the stream would break off an event if it ended here.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::entry::sse::Position;
    ///
    /// let mut position = Position::default();
    /// position.advance(b"data: a\r\n\r\nda");
    /// assert!(position.is_inside_event());
    /// position.advance(b"ta: b\n\n");
    /// assert!(!position.is_inside_event());
    /// ```
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line != Line::Empty
    }

    /// Returns whether the current event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.event_bytes > MAX_EVENT_BYTES
    }

    /// Returns the number of bytes since the last event ended.
    pub fn event_bytes(&self) -> usize {
        self.event_bytes
    }

    /// Moves past bytes of the stream.
    pub fn advance(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.step(*byte);
        }
    }

    fn step(&mut self, byte: u8) -> Step {
        let joins = byte == b'\n' && self.after_cr;
        self.after_cr = byte == b'\r';
        if joins {
            return Step::Joins;
        }
        self.event_bytes += 1;
        match (byte, self.line) {
            (b'\n' | b'\r', line) => self.end_line(line),
            (b':', Line::Empty) => self.begin(Line::Comment),
            (_, Line::Empty) => self.begin(Line::Field),
            _ => Step::Within,
        }
    }

    fn begin(&mut self, line: Line) -> Step {
        self.line = line;
        Step::Within
    }

    fn end_line(&mut self, line: Line) -> Step {
        self.line = Line::Empty;
        match line {
            Line::Field => {
                self.has_fields = true;
                Step::Within
            }
            Line::Comment if self.has_fields => Step::Within,
            Line::Empty if self.has_fields => {
                self.has_fields = false;
                self.event_bytes = 0;
                Step::Ends
            }
            Line::Comment | Line::Empty => {
                self.event_bytes = 0;
                Step::Between
            }
        }
    }
}

/// Splits a byte stream at the ends of events, so that it can be resumed after a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    position: Position,
    events: u64,
    done: bool,
}

impl Splitter {
    /// Returns the number of whole events that `push` has returned.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether `push` has returned the event that ends a complete stream.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether the bytes pushed so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.position.is_inside_event()
    }

    /// Returns whether the current event exceeds [`MAX_EVENT_BYTES`]. Its bytes are kept until
    /// [`Self::rest`] or [`Self::restart`] is called.
    pub fn is_overlong(&self) -> bool {
        self.position.is_overlong()
    }

    /// Returns the number of bytes since the last event ended.
    pub fn event_bytes(&self) -> usize {
        self.position.event_bytes()
    }

    /// Appends bytes and returns the whole events that are now complete, possibly none.
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
        let scanned = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        for index in scanned..self.pending.len() {
            match self.position.step(self.pending[index]) {
                Step::Ends => {
                    self.done |= self.pending[whole..].starts_with(DONE);
                    self.events += 1;
                    whole = index + 1;
                }
                Step::Between => whole = index + 1,
                Step::Joins if whole == index => whole = index + 1,
                Step::Joins | Step::Within => (),
            }
        }
        self.pending.split_to(whole).freeze()
    }

    /// Discards the bytes of an incomplete event, for a stream that is resumed after whole events.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.position = Position::default();
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

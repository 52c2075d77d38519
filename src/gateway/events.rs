//! Tracks which part of a server's response the client has received.

use bytes::Bytes;

use crate::entry::sse::{
    Position,
    Splitter, //
};

/// The part of a server's response that was passed on to the client.
///
/// Only whole events of a resumable stream are passed on, so that another server can continue after
/// the last one. The bytes of any other response are passed on as they arrive.
///
/// # Examples
///
/// ```
/// use chestnuthub::gateway::Events;
///
/// let mut events = Events::new(true, None);
/// assert_eq!(events.push(b"id: 0\ndata: a\n\nid: 1\nda".as_slice().into()), "id: 0\ndata: a\n\n");
/// assert_eq!(events.resume_point(), Some(Some("0".to_owned())));
/// ```
#[derive(Debug)]
pub struct Events {
    form: Form,
    last: Option<String>,
}

/// Form of a response's body.
#[derive(Debug)]
enum Form {
    /// Events of which only whole ones are passed on.
    Resumable(Splitter),
    /// Events whose bytes are passed on as they arrive.
    Direct {
        position: Position,
        /// Whether any bytes have arrived.
        has_begun: bool,
    },
    /// No events.
    Plain,
}

impl Events {
    /// Returns the state before the first event of a stream. `last` is the id of the last event that
    /// the client received before this response, if any.
    pub fn new(is_resumable: bool, last: Option<String>) -> Self {
        let form = if is_resumable {
            Form::Resumable(Splitter::default())
        } else {
            Form::Direct {
                position: Position::default(),
                has_begun: false,
            }
        };
        Self { form, last }
    }

    /// Returns the state of a response that is no stream of events.
    pub fn plain() -> Self {
        Self {
            form: Form::Plain,
            last: None,
        }
    }

    /// Returns whether another server may continue the response.
    pub fn is_resumable(&self) -> bool {
        matches!(self.form, Form::Resumable(_))
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        !matches!(self.form, Form::Plain)
    }

    /// Returns whether the response is a stream of which the client has received nothing, neither in
    /// this response nor before.
    pub fn is_empty_stream(&self) -> bool {
        match &self.form {
            Form::Resumable(splitter) => splitter.events() == 0 && self.last.is_none(),
            Form::Direct { has_begun, .. } => !has_begun,
            Form::Plain => false,
        }
    }

    /// Returns the number of whole events that were passed on; 0 if the response is not resumable.
    pub fn count(&self) -> u64 {
        match &self.form {
            Form::Resumable(splitter) => splitter.events(),
            Form::Direct { .. } | Form::Plain => 0,
        }
    }

    /// Returns whether the response would break off an event if it ended here.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::gateway::Events;
    ///
    /// let mut events = Events::new(false, None);
    /// events.push(b"id: 0\ndata: a\n\nid: 1\nda".as_slice().into());
    /// assert!(events.is_inside_event());
    /// ```
    pub fn is_inside_event(&self) -> bool {
        match &self.form {
            Form::Resumable(splitter) => splitter.is_inside_event(),
            Form::Direct { position, .. } => position.is_inside_event(),
            Form::Plain => false,
        }
    }

    /// Returns whether the current event is longer than any event may be.
    pub fn is_overlong(&self) -> bool {
        match &self.form {
            Form::Resumable(splitter) => splitter.is_overlong(),
            Form::Direct { position, .. } => position.is_overlong(),
            Form::Plain => false,
        }
    }

    /// Returns the number of bytes since the last event ended.
    pub fn event_bytes(&self) -> usize {
        match &self.form {
            Form::Resumable(splitter) => splitter.event_bytes(),
            Form::Direct { position, .. } => position.event_bytes(),
            Form::Plain => 0,
        }
    }

    /// Takes bytes of the response and returns the bytes to pass on.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let whole = match &mut self.form {
            Form::Resumable(splitter) => splitter.push(&data),
            Form::Direct {
                position,
                has_begun,
            } => {
                position.advance(&data);
                *has_begun |= !data.is_empty();
                return data;
            }
            Form::Plain => return data,
        };
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns the bytes after the last whole event, at the end of a complete response.
    pub fn rest(&mut self) -> Bytes {
        match &mut self.form {
            Form::Resumable(splitter) => splitter.rest(),
            Form::Direct { .. } | Form::Plain => Bytes::new(),
        }
    }

    /// Returns where another server may continue: `Some(Some(id))` after the event with this id,
    /// `Some(None)` from the start, `None` if it may not continue.
    pub fn resume_point(&self) -> Option<Option<String>> {
        let is_known = self.count() == 0 || self.last.is_some();
        (self.is_resumable() && is_known).then(|| self.last.clone())
    }

    /// Discards the bytes of an event that its server did not complete.
    pub fn restart(&mut self) {
        if let Form::Resumable(splitter) = &mut self.form {
            splitter.restart();
        }
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

//! Reads a completion from the engine on a thread of its own and passes its parts on.

use std::{
    io::Read,
    thread,
    time::Duration, //
};

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use tokio::sync::mpsc;

use crate::{
    platform::{
        Error,
        engine::{
            Answer,
            Completion,
            Engine, //
        },
    },
    timer::Time,
    wire::{
        Chat,
        Request, //
    },
};

/// Parts that may be read ahead of a slow caller.
const READ_AHEAD: usize = 64;

/// Bytes asked for in one read.
const READ_BYTES: usize = 16 << 10;

/// Size from which an event that is not complete is passed on.
const LARGEST_EVENT: usize = 256 << 10;

/// End of an event in a stream of server-sent events.
const EVENT_END: &[u8] = b"\n\n";

/// The last event of a complete stream.
const DONE: &[u8] = b"data: [DONE]";

/// A part of an engine's answer.
#[derive(Debug)]
pub(super) enum Part {
    /// The answer begins.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
    },
    /// Part of the body: one event of a stream.
    Piece(Bytes),
    /// The body is complete.
    End,
    /// The engine did not run the request.
    NotRun(String),
    /// The answer is missing or incomplete; the engine may have run the request.
    Broken(String),
}

/// Starts a completion and returns its parts as they arrive.
pub(super) fn start(
    engine: Engine,
    request: &Request,
    chat: &Chat,
    body: Bytes,
    deadline: Time,
) -> mpsc::Receiver<Part> {
    let (sender, receiver) = mpsc::channel(READ_AHEAD);
    let (request, chat, failed) = (request.clone(), chat.clone(), sender.clone());
    let spawned = thread::Builder::new()
        .name("completion".to_owned())
        .spawn(move || {
            let completion = Completion {
                request: &request.id,
                model: &chat.model,
                adapter: chat.adapter.as_ref(),
                priority: request.priority,
                resume_from: chat.resume_from,
                body: &body,
                // Without a limit of zero, which the client takes for none.
                timeout: deadline
                    .remaining(Time::now())
                    .max(Duration::from_millis(1)),
            };
            let last = match engine.complete(&completion) {
                Ok(answer) => pass(answer, &sender),
                Err(error @ Error::Unreachable(_)) => Some(Part::NotRun(error.to_string())),
                Err(error) => Some(Part::Broken(error.to_string())),
            };
            if let Some(last) = last {
                // Fails only if the caller is gone.
                let _ = sender.blocking_send(last);
            }
        });
    if let Err(error) = spawned {
        // The channel is empty, so there is room.
        let _ = failed.try_send(Part::NotRun(error.to_string()));
    }
    receiver
}

/// Passes an answer on and returns its last part, or nothing if the caller is gone.
fn pass(answer: Answer, sender: &mpsc::Sender<Part>) -> Option<Part> {
    // By these an engine says that it did not take the request.
    if matches!(answer.status, 404 | 409 | 429 | 503) {
        return Some(Part::NotRun(format!("status {}", answer.status)));
    }
    if answer.status >= 500 {
        return Some(Part::Broken(format!("status {}", answer.status)));
    }
    let is_stream = answer.content_type.starts_with("text/event-stream");
    let head = Part::Head {
        status: answer.status,
        content_type: answer.content_type,
    };
    sender.blocking_send(head).ok()?;
    if is_stream {
        pass_events(answer.body, sender)
    } else {
        pass_bytes(answer.body, sender)
    }
}

fn pass_bytes(mut body: Box<dyn Read + Send>, sender: &mpsc::Sender<Part>) -> Option<Part> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        match body.read(&mut buffer) {
            Ok(0) => return Some(Part::End),
            Ok(length) => {
                let bytes = Bytes::copy_from_slice(&buffer[..length]);
                sender.blocking_send(Part::Piece(bytes)).ok()?;
            }
            Err(error) => return Some(Part::Broken(error.to_string())),
        }
    }
}

/// Passes one event in each piece, so that pieces count alike wherever a stream is resumed.
fn pass_events(mut body: Box<dyn Read + Send>, sender: &mpsc::Sender<Part>) -> Option<Part> {
    let mut buffer = vec![0; READ_BYTES];
    let mut pending = BytesMut::new();
    let mut done = false;
    loop {
        match body.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => pending.extend_from_slice(&buffer[..length]),
            Err(error) => return Some(Part::Broken(error.to_string())),
        }
        while let Some(event) = take_event(&mut pending) {
            done = event.starts_with(DONE);
            sender.blocking_send(Part::Piece(event)).ok()?;
        }
    }
    Some(if done && !pending.has_remaining() {
        Part::End
    } else {
        Part::Broken("the stream ended without its last event".to_owned())
    })
}

fn take_event(pending: &mut BytesMut) -> Option<Bytes> {
    let end = pending
        .windows(EVENT_END.len())
        .position(|w| w == EVENT_END);
    let length = match end {
        Some(end) => end + EVENT_END.len(),
        None if pending.len() >= LARGEST_EVENT => pending.len(),
        None => return None,
    };
    Some(pending.split_to(length).freeze())
}

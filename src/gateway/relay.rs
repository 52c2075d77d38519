//! Passes a server's answer on to the client as it arrives.

use std::{
    fmt,
    rc::Rc, //
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc::Sender,
    time::timeout, //
};

use super::{
    attempt, forward,
    job::{
        Job,
        Progress,
        Sent, //
    },
    state::State,
};
use crate::{
    deployment::Kind,
    entry::sse::Splitter,
    report,
    timer::Time, //
};

/// The answer could not be completed; the client's connection ends without its end.
#[derive(Debug)]
pub(super) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer is incomplete")
    }
}

impl std::error::Error for Broken {}

/// How the reading of an answer ended.
enum End {
    /// The answer is complete.
    Complete,
    /// The server broke off.
    BrokenOff,
    /// The time ran out.
    Late,
    /// The client has left.
    Abandoned,
}

/// Passes an answer on until it ends, resuming a stream at another server where that is allowed.
pub(super) async fn run(
    state: Rc<State>,
    job: Rc<Job>,
    mut progress: Progress,
    mut sent: Sent,
    parts: Sender<Result<Bytes, Broken>>,
) {
    let mut relay = Relay::new(&job);
    loop {
        let mut body = sent.response.into_body();
        let end = relay
            .pass_on(&job, &mut body, &mut sent.in_flight, &parts)
            .await;
        match end {
            End::Complete => {
                attempt::keep(&sent.in_flight.backend, sent.channel, &sent.answered);
                note_end(&job, "complete", relay.events());
                return;
            }
            End::Abandoned => {
                note_end(&job, "abandoned", relay.events());
                return;
            }
            End::Late => {
                note_end(&job, "late", relay.events());
                let _ = parts.send(Err(Broken)).await;
                return;
            }
            End::BrokenOff => sent.in_flight.backend.note_end(true),
        }
        // The connection ends with the answer.
        drop((body, sent.channel, sent.in_flight));
        progress.note_run();
        let may_run = progress.may_run(&job);
        let next = match relay.resume_point(&job).filter(|_| may_run) {
            Some(last) => {
                tokio::select! {
                    next = forward::send(&state, &job, &mut progress, last.as_deref()) => next.ok(),
                    () = parts.closed() => None,
                }
            }
            None => None,
        };
        let Some(next) = next.filter(|next| next.answered.status == 200) else {
            note_end(&job, "broken", relay.events());
            let _ = parts.send(Err(Broken)).await;
            return;
        };
        report::info(
            "stream_resumed",
            &[
                ("request", &job.asked.id),
                ("server", &next.in_flight.backend.server().id),
                ("events", &relay.events()),
            ],
        );
        relay.splitter.restart();
        sent = next;
    }
}

fn note_end(job: &Job, outcome: &str, events: u64) {
    report::info(
        "end",
        &[
            ("request", &job.asked.id),
            ("outcome", &outcome),
            ("events", &events),
            ("left_ms", &job.deadline.remaining(Time::now()).as_millis()),
        ],
    );
}

/// State of an answer that is passed on.
struct Relay {
    is_resumable: bool,
    splitter: Splitter,
    last_event: Option<String>,
}

impl Relay {
    fn new(job: &Job) -> Self {
        Self {
            is_resumable: job.route.kind == Kind::ResumableStream,
            splitter: Splitter::default(),
            last_event: job.asked.last_event.clone(),
        }
    }

    fn events(&self) -> u64 {
        self.splitter.events()
    }

    /// Returns the last event that the client has, if the stream can be resumed there.
    fn resume_point(&self, job: &Job) -> Option<Option<String>> {
        let is_known = self.events() == 0 || self.last_event.is_some();
        let is_late = job.deadline.remaining(Time::now()).is_zero();
        (self.is_resumable && is_known && !is_late).then(|| self.last_event.clone())
    }

    async fn pass_on(
        &mut self,
        job: &Job,
        body: &mut Incoming,
        in_flight: &mut super::backend::InFlight,
        parts: &Sender<Result<Bytes, Broken>>,
    ) -> End {
        loop {
            let left = job.deadline.remaining(Time::now());
            let frame = tokio::select! {
                () = parts.closed() => return End::Abandoned,
                // Only a stream that another server can continue is ended for this reason.
                () = in_flight.backend.silence(), if self.is_resumable => return End::BrokenOff,
                frame = timeout(left, body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return End::Late,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return End::BrokenOff,
                Ok(None) => {
                    let rest = self.splitter.rest();
                    if rest.is_empty() || parts.send(Ok(rest)).await.is_ok() {
                        return End::Complete;
                    }
                    return End::Abandoned;
                }
            };
            in_flight.note_answered();
            let data = self.take(data);
            if !data.is_empty() && parts.send(Ok(data)).await.is_err() {
                return End::Abandoned;
            }
        }
    }

    /// Returns the bytes to pass on: whole events only if the stream may have to be resumed.
    fn take(&mut self, data: Bytes) -> Bytes {
        if !self.is_resumable {
            return data;
        }
        let whole = self.splitter.push(&data);
        if let Some(id) = last_id(&whole) {
            self.last_event = Some(id);
        }
        whole
    }
}

/// Returns the id of the last event.
fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

//! One attempt: sends a request to one agent and streams the response back to the client.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;
use tokio::time;

use super::responder::{
    Disconnected,
    EVENT_STREAM,
    Responder, //
};
use crate::{
    peer::{
        self,
        Exchange, //
    },
    timer::Time,
    wire::{
        Failure,
        Frame,
        Head,
        Load,
        Piece,
        Refusal,
        Request,
        Work, //
    },
};

/// Timeout for the next piece of an event stream that has begun, and for the refusal of an agent
/// that has stopped reading the request.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of bytes of the request's body in one frame.
const CHUNK_BYTES: usize = 256 << 10;

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The complete response was forwarded.
    Complete {
        /// HTTP status of the response.
        status: u16,
    },
    /// The client disconnected.
    Disconnected,
    /// Connecting to the agent failed, so nothing was sent.
    NotSent(String),
    /// The deadline passed before anything was sent.
    Expired,
    /// The agent refused the request.
    Refused(Refusal),
    /// The agent can't complete the response.
    Failed(Failure),
    /// The connection was lost or the stream stalled after the request was sent.
    Lost(String),
    /// The agent's message is not a valid response to this request.
    Invalid(String),
    /// The deadline passed after the request was sent.
    TimedOut,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete { status } => write!(f, "complete with status {status}"),
            Self::Disconnected => f.write_str("the client disconnected"),
            Self::NotSent(detail) => write!(f, "not sent: {detail}"),
            Self::Expired => f.write_str("not sent before the deadline"),
            Self::Refused(refusal) => write!(f, "refused: {}", refusal.reason),
            Self::Failed(failure) => write!(f, "failed: {}", failure.detail),
            Self::Lost(detail) => write!(f, "lost: {detail}"),
            Self::Invalid(detail) => write!(f, "invalid response: {detail}"),
            Self::TimedOut => f.write_str("no response before the deadline"),
        }
    }
}

/// Receives the events of a running attempt.
pub(super) trait Observer {
    /// Records a load that the agent reported.
    fn record_load(&mut self, load: Load);
    /// Records that a piece of the response arrived.
    fn record_piece(&mut self);
}

/// Sends a request over `exchange` and forwards the response to `responder`. Cancels the exchange
/// unless it ended with a complete response or a refusal.
pub(super) async fn run(
    mut exchange: Exchange,
    request: &Request,
    body: &Bytes,
    deadline: Time,
    responder: &mut Responder,
    observer: &mut impl Observer,
) -> End {
    let attempt = Attempt {
        exchange: &mut exchange,
        request,
        deadline,
        responder,
        observer,
        pending_head: None,
    };
    let end = attempt.run(body).await;
    match end {
        Ok(end) | Err(end) if matches!(end, End::Complete { .. } | End::Refused(_)) => end,
        Ok(end) | Err(end) => {
            exchange.cancel();
            end
        }
    }
}

struct Attempt<'a, O> {
    exchange: &'a mut Exchange,
    request: &'a Request,
    deadline: Time,
    responder: &'a mut Responder,
    observer: &'a mut O,
    /// Head of a response that is not an event stream. It is held back until the body begins, since
    /// a failure before that can still be reported with a problem.
    pending_head: Option<Head>,
}

impl<O: Observer> Attempt<'_, O> {
    async fn run(mut self, body: &Bytes) -> Result<End, End> {
        if let Err(error) = self.send(body).await? {
            return self.refusal_after_send_error(error).await;
        }
        let head = match self.next(None).await? {
            Some(Frame::Head(head)) => head,
            Some(Frame::Refused(refusal)) => return Ok(self.record_refusal(refusal)),
            Some(Frame::Failed(failure)) => return Ok(End::Failed(failure)),
            Some(_) => return Ok(End::Invalid("the answer has no head".to_owned())),
            None => return Ok(End::Lost("the agent sent no answer".to_owned())),
        };
        let status = head.status;
        self.check_head(head)?;
        self.forward_body(status).await
    }

    /// Sends the request. The inner result is an error if the agent stopped reading it.
    async fn send(&mut self, body: &Bytes) -> Result<Result<(), peer::Error>, End> {
        let open = Frame::Open(Box::new(self.request.clone()));
        let exchange = &mut *self.exchange;
        let sending = async {
            exchange.send(&open).await?;
            for start in (0..body.len()).step_by(CHUNK_BYTES) {
                let end = usize::min(start + CHUNK_BYTES, body.len());
                let piece = Piece(body.slice(start..end));
                exchange.send(&Frame::Piece(piece)).await?;
            }
            exchange.send(&Frame::End).await
        };
        let sent = tokio::select! {
            biased;
            () = self.responder.disconnected() => return Err(End::Disconnected),
            () = sleep_until(self.deadline) => return Err(End::TimedOut),
            sent = sending => sent,
        };
        Ok(sent)
    }

    /// Reads the refusal or failure that the agent may have sent before it stopped reading the
    /// request.
    async fn refusal_after_send_error(&mut self, error: peer::Error) -> Result<End, End> {
        match self.next(Some(STALL_TIMEOUT)).await {
            Ok(Some(Frame::Refused(refusal))) => Ok(self.record_refusal(refusal)),
            Ok(Some(Frame::Failed(failure))) => Ok(End::Failed(failure)),
            Err(end @ (End::Disconnected | End::TimedOut)) => Err(end),
            _ => Err(End::Lost(error.to_string())),
        }
    }

    fn record_refusal(&mut self, refusal: Refusal) -> End {
        self.observer.record_load(refusal.load);
        End::Refused(refusal)
    }

    fn check_head(&mut self, head: Head) -> Result<(), End> {
        if head.request != self.request.id {
            return Err(End::Invalid("the answer is for another request".to_owned()));
        }
        self.observer.record_load(head.load);
        let is_stream = head.content_type.starts_with(EVENT_STREAM);
        if self.responder.has_begun() && (head.status != 200 || !is_stream) {
            return Err(End::Invalid(format!("resumed with status {}", head.status)));
        }
        self.pending_head = Some(head);
        if is_stream {
            self.send_head()?;
        }
        Ok(())
    }

    fn send_head(&mut self) -> Result<(), End> {
        let Some(head) = self.pending_head.take() else {
            return Ok(());
        };
        self.responder
            .begin(head.status, &head.content_type)
            .map_err(|Disconnected| End::Disconnected)
    }

    async fn forward_body(&mut self, status: u16) -> Result<End, End> {
        let mut timeout = None;
        loop {
            match self.next(timeout).await {
                Ok(Some(Frame::Piece(Piece(bytes)))) => self.forward_piece(bytes).await?,
                Ok(Some(Frame::End)) => {
                    self.send_head()?;
                    return Ok(End::Complete { status });
                }
                // The response is complete although the exchange lacks its end.
                Ok(_) | Err(End::Lost(_)) if self.responder.is_done() => {
                    return Ok(End::Complete { status });
                }
                Ok(Some(Frame::Failed(failure))) => return Ok(End::Failed(failure)),
                Ok(Some(_)) => return Ok(End::Invalid("a frame out of place".to_owned())),
                Ok(None) => return Ok(End::Lost("the answer has no end".to_owned())),
                Err(end) => return Err(end),
            }
            timeout = self.is_stream().then_some(STALL_TIMEOUT);
        }
    }

    async fn forward_piece(&mut self, bytes: Bytes) -> Result<(), End> {
        self.send_head()?;
        self.observer.record_piece();
        tokio::select! {
            biased;
            sent = self.responder.send_piece(bytes) => sent.map_err(|Disconnected| End::Disconnected),
            () = sleep_until(self.deadline) => Err(End::TimedOut),
        }
    }

    /// Waits for the next frame, up to `timeout` if there is one.
    async fn next(&mut self, timeout: Option<Duration>) -> Result<Option<Frame>, End> {
        let stalled = async {
            match timeout {
                Some(timeout) => time::sleep(timeout).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.responder.disconnected() => Err(End::Disconnected),
            frame = self.exchange.next() => frame.map_err(|error| match error {
                peer::Error::Protocol(detail) => End::Invalid(detail),
                other => End::Lost(other.to_string()),
            }),
            () = stalled => Err(End::Lost("the stream stalled".to_owned())),
            () = sleep_until(self.deadline) => Err(End::TimedOut),
        }
    }

    fn is_stream(&self) -> bool {
        matches!(&self.request.work, Work::Chat(chat) if chat.stream)
    }
}

/// Waits until the deadline.
pub(super) async fn sleep_until(deadline: Time) {
    time::sleep(deadline.remaining(Time::now())).await;
}

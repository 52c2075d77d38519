//! The agent: runs beside a backend server and gives it orders and work.

mod call;

use bytes::Bytes;

use self::call::Calls;
use crate::{
    context::Context,
    id,
    peer::Exchange,
    settings::{
        self,
        Backend, //
    },
    wire::{
        Frame,
        Head,
        Load,
        MAX_BODY_BYTES,
        MAX_FRAME_BYTES,
        Piece,
        Request,
        Work, //
    },
};

/// Largest piece of a body in bytes, with room for the frame's own fields.
const MAX_PIECE_BYTES: usize = MAX_FRAME_BYTES / 2;

/// The whole answer of a backend server.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// The agent of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Agent {
    context: Context,
    calls: Option<Calls>,
}

impl Agent {
    /// Starts the agent's background work.
    pub(crate) fn start(context: Context, settings: &settings::Agent) -> Self {
        let calls = match &settings.backend {
            Backend::Service { url } => Some(Calls::start(context.clone(), url)),
            Backend::Engine { .. } => None,
        };
        Self { context, calls }
    }

    /// Serves a request; the body follows on the exchange.
    pub(crate) async fn serve(&self, request: Request, mut exchange: Exchange) {
        let (Some(calls), Work::Call(call)) = (&self.calls, &request.work) else {
            return exchange.cancel();
        };
        let Some(body) = read_body(&mut exchange).await else {
            return exchange.cancel();
        };
        let frames = match calls.run(&request, call, body).await {
            Ok(reply) => frames(&request.id, reply),
            Err(refusal) => vec![Frame::Refused(refusal)],
        };
        for frame in &frames {
            if exchange.send(frame).await.is_err() {
                return;
            }
        }
        exchange.finish();
        exchange.flush().await;
    }

    /// Grants one more slot if this agent is the model's coordinator.
    pub(crate) fn widen(&self, _model: &id::Model) {}

    /// Refuses new work from now on.
    pub(crate) fn leave(&self) {}

    /// Waits until no request is in flight.
    pub(crate) async fn drained(&self) {
        let _ = (&self.context.runtime, &self.context.stopping);
        if let Some(calls) = &self.calls {
            calls.drained().await;
        }
    }
}

async fn read_body(exchange: &mut Exchange) -> Option<Bytes> {
    let mut body = Vec::new();
    loop {
        match exchange.next().await {
            Ok(Some(Frame::Piece(piece))) if body.len() + piece.0.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&piece.0);
            }
            Ok(Some(Frame::End)) => return Some(body.into()),
            _ => return None,
        }
    }
}

fn frames(request: &id::Request, reply: Reply) -> Vec<Frame> {
    let head = Frame::Head(Head {
        request: request.clone(),
        status: reply.status,
        content_type: reply.content_type,
        load: Load::default(),
    });
    let pieces = reply.body.chunks(MAX_PIECE_BYTES);
    let pieces = pieces.map(|piece| Frame::Piece(Piece(Bytes::copy_from_slice(piece))));
    [head]
        .into_iter()
        .chain(pieces)
        .chain([Frame::End])
        .collect()
}

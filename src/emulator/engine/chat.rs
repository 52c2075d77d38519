//! Chat completions.

use std::{
    future,
    io,
    sync::Arc, //
};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::sleep, //
};

use super::{
    Engine,
    record::{
        Completion,
        End, //
    },
    token::token,
};
use crate::{
    emulator::http::{
        Call,
        Chunk,
        Response, //
    },
    id,
};

/// Number of tokens in a response to a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct Body {
    messages: Value,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// A completion that the engine accepted.
#[derive(Debug)]
struct Run {
    index: usize,
    request: id::Request,
    model: id::Model,
    adapter: Option<id::Adapter>,
    priority: u8,
    resume_from: u64,
    body: Body,
    cancelled: watch::Receiver<bool>,
}

/// Handles a completion request; the response has events or one JSON body.
pub(super) async fn handle(engine: Arc<Engine>, call: Call) -> Response {
    let run = match Run::accept(&engine, &call) {
        Ok(run) => run,
        Err(refusal) => return refusal,
    };
    let (sender, receiver) = mpsc::channel(1);
    if run.body.stream {
        tokio::spawn(async move { run.execute(&engine, &call, sender).await });
        return Response::events(receiver);
    }
    let completion = run.completion();
    let discard = discard(receiver, call.clone());
    let (end, ()) = tokio::join!(run.execute(&engine, &call, sender), discard);
    match end {
        End::Finished => Response::json(200, &completion),
        End::Cancelled => Response::error(499, "completion was cancelled"),
        _ => Response::error(500, "completion was interrupted"),
    }
}

/// Receives and discards the chunks of a response that isn't streamed, until they end or the caller
/// closes the connection.
async fn discard(mut chunks: mpsc::Receiver<Chunk>, call: Call) {
    let received = async { while chunks.recv().await.is_some() {} };
    tokio::select! {
        () = received => {}
        () = call.caller_gone() => {}
    }
}

impl Run {
    /// Accepts a completion request, or returns the response that refuses it.
    fn accept(engine: &Engine, call: &Call) -> Result<Self, Response> {
        let body: Body = serde_json::from_slice(&call.body)
            .map_err(|error| Response::error(400, &error.to_string()))?;
        let model = call.header("X-Model").map(id::Model::from);
        let model = model.ok_or_else(|| Response::error(400, "request names no model"))?;
        let adapter = call.header("X-Adapter").map(id::Adapter::from);
        let request = id::Request::from(call.header("X-Request-Id").unwrap_or_default());
        let number = |name| call.header(name).and_then(|text| text.parse().ok());
        let priority = number("X-Priority").and_then(|n: u64| u8::try_from(n).ok());
        let priority = priority.unwrap_or(u8::MAX);
        let resume_from = number("X-Resume-From").unwrap_or(0);
        let mut state = engine.lock();
        if !state.serves(&model, adapter.as_ref()) {
            return Err(Response::error(404, "model or adapter is not loaded"));
        }
        let index = state.record_accepted(Completion {
            request: request.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            priority,
            resume_from,
            body: String::from_utf8_lossy(&call.body).into_owned(),
            began: 0,
            produced: 0,
            end: End::Open,
        });
        drop(state);
        Ok(Self {
            cancelled: engine.watch_cancel(&request),
            index,
            request,
            model,
            adapter,
            priority,
            resume_from,
            body,
        })
    }

    /// Runs the completion to its end and sends its chunks.
    async fn execute(&self, engine: &Engine, call: &Call, chunks: mpsc::Sender<Chunk>) -> End {
        let end = tokio::select! {
            end = self.produce(engine, call, &chunks) => end,
            () = chunks.closed() => End::CallerGone,
            () = self.cancelled() => End::Cancelled,
        };
        // Recorded before the last chunk is sent, so that a caller who has received that chunk
        // finds the end in the record.
        engine.remove_cancel(&self.request);
        engine.lock().record_end(self.index, end);
        let last = match end {
            End::Finished => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
            End::Cut | End::Broken => Err(io::Error::other("completion was interrupted")),
            End::Open | End::Cancelled | End::CallerGone => return end,
        };
        // The caller may have closed the connection meanwhile.
        let _ = chunks.send(last).await;
        end
    }

    /// Waits until the completion is cancelled.
    async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        if cancelled.wait_for(|cancelled| *cancelled).await.is_err() {
            // The sender is gone because another completion with the same request id has ended.
            // This one can't be cancelled any more.
            future::pending::<()>().await;
        }
    }

    /// Waits for a permit to run and sends the events of the completion.
    async fn produce(&self, engine: &Engine, call: &Call, chunks: &mpsc::Sender<Chunk>) -> End {
        let _permit = engine.queue.enter(self.priority).await;
        engine.lock().record_begin(self.index);
        for index in self.resume_from..=self.tokens() {
            let sent = index - self.resume_from;
            if call.injection.break_after == Some(sent) {
                return End::Broken;
            }
            wait_for_next_event(engine, call, sent).await;
            {
                let mut state = engine.lock();
                if !state.serves(&self.model, self.adapter.as_ref()) {
                    return End::Cut;
                }
                state.record_event(self.index);
            }
            if chunks.send(Ok(self.event(index))).await.is_err() {
                return End::CallerGone;
            }
        }
        End::Finished
    }

    fn tokens(&self) -> u64 {
        self.body.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    fn finish_reason(&self) -> &'static str {
        if self.body.max_tokens.is_some() {
            "length"
        } else {
            "stop"
        }
    }

    /// Returns the event with an index. The one after the last token has the finish reason.
    fn event(&self, index: u64) -> Bytes {
        let last = index == self.tokens();
        let delta = if last {
            json!({})
        } else {
            json!({ "role": "assistant", "content": token(&self.body.messages, index) })
        };
        let reason = last.then(|| self.finish_reason());
        let event = json!({
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        });
        Bytes::from(format!("data: {event}\n\n"))
    }

    /// Returns the JSON body of a response that isn't streamed.
    fn completion(&self) -> Value {
        let tokens = self.resume_from..self.tokens();
        let content: String = tokens
            .map(|index| token(&self.body.messages, index))
            .collect();
        let message = json!({ "role": "assistant", "content": content });
        let reason = self.finish_reason();
        json!({
            "id": self.request,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{ "index": 0, "message": message, "finish_reason": reason }],
            "usage": { "completion_tokens": self.tokens() },
        })
    }
}

/// Waits until the next event may be produced, after `sent` events so far.
async fn wait_for_next_event(engine: &Engine, call: &Call, sent: u64) {
    if call.injection.stall_after == Some(sent) {
        call.faults_cleared().await;
    }
    if call.injection.hold_tokens {
        // The semaphore is never closed.
        if let Ok(permit) = engine.released.acquire().await {
            permit.forget();
        }
    } else {
        sleep(engine.settings.token_interval).await;
    }
}

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
        Answer,
        Call,
        Part, //
    },
    id,
};

/// Tokens of an answer without `max_tokens`.
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

/// Answers a completion request with events or with one JSON body.
pub(super) async fn answer(engine: Arc<Engine>, call: Call) -> Answer {
    let run = match Run::accept(&engine, &call) {
        Ok(run) => run,
        Err(refusal) => return refusal,
    };
    let (sender, receiver) = mpsc::channel(1);
    if run.body.stream {
        tokio::spawn(async move { run.carry_out(&engine, &call, sender).await });
        return Answer::events(receiver);
    }
    let whole = run.whole();
    let drain = drain(receiver, call.clone());
    let (end, ()) = tokio::join!(run.carry_out(&engine, &call, sender), drain);
    match end {
        End::Finished => Answer::json(200, &whole),
        End::Cancelled => Answer::error(499, "the completion was cancelled"),
        _ => Answer::error(500, "the completion was interrupted"),
    }
}

/// Takes the parts of an answer that isn't streamed, until its caller goes away.
async fn drain(mut parts: mpsc::Receiver<Part>, call: Call) {
    let received = async { while parts.recv().await.is_some() {} };
    tokio::select! {
        () = received => {}
        () = call.caller_gone() => {}
    }
}

impl Run {
    fn accept(engine: &Engine, call: &Call) -> Result<Self, Answer> {
        let body: Body = serde_json::from_slice(&call.body)
            .map_err(|error| Answer::error(400, &error.to_string()))?;
        let model = call.header("X-Model").map(id::Model::from);
        let model = model.ok_or_else(|| Answer::error(400, "the request names no model"))?;
        let adapter = call.header("X-Adapter").map(id::Adapter::from);
        let request = id::Request::from(call.header("X-Request-Id").unwrap_or_default());
        let number = |name| call.header(name).and_then(|text| text.parse().ok());
        let priority = number("X-Priority").and_then(|n: u64| u8::try_from(n).ok());
        let priority = priority.unwrap_or(u8::MAX);
        let resume_from = number("X-Resume-From").unwrap_or(0);
        let mut state = engine.lock();
        if !state.serves(&model, adapter.as_ref()) {
            return Err(Answer::error(404, "the model or adapter is not loaded"));
        }
        let index = state.accept(Completion {
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

    async fn carry_out(&self, engine: &Engine, call: &Call, parts: mpsc::Sender<Part>) -> End {
        let end = tokio::select! {
            end = self.produce(engine, call, &parts) => end,
            () = parts.closed() => End::CallerGone,
            () = self.cancelled() => End::Cancelled,
        };
        // Recorded before the last part, so that a caller who has read it finds the record right.
        engine.forget_cancel(&self.request);
        engine.lock().end(self.index, end);
        let last = match end {
            End::Finished => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
            End::Cut | End::Broken => Err(io::Error::other("the completion was interrupted")),
            End::Open | End::Cancelled | End::CallerGone => return end,
        };
        // The caller may have gone away meanwhile.
        let _ = parts.send(last).await;
        end
    }

    async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        if cancelled.wait_for(|cancelled| *cancelled).await.is_err() {
            // Another completion with the same id has ended, so none can be cancelled any more.
            future::pending::<()>().await;
        }
    }

    async fn produce(&self, engine: &Engine, call: &Call, parts: &mpsc::Sender<Part>) -> End {
        let _permit = engine.queue.enter(self.priority).await;
        engine.lock().begin(self.index);
        for index in self.resume_from..=self.tokens() {
            let sent = index - self.resume_from;
            if call.plan.break_after == Some(sent) {
                return End::Broken;
            }
            pace(engine, call, sent).await;
            {
                let mut state = engine.lock();
                if !state.serves(&self.model, self.adapter.as_ref()) {
                    return End::Cut;
                }
                state.produce(self.index);
            }
            if parts.send(Ok(self.event(index))).await.is_err() {
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

    /// Returns the event at an index; the one after the last token says why the answer ends.
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

    fn whole(&self) -> Value {
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

/// Waits until the next event may be produced.
async fn pace(engine: &Engine, call: &Call, sent: u64) {
    if call.plan.stall_after == Some(sent) {
        call.faults_cleared().await;
    }
    if call.plan.hold_tokens {
        // The semaphore is never closed.
        if let Ok(permit) = engine.released.acquire().await {
            permit.forget();
        }
    } else {
        sleep(engine.settings.token_interval).await;
    }
}

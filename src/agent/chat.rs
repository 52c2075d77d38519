//! Serves requests for a model: waits for their turn and relays the engine's response.

use std::time::Duration;

use bytes::Bytes;

use super::{
    dispatch::Denial,
    driver::Driver,
    ledger::Subject,
    queue::{
        Key,
        Ticket, //
    },
    relay::{
        Part,
        Reader, //
    },
    usage::Weights,
};
use crate::{
    catalogue::{
        self,
        Item, //
    },
    context::Context,
    peer::Exchange,
    report,
    timer::Time,
    wire::{
        Chat,
        Failure,
        Frame,
        Head,
        Piece,
        Reason,
        Refusal,
        Request, //
    },
};

/// Timeout for the next piece of a stream.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay in ms after which the client may retry when the engine was unreachable or did not accept
/// the request, or when the request's adapter was not loaded by the deadline.
const BACKEND_RETRY_MS: u64 = 1_000;

/// Outcome of a request, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The complete response was sent.
    Served,
    /// The request was refused.
    Refused(Reason),
    /// The response is missing or incomplete.
    Failed,
    /// The client disconnected.
    Cancelled,
}

impl End {
    /// Returns the name of the outcome.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused(reason) => reason.as_str(),
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A request for a model that the agent is serving.
pub(super) struct Session<'a> {
    pub(super) context: &'a Context,
    pub(super) driver: &'a Driver,
    pub(super) request: &'a Request,
    pub(super) chat: &'a Chat,
    pub(super) deadline: Time,
}

impl Session<'_> {
    /// Serves the request and sends the response on the exchange.
    pub(super) async fn run(&self, body: Bytes, exchange: &mut Exchange) -> End {
        let Some(adapter_mb) = self.adapter_memory_mb() else {
            return self.refuse(exchange, Reason::Unknown, 0, true).await;
        };
        let arrived = Time::now();
        let is_cold = !self.driver.load(&self.chat.model).resident;
        let (key, verdict) = match self.driver.submit(self.ticket(), self.weights()) {
            Ok(submitted) => submitted,
            Err(denial) => return self.deny(exchange, denial).await,
        };
        let verdict = tokio::select! {
            verdict = verdict => verdict,
            () = exchange.cancelled() => return self.withdraw(key),
        };
        match verdict {
            Ok(Ok(())) => (),
            Ok(Err(denial)) => return self.deny(exchange, denial).await,
            Err(_) => return self.refuse(exchange, Reason::Backend, 0, true).await,
        }
        let began = Time::now();
        if is_cold {
            let waited = (began - arrived).as_secs_f64();
            self.context.metrics.cold_start.observe(waited);
        }
        let end = self.with_adapter(adapter_mb, body, exchange).await;
        let took = (end == End::Served).then(|| Time::now() - began);
        self.driver.end(&self.chat.model, took);
        end
    }

    /// Returns the memory of the adapter in MiB, 0 if the request has none, or `None` if the
    /// catalogue lacks the model version or the adapter.
    fn adapter_memory_mb(&self) -> Option<u64> {
        let catalogue = self.context.view.catalogue();
        catalogue.get(&catalogue::Key::Model(self.chat.model.clone()))?;
        let Some(adapter) = &self.chat.adapter else {
            return Some(0);
        };
        match catalogue.get(&catalogue::Key::Adapter(adapter.clone())) {
            Some(Item::Adapter(item)) if item.model == self.chat.model => Some(item.memory_mb),
            _ => None,
        }
    }

    fn ticket(&self) -> Ticket {
        Ticket {
            model: self.chat.model.clone(),
            institution: self.request.institution.clone(),
            priority: self.request.priority,
            max_queue: self.request.max_queue,
            deadline: self.deadline,
        }
    }

    fn weights(&self) -> Weights {
        let key = catalogue::Key::Institution(self.request.institution.clone());
        match self.context.view.catalogue().get(&key) {
            Some(Item::Institution(item)) => Weights {
                cold_start: item.cold_start_weight,
                idle_hour: item.idle_hour_weight,
            },
            _ => Weights::default(),
        }
    }

    fn withdraw(&self, key: Key) -> End {
        self.driver.withdraw(key, &self.chat.model);
        End::Cancelled
    }

    async fn with_adapter(&self, memory_mb: u64, body: Bytes, exchange: &mut Exchange) -> End {
        let Some(adapter) = &self.chat.adapter else {
            return self.complete(body, exchange).await;
        };
        let subject = Subject::adapter(&self.chat.model, adapter);
        let remaining = self.deadline.remaining(Time::now());
        let end = tokio::select! {
            () = self.driver.acquire_adapter(&subject, memory_mb) => {
                self.complete(body, exchange).await
            }
            () = tokio::time::sleep(remaining) => {
                self.refuse(exchange, Reason::Deadline, BACKEND_RETRY_MS, true).await
            }
            () = exchange.cancelled() => End::Cancelled,
        };
        self.driver.release_adapter(&subject);
        end
    }

    async fn complete(&self, body: Bytes, exchange: &mut Exchange) -> End {
        let mut reader = Reader::new(
            self.driver.engine(),
            self.request,
            self.chat,
            body,
            self.deadline,
        );
        let end = self.relay(&mut reader, exchange).await;
        if !matches!(end, End::Served | End::Refused(_)) {
            self.cancel();
        }
        end
    }

    async fn relay(&self, reader: &mut Reader<'_>, exchange: &mut Exchange) -> End {
        let remaining = self.deadline.remaining(Time::now());
        let Ok(head) = self.next(reader, exchange, remaining).await else {
            return self.fail(exchange, "no answer by the deadline").await;
        };
        match head {
            Some(Part::Head {
                status,
                content_type,
            }) => {
                let frame = Frame::Head(Head {
                    request: self.request.id.clone(),
                    status,
                    content_type,
                    load: self.driver.load(&self.chat.model),
                });
                if exchange.send(&frame).await.is_err() {
                    return End::Cancelled;
                }
            }
            Some(Part::NotRun(detail)) => {
                report::warn("engine_refused", &[("detail", &detail)]);
                self.driver.request_inventory();
                let reason = Reason::Backend;
                return self.refuse(exchange, reason, BACKEND_RETRY_MS, true).await;
            }
            Some(Part::Broken(detail)) => return self.fail(exchange, &detail).await,
            Some(Part::Piece(_) | Part::End) | None => return End::Cancelled,
        }
        self.relay_pieces(reader, exchange).await
    }

    async fn relay_pieces(&self, reader: &mut Reader<'_>, exchange: &mut Exchange) -> End {
        let timeout = if self.chat.stream {
            STALL_TIMEOUT
        } else {
            self.deadline.remaining(Time::now())
        };
        loop {
            let Ok(part) = self.next(reader, exchange, timeout).await else {
                self.driver.suspend();
                return self.fail(exchange, "the engine stalls").await;
            };
            let frame = match part {
                Some(Part::Piece(bytes)) => Frame::Piece(Piece(bytes)),
                Some(Part::End) => Frame::End,
                Some(Part::Broken(detail) | Part::NotRun(detail)) => {
                    return self.fail(exchange, &detail).await;
                }
                Some(Part::Head { .. }) | None => return End::Cancelled,
            };
            if exchange.send(&frame).await.is_err() {
                return End::Cancelled;
            }
            if frame == Frame::End {
                return End::Served;
            }
        }
    }

    /// Waits for the next part; returns `None` if the client disconnected, and an error after
    /// `timeout`.
    async fn next(
        &self,
        reader: &mut Reader<'_>,
        exchange: &Exchange,
        timeout: Duration,
    ) -> Result<Option<Part>, tokio::time::error::Elapsed> {
        let next = async {
            tokio::select! {
                part = reader.recv() => Some(part),
                () = exchange.cancelled() => None,
            }
        };
        tokio::time::timeout(timeout, next).await
    }

    fn cancel(&self) {
        let engine = self.driver.engine().clone();
        let id = self.request.id.clone();
        self.context.runtime.spawn_blocking(move || {
            if let Err(error) = engine.cancel(&id) {
                report::warn("cancel_failed", &[("request", &id), ("error", &error)]);
            }
        });
    }

    async fn deny(&self, exchange: &mut Exchange, denial: Denial) -> End {
        self.refuse(exchange, denial.reason, denial.retry_after_ms, true)
            .await
    }

    async fn refuse(
        &self,
        exchange: &mut Exchange,
        reason: Reason,
        retry_after_ms: u64,
        not_run: bool,
    ) -> End {
        let refusal = Refusal {
            reason,
            not_run,
            retry_after_ms,
            load: self.driver.load(&self.chat.model),
        };
        match exchange.send(&Frame::Refused(refusal)).await {
            Ok(()) => End::Refused(reason),
            Err(_) => End::Cancelled,
        }
    }

    async fn fail(&self, exchange: &mut Exchange, detail: &str) -> End {
        report::warn(
            "answer_broken",
            &[("request", &self.request.id), ("detail", &detail)],
        );
        let failure = Failure {
            started: true,
            detail: detail.to_owned(),
        };
        // If the peer has disconnected, the failure cannot be reported.
        let _ = exchange.send(&Frame::Failed(failure)).await;
        End::Failed
    }
}

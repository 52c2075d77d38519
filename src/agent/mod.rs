//! Agent: runs beside a backend server, sends it orders and forwards requests to it.

pub mod adapters;
pub mod authority;
mod call;
mod chat;
mod coordination;
pub mod dispatch;
mod driver;
pub mod event;
pub mod history;
mod in_flight;
pub mod ledger;
mod order;
pub mod pace;
pub mod queue;
mod registration;
mod relay;
mod replica;
pub mod residency;
pub mod saturation;
pub mod usage;

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};

use self::{
    call::Calls,
    chat::{
        End,
        Session, //
    },
    coordination::Coordination,
    driver::Driver,
    in_flight::Counter,
    ledger::Ledger,
    registration::Registration,
};
use crate::{
    client::{
        engine::Engine,
        list::State, //
    },
    context::Context,
    id,
    peer::Exchange,
    report,
    settings::{
        self,
        Backend, //
    },
    timer::{
        self,
        Time, //
    },
    wire::{
        Call,
        Frame,
        Head,
        Load,
        MAX_BODY_BYTES,
        Piece,
        Reason,
        Refusal,
        Request,
        Work, //
    },
};

/// Period of the checks of the registration and of the agent's own entry in the instance list.
const TICK: Duration = Duration::from_millis(250);

/// Maximum size in bytes of a piece of a plain service's response.
const MAX_PIECE_BYTES: usize = 256 << 10;

/// Retry delay in ms for a client that was refused because the server is leaving.
const LEAVING_RETRY_MS: u64 = 500;

/// Complete response of a plain service.
#[derive(Debug)]
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Bytes,
}

/// Handler of requests, by the kind of the backend server.
enum Handler {
    Engine(Driver),
    Service(Calls),
}

struct Inner {
    context: Context,
    handler: Handler,
    coordination: Coordination,
    in_flight: Counter,
    leaving: AtomicBool,
}

/// Agent of a backend server.
#[derive(Clone)]
pub(crate) struct Agent {
    inner: Arc<Inner>,
}

impl fmt::Debug for Agent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Agent").finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts the agent's background work.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a thread can't be started.
    pub(crate) fn start(context: Context, settings: &settings::Agent) -> std::io::Result<Self> {
        let registration = Arc::new(Registration::new(context.clone(), settings));
        let coordination = Coordination::start(context.clone(), registration.clone())?;
        let handler = match &settings.backend {
            Backend::Engine {
                url,
                memory_mb,
                adapter_memory_mb,
                ..
            } => Handler::Engine(Driver::start(
                context.clone(),
                Engine::new(url),
                Ledger::new(*memory_mb, *adapter_memory_mb),
                registration.clone(),
                coordination.clone(),
            )?),
            Backend::Service { url } => Handler::Service(Calls::start(context.clone(), url)),
        };
        let agent = Self {
            inner: Arc::new(Inner {
                in_flight: Counter::new(&context),
                context,
                handler,
                coordination,
                leaving: AtomicBool::new(false),
            }),
        };
        let ticking = agent.clone();
        timer::spawn_periodic("registration", TICK, move |now| {
            registration.tick(now);
            ticking.leave_if_listed();
            true
        })?;
        Ok(agent)
    }

    /// Serves a request; the body follows on the exchange.
    pub(crate) async fn serve(&self, request: Request, mut exchange: Exchange) {
        let _guard = self.inner.in_flight.begin();
        let deadline = Time::now() + Duration::from_millis(request.timeout_ms);
        let timeout = Duration::from_millis(request.timeout_ms);
        let body = match tokio::time::timeout(timeout, read_body(&mut exchange)).await {
            Ok(Ok(body)) => body,
            Ok(Err(detail)) => {
                report::warn(
                    "body_lost",
                    &[("request", &request.id), ("detail", &detail)],
                );
                return exchange.cancel();
            }
            Err(_) => return exchange.cancel(),
        };
        let began = Time::now();
        let (kind, end) = match (&request.work, &self.inner.handler) {
            (Work::Chat(chat), Handler::Engine(driver)) => {
                let session = Session {
                    context: &self.inner.context,
                    driver,
                    request: &request,
                    chat,
                    deadline,
                };
                ("chat", session.run(body, &mut exchange).await)
            }
            (Work::Call(call), Handler::Service(calls)) => {
                let end = self.call(calls, &request, call, body, &mut exchange).await;
                ("call", end)
            }
            _ => ("misdirected", refuse_unknown(&mut exchange).await),
        };
        self.report(&request, kind, end, Time::now() - began);
        exchange.finish();
        exchange.flush().await;
    }

    fn report(&self, request: &Request, kind: &str, end: End, took: Duration) {
        self.inner.context.metrics.count(kind, end.as_str());
        let name = match end {
            End::Refused(_) => "refuse",
            _ => "request",
        };
        let (target, offset) = self.target(&request.work);
        report::info(
            name,
            &[
                ("request", &request.id),
                ("institution", &request.institution),
                ("kind", &kind),
                ("target", &target),
                ("offset", &offset),
                ("reason", &end.as_str()),
                ("took_ms", &took.as_millis()),
            ],
        );
    }

    /// Returns the target of a request, and the log offset of the grant under which it is served, or
    /// 0 without one.
    fn target<'a>(&self, work: &'a Work) -> (&'a str, u64) {
        match work {
            Work::Call(call) => (call.service.as_str(), 0),
            Work::Chat(chat) => {
                let table = self.inner.context.view.table();
                let own = &self.inner.context.settings.instance;
                let mut slots = table.slots(&chat.model).iter();
                let slot = slots.find(|slot| slot.server == *own);
                (chat.model.as_str(), slot.map_or(0, |slot| slot.grant))
            }
        }
    }

    async fn call(
        &self,
        calls: &Calls,
        request: &Request,
        call: &Call,
        body: Bytes,
        exchange: &mut Exchange,
    ) -> End {
        if self.inner.leaving.load(Ordering::Acquire) {
            return refuse(exchange, refusal_while_leaving()).await;
        }
        match calls.run(request, call, body).await {
            Ok(response) => send_response(exchange, request, response).await,
            Err(refusal) => refuse(exchange, refusal).await,
        }
    }

    /// Records that a replica of the model version is saturated. The model version gets one more
    /// slot only if this agent is its coordinator.
    pub(crate) fn widen(&self, model: &id::Model) {
        self.inner.coordination.widen(model);
    }

    /// Refuses new requests from now on.
    pub(crate) fn leave(&self) {
        if self.inner.leaving.swap(true, Ordering::AcqRel) {
            return;
        }
        report::info("leave", &[("in_flight", &self.inner.in_flight.count())]);
        if let Handler::Engine(driver) = &self.inner.handler {
            driver.leave();
        }
    }

    /// Starts leaving if the instance list says that this server is leaving.
    fn leave_if_listed(&self) {
        let context = &self.inner.context;
        let is_listed_as_leaving = context
            .view
            .instances()
            .iter()
            .any(|i| i.name == context.settings.instance && i.state == State::Leaving);
        if is_listed_as_leaving {
            self.leave();
        }
    }

    /// Waits until no request is in flight.
    pub(crate) async fn drained(&self) {
        self.inner.in_flight.wait_until_zero().await;
        // Calls are counted separately, since they continue after their clients have been refused
        // or have disconnected.
        if let Handler::Service(calls) = &self.inner.handler {
            calls.drained().await;
        }
    }
}

async fn read_body(exchange: &mut Exchange) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        match exchange.next().await {
            Ok(Some(Frame::Piece(Piece(bytes)))) => {
                if body.len() + bytes.len() > MAX_BODY_BYTES {
                    return Err("the body exceeds the size limit".to_owned());
                }
                body.extend_from_slice(&bytes);
            }
            Ok(Some(Frame::End)) => return Ok(body.freeze()),
            Ok(_) => return Err("the body is incomplete".to_owned()),
            Err(error) => return Err(error.to_string()),
        }
    }
}

fn refusal_while_leaving() -> Refusal {
    Refusal {
        reason: Reason::Leaving,
        not_run: true,
        retry_after_ms: LEAVING_RETRY_MS,
        load: Load {
            leaving: true,
            ..Load::default()
        },
    }
}

async fn refuse_unknown(exchange: &mut Exchange) -> End {
    let refusal = Refusal {
        reason: Reason::Unknown,
        not_run: true,
        retry_after_ms: 0,
        load: Load::default(),
    };
    refuse(exchange, refusal).await
}

async fn refuse(exchange: &mut Exchange, refusal: Refusal) -> End {
    let reason = refusal.reason;
    match exchange.send(&Frame::Refused(refusal)).await {
        Ok(()) => End::Refused(reason),
        Err(_) => End::Cancelled,
    }
}

async fn send_response(exchange: &mut Exchange, request: &Request, response: Response) -> End {
    let head = Frame::Head(Head {
        request: request.id.clone(),
        status: response.status,
        content_type: response.content_type,
        load: Load::default(),
    });
    let mut sent = exchange.send(&head).await;
    let mut body = response.body;
    while sent.is_ok() && !body.is_empty() {
        let piece = body.split_to(body.len().min(MAX_PIECE_BYTES));
        sent = exchange.send(&Frame::Piece(Piece(piece))).await;
    }
    if sent.is_ok() {
        sent = exchange.send(&Frame::End).await;
    }
    match sent {
        Ok(()) => End::Served,
        Err(_) => End::Cancelled,
    }
}

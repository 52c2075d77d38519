//! HTTP client of the engine on this machine.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::timeout;

use super::{
    Order,
    Reply,
    Report, //
};
use crate::{
    dispatch::RequestRate,
    gateway::{
        RequestLimit,
        Rest, //
    },
    http::{
        Channel,
        Pool,
        ReadError, //
    },
    platform::{
        engine,
        header, //
    },
    report,
    timer::Time,
};

/// Timeout for a call to the engine, which responds within milliseconds on the same machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout after which an idle connection to the engine is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The engine on this machine.
#[derive(Debug)]
pub(super) struct Engine {
    pool: Pool,
    host: String,
    holder: String,
    /// Start time of the engine that has announced that it leaves.
    leaving_since: Cell<Option<u64>>,
    /// End of the time for which the engine wants no calls.
    resting_until: Cell<Time>,
    /// Limit on requests that the engine named in its latest response.
    request_limit: Cell<Option<RequestRate>>,
}

/// Answer of the engine to a call.
struct Answer {
    status: u16,
    is_leaving: bool,
    body: Bytes,
}

impl Engine {
    /// Creates a client. `holder` is the name under which it sends orders.
    pub(super) fn new(address: SocketAddr, holder: &str) -> Self {
        Self {
            pool: Pool::new(address),
            host: address.to_string(),
            holder: holder.to_owned(),
            leaving_since: Cell::new(None),
            resting_until: Cell::new(Time::ZERO),
            request_limit: Cell::new(None),
        }
    }

    /// Returns the limit on requests that the engine named in its latest response.
    pub(super) fn request_limit(&self) -> Option<RequestRate> {
        self.request_limit.get()
    }

    /// Reads the engine's report; returns `None` if the call fails.
    pub(super) async fn report(&self) -> Option<Report> {
        let request = engine::report_request(&self.host).ok()?;
        let answer = timeout(CALL_TIMEOUT, self.call(request)).await.ok()??;
        if answer.status != 200 {
            return None;
        }
        let mut report = engine::decode_report(&answer.body).ok()?;
        if answer.is_leaving {
            self.leaving_since.set(Some(report.started_ms));
        }
        // An engine that has started anew no longer leaves.
        report.is_leaving = self.leaving_since.get() == Some(report.started_ms);
        Some(report)
    }

    /// Returns the remaining time for which the engine wants no calls.
    pub(super) fn rest_remaining(&self, now: Time) -> Duration {
        self.resting_until.get().remaining(now)
    }

    /// Sends an order to the engine with the id `server`. Returns `None` if no reply arrived; the
    /// engine may then still execute the order later.
    pub(super) async fn order(&self, order: &Order, server: &str) -> Option<Reply> {
        let request = engine::order_request(order, &self.host, server, &self.holder).ok()?;
        let answer = timeout(CALL_TIMEOUT, self.call(request)).await.ok()??;
        Some(engine::decode_reply(answer.status))
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
        let (mut channel, _): (Channel, _) = self.pool.take(CALL_TIMEOUT).await.ok()?;
        let response = channel.send(request).await.ok()?;
        let status = response.status().as_u16();
        let is_leaving = header::is_leaving(response.headers());
        match header::rest(status, response.headers()) {
            Some(Rest::For(rest)) => self.resting_until.set(Time::now() + rest),
            Some(Rest::Unreadable(text)) => report::warn("rest_unreadable", &[("text", &text)]),
            None => (),
        }
        self.record_limit(header::request_limit(response.headers()));
        let body = response.into_body().read(MAX_RESPONSE_BYTES).await;
        let body = body.inspect_err(log_error).ok()?;
        self.pool.put(channel, IDLE_TIMEOUT);
        Some(Answer {
            status,
            is_leaving,
            body,
        })
    }

    fn record_limit(&self, limit: Option<RequestLimit>) {
        let limit = match limit {
            Some(RequestLimit::Rate(limit)) => Some(limit),
            Some(RequestLimit::Unreadable(text)) => {
                report::warn("limit_unreadable", &[("text", &text)]);
                return;
            }
            None => None,
        };
        if self.request_limit.replace(limit) == limit {
            return;
        }
        match limit {
            Some(limit) => report::info("server_limit", &[("per_s", &limit.per_s())]),
            None => report::info("server_limit_ended", &[]),
        }
    }
}

fn log_error(error: &ReadError) {
    report::warn("engine_answer_broken", &[("error", error)]);
}

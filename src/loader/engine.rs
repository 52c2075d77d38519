//! Calls to the engine on this machine.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::Request;
use tokio::time::timeout;

use super::{
    Order,
    Reply,
    Report, //
};
use crate::{
    http::{
        Channel,
        Pool, //
    },
    platform::engine,
};

/// Time for a call to the engine, which answers within milliseconds on its own machine.
const CALL: Duration = Duration::from_millis(500);

/// Time for which an idle connection to the engine is kept.
const KEEP: Duration = Duration::from_millis(900);

/// Most bytes of an answer.
const ANSWER_BYTES: usize = 1 << 20;

/// The engine on this machine.
#[derive(Debug)]
pub(super) struct Engine {
    pool: Pool,
    host: String,
    holder: String,
}

impl Engine {
    /// Makes a client; `holder` is the name under which it gives orders.
    pub(super) fn new(address: SocketAddr, holder: &str) -> Self {
        Self {
            pool: Pool::new(address),
            host: address.to_string(),
            holder: holder.to_owned(),
        }
    }

    /// Reads a report; returns nothing if none came.
    pub(super) async fn report(&self) -> Option<Report> {
        let request = engine::report_request(&self.host).ok()?;
        let (status, body) = timeout(CALL, self.call(request)).await.ok()??;
        if status != 200 {
            return None;
        }
        engine::decode_report(&body).ok()
    }

    /// Gives an order to the server with this id; returns nothing if no answer came, in which case
    /// the order may be carried out later.
    pub(super) async fn order(&self, order: &Order, server: &str) -> Option<Reply> {
        let request = engine::order_request(order, &self.host, server, &self.holder).ok()?;
        let (status, _) = timeout(CALL, self.call(request)).await.ok()??;
        Some(engine::decode_reply(status))
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Option<(u16, Bytes)> {
        let (mut channel, _): (Channel, _) = self.pool.take(CALL).await.ok()?;
        let response = channel.send(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        self.pool.put(channel, KEEP);
        Some((status, body))
    }
}

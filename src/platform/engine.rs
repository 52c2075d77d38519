//! Wire format of the reports of model engines and of the orders to them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::{
    Deserialize,
    Serialize, //
};

use super::server::{
    WireCopies,
    WireReplica, //
};
use crate::loader::{
    Operation,
    Order,
    Reply,
    Report, //
};

/// The fencing token of all orders. It can be constant because a server has the same holder of
/// orders for its whole life: the daemon on its own machine, under this machine's name.
const FENCING_TOKEN: u64 = 1;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireReport {
    #[serde(default)]
    models: Vec<WireReplica>,
    busy: bool,
    /// Number of orders accepted since the server's start.
    seq: u64,
    #[serde(default)]
    queued: f64,
    #[serde(default)]
    running: f64,
    born: Option<u64>,
    cached_models: Option<WireCopies>,
    /// Adapters that are being loaded, as MODEL/NAME@VERSION.
    #[serde(default)]
    pending: Vec<String>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct WireOrder<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    /// Expected number of accepted orders.
    expect: u64,
    holder: &'a str,
    fencing_token: u64,
}

/// Decodes the report of an engine.
///
/// # Errors
///
/// Fails if the bytes are not a valid report.
pub fn decode_report(bytes: &[u8]) -> Result<Report, serde_json::Error> {
    let wire: WireReport = serde_json::from_slice(bytes)?;
    let pending = wire.pending.iter().filter_map(|name| {
        let (model, adapter) = name.split_once('/')?;
        let adapter = adapter.split_once('@').map_or(adapter, |(name, _)| name);
        Some((model.to_owned(), adapter.to_owned()))
    });
    Ok(Report {
        started_ms: wire.born.unwrap_or_default(),
        accepted_orders: wire.seq,
        is_busy: wire.busy,
        is_leaving: false,
        running: wire.running as u32,
        queued: wire.queued as u32,
        replicas: wire.models.into_iter().map(Into::into).collect(),
        pending_adapters: pending.collect(),
        copies: wire.cached_models.unwrap_or_default().into(),
    })
}

/// Builds the request for a report.
pub fn report_request(host: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::get("/api/report")
        .header("host", host)
        .body(Full::default())
}

/// Builds the request for an order to the server with this id.
pub fn order_request(
    order: &Order,
    host: &str,
    server: &str,
    holder: &str,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let wire = WireOrder {
        operation: match order.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        },
        model: &order.model,
        adapter: order.adapter.as_deref(),
        expect: order.accepted_orders,
        holder,
        fencing_token: FENCING_TOKEN,
    };
    // Encoding strings and numbers can't fail.
    let body = serde_json::to_vec(&wire).unwrap_or_default();
    Request::post("/api/order")
        .header("host", host)
        .header("content-type", "application/json")
        .header(super::header::TARGET, server)
        .body(Full::from(body))
}

/// Decodes the reply to an order from its HTTP status.
pub fn decode_reply(status: u16) -> Reply {
    match status {
        200 => Reply::Holds,
        202 => Reply::Accepted,
        409 => Reply::Conflict,
        _ => Reply::Refused(status),
    }
}

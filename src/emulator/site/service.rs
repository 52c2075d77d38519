//! A server of a plain service of the users' platform.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::sleep;

use super::{
    super::http::{
        Answer,
        Call, //
    },
    Records,
    Run,
    lock, //
};

/// A server of a plain service.
#[derive(Debug)]
pub(super) struct Service {
    id: String,
    call_time: Duration,
    records: Arc<Mutex<Records>>,
}

impl Service {
    pub(super) fn new(id: &str, call_time: Duration, records: Arc<Mutex<Records>>) -> Self {
        Self {
            id: id.to_owned(),
            call_time,
            records,
        }
    }
}

/// Answers a call with its own body.
pub(super) async fn handle(service: Arc<Service>, call: Call) -> Answer {
    let Some(request) = call.header("Request-Id").map(str::to_owned) else {
        return Answer::error(400, "no id").with_header("Not-Executed", "1".to_owned());
    };
    if call
        .header("Target-Instance")
        .is_some_and(|id| id != service.id)
    {
        return Answer::error(421, "not here").with_header("Instance-Id", service.id.clone());
    }
    let run = Run {
        server: service.id.clone(),
        request: request.clone(),
        path: call.path.clone(),
        body: call.body.to_vec(),
        abandoned: false,
    };
    lock(&service.records).runs.push(run);
    sleep(service.call_time).await;
    Answer::whole(200, "text/plain", Bytes::from(call.body.to_vec()))
        .with_header("Response-Signature", format!("signature-{request}"))
        .with_header("Request-Id", request)
        .with_header("Server-Load", "1,0,6".to_owned())
}

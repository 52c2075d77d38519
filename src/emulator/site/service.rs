//! A server of a plain service of the users' platform.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use tokio::time::sleep;

use super::{
    super::http::{
        Call,
        Response, //
    },
    Records,
    Run,
    lock,
    values, //
};

/// A server of a plain service.
#[derive(Debug)]
pub(super) struct Service {
    id: String,
    call_time: Duration,
    /// Whether all responses announce that the server leaves.
    is_leaving: AtomicBool,
    /// End of the time for which the server has asked for rest.
    resting_until: Mutex<Option<Instant>>,
    /// Time for which the next response asks for rest, as the text of its header.
    next_rest: Mutex<Option<String>>,
    /// Limit on requests that all responses name, as the text of its header.
    limit: Mutex<Option<String>>,
    records: Arc<Mutex<Records>>,
}

impl Service {
    pub(super) fn new(id: &str, call_time: Duration, records: Arc<Mutex<Records>>) -> Self {
        Self {
            id: id.to_owned(),
            call_time,
            is_leaving: AtomicBool::new(false),
            resting_until: Mutex::default(),
            next_rest: Mutex::default(),
            limit: Mutex::default(),
            records,
        }
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    pub(super) fn ask_for_rest(&self, text: &str) {
        *lock(&self.next_rest) = Some(text.to_owned());
    }

    pub(super) fn name_limit(&self, text: Option<&str>) {
        *lock(&self.limit) = text.map(str::to_owned);
    }

    /// Returns the refusal of the request if the server asks for rest. A request during a rest is a
    /// violation.
    fn refusal(&self) -> Option<Response> {
        let now = Instant::now();
        let is_resting = lock(&self.resting_until).is_some_and(|until| now < until);
        if is_resting {
            let violation = format!("a request reached {} while it rests", self.id);
            lock(&self.records).violations.push(violation);
        }
        let text = lock(&self.next_rest).take()?;
        if let Ok(seconds) = text.parse() {
            *lock(&self.resting_until) = Some(now + Duration::from_secs_f64(seconds));
        }
        let response = Response::error(503, "overloaded");
        Some(
            response
                .with_header("Not-Executed", "1".to_owned())
                .with_header("Retry-After", text),
        )
    }
}

/// Handles a call. A server that leaves or has a limit names that in every response.
pub(super) async fn handle(service: Arc<Service>, call: Call) -> Response {
    let is_leaving = service.is_leaving.load(Ordering::Relaxed);
    let limit = lock(&service.limit).clone();
    let mut response = run(service, call).await;
    if is_leaving {
        response = response.with_header("Server-Leaving", "1".to_owned());
    }
    if let Some(limit) = limit {
        response = response.with_header("Server-Limit", limit);
    }
    response
}

/// Runs a call and returns its own body as the response.
async fn run(service: Arc<Service>, call: Call) -> Response {
    let Some(request) = call.header("Request-Id").map(str::to_owned) else {
        return Response::error(400, "no Request-Id header")
            .with_header("Not-Executed", "1".to_owned());
    };
    if call
        .header("Target-Instance")
        .is_some_and(|id| id != service.id)
    {
        return Response::error(421, "addressed to another server")
            .with_header("Instance-Id", service.id.clone());
    }
    if let Some(refusal) = service.refusal() {
        return refusal;
    }
    let run = Run {
        server: service.id.clone(),
        request: request.clone(),
        path: call.path.clone(),
        body: call.body.to_vec(),
        abandoned: false,
        accounts: values(&call, "tenant"),
        credentials: values(&call, "authorization"),
    };
    lock(&service.records).runs.push(run);
    sleep(service.call_time).await;
    Response::buffered(200, "text/plain", Bytes::from(call.body.to_vec()))
        .with_header("Response-Signature", format!("signature-{request}"))
        .with_header("Request-Id", request)
        .with_header("Server-Load", "1,0,6".to_owned())
}

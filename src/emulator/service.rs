//! Emulator of a plain service, which is one that runs no models. It records each call; bookings
//! and orders can be read back by id, and other calls get their own body as the response.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use super::{
    fault::Faults,
    http::{
        self,
        Call,
        Response, //
    },
};

/// A call that the service executed.
#[derive(Debug, Clone, Serialize)]
struct Run {
    /// Number of the run, from 1, which is also the id of a booking or order that it created.
    id: String,
    method: String,
    path: String,
    /// Request id.
    request: String,
    body: String,
}

/// A server of the plain service.
#[derive(Debug)]
struct Service {
    /// Duration of a call.
    call_time: Duration,
    runs: Mutex<Vec<Run>>,
}

/// Serves the plain service.
pub(super) fn serve(listen: SocketAddr, call_time: Duration) -> io::Result<()> {
    let service = Arc::new(Service {
        call_time,
        runs: Mutex::default(),
    });
    http::serve(listen, Arc::new(Faults::new()), move |call| {
        handle(service.clone(), call)
    })
}

async fn handle(service: Arc<Service>, call: Call) -> Response {
    if call.path == "/record" {
        return service.record();
    }
    sleep(service.call_time).await;
    let run = service.run(&call);
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["bookings" | "orders"]) => Response::json(201, &run),
        ("GET", ["records", id]) => service.find(id),
        _ => {
            let content_type = call.header("Content-Type").unwrap_or("text/plain");
            Response::buffered(200, content_type, call.body.clone())
        }
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call as executed.
    fn run(&self, call: &Call) -> Run {
        let mut runs = self.lock();
        let run = Run {
            id: format!("{}", runs.len() + 1),
            method: call.method.to_string(),
            path: call.path.clone(),
            request: call.header("X-Request-Id").unwrap_or_default().to_owned(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
        };
        runs.push(run.clone());
        run
    }

    /// Returns the booking or order with the id.
    fn find(&self, id: &str) -> Response {
        let runs = self.lock();
        let created = runs.iter().find(|run| run.id == id && run.method == "POST");
        match created {
            Some(run) => Response::json(200, run),
            None => Response::error(404, "no such record"),
        }
    }

    fn record(&self) -> Response {
        let runs = self.lock();
        let mut runs_by_body: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.method != "GET") {
            *runs_by_body.entry(&run.body).or_default() += 1;
        }
        Response::json(200, &json!({ "runs": *runs, "runs_by_body": runs_by_body }))
    }
}

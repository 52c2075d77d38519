//! Emulator of a plain service.

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
        Answer,
        Call, //
    },
};

/// A call that ran.
#[derive(Debug, Clone, Serialize)]
struct Run {
    id: String,
    method: String,
    path: String,
    request: String,
    body: String,
}

#[derive(Debug)]
struct Service {
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

async fn handle(service: Arc<Service>, call: Call) -> Answer {
    if call.path == "/record" {
        return service.record();
    }
    sleep(service.call_time).await;
    let run = service.run(&call);
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["bookings" | "orders"]) => Answer::json(201, &run),
        ("GET", ["records", id]) => service.find(id),
        _ => {
            let content_type = call.header("Content-Type").unwrap_or("text/plain");
            Answer::whole(200, content_type, call.body.clone())
        }
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

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

    /// Answers with the booking or order that has the id.
    fn find(&self, id: &str) -> Answer {
        let runs = self.lock();
        let made = runs.iter().find(|run| run.id == id && run.method == "POST");
        match made {
            Some(run) => Answer::json(200, run),
            None => Answer::error(404, "no such record"),
        }
    }

    fn record(&self) -> Answer {
        let runs = self.lock();
        let mut runs_by_body: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.method != "GET") {
            *runs_by_body.entry(&run.body).or_default() += 1;
        }
        Answer::json(200, &json!({ "runs": *runs, "runs_by_body": runs_by_body }))
    }
}

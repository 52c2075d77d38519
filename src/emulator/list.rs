//! Emulator of the instance list.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use serde_json::json;

use super::{
    fault::Faults,
    http::{
        self,
        Call,
        Response, //
    },
};
use crate::client::list::Instance;

/// A change of the list. It removes the name if it has no instance.
#[derive(Debug)]
struct Change {
    visible_at: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Debug, Default)]
struct State {
    /// Version of the visible list, which the `ETag` header contains.
    version: u64,
    visible: BTreeMap<String, Instance>,
    /// Changes that are not visible yet, the oldest first.
    pending: VecDeque<Change>,
    /// Number of changes received.
    changes: u64,
    /// Number of polls.
    polls: u64,
    /// Number of polls that found the list unchanged.
    unchanged: u64,
}

impl State {
    /// Applies the changes that have become visible.
    fn advance(&mut self, now: Instant) {
        while let Some(change) = self.pending.pop_front_if(|change| change.visible_at <= now) {
            match change.instance {
                Some(instance) => self.visible.insert(change.name, instance),
                None => self.visible.remove(&change.name),
            };
            self.version += 1;
        }
    }
}

/// The instance list.
#[derive(Debug)]
struct List {
    /// Delay after which a change becomes visible.
    lag: Duration,
    state: Mutex<State>,
}

/// Serves the list.
pub(super) fn serve(listen: SocketAddr, lag: Duration) -> io::Result<()> {
    let list = Arc::new(List {
        lag,
        state: Mutex::default(),
    });
    http::serve(listen, Arc::new(Faults::new()), move |call| {
        let response = list.handle(&call);
        async { response }
    })
}

impl List {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, call: &Call) -> Response {
        match (call.method.as_str(), call.segments().as_slice()) {
            ("GET", ["record"]) => self.record(),
            ("GET", ["instances"]) => self.poll(call),
            ("PUT", ["instances", name]) => self.put(name, call),
            ("DELETE", ["instances", name]) => self.change(name, None),
            _ => Response::error(404, "no such path"),
        }
    }

    fn poll(&self, call: &Call) -> Response {
        let mut state = self.lock();
        state.advance(Instant::now());
        state.polls += 1;
        let etag = format!("\"{}\"", state.version);
        if call.header("If-None-Match") == Some(&etag) {
            state.unchanged += 1;
            return Response::buffered(304, "application/json", Bytes::new())
                .with_header("etag", etag);
        }
        let instances: Vec<&Instance> = state.visible.values().collect();
        Response::json(200, &instances).with_header("etag", etag)
    }

    fn put(&self, name: &str, call: &Call) -> Response {
        match serde_json::from_slice::<Instance>(&call.body) {
            Ok(instance) if instance.name.as_str() == name => self.change(name, Some(instance)),
            Ok(_) => Response::error(400, "instance name differs from the path"),
            Err(error) => Response::error(400, &error.to_string()),
        }
    }

    fn change(&self, name: &str, instance: Option<Instance>) -> Response {
        let mut state = self.lock();
        state.changes += 1;
        state.pending.push_back(Change {
            visible_at: Instant::now() + self.lag,
            name: name.to_owned(),
            instance,
        });
        Response::json(200, &json!({}))
    }

    fn record(&self) -> Response {
        let state = self.lock();
        Response::json(
            200,
            &json!({
                "changes": state.changes,
                "polls": state.polls,
                "unchanged": state.unchanged,
            }),
        )
    }
}

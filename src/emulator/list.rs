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
        Answer,
        Call, //
    },
};
use crate::client::list::Instance;

/// A change of the list; without an instance it removes the name.
#[derive(Debug)]
struct Change {
    visible_at: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    visible: BTreeMap<String, Instance>,
    pending: VecDeque<Change>,
    changes: u64,
    polls: u64,
    unchanged: u64,
}

impl State {
    /// Makes the changes visible that are due.
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

#[derive(Debug)]
struct List {
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
        let answer = list.handle(&call);
        async { answer }
    })
}

impl List {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, call: &Call) -> Answer {
        match (call.method.as_str(), call.segments().as_slice()) {
            ("GET", ["record"]) => self.record(),
            ("GET", ["instances"]) => self.poll(call),
            ("PUT", ["instances", name]) => self.put(name, call),
            ("DELETE", ["instances", name]) => self.change(name, None),
            _ => Answer::error(404, "no such path"),
        }
    }

    fn poll(&self, call: &Call) -> Answer {
        let mut state = self.lock();
        state.advance(Instant::now());
        state.polls += 1;
        let etag = format!("\"{}\"", state.version);
        if call.header("If-None-Match") == Some(&etag) {
            state.unchanged += 1;
            return Answer::whole(304, "application/json", Bytes::new()).with_header("etag", etag);
        }
        let instances: Vec<&Instance> = state.visible.values().collect();
        Answer::json(200, &instances).with_header("etag", etag)
    }

    fn put(&self, name: &str, call: &Call) -> Answer {
        match serde_json::from_slice::<Instance>(&call.body) {
            Ok(instance) if instance.name.as_str() == name => self.change(name, Some(instance)),
            Ok(_) => Answer::error(400, "the name differs from the path"),
            Err(error) => Answer::error(400, &error.to_string()),
        }
    }

    fn change(&self, name: &str, instance: Option<Instance>) -> Answer {
        let mut state = self.lock();
        state.changes += 1;
        state.pending.push_back(Change {
            visible_at: Instant::now() + self.lag,
            name: name.to_owned(),
            instance,
        });
        Answer::json(200, &json!({}))
    }

    fn record(&self) -> Answer {
        let state = self.lock();
        Answer::json(
            200,
            &json!({
                "changes": state.changes,
                "polls": state.polls,
                "unchanged": state.unchanged,
            }),
        )
    }
}

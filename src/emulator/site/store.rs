//! The store of the users' platform: keyed topics with reads that wait.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use base64::{
    Engine as _,
    engine::general_purpose::STANDARD, //
};
use bytes::Bytes;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    sync::watch,
    time::timeout, //
};

use super::super::http::{
    Answer,
    Call, //
};

/// A record: its key and its value.
type Record = (String, Vec<u8>);

/// Keyed topics with one partition each.
#[derive(Debug, Default)]
pub(super) struct Store {
    topics: Mutex<BTreeMap<String, Vec<Record>>>,
    grown: watch::Sender<u64>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Vec<Record>>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record.
    pub(super) fn put(&self, topic: &str, key: &str, value: &Value) {
        let record = (key.to_owned(), value.to_string().into_bytes());
        self.lock()
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.grown.send_modify(|count| *count += 1);
    }

    fn newest(&self, topic: &str) -> Answer {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<&str, (usize, &[u8])> = records
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| (key.as_str(), (offset, value.as_slice())))
            .collect();
        let items: Vec<_> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let end = records.len();
        Answer::json(
            200,
            &json!({ "items": items, "hasMore": false, "endOffset": end }),
        )
    }

    /// Returns the end of a topic and its records from an offset, as a read answers them.
    fn read(&self, topic: &str, from: usize) -> Option<Vec<u8>> {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let new = records.get(from..).filter(|new| !new.is_empty())?;
        let mut body = header(records.len());
        for (key, value) in new {
            let length = 1 + key.len() + value.len();
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some(body)
    }
}

fn header(end: usize) -> Vec<u8> {
    let mut body = (end as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0_u64.to_be_bytes());
    body
}

/// Answers a call.
pub(super) async fn handle(store: Arc<Store>, call: Call) -> Answer {
    let topic = call.query.get("topic").cloned().unwrap_or_default();
    match call.path.as_str() {
        "/api/log-newest" => store.newest(&topic),
        "/api/log-read" => {
            let from = call.number("from").unwrap_or_default() as usize;
            let wait = Duration::from_millis(call.number("waitMs").unwrap_or_default());
            let body = wait_for(&store, &topic, from, wait).await;
            Answer::whole(200, "application/octet-stream", Bytes::from(body))
        }
        _ => Answer::error(404, "no such call"),
    }
}

async fn wait_for(store: &Store, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
    let mut grown = store.grown.subscribe();
    let found = async {
        loop {
            grown.mark_unchanged();
            if let Some(body) = store.read(topic, from) {
                return body;
            }
            // The sender lives as long as the store.
            let _ = grown.changed().await;
        }
    };
    let found = timeout(wait, found).await;
    found.unwrap_or_else(|_| header(from))
}

//! The store of the users' platform: topics of keyed records, with reads that wait for new records.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
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
    Call,
    Response, //
};

/// A record: key and value.
type Record = (String, Vec<u8>);

/// A store of keyed topics with one partition each.
#[derive(Debug, Default)]
pub(super) struct Store {
    topics: Mutex<BTreeMap<String, Vec<Record>>>,
    /// Number of records appended to all topics; wakes waiting reads.
    append_count: watch::Sender<u64>,
    /// Number of times that the store came back from a copy.
    era: AtomicU64,
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
        self.append_count.send_modify(|count| *count += 1);
    }

    /// Appends the records of a call to a topic whose records have keys.
    fn append(&self, topic: &str, mut body: &[u8]) -> Response {
        let mut records = Vec::new();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let record = rest.split_at_checked(length);
            let Some((Some((key_length, keyed)), rest)) =
                record.map(|(record, rest)| (record.split_first(), rest))
            else {
                return Response::error(400, "a record is cut short");
            };
            let Some((key, value)) = keyed.split_at_checked(usize::from(*key_length)) else {
                return Response::error(400, "a key is cut short");
            };
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = rest;
        }
        self.lock()
            .entry(topic.to_owned())
            .or_default()
            .extend(records);
        self.append_count.send_modify(|count| *count += 1);
        Response::json(200, &json!({ "endOffset": self.end(topic) }))
    }

    /// Returns the number of records appended so far, including lost ones.
    pub(super) fn record_count(&self) -> u64 {
        *self.append_count.borrow()
    }

    /// Drops the newest `lost` records of each topic and raises the era.
    pub(super) fn restore(&self, lost: usize) {
        for records in self.lock().values_mut() {
            records.truncate(records.len().saturating_sub(lost));
        }
        self.era.fetch_add(1, Ordering::Relaxed);
        self.append_count.send_modify(|_| ());
    }

    /// Returns the newest record of each key, and the offset after the last record.
    fn newest(&self, topic: &str) -> Response {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<&str, (usize, &[u8])> = records
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| (key.as_str(), (offset, value.as_slice())))
            .collect();
        let items: Vec<_> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let end = records.len();
        Response::json(
            200,
            &json!({ "items": items, "hasMore": false, "endOffset": end }),
        )
    }

    /// Returns the offset after the last record of a topic.
    fn end(&self, topic: &str) -> usize {
        self.lock().get(topic).map_or(0, Vec::len)
    }

    /// Returns the response body of a read: the header and the records from an offset on. Returns
    /// `None` if there are none.
    fn read(&self, topic: &str, from: usize) -> Option<Vec<u8>> {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let new_records = records
            .get(from..)
            .filter(|new_records| !new_records.is_empty())?;
        let mut body = header(records.len());
        for (key, value) in new_records {
            let length = 1 + key.len() + value.len();
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some(body)
    }
}

/// Returns the start of the response body of a read: the offset after the last record of the topic,
/// and the first retained offset, which is always 0.
fn header(end: usize) -> Vec<u8> {
    let mut body = (end as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0_u64.to_be_bytes());
    body
}

/// Handles a call.
pub(super) async fn handle(store: Arc<Store>, call: Call) -> Response {
    let response = read(&store, &call).await;
    response.with_header("Store-Era", store.era.load(Ordering::Relaxed).to_string())
}

async fn read(store: &Store, call: &Call) -> Response {
    let topic = call.query.get("topic").cloned().unwrap_or_default();
    match call.path.as_str() {
        "/api/log-newest" => store.newest(&topic),
        "/api/log-read" => {
            let from = call.number("from").unwrap_or_default() as usize;
            let wait = Duration::from_millis(call.number("waitMs").unwrap_or_default());
            if from > store.end(&topic) {
                return Response::error(410, "no such offset");
            }
            let body = read_or_wait(store, &topic, from, wait).await;
            Response::buffered(200, "application/octet-stream", Bytes::from(body))
        }
        "/api/log-append" => store.append(&topic, &call.body),
        _ => Response::error(404, "no such path"),
    }
}

/// Returns the response body of a read, waiting up to `wait` for a record from the offset on.
async fn read_or_wait(store: &Store, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
    let mut append_count = store.append_count.subscribe();
    let body = async {
        loop {
            append_count.mark_unchanged();
            if let Some(body) = store.read(topic, from) {
                return body;
            }
            // The sender lives as long as the store.
            let _ = append_count.changed().await;
        }
    };
    let body = timeout(wait, body).await;
    body.unwrap_or_else(|_| header(from))
}

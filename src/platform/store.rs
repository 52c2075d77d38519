//! Client of the platform's store.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::Duration, //
};

use base64::{
    Engine as _,
    engine::general_purpose::STANDARD, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, StatusCode,
    header::{
        HOST,
        HeaderName, //
    },
};
use serde::Deserialize;
use tokio::time::timeout;

use super::{
    configuration,
    server, //
};
use crate::{
    deployment::{
        Configuration,
        Server, //
    },
    http::{
        Body,
        Piece,
        Pool, //
    },
    quarantine::Stored,
    report,
    timer::Time,
    watch::{
        Change,
        Error,
        Listing,
        Read, //
    },
};

/// Topic and key of the operators' configuration.
const CONFIGURATION_TOPIC: &str = "keyed.op";
const CONFIGURATION_KEY: &str = "config";

/// Topic of the servers' descriptions. The key of a record is the server's id.
const SERVERS_TOPIC: &str = "keyed.servers";

/// Topic of what crashes servers.
const QUARANTINE_TOPIC: &str = "keyed.quarantine";

/// Maximum length of a record's key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Number that rises by one each time the store comes back from a copy that lacks the newest
/// records.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Maximum size of a response of the store in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Timeout for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the next bytes of a response body. A large configuration may take seconds over a
/// busy link, so a transfer is ended only if it makes no progress.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum rate of a transfer after that time. A store in trouble may send single bytes without end,
/// while newer configurations wait.
const MIN_BYTES_PER_S: f64 = 16_384.0;

/// Maximum time for which an idle connection to the store is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    has_more: bool,
    end_offset: u64,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: String,
    /// Value of the record in Base64.
    value: String,
}

/// Client of the platform's store.
#[derive(Debug)]
pub(crate) struct Store {
    pool: Pool,
    address: SocketAddr,
    /// Highest era that a response stated.
    newest_era: Cell<u64>,
}

/// Response of the store to a read.
struct Answer {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

/// The newest record of each key of a topic.
struct Newest {
    /// Keys with their values.
    records: Vec<(String, Vec<u8>)>,
    /// Offset after the last record of the topic.
    end: u64,
    era: u64,
}

impl Store {
    /// Creates a client for the store at this address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(address),
            address,
            newest_era: Cell::new(0),
        }
    }

    /// Reads the newest configuration and the offset from which to read changes.
    pub(crate) async fn configuration(&self, response_timeout: Duration) -> Result<Change, Error> {
        let newest = self.newest(CONFIGURATION_TOPIC, response_timeout).await?;
        let mut records = newest.records.into_iter();
        let record = records.find(|(key, _)| key == CONFIGURATION_KEY);
        let configuration = match record {
            Some((_, value)) => Some(decode(&value)?),
            None => None,
        };
        Ok(Change {
            configuration,
            next: newest.end,
            era: newest.era,
        })
    }

    /// Waits for a configuration at offset `from` or later.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] if the store no longer holds the records from this offset.
    pub(crate) async fn wait_for_change(&self, from: u64, read: Read) -> Result<Change, Error> {
        let path = format!(
            "/api/log-read?topic={CONFIGURATION_TOPIC}&part=0&from={from}&waitMs={}",
            read.wait.as_millis()
        );
        let answer = self.get(&path, read.timeout).await?;
        match answer.status {
            StatusCode::OK => (),
            StatusCode::GONE => return Err(Error::Expired),
            status => return Err(Error::Status(status.as_u16())),
        }
        let (next, records) = records(&answer.body, from)?;
        let (keyed, others): (Vec<_>, Vec<_>) = records
            .into_iter()
            .map(split_key)
            .partition(Option::is_some);
        if !others.is_empty() {
            report::warn("records_without_key", &[("count", &others.len())]);
        }
        let values = keyed
            .into_iter()
            .flatten()
            .filter(|(key, _)| *key == CONFIGURATION_KEY.as_bytes())
            .map(|(_, value)| value);
        Ok(Change {
            configuration: configuration::newest(values),
            next,
            era: answer.era,
        })
    }

    /// Reads the descriptions of all servers. Entries of other writers are skipped.
    pub(crate) async fn servers(&self, response_timeout: Duration) -> Result<Listing, Error> {
        let newest = self.newest(SERVERS_TOPIC, response_timeout).await?;
        let records = newest.records.iter();
        let servers: Vec<Server> = records
            .filter_map(|(id, value)| server::decode(id, value))
            .collect();
        Ok(Listing {
            servers,
            era: newest.era,
        })
    }

    /// Reads what was kept of patterns of requests that crash servers. Records that can't be read are
    /// skipped.
    pub(crate) async fn patterns(&self, response_timeout: Duration) -> Result<Vec<Stored>, Error> {
        let newest = match self.newest(QUARANTINE_TOPIC, response_timeout).await {
            // Nothing has ever been kept.
            Err(Error::Status(404)) => return Ok(Vec::new()),
            newest => newest?,
        };
        let records = newest.records.iter();
        let (read, unreadable): (Vec<_>, Vec<_>) = records
            .map(|(_, value)| serde_json::from_slice(value).ok())
            .partition(Option::is_some);
        if !unreadable.is_empty() {
            report::warn("patterns_unreadable", &[("count", &unreadable.len())]);
        }
        Ok(read.into_iter().flatten().collect())
    }

    /// Keeps a pattern under a key, or drops what is kept there.
    pub(crate) async fn keep_pattern(
        &self,
        key: &str,
        pattern: Option<&Stored>,
        response_timeout: Duration,
    ) -> Result<(), Error> {
        let value = pattern.map_or_else(Vec::new, |pattern| {
            // Encoding can't fail: the type has only numbers.
            serde_json::to_vec(pattern).unwrap_or_default()
        });
        let path = format!("/api/log-append?topic={QUARANTINE_TOPIC}&part=0");
        let request = Request::post(path).body(Full::from(record(key, &value)));
        let answer = self.call(request, response_timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(Error::Status(status.as_u16())),
        }
    }

    /// Reads the newest record of each key of a topic.
    async fn newest(&self, topic: &str, response_timeout: Duration) -> Result<Newest, Error> {
        let mut records = Vec::new();
        let mut first: Option<(u64, u64)> = None;
        let mut path = format!("/api/log-newest?topic={topic}&part=0");
        loop {
            let answer = self.get(&path, response_timeout).await?;
            if answer.status != StatusCode::OK {
                return Err(Error::Status(answer.status.as_u16()));
            }
            let page: Page = serde_json::from_slice(&answer.body)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            // The pages don't form a snapshot. Changes since the first page are read later, from
            // the end offset of that page.
            let (end, era) = *first.get_or_insert((page.end_offset, answer.era));
            if era != answer.era {
                return Err(Error::Outdated);
            }
            let last = page.items.last().map(|item| escape(&item.key));
            for item in page.items {
                // A value that is not valid Base64 comes from another writer and is skipped.
                if let Ok(value) = STANDARD.decode(&item.value) {
                    records.push((item.key, value));
                }
            }
            match last.filter(|_| page.has_more) {
                Some(last) => path = format!("/api/log-newest?topic={topic}&part=0&after={last}"),
                None => return Ok(Newest { records, end, era }),
            }
        }
    }

    /// Sends a request; fails with [`Error::Outdated`] if the response is of an earlier era than
    /// another one that has been received.
    async fn get(&self, path: &str, response_timeout: Duration) -> Result<Answer, Error> {
        let request = Request::get(path).body(Full::default());
        self.call(request, response_timeout).await
    }

    async fn call(
        &self,
        request: hyper::http::Result<Request<Full<Bytes>>>,
        response_timeout: Duration,
    ) -> Result<Answer, Error> {
        let request = request.map_err(|error| Error::Malformed(error.to_string()))?;
        let result = self.exchange(request, response_timeout).await;
        if matches!(result, Err(Error::Timeout)) {
            // Whatever made this call hang may affect the idle connections as well.
            self.pool.clear();
        }
        let answer = result?;
        if answer.era < self.newest_era.get() {
            return Err(Error::Outdated);
        }
        self.newest_era.set(answer.era);
        Ok(answer)
    }

    /// Sends a request to the store. The timeout covers the time until the response begins.
    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        response_timeout: Duration,
    ) -> Result<Answer, Error> {
        let host = self.address.to_string().parse();
        let host = host.map_err(|_| Error::Malformed("address of the store".to_owned()))?;
        request.headers_mut().insert(HOST, host);
        let unreachable = |error: crate::http::Error| Error::Unreachable(error.to_string());
        let begin = async {
            let (mut channel, _) = self.pool.take(CONNECT_TIMEOUT).await.map_err(unreachable)?;
            let response = channel.send(request).await.map_err(unreachable)?;
            Ok((channel, response))
        };
        let begun = timeout(response_timeout, begin)
            .await
            .map_err(|_| Error::Timeout)?;
        let (channel, response) = begun?;
        let status = response.status();
        let era = era(response.headers());
        let body = read(response.into_body()).await?;
        self.pool.put(channel, IDLE_TIMEOUT);
        Ok(Answer { status, era, body })
    }
}

/// Returns the era of the store that responded; 0 if the response states none.
fn era(headers: &HeaderMap) -> u64 {
    let value = headers.get(&ERA).and_then(|value| value.to_str().ok());
    value
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or_default()
}

/// Reads a body; fails if it makes no progress for [`STALL_TIMEOUT`], or less than
/// [`MIN_BYTES_PER_S`] after that time.
async fn read(mut body: Body) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    let started = Time::now();
    loop {
        let piece = timeout(STALL_TIMEOUT, body.next()).await;
        match piece.map_err(|_| Error::Timeout)? {
            Ok(Piece::End) => return Ok(bytes.freeze()),
            Ok(Piece::Data(data)) => bytes.extend_from_slice(&data),
            Err(error) => return Err(Error::Unreachable(error.to_string())),
        }
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(Error::Malformed("the answer is too long".to_owned()));
        }
        let late = (Time::now() - started).saturating_sub(STALL_TIMEOUT);
        if (bytes.len() as f64) < MIN_BYTES_PER_S * late.as_secs_f64() {
            return Err(Error::Timeout);
        }
    }
}

fn decode(value: impl AsRef<[u8]>) -> Result<Configuration, Error> {
    configuration::decode(value.as_ref()).map_err(|error| Error::Malformed(error.to_string()))
}

/// Percent-encodes the bytes that can't occur in a query.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

/// Splits the response to a read into its records; also returns the offset after the last record.
fn records(body: &[u8], from: u64) -> Result<(u64, Vec<&[u8]>), Error> {
    let malformed = || Error::Malformed("a read that ends within a record".to_owned());
    // The response starts with the end offset and the first retained offset, 8 bytes each.
    let (end, rest) = body.split_first_chunk().ok_or_else(malformed)?;
    if u64::from_be_bytes(*end) < from {
        // The store came back without the records before this offset.
        return Err(Error::Expired);
    }
    let mut rest = rest.get(8..).ok_or_else(malformed)?;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (length, after) = rest.split_at_checked(4).ok_or_else(malformed)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]);
        let (record, after) = after
            .split_at_checked(length as usize)
            .ok_or_else(malformed)?;
        records.push(record);
        rest = after;
    }
    Ok((from + records.len() as u64, records))
}

/// Builds a record of a keyed topic, preceded by its length. An empty value drops the key.
fn record(key: &str, value: &[u8]) -> Vec<u8> {
    let key = &key.as_bytes()[..key.len().min(MAX_KEY_BYTES)];
    let length = (1 + key.len() + value.len()) as u32;
    let mut record = length.to_be_bytes().to_vec();
    record.push(key.len() as u8);
    record.extend_from_slice(key);
    record.extend_from_slice(value);
    record
}

/// Splits a record of a keyed topic into key and value.
fn split_key(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}

//! Clients, the records of their requests, and the rules that each request must keep.

use std::{
    collections::BTreeSet,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread::{
        self,
        sleep, //
    },
    time::Duration,
};

use chestnuthub::emulator::site::Run;
use fastrand::Rng;

use super::site_support::{
    HOST,
    is_terminated,
    send_raw,
    unchunked, //
};

/// Deadline of each request in ms.
const DEADLINE_MS: u64 = 3_000;

/// Timeout of a client for connecting to a gateway and for each read of the response. It is longer
/// than the deadline of the request, by which the gateway must have answered.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Start of the header of a prompt whose first part crashes engines.
const CRASHING_PROMPT: &str = "Prompt-Prefix: bad:10";

/// What a client is told whose request is refused because requests like it crash servers.
const REFUSAL: &str = "requests like this crash servers";

/// Pause between the requests of a client that crash engines.
const CRASHING_PAUSE: Duration = Duration::from_millis(350);

/// Number of events in each stream.
const EVENTS: usize = 6;

/// Kind of a request, which determines its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A call of the plain service that must not be repeated.
    Book,
    /// A call of the plain service that may be retried.
    Look,
    /// A stream that must not be repeated.
    Chat,
    /// A stream that may be resumed on another server.
    Review,
}

pub(crate) const KINDS: [Kind; 4] = [Kind::Book, Kind::Look, Kind::Chat, Kind::Review];

impl Kind {
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Book => "/book/x",
            Self::Look => "/look/x",
            Self::Chat => "/chat/x",
            Self::Review => "/review/x",
        }
    }

    const fn is_stream(self) -> bool {
        matches!(self, Self::Chat | Self::Review)
    }

    /// Maximum number of runs of a request of this kind; the routes of the test allow two attempts.
    const fn max_runs(self) -> usize {
        match self {
            Self::Book | Self::Chat => 1,
            Self::Look | Self::Review => 2,
        }
    }
}

/// Key that no configuration holds.
const FORGED_KEY: &str = "key-forged";

/// Prefix of the ids of requests that bear that key.
const FORGED_ID: &str = "forged";

/// Pause between such requests.
const FORGED_PAUSE: Duration = Duration::from_millis(120);

/// A key, and the names of the accounts that hold it, each in some versions of the configuration.
#[derive(Debug, Clone)]
pub(crate) struct Credential {
    pub(crate) key: String,
    pub(crate) accounts: Vec<String>,
}

/// A request and the part of its response that the client received. It is empty if the client could
/// not connect, or if the connection or the client's timeout ended before the first byte.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    model: &'static str,
    pub(crate) response: String,
    /// Whether the connection was closed in order after the response.
    is_closed_in_order: bool,
    /// What the client had received of the stream that this request takes up.
    earlier: Option<Earlier>,
    /// What the client bore, if the configuration has accounts.
    credential: Option<Credential>,
}

/// What a client has received of a stream that was broken.
#[derive(Debug, Clone)]
pub(crate) struct Earlier {
    /// Id of the request that brought the first event.
    first: String,
    model: &'static str,
    /// The events in order.
    events: Vec<String>,
}

impl Earlier {
    /// Returns what a client takes up again after a request, if that was a stream which may be
    /// resumed and which broke after an event.
    fn after(record: &Record) -> Option<Self> {
        let is_broken = record.kind == Kind::Review && !is_complete(&record.response);
        let events = record.all_events();
        let is_partial = !events.is_empty() && events.len() < EVENTS;
        (is_broken && is_partial).then(|| Self {
            first: match &record.earlier {
                Some(earlier) => earlier.first.clone(),
                None => record.id.clone(),
            },
            model: record.model,
            events,
        })
    }
}

impl Record {
    pub(crate) fn status(&self) -> &str {
        self.response.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns whether the request takes a stream up again.
    pub(crate) fn is_taken_up(&self) -> bool {
        self.earlier.is_some()
    }

    /// Returns the events that the client has received of the stream over all its tries.
    fn all_events(&self) -> Vec<String> {
        let earlier = self.earlier.iter();
        let mut all: Vec<_> = earlier.flat_map(|earlier| earlier.events.clone()).collect();
        if self.status() == "200" {
            all.extend(whole_events(&body(&self.response)));
        }
        all
    }

    /// Returns whether the client received the complete response of a server.
    pub(crate) fn is_served(&self) -> bool {
        self.status() == "200" && is_complete(&self.response)
    }

    /// Returns the rules that the request violates, given what the servers ran.
    pub(crate) fn violations(&self, runs: &[Run]) -> Vec<&'static str> {
        let own_runs = || runs.iter().filter(|run| run.request == self.id);
        let mut violations = Vec::new();
        let mut check = |is_kept: bool, rule| {
            if !is_kept {
                violations.push(rule);
            }
        };
        let count = own_runs().count();
        check(count <= self.kind.max_runs(), "ran too many times");
        check(
            own_runs().all(|run| run.path == self.kind.path() && run.body == self.id.as_bytes()),
            "ran with another path or body",
        );
        check(
            own_runs().all(|run| self.bears_account(run)),
            "ran for another account, or with the key",
        );
        check(
            !self.response.contains(REFUSAL),
            "refused as one that crashes servers",
        );
        match self.status() {
            "200" => self.check_response(&mut check),
            "503" | "429" | "408" | "421" => {
                check(
                    count == 0 || self.kind.max_runs() > 1,
                    "refused although it ran",
                );
                check(
                    !self.response.contains("response-signature"),
                    "refusal carries a server's signature",
                );
            }
            "502" | "504" | "" => (),
            _ => check(false, "valid request was rejected"),
        }
        if self.is_served() {
            check(count > 0, "served without a run");
        }
        violations
    }

    /// Returns whether a run of the request bore the name of the key's account and not the key. Public
    /// routes bear none.
    fn bears_account(&self, run: &Run) -> bool {
        let Some(credential) = &self.credential else {
            return run.accounts.is_empty();
        };
        let is_named = match run.accounts.as_slice() {
            [] => self.kind == Kind::Look,
            [name] => self.kind != Kind::Look && credential.accounts.contains(name),
            _ => false,
        };
        is_named && run.credentials.is_empty()
    }

    /// Checks a response with status 200.
    fn check_response(&self, check: &mut impl FnMut(bool, &'static str)) {
        let signature = format!("response-signature: signature-{}\r\n", self.id);
        check(
            self.response.contains(&signature),
            "server's signature for this request is missing",
        );
        if self.kind.is_stream() {
            let expected: Vec<_> = (0..EVENTS).map(|event| format!("data: e{event}")).collect();
            let all = self.all_events();
            // The software version follows the number of an event, unless it is the first one.
            let parts = all
                .iter()
                .map(|event| event.split_once('-').unwrap_or((event, "v1")));
            let (received, versions): (Vec<_>, BTreeSet<_>) = parts.unzip();
            check(
                received.len() <= EVENTS && received == expected[..received.len()],
                "events missing, repeated or out of order",
            );
            check(versions.len() <= 1, "events of two software versions");
            check(
                !is_complete(&self.response) || received.len() == EVENTS,
                "incomplete stream looks complete",
            );
            let is_broken = !body(&self.response).ends_with("\n\n");
            check(
                !(self.is_closed_in_order && is_unmarked(&self.response) && is_broken),
                "stream without a marked end is closed in order inside an event",
            );
        } else if is_complete(&self.response) {
            check(
                body(&self.response) == self.id,
                "response has another request's body",
            );
        }
    }
}

/// Returns whether a response has the body length that its head declares or, if chunked, its last
/// chunk.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    match length.map(str::parse) {
        Some(length) => length == Ok(body.len()),
        None => is_terminated(response),
    }
}

/// Returns the bytes of a response's body that were received.
fn body(response: &str) -> String {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    match head.contains("transfer-encoding: chunked") {
        true => unchunked(body).0,
        false => body.to_owned(),
    }
}

/// Returns the `data:` lines of the whole events of a stream.
fn whole_events(body: &str) -> Vec<String> {
    let end = body.rfind("\n\n").map_or(0, |end| end + 2);
    let lines = body[..end].lines();
    lines
        .filter(|line| line.starts_with("data: "))
        .map(str::to_owned)
        .collect()
}

/// Returns whether the head of a response gives neither a length nor chunks.
fn is_unmarked(response: &str) -> bool {
    let head = response.split("\r\n\r\n").next().unwrap_or_default();
    !head.contains("content-length: ") && !head.contains("transfer-encoding: ")
}

/// Sends random requests one after another until `stop` is set, and returns their records. With an
/// even `seed`, the client keeps its connections until the gateways close them.
pub(crate) fn run(
    gateways: &[SocketAddr],
    seed: u64,
    name: &str,
    credential: Option<&Credential>,
    stop: &AtomicBool,
) -> Vec<Record> {
    let mut random = Rng::with_seed(seed);
    let mut kept: Vec<_> = gateways.iter().map(|_| None).collect();
    let mut records: Vec<Record> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", records.len());
        let earlier = records.last().and_then(Earlier::after);
        let kind = KINDS[random.usize(..KINDS.len())];
        let model = ["m1", "m2", "m3", "m4", "m1/a1", "m3/a2"][random.usize(..6)];
        let index = random.usize(..gateways.len());
        // One request in 20 is abandoned early, usually before its response is complete.
        let leaves = random.u32(..20) == 0;
        let timeout = if leaves {
            Duration::from_millis(random.u64(5..300))
        } else {
            CLIENT_TIMEOUT
        };
        let kind = earlier.as_ref().map_or(kind, |_| Kind::Review);
        let model = earlier.as_ref().map_or(model, |earlier| earlier.model);
        let request = Request {
            id: &id,
            kind,
            path: kind.path(),
            model,
            earlier,
            credential,
        };
        let connection = &mut kept[index];
        records.push(send(gateways[index], &request, connection, timeout));
        if seed % 2 == 1 {
            *connection = None;
        }
        sleep(Duration::from_millis(random.u64(..40)));
    }
    records
}

/// Sends requests that crash engines, at random gateways, until `stop` is set. What becomes of them does
/// not matter.
pub(crate) fn run_crashing(gateways: &[SocketAddr], seed: u64, stop: &AtomicBool) {
    let mut random = Rng::with_seed(seed);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let gateway = gateways[random.usize(..gateways.len())];
        let text = format!(
            "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: bad-{number}\r\n\
             Deadline-Ms: {DEADLINE_MS}\r\nModel: m1\r\n{CRASHING_PROMPT},{number:x}:5\r\n\
             Connection: close\r\nContent-Length: 0\r\n\r\n"
        );
        thread::spawn(move || send_raw(gateway, &text));
        sleep(CRASHING_PAUSE);
    }
}

/// Sends requests with a key that no configuration holds, at random gateways, until `stop` is set.
pub(crate) fn run_forged(gateways: &[SocketAddr], seed: u64, stop: &AtomicBool) {
    let mut random = Rng::with_seed(seed);
    let credential = Credential {
        key: FORGED_KEY.to_owned(),
        accounts: Vec::new(),
    };
    let kinds = [Kind::Book, Kind::Chat, Kind::Review];
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let kind = kinds[random.usize(..kinds.len())];
        let request = Request {
            id: &format!("{FORGED_ID}-{number}"),
            kind,
            path: kind.path(),
            model: "m1",
            earlier: None,
            credential: Some(&credential),
        };
        let gateway = gateways[random.usize(..gateways.len())];
        send(gateway, &request, &mut None, CLIENT_TIMEOUT);
        sleep(FORGED_PAUSE);
    }
}

/// Returns the number of runs of requests with a key that no configuration holds.
pub(crate) fn forged_runs(runs: &[Run]) -> usize {
    let forged = runs.iter();
    forged
        .filter(|run| run.request.starts_with(FORGED_ID))
        .count()
}

/// A request to send.
pub(crate) struct Request<'a> {
    pub(crate) id: &'a str,
    pub(crate) kind: Kind,
    pub(crate) path: &'a str,
    pub(crate) model: &'static str,
    /// What the client has received of the stream that it takes up.
    pub(crate) earlier: Option<Earlier>,
    /// What the client bears, if the configuration has accounts.
    pub(crate) credential: Option<&'a Credential>,
}

impl Request<'_> {
    fn text(&self) -> String {
        let model = match self.kind.is_stream() {
            true => format!("Model: {}\r\n", self.model),
            false => String::new(),
        };
        let earlier = match &self.earlier {
            Some(earlier) => format!(
                "Resumes: {}\r\nLast-Event-Id: {}\r\n",
                earlier.first,
                earlier.events.len() - 1
            ),
            None => String::new(),
        };
        // The name of another account is the client's own invention.
        let credential = self.credential.map_or(String::new(), |credential| {
            format!(
                "Authorization: Bearer {}\r\nTenant: other\r\n",
                credential.key
            )
        });
        format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
             {model}{earlier}{credential}Content-Length: {}\r\n\r\n{}",
            self.path,
            self.id,
            self.id.len(),
            self.id
        )
    }
}

/// Sends a request on the kept connection, or on a new one if there is none, and reads the response
/// until it is complete, the connection ends or a read times out. Keeps the connection if it may be
/// used again.
pub(crate) fn send(
    gateway: SocketAddr,
    request: &Request<'_>,
    kept: &mut Option<TcpStream>,
    timeout: Duration,
) -> Record {
    let mut record = Record {
        id: request.id.to_owned(),
        kind: request.kind,
        model: request.model,
        response: String::new(),
        is_closed_in_order: false,
        earlier: request.earlier.clone(),
        credential: request.credential.cloned(),
    };
    let stream = kept
        .take()
        .map_or_else(|| TcpStream::connect_timeout(&gateway, timeout), Ok);
    let Ok(mut stream) = stream else {
        return record;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let mut response = Vec::new();
    if stream.write_all(request.text().as_bytes()).is_ok() {
        let mut buffer = [0; 4096];
        // An error or the end after part of the response is no failure: the record keeps that part.
        while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 {
                record.is_closed_in_order = true;
                break;
            }
            response.extend_from_slice(&buffer[..count]);
            record.response = String::from_utf8_lossy(&response).into_owned();
            if is_complete(&record.response) {
                let closes = record.response.contains("connection: close\r\n");
                *kept = (!closes).then_some(stream);
                break;
            }
        }
    }
    record
}

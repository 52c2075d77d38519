//! Clients, their records, and what must hold for each request.

use std::{
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
    thread::sleep,
    time::Duration,
};

use chestnuthub::emulator::site::Run;
use fastrand::Rng;

use super::site_support::{
    HOST,
    events,
    is_whole, //
};

/// Deadline of each request.
const DEADLINE_MS: u64 = 3_000;

/// Time for which a client waits for a silent gateway.
const PATIENCE: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Events of each stream.
const EVENTS: usize = 6;

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A plain call that may run once.
    Book,
    /// A plain call that may run again.
    Look,
    /// A stream that may run once.
    Chat,
    /// A stream that may be resumed.
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

    /// Most servers that may run a request of this kind, as the routes of the test say.
    const fn most_runs(self) -> usize {
        match self {
            Self::Book | Self::Chat => 1,
            Self::Look | Self::Review => 2,
        }
    }
}

/// A request and what came back, which is empty if the client left.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) answer: String,
}

impl Record {
    pub(crate) fn status(&self) -> &str {
        self.answer.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns whether the client has the whole answer of a server.
    pub(crate) fn is_served(&self) -> bool {
        self.status() == "200" && is_complete(&self.answer)
    }

    /// Returns the rules that are broken, given what the servers ran for this request.
    pub(crate) fn broken(&self, runs: &[Run]) -> Vec<&'static str> {
        let own = || runs.iter().filter(|run| run.request == self.id);
        let mut broken = Vec::new();
        let mut check = |holds: bool, rule| {
            if !holds {
                broken.push(rule);
            }
        };
        let count = own().count();
        check(count <= self.kind.most_runs(), "ran too often");
        check(
            own().all(|run| run.path == self.kind.path() && run.body == self.id.as_bytes()),
            "another request ran",
        );
        match self.status() {
            "200" => self.check_answer(&mut check),
            "503" | "429" | "408" | "421" => {
                check(
                    count == 0 || self.kind.most_runs() > 1,
                    "refused and has run",
                );
                check(
                    !self.answer.contains("response-signature"),
                    "a signed refusal",
                );
            }
            "502" | "504" | "" => (),
            _ => check(false, "a proper request was denied"),
        }
        if self.is_served() {
            check(count > 0, "an answer without a run");
        }
        broken
    }

    fn check_answer(&self, check: &mut impl FnMut(bool, &'static str)) {
        let signature = format!("response-signature: signature-{}\r\n", self.id);
        check(self.answer.contains(&signature), "no signature of this run");
        if self.kind.is_stream() {
            let expected: Vec<_> = (0..EVENTS).map(|event| format!("data: e{event}")).collect();
            let seen = events(&self.answer);
            check(
                seen.len() <= EVENTS && seen == expected[..seen.len()],
                "events out of order",
            );
            check(
                !is_complete(&self.answer) || seen.len() == EVENTS,
                "a stream looks whole",
            );
        } else if is_complete(&self.answer) {
            check(self.answer.contains(&self.id), "another body");
        }
    }
}

/// Returns whether an answer has all bytes that its head promises.
fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    match length.map(str::parse) {
        Some(length) => length == Ok(body.len()),
        None => is_whole(answer),
    }
}

/// Sends requests until `stop` is set.
pub(crate) fn run(
    gateways: &[SocketAddr],
    seed: u64,
    name: &str,
    stop: &AtomicBool,
) -> Vec<Record> {
    let mut random = Rng::with_seed(seed);
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", records.len());
        let kind = KINDS[random.usize(..KINDS.len())];
        let model = ["m1", "m2", "m3", "m4", "m1/a1", "m3/a2"][random.usize(..6)];
        let gateway = gateways[random.usize(..gateways.len())];
        // A few clients leave before the answer is complete.
        let leaves = random.u32(..20) == 0;
        let patience = if leaves {
            Duration::from_millis(random.u64(5..300))
        } else {
            PATIENCE
        };
        records.push(ask(gateway, &id, kind, kind.path(), model, patience));
        sleep(Duration::from_millis(random.u64(..40)));
    }
    records
}

/// Sends a request and reads until the connection ends or the client's patience does.
pub(crate) fn ask(
    gateway: SocketAddr,
    id: &str,
    kind: Kind,
    path: &str,
    model: &str,
    patience: Duration,
) -> Record {
    let model = if kind.is_stream() {
        format!("Model: {model}\r\n")
    } else {
        String::new()
    };
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         {model}Connection: close\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    );
    let mut answer = Vec::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&gateway, patience) {
        // What was read before a reset or the end of the patience counts.
        let _ = stream.set_read_timeout(Some(patience));
        let _ = stream
            .write_all(text.as_bytes())
            .and_then(|()| stream.read_to_end(&mut answer).map(|_| ()));
    }
    Record {
        id: id.to_owned(),
        kind,
        answer: String::from_utf8_lossy(&answer).into_owned(),
    }
}

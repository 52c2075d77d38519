//! Answers of servers that are framed and broken off in every way.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::Duration,
};

use chestnuthub::emulator::site::{
    Delivery,
    Ending,
    Endless,
    Framing,
    Plan,
    Site, //
};

use crate::{
    deployment::{
        Deployment,
        Request, //
    },
    site_support::{
        configuration,
        unchunked,
        wait_until, //
    },
};

/// Body of the plain requests; plain servers send it back.
const BODY: &str = "one booking of a laptop";

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Idempotent,
    NonIdempotent,
    Stream,
    ResumableStream,
}

/// What a client can tell of an answer by its framing and the end of its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Claim {
    /// The framing says that the answer is whole.
    Whole,
    /// The answer has neither length nor chunks, and its connection ended in order.
    None,
    /// The answer has been broken off.
    Broken,
}

/// What a client received.
#[derive(Debug)]
struct Received {
    head: String,
    body: String,
    claim: Claim,
}

impl Kind {
    const ALL: [Self; 4] = [
        Self::Idempotent,
        Self::NonIdempotent,
        Self::Stream,
        Self::ResumableStream,
    ];

    fn request(self, id: &str) -> Request<'_> {
        let plain = |path| Request {
            body: BODY,
            ..Request::new(id, path)
        };
        match self {
            Self::Idempotent => plain("/look/x"),
            Self::NonIdempotent => plain("/book/x"),
            Self::Stream => Request::model(id, "/chat/x", "m1"),
            Self::ResumableStream => Request::model(id, "/review/x", "m1"),
        }
    }

    /// Returns the body of a whole answer.
    fn whole(self) -> String {
        match self {
            Self::Idempotent | Self::NonIdempotent => BODY.to_owned(),
            Self::Stream | Self::ResumableStream => (0..6).map(event).collect(),
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: e{number}\n\n")
}

/// Sends a request on a connection of its own and reads until the connection ends.
fn exchange(system: &Deployment, request: &Request<'_>) -> Received {
    exchange_text(system.caller_addr, &request.text())
}

fn exchange_text(gateway: SocketAddr, text: &str) -> Received {
    let mut stream = TcpStream::connect(gateway).expect("the gateway accepts");
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let mut bytes = Vec::new();
    let is_reset = match stream.read_to_end(&mut bytes) {
        Ok(_) => false,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => true,
        Err(error) => panic!("reading the answer: {error}"),
    };
    let text = String::from_utf8(bytes).expect("the answer is text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let (body, is_whole) = if head.contains("transfer-encoding: chunked") {
        unchunked(body)
    } else if let Some(length) = length {
        let length: usize = length.parse().expect("a length");
        (body.to_owned(), body.len() == length)
    } else {
        (body.to_owned(), true)
    };
    let is_framed = length.is_some() || head.contains("transfer-encoding: chunked");
    let claim = match (is_whole && !is_reset, is_framed) {
        (false, _) => Claim::Broken,
        (true, true) => Claim::Whole,
        (true, false) => Claim::None,
    };
    Received { head, body, claim }
}

/// Starts a deployment whose servers deliver their answers as the tests ask.
fn start() -> Deployment {
    let plan = Plan {
        engines: vec![vec!["m1"], vec!["m1"]],
        event_interval: Duration::from_millis(5),
        ..Plan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    site.start_raw().expect("the raw servers start");
    site.configure(&configuration(1, &[]));
    let system = Deployment::start_unconfigured(site);
    wait_until("the gateway is ready", || system.is_ready());
    for kind in Kind::ALL {
        wait_until("requests are served", || {
            exchange(&system, &kind.request("warm-up"))
                .head
                .contains(" 200 ")
        });
    }
    system
}

/// Returns the places at which an answer is broken off: before its first byte, inside an event or a
/// body, and between two events.
fn cuts(kind: Kind) -> Vec<usize> {
    if !kind.is_stream() {
        return vec![0, 1, BODY.len() - 1];
    }
    let between = event(0).len() + event(1).len();
    vec![0, 3, between - 1, between, between + 4]
}

/// Returns whether a stream that ends after so many bytes ends inside an event.
fn is_inside_event(bytes: usize) -> bool {
    !bytes.is_multiple_of(event(0).len())
}

/// Guards against a client that holds a short answer which its framing calls whole.
#[test]
fn no_broken_answer_is_framed_as_complete() {
    let system = start();
    let mut failures = Vec::new();
    let mut number = 0;
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        for ending in [Ending::Close, Ending::Reset] {
            for kind in Kind::ALL {
                for cut in cuts(kind) {
                    number += 1;
                    system.site.deliver(&Delivery {
                        framing,
                        cut: Some(cut),
                        ending,
                        seed: number,
                        ..Delivery::default()
                    });
                    let id = format!("cut-{number}");
                    let received = exchange(&system, &kind.request(&id));
                    let case =
                        format!("{framing:?} {ending:?} {kind:?} cut at {cut}: {received:?}");
                    let whole = kind.whole();
                    if received.claim == Claim::Whole
                        && received.head.contains(" 200 ")
                        && received.body != whole
                    {
                        failures.push(case.clone());
                    }
                    if received.claim == Claim::None
                        && kind.is_stream()
                        && is_inside_event(received.body.len())
                    {
                        failures.push(format!("ends in order inside an event: {case}"));
                    }
                    if received.head.contains(" 200 ") && !whole.starts_with(&received.body) {
                        failures.push(format!("other bytes: {case}"));
                    }
                }
            }
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {number}:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

/// Guards against a whole answer that reaches its client as a broken one, or changed.
#[test]
fn whole_answers_of_any_framing_reach_their_clients() {
    let system = start();
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        for (seed, kind) in (0..).zip(Kind::ALL) {
            system.site.deliver(&Delivery {
                framing,
                seed,
                ..Delivery::default()
            });
            let id = format!("whole-{framing:?}-{seed}");
            let received = exchange(&system, &kind.request(&id));
            let case = format!("{framing:?} {kind:?}: {received:?}");
            assert_eq!(received.body, kind.whole(), "{case}");
            assert_ne!(received.claim, Claim::Broken, "{case}");
        }
    }
}

/// Guards against a stream that ends inside an event and reaches its client as whole because its
/// server has framed it as whole.
#[test]
fn a_stream_that_is_framed_as_whole_is_judged_by_its_events() {
    let system = start();
    for framing in [Framing::Length, Framing::Chunks] {
        for kind in [Kind::Stream, Kind::ResumableStream] {
            for cut in [3, event(0).len() - 1, event(0).len() + 1] {
                system.site.deliver(&Delivery {
                    framing,
                    cut: Some(cut),
                    hides_cut: true,
                    ..Delivery::default()
                });
                let id = format!("hidden-{framing:?}-{kind:?}-{cut}");
                let received = exchange(&system, &kind.request(&id));
                assert_eq!(
                    received.claim,
                    Claim::Broken,
                    "{kind:?} at {cut}: {received:?}"
                );
            }
        }
    }
}

/// Guards against an answer that ends with the process of its server and reaches its client as one
/// that ended in order.
#[test]
fn an_answer_that_ends_with_its_server_is_broken() {
    for kind in [Kind::Idempotent, Kind::NonIdempotent, Kind::Stream] {
        let system = start();
        system.site.deliver(&Delivery {
            framing: Framing::Connection,
            cut: Some(event(0).len()),
            ending: Ending::Crash,
            ..Delivery::default()
        });
        let received = exchange(&system, &kind.request("crash"));
        assert_eq!(received.claim, Claim::Broken, "{kind:?}: {received:?}");
    }
}

/// Guards against a broken answer that looks complete to a client of HTTP/1.0, which knows no chunks.
#[test]
fn a_broken_answer_resets_the_connection_of_an_old_client() {
    let system = start();
    system.site.deliver(&Delivery {
        cut: Some(event(0).len()),
        ..Delivery::default()
    });
    let text = Kind::Stream.request("old").text();
    let received = exchange_text(system.caller_addr, &text.replace("HTTP/1.1", "HTTP/1.0"));
    assert_eq!(received.claim, Claim::Broken, "{received:?}");
}

/// Guards against an answer that ends in order for its client because the gateway is killed.
#[test]
fn a_killed_gateway_resets_answers_without_a_marked_end() {
    let system = start();
    system.site.deliver(&Delivery {
        framing: Framing::Connection,
        endless: Some(Endless {
            start: b"\r\nid: 0\ndata: e0\n\n",
            repeated: b": comment\n\n",
            has_head: true,
            pause: Duration::from_millis(20),
        }),
        ..Delivery::default()
    });
    let received = thread::scope(|scope| {
        let (address, text) = (system.caller_addr, Kind::Stream.request("killed").text());
        let client = scope.spawn(move || exchange_text(address, &text));
        wait_until("the answer has begun", || {
            system
                .gateway_log()
                .contains("event=answered request=killed")
        });
        system.gateway.signal("KILL");
        client.join().expect("the client ends")
    });
    assert!(received.head.contains(" 200 "), "{received:?}");
    assert_eq!(received.claim, Claim::Broken, "{received:?}");
}

/// Guards against events that are lost to the client because the answer breaks right after them.
#[test]
fn events_before_a_break_reach_the_client() {
    let system = start();
    let cut = event(0).len() + event(1).len();
    for number in 0..10 {
        system.site.deliver(&Delivery {
            framing: Framing::Length,
            cut: Some(cut),
            seed: number,
            ..Delivery::default()
        });
        let id = format!("burst-{number}");
        let received = exchange(&system, &Kind::Stream.request(&id));
        assert_eq!(received.claim, Claim::Broken, "{received:?}");
        assert_eq!(
            received.body,
            format!("{}{}", event(0), event(1)),
            "{number}"
        );
    }
}

/// Guards against an answer that a server sends once more on a kept connection, and that reaches the
/// client of the next request.
#[test]
fn an_answer_that_is_sent_twice_reaches_no_other_client() {
    let system = start();
    for pause_ms in [0, 2, 5, 8] {
        system.site.deliver(&Delivery {
            repeated_after: Some(Duration::from_millis(pause_ms)),
            ..Delivery::default()
        });
        for number in 0..30 {
            let id = format!("twice-{pause_ms}-{number}");
            let body = format!("body of {id}");
            let request = Request {
                body: &body,
                ..Request::new(&id, "/look/x")
            };
            let received = exchange(&system, &request);
            if received.head.contains(" 200 ") {
                assert_eq!(received.body, body, "{received:?}");
                let signature = format!("response-signature: signature-{id}\r\n");
                assert!(received.head.contains(&signature), "{received:?}");
            }
            thread::sleep(Duration::from_millis(number % 7));
        }
    }
}

/// Guards against a coded body that is passed on as the server's own.
#[test]
fn an_answer_with_a_content_coding_is_not_passed_on() {
    let system = start();
    system.site.deliver(&Delivery {
        endless: Some(Endless {
            start: b"content-encoding: gzip\r\ncontent-length: 2\r\n\r\nok",
            repeated: b"",
            has_head: true,
            pause: Duration::from_millis(20),
        }),
        ..Delivery::default()
    });
    for kind in Kind::ALL {
        let id = format!("coded-{kind:?}");
        let received = exchange(&system, &kind.request(&id));
        assert!(received.head.contains(" 502 "), "{kind:?}: {received:?}");
        assert!(
            !received.head.contains("response-signature"),
            "{received:?}"
        );
    }
}

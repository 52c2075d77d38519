//! Servers that send bytes that are no answer, without end, until the gateway closes.

use std::{
    fs,
    io::Write,
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::{
    Delivery,
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
        is_terminated,
        send_raw,
        wait_until, //
    },
};

/// Time within which a request must end whose server sends bytes that lead to no answer.
const TIME_LIMIT: Duration = Duration::from_secs(8);

/// Bytes that may be sent for one request, over all its sends: the limit for bodies without length
/// and what the sockets' buffers hold.
const BYTE_LIMIT: u64 = 2 * (8 << 20) + (12 << 20);

/// Memory by which a gateway may grow while many such answers arrive.
const MEMORY_LIMIT: u64 = 64 << 20;

/// Number of answers that arrive at the same time.
const CONCURRENT: usize = 24;

const XS: [u8; 4096] = [b'x'; 4096];
const ZEROS: [u8; 4096] = [b'0'; 4096];

/// A place in an answer from which bytes come without end.
struct Place {
    name: &'static str,
    start: &'static [u8],
    fast: &'static [u8],
    slow: &'static [u8],
    has_head: bool,
}

impl Place {
    const fn new(name: &'static str, start: &'static [u8], fast: &'static [u8]) -> Self {
        Self {
            name,
            start,
            fast,
            slow: b"x",
            has_head: false,
        }
    }

    /// Returns a place after the head of an answer, which `start` ends.
    const fn in_body(name: &'static str, start: &'static [u8], fast: &'static [u8]) -> Self {
        Self {
            has_head: true,
            ..Self::new(name, start, fast)
        }
    }

    fn delivery(&self, is_fast: bool) -> Delivery {
        let (repeated, pause) = if is_fast {
            (self.fast, Duration::ZERO)
        } else {
            (self.slow, Duration::from_millis(20))
        };
        Delivery {
            framing: Framing::Connection,
            endless: Some(Endless {
                start: self.start,
                repeated,
                has_head: self.has_head,
                pause,
            }),
            ..Delivery::default()
        }
    }
}

const CHUNKED: &[u8] = b"transfer-encoding: chunked\r\n\r\n1;";
const SIZE: &[u8] = b"transfer-encoding: chunked\r\n\r\n0";
const TRAILERS: &[u8] = b"transfer-encoding: chunked\r\n\r\n0\r\n";
const HEADERS: &[u8] = b"X-A: 1\r\nX-A: 1\r\nX-A: 1\r\nX-A: 1\r\nX-A: 1\r\nX-A: 1\r\nX-A: 1\r\n";
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// Returns the places at which nothing that follows can lead to an answer.
fn places() -> Vec<Place> {
    vec![
        Place::new("status line", b"HTTP/1.1 200 ", &XS),
        Place::new("header line", b"HTTP/1.1 200 OK\r\nX-A: ", &XS),
        Place {
            slow: b"X-A: 1\r\n",
            ..Place::new("headers", b"HTTP/1.1 200 OK\r\n", HEADERS)
        },
        Place {
            slow: INTERIM,
            ..Place::new("interim heads", b"", INTERIM)
        },
        Place::in_body("chunk extension", CHUNKED, &XS),
        Place {
            slow: b"0",
            ..Place::in_body("chunk size", SIZE, &ZEROS)
        },
        Place {
            slow: b"X-A: 1\r\n",
            ..Place::in_body("trailers", TRAILERS, HEADERS)
        },
        Place::in_body("event", b"\r\ndata: ", &XS),
    ]
}

fn start(engines: usize) -> Deployment {
    let plan = Plan {
        engines: vec![vec!["m1"]; engines],
        ..Plan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    site.start_raw().expect("the raw servers start");
    site.configure(&configuration(1, &[]));
    let system = Deployment::start_unconfigured(site);
    wait_until("requests are served", || {
        let request = Request::model("warm-up", "/chat/x", "m1");
        is_terminated(&system.send(&request))
    });
    system
}

/// Sends a request that may take long; returns the answer and how long it took.
fn send(system: &Deployment, request: &Request<'_>) -> (String, Duration) {
    let text = request
        .text()
        .replace("Deadline-Ms: 5000", "Deadline-Ms: 20000");
    let started = Instant::now();
    let response = send_raw(system.caller_addr, &text);
    (response, started.elapsed())
}

/// Guards against a client that waits for its deadline, or a link that is filled, while a server
/// sends bytes that lead to no answer.
#[test]
fn bytes_without_end_end_the_request_soon() {
    let mut failures = Vec::new();
    thread::scope(|scope| {
        let runs: Vec<_> = [true, false]
            .into_iter()
            .flat_map(|is_fast| places().into_iter().map(move |place| (place, is_fast)))
            .map(|(place, is_fast)| scope.spawn(move || check(&place, is_fast)))
            .collect();
        for run in runs {
            failures.extend(run.join().expect("the run ends"));
        }
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns what is wrong with the answers to a stream and to one that may be resumed.
fn check(place: &Place, is_fast: bool) -> Vec<String> {
    let system = start(2);
    system.site.deliver(&place.delivery(is_fast));
    let mut failures = Vec::new();
    for (id, path) in [("e-chat", "/chat/x"), ("e-review", "/review/x")] {
        let before = system.site.endless_bytes();
        let (response, elapsed) = send(&system, &Request::model(id, path, "m1"));
        let case = format!("{}, fast {is_fast}, {path}", place.name);
        if elapsed > TIME_LIMIT {
            failures.push(format!("{case}: took {elapsed:?}"));
        }
        if response.starts_with("HTTP/1.1 200") && is_terminated(&response) {
            failures.push(format!("{case}: looks complete"));
        }
        thread::sleep(Duration::from_millis(300));
        let bytes = system.site.endless_bytes() - before;
        if bytes > BYTE_LIMIT {
            failures.push(format!("{case}: {bytes} bytes"));
        }
    }
    failures
}

/// Guards against a body without length that a server sends until the deadline, and fills the link.
#[test]
fn a_body_without_end_is_cut() {
    let system = start(1);
    let place = Place::in_body("body", b"\r\n", &XS);
    system.site.deliver(&place.delivery(true));
    for (id, path) in [("b-look", "/look/x"), ("b-book", "/book/x")] {
        let before = system.site.endless_bytes();
        let (_, elapsed) = send(&system, &Request::new(id, path));
        assert!(elapsed < TIME_LIMIT, "{path}: took {elapsed:?}");
        let bytes = system.site.endless_bytes() - before;
        assert!(bytes < BYTE_LIMIT, "{path}: {bytes} bytes");
    }
}

/// Guards against bytes after a whole answer that reach a client or keep the gateway busy.
#[test]
fn bytes_after_a_whole_answer_belong_to_no_request() {
    let system = start(1);
    let place = Place::in_body("after", b"content-length: 2\r\n\r\nok", &XS);
    system.site.deliver(&place.delivery(true));
    for number in 0..8 {
        let before = system.site.endless_bytes();
        let id = format!("after-{number}");
        let (response, _) = send(&system, &Request::new(&id, "/look/x"));
        assert!(response.ends_with("\r\n\r\nok"), "{response}");
        thread::sleep(Duration::from_millis(100));
        let bytes = system.site.endless_bytes() - before;
        assert!(bytes < BYTE_LIMIT, "{bytes} bytes");
    }
}

/// Guards against a gateway that grows with the number of answers without end, and against one that
/// goes on using the server.
#[test]
fn many_answers_without_end_cost_little_memory() {
    let system = start(2);
    let calm = peak_memory_bytes(system.gateway.id());
    for place in places() {
        let delivery = place.delivery(true);
        system.site.deliver_at(0, delivery);
        thread::scope(|scope| {
            for number in 0..CONCURRENT {
                let system = &system;
                scope.spawn(move || {
                    let id = format!("{}-{number}", place_id(place.name));
                    send(system, &Request::model(&id, "/review/x", "m1"))
                });
            }
        });
    }
    let grown = peak_memory_bytes(system.gateway.id()) - calm;
    assert!(grown < MEMORY_LIMIT, "{grown} bytes");
    system.site.deliver(&Delivery::default());
    let (response, _) = send(&system, &Request::model("calm", "/review/x", "m1"));
    assert!(is_terminated(&response), "{response}");
}

/// Guards against a configuration that never arrives because a read of the store gets single bytes
/// without end.
#[test]
fn a_store_that_sends_single_bytes_does_not_hold_back_a_configuration() {
    let system = start(1);
    let place = Place::in_body("store", b"\r\n", &XS);
    system.site.deliver_store(place.delivery(false));
    system.site.configure(&configuration(2, &["/early/"]));
    thread::sleep(Duration::from_millis(500));
    system.site.deliver_store(Delivery::default());
    system.site.configure(&configuration(3, &["/new/"]));
    let started = Instant::now();
    wait_until("the route is in force", || {
        let (response, _) = send(&system, &Request::new("new", "/new/x"));
        response.starts_with("HTTP/1.1 200")
    });
    assert!(started.elapsed() < TIME_LIMIT, "{:?}", started.elapsed());
}

/// Guards against a client that keeps a gateway reading the size of a chunk until its deadline.
#[test]
fn a_chunk_size_without_end_ends_the_request() {
    let system = start(1);
    let mut stream = TcpStream::connect(system.caller_addr).expect("the gateway accepts");
    let head = "POST /look/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: zeros\r\n\
                Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let started = Instant::now();
    let mut sent = 0_u64;
    while stream.write_all(&ZEROS).is_ok() {
        sent += ZEROS.len() as u64;
        assert!(
            sent < BYTE_LIMIT && started.elapsed() < TIME_LIMIT,
            "{sent} bytes"
        );
    }
    assert!(system.site.runs().iter().all(|run| run.request != "zeros"));
}

fn place_id(name: &str) -> String {
    name.replace(' ', "-")
}

/// Returns the peak memory of a process in bytes.
fn peak_memory_bytes(process: u32) -> u64 {
    let path = format!("/proc/{process}/status");
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    1024 * kilobytes.expect("a peak")
}

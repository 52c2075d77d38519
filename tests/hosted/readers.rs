//! Clients that read slowly.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread::{
        self,
        sleep, //
    },
    time::Duration,
};

use chestnuthub::emulator::site::{
    Plan,
    Site, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};

use crate::{
    deployment::{
        Deployment,
        Request, //
    },
    site_support::{
        HOST,
        configuration,
        send_raw,
        unchunked, //
    },
};

/// Size of an event in bytes, over several reads of the gateway.
const EVENT_BYTES: usize = 200 << 10;

/// Number of events. Together they exceed what the buffers of the operating system hold.
const EVENTS: usize = 36;

/// Time for which a client does not read.
const PAUSE: Duration = Duration::from_secs(8);

/// Starts an engine that answers every request with a stream of long events.
fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) {
    loop {
        let head = read_head(&mut stream);
        let mut lines = head.lines();
        let Some(id) = lines.find_map(|line| line.strip_prefix("request-id: ")) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signature-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes());
        for number in 0..EVENTS {
            let event = event(number);
            let _ = stream.write_all(format!("{:x}\r\n", event.len()).as_bytes());
            let _ = stream.write_all(event.as_bytes());
            let _ = stream.write_all(b"\r\n");
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES))
}

fn read_head(stream: &mut impl Read) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Connects with a small receive buffer.
fn connect(address: SocketAddr) -> Socket {
    const RECEIVE_BYTES: usize = 16 << 10;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a size");
    socket
        .connect(&address.into())
        .expect("the gateway accepts");
    socket
}

/// Guards against a stream that is cut because its client does not read for some seconds: the time is
/// taken for that of an event, or for that of a connection whose other end is gone.
#[test]
fn a_client_that_pauses_gets_its_whole_stream() {
    let plan = Plan {
        engines: vec![vec!["m1"]],
        ..Plan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    site.publish_engine_at(0, start_engine());
    site.configure(&configuration(1, &[]));
    let system = Deployment::start_site_without_loaders(site);
    let expected: String = (0..EVENTS).map(event).collect();
    thread::scope(|scope| {
        for path in ["/chat/x", "/review/x"] {
            let (system, expected) = (&system, &expected);
            scope.spawn(move || {
                let mut client = connect(system.caller_addr);
                let id = &path[1..5];
                let text = format!(
                    "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m1\r\n\
                     Deadline-Ms: 20000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                );
                client.write_all(text.as_bytes()).expect("it is sent");
                let head = read_head(&mut client);
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                sleep(PAUSE);
                let mut body = Vec::new();
                let read = client.read_to_end(&mut body);
                let (body, is_whole) = unchunked(&String::from_utf8_lossy(&body));
                let case = format!("{path}: {} bytes, {read:?}", body.len());
                assert!(is_whole, "{case}");
                assert!(body == *expected, "{case}");
            });
        }
    });
}

/// Number of clients that send bodies at the same time, more than there is room for.
const SENDERS: usize = 400;

/// Length of a body, the longest that the configuration allows.
const BODY_BYTES: usize = 100_000;

/// Guards against a gateway that holds any number of long bodies while servers work, and against
/// refusing one that has run.
#[test]
fn bodies_beyond_the_memory_are_refused_as_not_run() {
    let plan = Plan {
        event_interval: Duration::from_secs(4),
        ..Plan::default()
    };
    let system = Deployment::start(&plan);
    let body = "x".repeat(BODY_BYTES);
    let statuses: Vec<_> = thread::scope(|scope| {
        let senders = (0..SENDERS).map(|number| {
            let (system, body) = (&system, &body);
            scope.spawn(move || {
                let id = format!("long-{number}");
                let mut request = Request::new(&id, "/book/x");
                request.body = body;
                let text = request.text();
                let text = text.replace("Deadline-Ms: 5000", "Deadline-Ms: 20000");
                let response = send_raw(system.caller_addr, &text);
                let status = response.split(' ').nth(1).unwrap_or_default().to_owned();
                (id, status)
            })
        });
        let senders: Vec<_> = senders.collect();
        let ended = senders
            .into_iter()
            .map(|sender| sender.join().expect("it ends"));
        ended.collect()
    });
    let runs = system.site.runs();
    for (id, status) in &statuses {
        let count = runs.iter().filter(|run| run.request == *id).count();
        match status.as_str() {
            "200" => assert_eq!(count, 1, "{id}"),
            "503" => assert_eq!(count, 0, "{id}"),
            "502" | "504" => assert!(count <= 1, "{id}"),
            // The connection of a refused body may be reset before its answer is read.
            _ => assert_eq!(count, 0, "{id}: {status}"),
        }
    }
    assert!(system.gateway_log().contains("no memory for the body"));
    // The room of the others is given back. A call takes longer than the objective allows.
    let response = system.send(&Request::new("after", "/book/x"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

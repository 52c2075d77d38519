//! Servers that send an answer once more, late, on a connection that is in use again.

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
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
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

use crate::{
    deployment::{
        Deployment,
        Request, //
    },
    site_support::{
        configuration,
        send_raw, //
    },
};

const NAMED_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Full\r\nRequest-Id: once\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nRequest-Id: once\r\nResponse-Signature: signature-once\r\n\
                        Content-Length: 2\r\n\r\nok";

/// Time that a run takes.
const RUN_TIME: Duration = Duration::from_millis(200);

/// Starts a server that refuses the first request and sends the refusal once more on its connection
/// when the next request arrives there. Returns its address and the number of requests that it ran.
fn start_server(refusal: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let runs = Arc::new(AtomicUsize::new(0));
    let (requests, counted) = (Arc::new(AtomicUsize::new(0)), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (requests, runs) = (requests.clone(), counted.clone());
            let stream = stream.expect("a connection");
            thread::spawn(move || serve(stream, refusal, &requests, &runs));
        }
    });
    (address, runs)
}

fn serve(mut stream: TcpStream, refusal: &[u8], requests: &AtomicUsize, runs: &AtomicUsize) {
    let mut has_refused = false;
    while read_request(&mut stream) {
        if requests.fetch_add(1, Ordering::Relaxed) == 0 {
            has_refused = true;
            let _ = stream.write_all(refusal);
            continue;
        }
        if has_refused {
            let _ = stream.write_all(refusal);
        }
        runs.fetch_add(1, Ordering::Relaxed);
        sleep(RUN_TIME);
        let _ = stream.write_all(ANSWER);
    }
}

/// Reads a request without a body; returns false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// Guards against a request that runs twice because the second copy of an earlier refusal, of this
/// request or, where it names none, of any one, is taken for that of the run.
#[test]
fn a_second_copy_of_a_refusal_leads_to_no_second_run() {
    let plan = Plan {
        services: 1,
        ..Plan::default()
    };
    for (refusal, first) in [
        (NAMED_REFUSAL, "once"),
        (REFUSAL, "once"),
        (REFUSAL, "other"),
    ] {
        let mut site = Site::start(&plan).expect("the site starts");
        let (address, runs) = start_server(refusal);
        site.publish_service_at(0, address);
        site.configure(&configuration(1, &[]));
        let system = Deployment::start_site_without_loaders(site);
        if first != "once" {
            // Its time is over before it could be sent again.
            let text = Request::new(first, "/book/x").text();
            let text = text.replace("Deadline-Ms: 5000", "Deadline-Ms: 200");
            let response = send_raw(system.caller_addr, &text);
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        }
        let response = system.send(&Request::new("once", "/book/x"));
        assert_eq!(runs.load(Ordering::Relaxed), 1, "{first}: {response}");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

//! Requests whose server ends, stops or is cut off without closing its connections.

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
            AtomicBool,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle,
        sleep, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::{
    Plan,
    Site, //
};

use crate::{
    deployment::{
        Deployment,
        events, //
    },
    site_support::{
        configuration,
        is_terminated,
        send_raw,
        wait_until, //
    },
};

/// Time budget of each request in ms, which no request may use up.
const BUDGET_MS: u64 = 20_000;

/// Time in which the end of a process is known and told.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two looks at what a link passes.
const PAUSE: Duration = Duration::from_millis(10);

/// A link to a server. It can be cut, with its connections left open.
struct Link {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
}

impl Link {
    fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a mode");
        let is_cut = Arc::new(AtomicBool::new(false));
        let has_ended = Arc::new(AtomicBool::new(false));
        let (cut, ended) = (is_cut.clone(), has_ended.clone());
        thread::spawn(move || accept(&listener, server, &cut, &ended));
        Self {
            address,
            is_cut,
            has_ended,
        }
    }

    /// Passes nothing from now on. The machine still accepts connections.
    fn stop(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }

    /// Passes everything again.
    fn resume(&self) {
        self.is_cut.store(false, Ordering::Relaxed);
    }

    /// Passes nothing from now on, and refuses connections as a machine does whose process has ended.
    /// The ends of its connections are lost.
    fn end(&self) {
        self.stop();
        self.has_ended.store(true, Ordering::Relaxed);
        let address = self.address;
        wait_until("the port is closed", || {
            TcpStream::connect(address).is_err()
        });
    }
}

/// Accepts connections while the link is not cut, and closes the port once its process has ended.
fn accept(
    listener: &TcpListener,
    server: SocketAddr,
    is_cut: &Arc<AtomicBool>,
    has_ended: &AtomicBool,
) {
    while !has_ended.load(Ordering::Relaxed) {
        sleep(PAUSE);
        if is_cut.load(Ordering::Relaxed) {
            continue;
        }
        while let Ok((client, _)) = listener.accept() {
            client.set_nonblocking(false).expect("a mode");
            let Ok(server) = TcpStream::connect(server) else {
                continue;
            };
            let ends = [(&client, &server), (&server, &client)];
            for (from, to) in ends {
                let from = from.try_clone().expect("an end");
                let to = to.try_clone().expect("an end");
                let is_cut = is_cut.clone();
                thread::spawn(move || pass(from, to, &is_cut));
            }
        }
    }
}

/// Passes bytes on until an end closes; holds them while the link is cut.
fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer) {
        while is_cut.load(Ordering::Relaxed) {
            sleep(PAUSE);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The other direction sees that this one has ended.
    let _ = (
        from.shutdown(std::net::Shutdown::Both),
        to.shutdown(std::net::Shutdown::Both),
    );
}

/// Starts a deployment with one engine and one server of the plain service, each behind a link, and
/// without loaders, so that only the gateway can find out what becomes of them.
fn start(plan: &Plan) -> (Deployment, Link, Link) {
    let mut site = Site::start(plan).expect("the site starts");
    let engine = Link::start(site.engine_addr(0));
    let service = Link::start(site.service_addr(0));
    site.publish_engine_at(0, engine.address);
    site.publish_service_at(0, service.address);
    site.configure(&configuration(1, &[]));
    let system = Deployment::start_site_without_loaders(site);
    (system, engine, service)
}

fn plan(event_interval: Duration) -> Plan {
    Plan {
        engines: vec![vec!["m1"]],
        services: 1,
        events: 100,
        event_interval,
        ..Plan::default()
    }
}

/// Sends a request in a thread, which returns the response and how long it took.
fn send(system: &Deployment, id: &str, path: &str, model: &str) -> JoinHandle<(String, Duration)> {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n{model}\
         Deadline-Ms: {BUDGET_MS}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let caller_addr = system.caller_addr;
    thread::spawn(move || {
        let started = Instant::now();
        let response = send_raw(caller_addr, &text);
        (response, started.elapsed())
    })
}

/// Guards against clients that wait for their deadline although the server's port says that its
/// process has ended: a stream that can't be resumed, one that can but not elsewhere, and a call.
#[test]
fn requests_of_a_server_that_ended_silently_end_soon() {
    let (system, engine, _) = start(&plan(Duration::from_millis(50)));
    let chat = send(&system, "chat", "/chat/x", "Model: m1\r\n");
    let review = send(&system, "review", "/review/x", "Model: m1\r\n");
    wait_until("the answers have begun", || {
        let log = system.gateway_log();
        ["chat", "review"]
            .iter()
            .all(|id| log.contains(&format!("event=answered request={id} ")))
    });
    engine.end();
    for stream in [chat, review] {
        let (response, elapsed) = stream.join().expect("the client ends");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(!is_terminated(&response), "{response}");
        assert!(elapsed < TIME_LIMIT, "{elapsed:?}: {response}");
    }
    let log = system.gateway_log();
    assert!(log.contains("server_ended"), "the log names the reason");

    let (system, _, service) = start(&plan(Duration::from_secs(4)));
    let book = send(&system, "book", "/book/x", "");
    let look = send(&system, "look", "/look/x", "");
    sleep(Duration::from_secs(1));
    service.end();
    for (call, statuses) in [(book, vec!["502"]), (look, vec!["502", "503"])] {
        let (response, elapsed) = call.join().expect("the client ends");
        let status = response.split(' ').nth(1).unwrap_or_default();
        assert!(statuses.contains(&status), "{response}");
        assert!(elapsed < TIME_LIMIT, "{elapsed:?}: {response}");
    }
}

/// Guards against a stream or call that is cut because its server is stopped, although its machine
/// accepts connections and the server goes on later.
#[test]
fn requests_of_a_server_that_is_stopped_are_whole() {
    let (system, engine, service) = start(&plan(Duration::from_millis(50)));
    let chat = send(&system, "chat", "/chat/x", "Model: m1\r\n");
    let review = send(&system, "review", "/review/x", "Model: m1\r\n");
    let book = send(&system, "book", "/book/x", "");
    wait_until("the streams run", || system.site.running_streams(0) == 2);
    engine.stop();
    service.stop();
    sleep(Duration::from_secs(6));
    engine.resume();
    service.resume();
    for stream in [chat, review] {
        let (response, _) = stream.join().expect("the client ends");
        assert!(is_terminated(&response), "{response}");
        assert_eq!(events(&response).len(), 100);
    }
    let (response, _) = book.join().expect("the client ends");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a client that waits for its deadline although the server's loader reports that the
/// server has started anew.
#[test]
fn a_stream_ends_when_its_server_has_started_anew() {
    let mut site = Site::start(&plan(Duration::from_millis(100))).expect("the site starts");
    let engine = Link::start(site.engine_addr(0));
    site.publish_engine_at(0, engine.address);
    site.configure(&configuration(1, &[]));
    let system = Deployment::start_unconfigured(site);
    wait_until("the gateway is ready", || system.is_ready());
    let chat = send(&system, "chat", "/chat/x", "Model: m1\r\n");
    wait_until("the stream runs", || system.site.running_streams(0) == 1);
    // The connection is older than any report may be.
    sleep(Duration::from_secs(2));
    engine.stop();
    sleep(Duration::from_secs(3));
    system.site.upgrade_engine(0, "v2");
    let (response, elapsed) = chat.join().expect("the client ends");
    assert!(!is_terminated(&response), "{response}");
    assert!(elapsed < TIME_LIMIT + Duration::from_secs(5), "{elapsed:?}");
}

//! One machine with an engine and a loader is cut off from the other machines of that kind and from the
//! store, but not from the gateway. Do streams go on at another server while the first works on?

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::*;

/// Number of engines, each on a machine of its own. One of them is cut off.
const ENGINES: u8 = 5;

/// Time for which the machine is cut off.
const CUT: Duration = Duration::from_millis(3_000);

/// Time in which an engine reads a long prompt before its first event.
const READING: Duration = Duration::from_millis(1_000);

/// Number and pause of the events of a stream.
const EVENTS: u32 = 20;
const INTERVAL: Duration = Duration::from_millis(100);

/// Time that a run may go on at a server after the next one has begun.
const OVERLAP: Duration = Duration::from_millis(400);

/// A run of a request at a server.
#[derive(Clone)]
struct Run {
    request: String,
    server: usize,
    began: Instant,
    ended: Option<Instant>,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn run(trouble: bool) -> Option<bool> {
    let record = Record::new();
    let store = Arc::new(Store::default());
    store.configure(CONFIGURATION);
    let runs = Runs::default();
    let peer_port = free_port();
    let mut machines = Vec::new();
    for number in 0..ENGINES {
        machines.push(Machine::start(number, peer_port, &store, &runs, &record)?);
    }
    let gateway = start_gateway(store.start(), 21, peer_port, r#""first_start": true,"#);
    if !wait_until_ready(&gateway) {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    // A machine whose loader is no hub: no other loader has connected to it.
    let cut = machines.iter().position(|machine| machine.link.loaders.load(Ordering::Relaxed) <= 1)?;
    record.add(&format!("hubs: {:?}; machine {cut} is to be cut off", machines.iter().map(|m| m.link.loaders.load(Ordering::Relaxed)).collect::<Vec<_>>()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = send_streams(gateway.callers, &is_over, &record);
    thread::sleep(Duration::from_secs(5));
    if trouble {
        record.add(&format!("machine {cut} is cut off from the other engines' machines and the store"));
        for (number, machine) in machines.iter().enumerate() {
            machine.link.cut(cut, number == cut);
        }
        machines[cut].is_cut.store(true, Ordering::Relaxed);
    }
    thread::sleep(CUT);
    if trouble {
        for machine in &machines {
            machine.link.heal();
        }
        machines[cut].is_cut.store(false, Ordering::Relaxed);
        record.add("the cut is over");
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    thread::sleep(Duration::from_secs(4));
    let twice = judge(&runs.lock().unwrap(), &record);
    let requests = runs.lock().unwrap().len();
    record.add(&format!("{requests} runs; {twice} requests went on elsewhere while the server before worked on for over 0.4 s"));
    record.write();
    Some(twice == 0)
}

/// Returns the number of requests that ran at a second server while the first worked on for too long.
fn judge(runs: &[Run], record: &Record) -> usize {
    let mut twice = 0;
    for (index, run) in runs.iter().enumerate() {
        let next = runs[index + 1..].iter().find(|next| next.request == run.request);
        let Some(next) = next else { continue };
        let ended = run.ended.unwrap_or_else(Instant::now);
        let overlap = ended.saturating_duration_since(next.began);
        record.add(&format!(
            "{}: at server {}, then at server {}; the first worked on for {} ms",
            run.request, run.server, next.server, overlap.as_millis()
        ));
        twice += usize::from(overlap > OVERLAP);
    }
    twice
}

/// A machine with an engine and a loader.
struct Machine {
    _loader: Daemon,
    link: Link,
    is_cut: Arc<AtomicBool>,
}

impl Machine {
    fn start(number: u8, peer_port: u16, store: &Arc<Store>, runs: &Runs, record: &Arc<Record>) -> Option<Self> {
        let (runs, record) = (runs.clone(), record.clone());
        let server = usize::from(number);
        let address = serve(loopback(101 + number, 0), move |stream| engine(stream, server, &runs, &record));
        store.list(&format!("i-{number}"), &format!(
            r#"{{"service":"llm","address":"{address}","zone":"z1","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":1,"born":{BORN},"stage":"unified","models":[{{"name":"m1","version":1,"adapters":[]}}]}}"#
        ));
        let is_cut = Arc::new(AtomicBool::new(false));
        // The loader's own port is behind the link.
        let link = Link::start(101 + number, 151 + number, peer_port)?;
        let loader = start_loader(store.start_until_cut(&is_cut), address, 151 + number, "z1", peer_port);
        Some(Self { _loader: loader, link, is_cut })
    }
}

const BORN: u64 = 1_700_000_000_000;

/// An engine that holds one model. It reads a prompt before its first event, and finds the channel
/// closed when it writes.
fn engine(mut stream: TcpStream, server: usize, runs: &Runs, record: &Record) {
    while let Some(call) = read_message(&mut stream) {
        if call.first.starts_with("GET /api/report ") {
            let body = format!(
                r#"{{"stage":"unified","models":[{{"name":"m1","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":200000,"handles":0,"born":{BORN}}}"#
            );
            if stream.write_all(&response(200, "application/json", body.as_bytes())).is_err() {
                return;
            }
            continue;
        }
        let id = call.header("request-id").to_owned();
        let own = format!("Request-Id: {id}\r\nInstance-Id: i-{server}\r\n");
        if call.header("target-instance") != format!("i-{server}") {
            let answer = format!("HTTP/1.1 421 x\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes());
            continue;
        }
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run { request: id.clone(), server, began: Instant::now(), ended: None });
            runs.len() - 1
        };
        record.add(&format!("{id} runs at server {server}"));
        let last: Option<u32> = call.header("last-event-id").parse().ok();
        let is_whole = stream_events(&mut stream, &id, server, last).is_some();
        runs.lock().unwrap()[index].ended = Some(Instant::now());
        record.add(&format!("{id} ends at server {server}, whole: {is_whole}"));
        if !is_whole {
            return;
        }
    }
}

fn stream_events(stream: &mut TcpStream, id: &str, server: usize, last: Option<u32>) -> Option<()> {
    thread::sleep(READING);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: i-{server}.{id}\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    for number in last.map_or(0, |last| last + 1)..EVENTS {
        let event = format!("id: {number}\ndata: x\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        thread::sleep(INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

/// Sends 40 streams a second, each on a channel of its own.
fn send_streams(gateway: SocketAddr, is_over: &Arc<AtomicBool>, record: &Arc<Record>) -> thread::JoinHandle<()> {
    let (is_over, record) = (is_over.clone(), record.clone());
    thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let (id, record) = (format!("r{number}"), record.clone());
            number += 1;
            thread::spawn(move || send(gateway, &id, &record));
            thread::sleep(Duration::from_millis(25));
        }
    })
}

fn send(gateway: SocketAddr, id: &str, record: &Record) -> Option<()> {
    let mut stream = TcpStream::connect(gateway).ok()?;
    let text = format!(
        "POST /review/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: m1\r\nToken-Count: 35890,80\r\nDeadline-Ms: 11000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    stream.write_all(text.as_bytes()).ok()?;
    record.add(&format!("{id} sent"));
    let mut answer = String::new();
    let end = stream.read_to_string(&mut answer);
    let events = answer.matches("data: ").count();
    record.add(&format!("{id}: {}, {events} events, {}", answer.lines().next().unwrap_or_default(), if end.is_ok() { "ended" } else { "reset" }));
    Some(())
}

/// The link to the loader of a machine, over which gateways and other machines' loaders reach it: a
/// proxy that passes everything on, but what comes from machines between which a cut lies.
struct Link {
    /// Number of loaders that have connected.
    loaders: Arc<AtomicUsize>,
    /// The machine that is cut off, and whether it is this one.
    cut: Arc<Mutex<Option<(usize, bool)>>>,
}

/// What has opened a connection. A connection begins with a length of four bytes and a message of one
/// byte that says what its sender is; a loader then names its server.
#[derive(Clone, Copy, PartialEq)]
enum Peer {
    Gateway,
    Loader(Option<usize>),
    Probe,
}

impl Link {
    fn start(outer: u8, inner: u8, port: u16) -> Option<Self> {
        let listener = TcpListener::bind(loopback(outer, port)).ok()?;
        let link = Self { loaders: Arc::default(), cut: Arc::default() };
        let (loaders, cut) = (link.loaders.clone(), link.cut.clone());
        let own = usize::from(outer - 101);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(loopback(inner, port)) else {
                    // No process has the port.
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
                let peer = Arc::new(Mutex::new(Peer::Gateway));
                let (peer2, cut2, cut, loaders) = (peer.clone(), cut.clone(), cut.clone(), loaders.clone());
                thread::spawn(move || pass(near, far, &peer, &cut, own, Some(&loaders)));
                thread::spawn(move || pass(far2, near2, &peer2, &cut2, own, None));
            }
        });
        Some(link)
    }

    fn cut(&self, machine: usize, is_own: bool) {
        *self.cut.lock().unwrap() = Some((machine, is_own));
    }

    fn heal(&self) {
        *self.cut.lock().unwrap() = None;
    }
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    peer: &Mutex<Peer>,
    cut: &Mutex<Option<(usize, bool)>>,
    own: usize,
    loaders: Option<&AtomicUsize>,
) {
    let mut bytes = [0; 4096];
    let mut seen = Vec::new();
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            break;
        }
        if let Some(loaders) = loaders.filter(|_| seen.len() < 256) {
            seen.extend_from_slice(&bytes[..count]);
            let is_new = *peer.lock().unwrap() == Peer::Gateway;
            *peer.lock().unwrap() = identify(&seen);
            if is_new && matches!(identify(&seen), Peer::Loader(_)) {
                loaders.fetch_add(1, Ordering::Relaxed);
            }
        }
        // What crosses a cut is held up until it has healed.
        while is_cut(*peer.lock().unwrap(), *cut.lock().unwrap(), own) {
            thread::sleep(Duration::from_millis(20));
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}

fn identify(seen: &[u8]) -> Peer {
    match seen.get(4) {
        Some(1) => {
            let name = seen.windows(3).find(|window| window.starts_with(b"i-"));
            Peer::Loader(name.map(|name| usize::from(name[2] - b'0')))
        }
        Some(2) => Peer::Probe,
        _ => Peer::Gateway,
    }
}

/// Returns whether a cut lies between a sender and this machine. Probes come from other machines.
fn is_cut(peer: Peer, cut: Option<(usize, bool)>, own: usize) -> bool {
    let Some((machine, is_own)) = cut else { return false };
    match peer {
        Peer::Gateway => false,
        Peer::Probe => is_own,
        Peer::Loader(None) => is_own,
        Peer::Loader(Some(server)) => server != own && (is_own || server == machine),
    }
}

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"review","host":"a.example","pathPrefix":"/review/","kind":"stream","resumable":true,"timeoutMs":11000,"targetLatencyMs":2000,"gapTargetMs":400,"priority":1,"service":"llm","attempts":2,"sticky":true}],"services":[{"name":"llm","healthPath":"/health","maxConns":500,"engine":{"slots":64,"kvTokens":200000,"weightsMb":58000.0,"adapterSlots":8,"loadsPerS":2.1,"models":[{"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.4,"diskS":0.5}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

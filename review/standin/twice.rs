//! A server forgets idle channels, among them the one on which its loader asks for reports, while
//! it serves streams that may be resumed.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::site::{
    free_port, read_message, serve, settings, sleep_ms, wait_ready, Daemon, Place, Record, Store,
    HEARTBEAT_MS, HOST,
};

/// Idle time after which the server forgets a channel during the disruption.
const FORGETS_AFTER_MS: u64 = 150;
const DISRUPTION_MS: u64 = 4_000;
const EVENTS: u32 = 20;
const EVENT_MS: u64 = 100;
/// Time until the first event: a prompt of 39,600 tokens, the longest of the site, at 38.7 a ms.
const PREFILL_MS: u64 = 1_023;
/// Time for which the server before may still be at work.
const ALLOWED_MS: u64 = 400;
const STREAMS: usize = 30;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"review","host":"a.example","pathPrefix":"/review/","kind":"stream","timeoutMs":17000,"targetLatencyMs":2500,"priority":1,"service":"llm","attempts":2,"sticky":true,"resumable":true,"gapTargetMs":400}],
"services":[
{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":232000,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.6,"models":[{"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const FIELDS: &str = r#""stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}],"born":1700000000000,"cachedModels":{"inMemory":["m1"],"onDisk":["m1"]}"#;

/// A run of a stream: when it began, whether it went on after an event, and when it ended.
#[derive(Clone, Debug)]
struct Run {
    server: &'static str,
    began: u64,
    goes_on_after: Option<u32>,
    ended: Option<u64>,
}

type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

struct Engine {
    id: &'static str,
    forgets: AtomicBool,
    runs: Runs,
    record: Arc<Record>,
}

impl Engine {
    /// Serves one channel.
    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut idle_since = Instant::now();
        loop {
            // Waits for the next request without reading it.
            if !matches!(stream.peek(&mut [0]), Ok(1)) {
                return;
            }
            let idle = idle_since.elapsed();
            if self.forgets.load(Ordering::SeqCst)
                && idle >= Duration::from_millis(FORGETS_AFTER_MS)
            {
                self.record.add(format!(
                    "{}: what was sent on a forgotten channel is reset",
                    self.id
                ));
                // Closing with unread bytes resets the channel.
                return;
            }
            let Some((first, headers, _)) = read_message(&mut stream, &mut buffer) else {
                return;
            };
            let header = |name: &str| {
                let mut headers = headers.iter();
                let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.clone())
            };
            let is_other = header("Target-Instance").is_some_and(|target| target != self.id);
            if is_other {
                let head = format!("HTTP/1.1 421 X\r\nInstance-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", self.id);
                let _ = stream.write_all(head.as_bytes());
            } else if first.contains("/api/report") {
                let body = format!("{{{FIELDS},\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"pending\":[]}}");
                let head = format!("HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                let _ = stream.write_all(head.as_bytes());
            } else if first.contains("/api/order") {
                let _ = stream.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}");
            } else {
                let last = header("Last-Event-Id").and_then(|id| id.parse().ok());
                self.run(&mut stream, &header("Request-Id").unwrap_or_default(), last);
            }
            idle_since = Instant::now();
        }
    }

    /// Runs a stream until it ends, or until an event can't be written because its channel is closed.
    fn run(&self, stream: &mut TcpStream, request: &str, last: Option<u32>) {
        let began = self.record.now();
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let runs = runs.entry(request.to_owned()).or_default();
            runs.push(Run {
                server: self.id,
                began,
                goes_on_after: last,
                ended: None,
            });
            runs.len() - 1
        };
        self.record.add(format!(
            "{} runs {request}, going on after {last:?}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {request}\r\nResponse-Signature: s-{request}\r\nServer-Load: 1,0,64\r\n\r\n"
        );
        sleep_ms(PREFILL_MS);
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for event in last.map_or(0, |last| last + 1)..EVENTS {
            let text = format!("id: {event}\ndata: e{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                break;
            }
            sleep_ms(EVENT_MS);
        }
        let now = self.record.now();
        self.runs.lock().unwrap().get_mut(request).unwrap()[index].ended = Some(now);
        if is_open {
            let _ = stream.write_all(b"0\r\n\r\n");
            self.record
                .add(format!("{} has made the last event of {request}", self.id));
        } else {
            self.record.add(format!(
                "{} drops {request}: its channel is closed",
                self.id
            ));
        }
    }
}

/// Returns whether a request went on at another server while the one before still worked on it.
pub fn run(record: &Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", CONFIG);
    let handled = store.clone();
    let store_port = serve("127.0.0.1:0".parse().unwrap(), move |call| {
        Some(handled.handle(&call))
    });
    let runs = Runs::default();
    let peer_port = free_port();
    let mut daemons = Vec::new();
    let mut engines = Vec::new();
    for (id, zone, number) in [("i-1", "z1", 1), ("i-2", "z2", 2)] {
        let listener =
            TcpListener::bind(SocketAddr::from(([127, 0, 1, number], free_port()))).unwrap();
        let addr = listener.local_addr().unwrap();
        let engine = Arc::new(Engine {
            id,
            forgets: AtomicBool::new(false),
            runs: runs.clone(),
            record: record.clone(),
        });
        engines.push(engine.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let engine = engine.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beaten = store.clone();
        thread::spawn(move || {
            for seq in 1.. {
                beaten.put("keyed.servers", id, &format!(
                    "{{\"service\":\"llm\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
                     \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},{FIELDS}}}"
                ));
                sleep_ms(HEARTBEAT_MS);
            }
        });
        let (name, ip) = (format!("side-{zone}-1"), addr.ip().to_string());
        let place = Place {
            name: &name,
            zone,
            ip: &ip,
            peer_port,
            store: store_port.addr,
            role: format!("\"engine_addr\":\"{addr}\""),
            first_start: true,
        };
        daemons.push(Daemon::start(folder, "loader", &name, &settings(&place)));
    }
    let clients = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let place = Place {
        name: "front-z1-1",
        zone: "z1",
        ip: "127.0.0.1",
        peer_port,
        store: store_port.addr,
        role: format!("\"listen\":{{\"callers\":\"{clients}\",\"ready\":\"{ready}\"}}"),
        first_start: true,
    };
    daemons.push(Daemon::start(
        folder,
        "gateway",
        "front-z1-1",
        &settings(&place),
    ));
    if !wait_ready(ready) {
        return None;
    }
    record.add("the gateway is ready");
    sleep_ms(5_000);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                sleep_ms(100 * number as u64);
                let id = format!("s{number}");
                let text = format!(
                    "POST /review/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m1\r\n\
                     Token-Count: 39600,160\r\nPrompt-Prefix: {:x}:39600\r\nDeadline-Ms: 17000\r\n\
                     Content-Length: 2\r\nConnection: close\r\n\r\nhi",
                    number + 1
                );
                let body = read_all(clients, &text);
                let events = body.matches("data: e").count();
                let is_whole = body.ends_with("0\r\n\r\n");
                record.add(format!("{id} gets {events} events, complete: {is_whole}"));
            })
        })
        .collect();
    sleep_ms(1_000);
    if trouble {
        engines[0].forgets.store(true, Ordering::SeqCst);
        record.add("i-1 forgets channels that are idle for 150 ms");
    }
    sleep_ms(DISRUPTION_MS);
    engines[0].forgets.store(false, Ordering::SeqCst);
    record.add("i-1 keeps idle channels again");
    for stream in streams {
        let _ = stream.join();
    }
    sleep_ms(PREFILL_MS + EVENT_MS * u64::from(EVENTS) + 500);
    let runs = runs.lock().unwrap();
    if !runs.values().flatten().any(|run| run.server == "i-1") {
        return None;
    }
    let mut broken = 0;
    for (request, runs) in runs.iter() {
        for (before, after) in runs.iter().zip(runs.iter().skip(1)) {
            let worked_for = before.ended.map(|ended| ended.saturating_sub(after.began));
            if worked_for.is_some_and(|ms| ms > ALLOWED_MS) && before.server != after.server {
                broken += 1;
                record.add(format!(
                    "TWICE: {request} goes on at {} after event {:?}; {} had begun it at {} ms and \
                     worked on it for {} ms more",
                    after.server, after.goes_on_after, before.server, before.began,
                    worked_for.unwrap_or_default()
                ));
            }
        }
    }
    Some(broken > 0)
}

/// Sends a request and reads until the channel ends.
fn read_all(addr: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return String::new();
    };
    let _ = stream.write_all(text.as_bytes());
    let mut body = Vec::new();
    let _ = std::io::Read::read_to_end(&mut stream, &mut body);
    String::from_utf8_lossy(&body).into_owned()
}

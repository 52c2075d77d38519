//! The time of day jumps back between two starts of a server under one id. Does the gateway still heed
//! that the server drains?

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{server::entry, *};

/// By how much the server's clock is ahead until it jumps back.
const STEP_MS: u64 = 2_400;

/// Time after which no request may reach a server that has reported that it drains.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time for which the server goes on after that.
const LONGER: Duration = Duration::from_millis(3_000);

/// Time of day at the start of the case, in Unix milliseconds.
const MORNING: u64 = 1_700_000_000_000;

pub fn run(trouble: bool) -> Option<bool> {
    let record = Record::new();
    let store = Arc::new(Store::default());
    store.configure(CONFIGURATION);
    let (old, old_address) = App::start("i-1", 11, &record);
    store.list("i-1", &entry(old_address, "ready", 900, MORNING - 3_600_000, ""));
    let address = store.start();
    let gateway = start_gateway(address, 21, free_port(), r#""first_start": true,"#);
    if !wait_until_ready(&gateway) {
        return None;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = send_requests(gateway.callers, &is_over, &record);
    let now = |record: &Record| MORNING + (record.now() * 1_000.0) as u64;
    thread::sleep(Duration::from_secs(2));
    // A release: a new server starts.
    let ahead = if trouble { STEP_MS } else { 0 };
    let (new, new_address) = App::start("i-2", 12, &record);
    let first = now(&record) + ahead;
    store.list("i-2", &entry(new_address, "ready", 1, first, ""));
    record.add(&format!("i-2 starts; born {first}, its clock is {ahead} ms ahead"));
    thread::sleep(Duration::from_millis(1_100));
    let mut born = first;
    if trouble {
        new.stop();
        record.add("i-2 crashes; meanwhile its clock is set right again");
        thread::sleep(Duration::from_millis(900));
        new.restart();
        born = now(&record);
        store.list("i-2", &entry(new_address, "ready", 1, born, ""));
        record.add(&format!("i-2 starts again under its id; born {born}"));
    }
    // The former server drains and leaves. Nothing is disturbed for more than `contactMs`.
    thread::sleep(Duration::from_millis(500));
    store.list("i-1", &entry(old_address, "draining", 901, MORNING - 3_600_000, ""));
    record.add("the store accepts that i-1 drains");
    thread::sleep(DRAIN + Duration::from_millis(1_000));
    old.stop();
    store.remove("i-1");
    record.add("i-1 is gone");
    // The next release: a new server starts, and then the former one drains.
    thread::sleep(Duration::from_millis(1_500));
    let (next, next_address) = App::start("i-3", 13, &record);
    let third = now(&record);
    store.list("i-3", &entry(next_address, "ready", 1, third, ""));
    record.add(&format!("i-3 starts; born {third}"));
    thread::sleep(Duration::from_millis(1_500));
    store.list("i-2", &entry(new_address, "draining", 2, born, ""));
    record.add("the store accepts that i-2 drains");
    let accepted = Instant::now();
    thread::sleep(DRAIN + LONGER);
    is_over.store(true, Ordering::Relaxed);
    let late = new.requests_after(accepted + DRAIN);
    let other = next.requests_after(accepted + DRAIN);
    for client in clients {
        let _ = client.join();
    }
    record.add(&format!("{late} requests reached i-2 later than drainMs after that; {other} reached i-3"));
    record.write();
    if other + late == 0 {
        return None;
    }
    Some(late == 0)
}

/// A server of a service, which records when requests reach it.
struct App {
    id: String,
    is_up: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Instant>>,
    record: Arc<Record>,
}

impl App {
    fn start(id: &str, machine: u8, record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let app = Arc::new(Self {
            id: id.to_owned(),
            is_up: AtomicBool::new(true),
            channels: Mutex::default(),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let own = app.clone();
        let address = serve(loopback(machine, 0), move |stream| own.handle(stream));
        (app, address)
    }

    fn stop(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn restart(&self) {
        self.is_up.store(true, Ordering::Relaxed);
    }

    fn requests_after(&self, time: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at > time).count()
    }

    fn handle(&self, mut stream: TcpStream) {
        if !self.is_up.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(channel) = stream.try_clone() {
            self.channels.lock().unwrap().push(channel);
        }
        while let Some(request) = read_message(&mut stream) {
            let id = request.header("request-id");
            let own = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
            let target = request.header("target-instance");
            if !target.is_empty() && target != self.id {
                let answer = format!("HTTP/1.1 421 x\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(answer.as_bytes());
                continue;
            }
            self.arrivals.lock().unwrap().push(Instant::now());
            self.record.add(&format!("{id} reaches {}", self.id));
            thread::sleep(Duration::from_millis(60));
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{own}Response-Signature: {}.{id}\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok",
                self.id
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Sends eighty requests a second, each on a channel of its own.
fn send_requests(
    gateway: SocketAddr,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> Vec<thread::JoinHandle<()>> {
    let (is_over, record) = (is_over.clone(), record.clone());
    let client = thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let (id, record) = (format!("r{number}"), record.clone());
            number += 1;
            thread::spawn(move || send(gateway, &id, &record));
            thread::sleep(Duration::from_micros(12_500));
        }
    });
    vec![client]
}

fn send(gateway: SocketAddr, id: &str, record: &Record) -> Option<()> {
    let mut stream = TcpStream::connect(gateway).ok()?;
    let text = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    record.add(&format!("{id}: {}", answer.lines().next().unwrap_or_default()));
    Some(())
}

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":400,"priority":1,"service":"app","attempts":1}],"services":[{"name":"app","healthPath":"/health","maxConns":110}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

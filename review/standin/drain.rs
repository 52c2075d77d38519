//! A server leaves without saying so while the store turns away the machine of one hub.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
};

use crate::site::{
    free_port, send, serve, settings, sleep_ms, wait_ready, Answer, Call, Daemon, Place, Port,
    Record, Store, DRAIN_MS, HEARTBEAT_MS, HOST,
};

/// Time for which the store turns the machine away (the site file has 9 s), and after which the
/// server leaves, in ms.
const ROUNDS: [(u64, u64); 9] = [
    (1_500, 850),
    (8_000, 2_500),
    (1_500, 850),
    (1_500, 850),
    (8_000, 2_500),
    (1_500, 850),
    (1_500, 850),
    (8_000, 2_500),
    (1_500, 850),
];
/// The leaving server runs on for drainMs and this long.
const LONGER_MS: u64 = 2_000;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":250,"priority":2,"service":"desk","attempts":1,"sticky":false,"resumable":false},
{"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":6000,"targetLatencyMs":800,"priority":2,"service":"llm","attempts":1,"sticky":true,"resumable":false,"gapTargetMs":400}],
"services":[
{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":232000,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.6,"models":[{"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4}]}},
{"name":"desk","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Entries of the servers in the store, which the servers write every `heartbeatMs`.
#[derive(Default)]
struct Beats {
    entries: Mutex<BTreeMap<String, Beat>>,
}

struct Beat {
    service: &'static str,
    addr: SocketAddr,
    zone: &'static str,
    seq: u64,
    last_at: u64,
}

impl Beats {
    fn add(
        &self,
        store: &Store,
        id: &str,
        service: &'static str,
        addr: SocketAddr,
        zone: &'static str,
    ) {
        let beat = Beat {
            service,
            addr,
            zone,
            seq: 1,
            last_at: 0,
        };
        put(store, id, &beat);
        self.entries.lock().unwrap().insert(id.to_owned(), beat);
    }

    /// Removes the entry; the return is the store's confirmation.
    fn remove(&self, store: &Store, id: &str) {
        self.entries.lock().unwrap().remove(id);
        store.put("keyed.servers", id, "");
    }

    fn run(&self, store: &Store, record: &Record) {
        loop {
            sleep_ms(20);
            let now = record.now();
            for (id, beat) in self.entries.lock().unwrap().iter_mut() {
                if now - beat.last_at >= HEARTBEAT_MS {
                    beat.last_at = now;
                    beat.seq += 1;
                    put(store, id, beat);
                }
            }
        }
    }
}

fn put(store: &Store, id: &str, beat: &Beat) {
    let Beat {
        service,
        addr,
        zone,
        seq,
        ..
    } = beat;
    let models = if *service == "llm" {
        r#","stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}],"cachedModels":{"inMemory":["m1"],"onDisk":["m1"]}"#
    } else {
        ""
    };
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1700000000000,\"seq\":{seq}{models}}}"
    );
    store.put("keyed.servers", id, &entry);
}

fn engine(addr: SocketAddr) -> Port {
    serve(addr, |call: Call| {
        if call.target.starts_with("/api/report") {
            return Some(Answer::new(
                200,
                r#"{"stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":232000,"handles":0,"born":1700000000000,"pending":[],"cachedModels":{"inMemory":["m1"],"onDisk":["m1"]}}"#,
            ));
        }
        Some(Answer::new(421, "").with("Not-Executed", "1"))
    })
}

/// A server of the plain service; `arrivals` gets the time of each request that it runs.
fn desk(record: &Arc<Record>, id: &str, arrivals: &Arc<Mutex<Vec<(u64, String)>>>) -> Port {
    let (record, id, arrivals) = (record.clone(), id.to_owned(), arrivals.clone());
    serve("127.0.0.1:0".parse().unwrap(), move |call: Call| {
        let request = call.header("Request-Id").unwrap_or_default().to_owned();
        if call
            .header("Target-Instance")
            .is_some_and(|target| target != id)
        {
            return Some(
                Answer::new(421, "")
                    .with("Instance-Id", id.clone())
                    .with("Not-Executed", "1"),
            );
        }
        let now = record.now();
        arrivals.lock().unwrap().push((now, request.clone()));
        record.add(format!("{id} runs {request}"));
        sleep_ms(30);
        let answer = Answer::new(200, call.body).with("Request-Id", request.clone());
        Some(
            answer
                .with("Response-Signature", format!("s-{request}"))
                .with("Server-Load", "1,0,6"),
        )
    })
}

/// Returns whether a request reached a server later than the pages allow.
pub fn run(record: &Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", CONFIG);
    let handled = store.clone();
    let store_port = serve("127.0.0.1:0".parse().unwrap(), move |call| {
        Some(handled.handle(&call))
    });
    let beats = Arc::new(Beats::default());
    // The way of the machine side-z1-1 to the store.
    let is_rejected = Arc::new(AtomicBool::new(false));
    let (handled, rejected) = (store.clone(), is_rejected.clone());
    let own_port = serve("127.0.0.1:0".parse().unwrap(), move |call| {
        Some(if rejected.load(Ordering::SeqCst) {
            Answer::new(503, "")
        } else {
            handled.handle(&call)
        })
    });
    let mut engines = Vec::new();
    for (zone, number) in [("z1", 1), ("z2", 2), ("z3", 3)] {
        let port = engine(SocketAddr::from(([127, 0, 1, number], free_port())));
        beats.add(&store, &format!("engine-{number}"), "llm", port.addr, zone);
        engines.push((zone, number, port));
    }
    let stay = desk(record, "desk-0", &Arc::default());
    beats.add(&store, "desk-0", "desk", stay.addr, "z1");
    let (b, s, r) = (beats.clone(), store.clone(), record.clone());
    thread::spawn(move || b.run(&s, &r));

    let peer_port = free_port();
    let mut daemons = Vec::new();
    for (zone, number, port) in &engines {
        let store = if *number == 1 {
            own_port.addr
        } else {
            store_port.addr
        };
        let (name, ip) = (format!("side-{zone}-1"), port.addr.ip().to_string());
        let role = format!("\"engine_addr\":\"{}\"", port.addr);
        let place = Place {
            name: &name,
            zone,
            ip: &ip,
            peer_port,
            store,
            role,
            first_start: true,
        };
        daemons.push(Daemon::start(folder, "loader", &name, &settings(&place)));
    }
    let clients = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let role = format!("\"listen\":{{\"callers\":\"{clients}\",\"ready\":\"{ready}\"}}");
    let place = Place {
        name: "front-z1-1",
        zone: "z1",
        ip: "127.0.0.1",
        peer_port,
        store: store_port.addr,
        role,
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

    let stops = Arc::new(AtomicBool::new(false));
    let traffic = start_clients(record, clients, &stops);
    let mut broken = 0;
    let mut shown = 0;
    for (round, (rejected_for, leaves_after)) in (1..).zip(ROUNDS) {
        let id = format!("desk-{round}");
        let arrivals = Arc::default();
        let leaver = desk(record, &id, &arrivals);
        beats.add(&store, &id, "desk", leaver.addr, "z1");
        record.add(format!("{id} joins"));
        // The rounds begin at different points of the interval at which the hub reads the list.
        sleep_ms(2_500 + 270 * (round % 4));
        let turn_away = thread::spawn({
            let (is_rejected, record) = (is_rejected.clone(), record.clone());
            move || {
                if trouble {
                    is_rejected.store(true, Ordering::SeqCst);
                    record.add("the store turns side-z1-1 away");
                    sleep_ms(rejected_for);
                    is_rejected.store(false, Ordering::SeqCst);
                    record.add("the store serves side-z1-1 again");
                } else {
                    sleep_ms(rejected_for);
                }
            }
        });
        sleep_ms(leaves_after);
        beats.remove(&store, &id);
        let left_at = record.now();
        record.add(format!(
            "{id} leaves: its entry is removed, confirmed by the store"
        ));
        sleep_ms(DRAIN_MS + LONGER_MS);
        leaver.end();
        record.add(format!("{id} has ended"));
        let _ = turn_away.join();
        let arrivals = arrivals.lock().unwrap();
        shown += usize::from(!arrivals.is_empty());
        let late: Vec<_> = arrivals
            .iter()
            .filter(|(at, _)| *at > left_at + DRAIN_MS)
            .collect();
        let last = arrivals
            .last()
            .map_or(0, |(at, _)| at.saturating_sub(left_at));
        record.add(format!(
            "DRAIN at {id}: {} requests later than {DRAIN_MS} ms; the last one came {last} ms after it left",
            late.len()
        ));
        broken += late.len();
        drop(arrivals);
        sleep_ms(1_500);
    }
    stops.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    if shown < ROUNDS.len() {
        return None;
    }
    record.add(format!(
        "requests that reached a leaving server too late: {broken}"
    ));
    Some(broken > 0)
}

/// Sends some 40 bookings a second, each on a connection of its own.
fn start_clients(
    record: &Arc<Record>,
    addr: SocketAddr,
    stops: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, stops) = (record.clone(), stops.clone());
    thread::spawn(move || {
        for number in 0.. {
            if stops.load(Ordering::SeqCst) {
                return;
            }
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("b{number}");
                let text = format!(
                    "POST /book/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                     Deadline-Ms: 2500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook"
                );
                let answer = send(addr, &text, 3_000);
                match answer {
                    Some(answer) if answer.status == 200 => (),
                    Some(answer) => record.add(format!("{id} gets {}", answer.status)),
                    None => record.add(format!("{id} gets no answer")),
                }
            });
            sleep_ms(25);
        }
    })
}

//! A server starts anew under its id after the clock of its machine was set back, and leaves later.

use std::{
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

/// Unix time at the start of the script, in ms.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// How far the clock of the machine is ahead: the site file of cgw-calc has 2.4 s.
const AHEAD_MS: u64 = 2_400;
/// Time after its first start at which the server crashes, and at which it is back.
const CRASHES_AFTER_MS: u64 = 1_500;
const BACK_AFTER_MS: u64 = 2_100;
/// Time without any disturbance before the server leaves; contactMs is 4 s.
const CALM_MS: u64 = 10_000;
/// The leaving server runs on for drainMs and this long.
const LONGER_MS: u64 = 2_000;
const LOAD_MS: u64 = 400;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":11000,"targetLatencyMs":2000,"priority":2,"service":"llm","attempts":1,"sticky":true,"resumable":false,"gapTargetMs":400}],
"services":[
{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":96,"kvTokens":202446,"weightsMb":58000.0,"adapterSlots":8,"loadsPerS":2.1,"models":[{"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4},{"name":"m2","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

struct State {
    born: u64,
    orders: u64,
    beats: u64,
    models: Vec<String>,
    is_busy: bool,
    is_up: bool,
    state: &'static str,
}

struct Engine {
    id: &'static str,
    zone: &'static str,
    addr: SocketAddr,
    state: Mutex<State>,
    arrivals: Mutex<Vec<u64>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Engine {
    fn fields(state: &State) -> String {
        let models = state.models.iter();
        let models: Vec<_> = models
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        format!(
            "\"stage\":\"unified\",\"models\":[{}],\"born\":{},\
             \"cachedModels\":{{\"inMemory\":[],\"onDisk\":[\"m1\",\"m2\"]}}",
            models.join(","),
            state.born
        )
    }

    /// Writes the server's entry; the return is the store's confirmation.
    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.beats += 1;
        let fields = Self::fields(&state);
        let (zone, addr) = (self.zone, self.addr);
        self.store.put("keyed.servers", self.id, &format!(
            "{{\"service\":\"llm\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":96,\
             \"state\":\"{}\",\"coldLeftMs\":0,\"seq\":{},{fields}}}",
            state.state, state.beats
        ));
    }

    fn order(self: &Arc<Self>, body: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        let expect = body.split("\"expect\":").nth(1).unwrap_or_default();
        let expect: String = expect.chars().take_while(char::is_ascii_digit).collect();
        if state.is_busy || expect.parse() != Ok(state.orders) {
            return 409;
        }
        let model = if body.contains("\"model\":\"m1\"") {
            "m1"
        } else {
            "m2"
        };
        state.orders += 1;
        if body.contains("\"operation\":\"unload\"") {
            state.models.retain(|name| name != model);
            return 202;
        }
        state.is_busy = true;
        let (engine, born) = (self.clone(), state.born);
        thread::spawn(move || {
            sleep_ms(LOAD_MS);
            let mut state = engine.state.lock().unwrap();
            if state.born == born {
                state.is_busy = false;
                state.models.push(model.to_owned());
            }
        });
        202
    }

    fn handle(self: &Arc<Self>, call: &Call) -> Answer {
        if call
            .header("Target-Instance")
            .is_some_and(|target| target != self.id)
        {
            return Answer::new(421, "")
                .with("Instance-Id", self.id)
                .with("Not-Executed", "1");
        }
        if call.target == "/api/report" {
            let state = self.state.lock().unwrap();
            return Answer::new(200, format!(
                "{{{},\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":202446,\"handles\":0,\"pending\":[]}}",
                Self::fields(&state), state.is_busy, state.orders
            ));
        }
        if call.target == "/api/order" {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let status = self.order(&body);
            self.record
                .add(format!("{}: order {body}: {status}", self.id));
            return Answer::new(status, "{}");
        }
        let request = call.header("Request-Id").unwrap_or_default().to_owned();
        let model = call.header("Model").unwrap_or_default();
        if !self
            .state
            .lock()
            .unwrap()
            .models
            .iter()
            .any(|name| name == model)
        {
            return Answer::new(421, "")
                .with("Instance-Id", self.id)
                .with("Not-Executed", "1")
                .with("Request-Id", request);
        }
        self.arrivals.lock().unwrap().push(self.record.now());
        self.record.add(format!("{} runs {request}", self.id));
        sleep_ms(20);
        let answer = Answer::new(200, "id: 0\ndata: done\n\n").with("Request-Id", request.clone());
        let answer = answer.with("Response-Signature", format!("s-{request}"));
        answer
            .with("Content-Type", "text/event-stream")
            .with("Server-Load", "1,0,96")
    }

    fn start(self: &Arc<Self>, born: u64) -> Port {
        {
            let mut state = self.state.lock().unwrap();
            state.born = born;
            state.orders = 0;
            state.beats = 0;
            state.is_busy = false;
            state.is_up = true;
        }
        let engine = self.clone();
        let port = serve(self.addr, move |call| Some(engine.handle(&call)));
        self.record
            .add(format!("{} starts; born is {born}", self.id));
        self.beat();
        port
    }

    fn end(&self, port: &Port) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        state.models.clear();
        port.end();
    }
}

/// Returns whether a request reached a server later than the pages allow.
pub fn run(record: &Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", CONFIG);
    let handled = store.clone();
    let store_port = serve("127.0.0.1:0".parse().unwrap(), move |call| {
        Some(handled.handle(&call))
    });
    let engine = |id, zone, number| {
        Arc::new(Engine {
            id,
            zone,
            addr: SocketAddr::from(([127, 0, 1, number], free_port())),
            state: Mutex::new(State {
                born: 0,
                orders: 0,
                beats: 0,
                models: Vec::new(),
                is_busy: false,
                is_up: false,
                state: "ready",
            }),
            arrivals: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
        })
    };
    let first = engine("i-1", "z1", 1);
    // Four servers, so that the one that is disturbed is a quarter of them.
    let others = [
        engine("i-2", "z2", 2),
        engine("i-3", "z3", 3),
        engine("i-4", "z3", 4),
    ];
    let mut ports = Vec::new();
    for other in &others {
        other.state.lock().unwrap().models.push("m2".to_owned());
        ports.push(other.start(EPOCH_MS - 60_000));
    }
    let all: Vec<_> = others.iter().chain([&first]).cloned().collect();
    let beating = all.clone();
    thread::spawn(move || loop {
        sleep_ms(HEARTBEAT_MS);
        beating.iter().for_each(|engine| engine.beat());
    });
    let peer_port = free_port();
    let mut daemons = Vec::new();
    for engine in &all {
        let (name, ip) = (
            format!("side-{}-{}", engine.zone, engine.id),
            engine.addr.ip().to_string(),
        );
        let role = format!("\"engine_addr\":\"{}\"", engine.addr);
        let place = Place {
            name: &name,
            zone: engine.zone,
            ip: &ip,
            peer_port,
            store: store_port.addr,
            role,
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
    sleep_ms(4_000);
    let stops = Arc::new(AtomicBool::new(false));
    let port = if trouble {
        record.add("the clock of the machine side-z1-1 is ahead by 2.4 s");
        let port = first.start(EPOCH_MS + record.now() + AHEAD_MS);
        sleep_ms(CRASHES_AFTER_MS);
        record.add("the clock of the machine side-z1-1 is right again; i-1 crashes");
        first.end(&port);
        sleep_ms(BACK_AFTER_MS - CRASHES_AFTER_MS);
        first.start(EPOCH_MS + record.now())
    } else {
        first.start(EPOCH_MS + record.now())
    };
    // All gateways and loaders know the server.
    sleep_ms(2_500);
    let (r, s) = (record.clone(), stops.clone());
    let traffic = thread::spawn(move || {
        for number in 0.. {
            if s.load(Ordering::SeqCst) {
                return;
            }
            let record = r.clone();
            thread::spawn(move || {
                let text = format!(
                    "POST /chat/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c{number}\r\nModel: m1\r\n\
                     Token-Count: 1460,80\r\nPrompt-Prefix: {number:x}:1460\r\nDeadline-Ms: 11000\r\n\
                     Content-Length: 2\r\nConnection: close\r\n\r\nhi"
                );
                let status = send(clients, &text, 12_000).map(|answer| answer.status);
                if status != Some(200) {
                    record.add(format!("c{number} gets {status:?}"));
                }
            });
            sleep_ms(50);
        }
    });
    sleep_ms(CALM_MS);
    first.state.lock().unwrap().state = "draining";
    first.beat();
    let left_at = record.now();
    record.add("i-1 reports that it is draining, confirmed by the store");
    sleep_ms(DRAIN_MS + LONGER_MS);
    store.put("keyed.servers", first.id, "");
    first.end(&port);
    record.add("i-1 has ended");
    sleep_ms(2_000);
    stops.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    drop(daemons);
    ports.iter().for_each(|port| port.end());
    let arrivals = first.arrivals.lock().unwrap();
    if !arrivals.iter().any(|at| *at < left_at) {
        return None;
    }
    let late = arrivals
        .iter()
        .filter(|at| **at > left_at + DRAIN_MS)
        .count();
    let last = arrivals.last().map_or(0, |at| at.saturating_sub(left_at));
    record.add(format!(
        "DRAIN at i-1: {late} requests later than {DRAIN_MS} ms; the last one came {last} ms after the report"
    ));
    Some(late > 0)
}

//! An order that got no answer is carried out after the machine has lost power and is back.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
};

use crate::site::{
    free_port, send, serve, settings, sleep_ms, wait_ready, Answer, Call, Daemon, Place, Port,
    Record, Store, HOST,
};

const ID: &str = "i-7f3a91c2";
const WEIGHTS_MB: f64 = 58_000.0;
const MODEL_MB: f64 = 34_300.0;
/// Time of a load from the disk.
const LOAD_MS: u64 = 400;
/// Time of a load from the weight store.
const STORE_LOAD_MS: u64 = 6_000;
/// The unanswered order is carried out this long after it arrived: 2 to 12 s are allowed.
const LATE_MS: u64 = 9_000;
/// Time without power.
const DOWN_MS: u64 = 2_000;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":11000,"targetLatencyMs":2000,"priority":2,"service":"llm","attempts":1,"sticky":true,"resumable":false,"gapTargetMs":400}],
"services":[
{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":96,"kvTokens":202446,"weightsMb":58000.0,"adapterSlots":8,"loadsPerS":2.1,"models":[{"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4},{"name":"m2","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4},{"name":"m3","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

#[derive(Default)]
struct State {
    born: u64,
    seq: u64,
    models: Vec<String>,
    is_busy: bool,
    /// Whether the next load gets no answer and is carried out late.
    leaves_unanswered: bool,
    /// Whether an order has been left unanswered.
    has_left: bool,
    is_overloaded: bool,
}

struct Engine {
    id: String,
    /// Models with a copy on the disk, as a list of JSON.
    on_disk: &'static str,
    /// Time of a load.
    load_ms: u64,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Engine {
    fn names(models: &[String], form: impl Fn(&String) -> String) -> String {
        models.iter().map(form).collect::<Vec<_>>().join(",")
    }

    fn fields(&self, state: &State) -> String {
        let models = Self::names(&state.models, |name| {
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")
        });
        format!(
            "\"stage\":\"unified\",\"models\":[{models}],\"born\":{},\
             \"cachedModels\":{{\"inMemory\":[],\"onDisk\":[{}]}}",
            state.born, self.on_disk
        )
    }

    /// Carries out or refuses an order that reaches the server now.
    fn order(self: &Arc<Self>, operation: &str, model: &str, expect: Option<u64>) -> u16 {
        let mut state = self.state.lock().unwrap();
        if state.is_busy || expect.is_some_and(|expect| expect != state.seq) {
            return 409;
        }
        if operation == "unload" {
            state.models.retain(|name| name != model);
            state.seq += 1;
            return 202;
        }
        if state.models.iter().any(|name| name == model) {
            return 200;
        }
        let needs = (state.models.len() + 1) as f64 * MODEL_MB;
        if needs > WEIGHTS_MB {
            let held = Self::names(&state.models, String::clone);
            self.record.add(format!(
                "LIMIT: ordered to load {model} beside {held}: {needs} MB, the server has {WEIGHTS_MB}"
            ));
            state.is_overloaded = true;
            return 202;
        }
        state.seq += 1;
        state.is_busy = true;
        let (engine, model, born) = (self.clone(), model.to_owned(), state.born);
        thread::spawn(move || {
            sleep_ms(engine.load_ms);
            let mut state = engine.state.lock().unwrap();
            if state.born == born {
                state.is_busy = false;
                state.models.push(model);
            }
        });
        202
    }

    fn handle(self: &Arc<Self>, call: &Call) -> Option<Answer> {
        let is_other = call
            .header("Target-Instance")
            .is_some_and(|target| target != self.id);
        if is_other {
            return Some(
                Answer::new(421, "")
                    .with("Instance-Id", self.id.clone())
                    .with("Not-Executed", "1"),
            );
        }
        if call.target == "/api/report" {
            let state = self.state.lock().unwrap();
            return Some(Answer::new(200, format!(
                "{{{},\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":202446,\"handles\":0,\"pending\":[]}}",
                self.fields(&state), state.is_busy, state.seq
            )));
        }
        if call.target == "/api/order" {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let operation = text(&body, "operation").to_owned();
            let model = text(&body, "model").to_owned();
            let expect = number(&body, "expect");
            let is_unanswered = {
                let mut state = self.state.lock().unwrap();
                let is_next = operation == "load" && state.leaves_unanswered;
                if is_next {
                    state.leaves_unanswered = false;
                    state.has_left = true;
                }
                is_next
            };
            if is_unanswered {
                self.record
                    .add(format!("{}: order {body}: left unanswered", self.id));
                let engine = self.clone();
                thread::spawn(move || {
                    sleep_ms(LATE_MS);
                    let (held, seq) = {
                        let state = engine.state.lock().unwrap();
                        (Self::names(&state.models, String::clone), state.seq)
                    };
                    engine.record.add(format!(
                        "the unanswered order to {operation} {model} is carried out now; it expects \
                         seq {expect:?}, the server has seq {seq} and holds [{held}]"
                    ));
                    let status = engine.order(&operation, &model, expect);
                    engine.record.add(format!("its result: {status}"));
                });
                sleep_ms(3_000);
                return None;
            }
            let status = self.order(&operation, &model, expect);
            self.record
                .add(format!("{}: order {body}: {status}", self.id));
            return Some(Answer::new(status, "{}"));
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
            return Some(
                Answer::new(421, "")
                    .with("Instance-Id", self.id.clone())
                    .with("Not-Executed", "1")
                    .with("Request-Id", request),
            );
        }
        self.record
            .add(format!("{} runs {request} for {model}", self.id));
        let answer = Answer::new(200, "id: 0\ndata: done\n\n").with("Request-Id", request.clone());
        let answer = answer.with("Response-Signature", format!("s-{request}"));
        Some(
            answer
                .with("Content-Type", "text/event-stream")
                .with("Server-Load", "1,0,96"),
        )
    }
}

/// Returns the text of a field of a flat object.
fn text<'a>(body: &'a str, name: &str) -> &'a str {
    let rest = body
        .split_once(&format!("\"{name}\":\""))
        .map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default()
}

fn number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn start(engine: &Arc<Engine>, addr: SocketAddr) -> Port {
    let engine = engine.clone();
    serve(addr, move |call| engine.handle(&call))
}

/// Starts three servers that hold another model, with their loaders, so that the one that loses power
/// is a quarter of them.
fn start_others(
    record: &Arc<Record>,
    store: &Arc<Store>,
    store_port: &Port,
    folder: &str,
    peer_port: u16,
) -> Vec<Daemon> {
    let start_other = |(zone, number): (&'static str, u8)| {
        let id = format!("i-{number}");
        let state = State {
            born: 1_700_000_000_000,
            models: vec!["m3".to_owned()],
            ..State::default()
        };
        let engine = Arc::new(Engine {
            id: id.clone(),
            on_disk: "\"m3\"",
            load_ms: STORE_LOAD_MS,
            state: Mutex::new(state),
            record: record.clone(),
        });
        let addr = start(
            &engine,
            SocketAddr::from(([127, 0, 1, number], free_port())),
        )
        .addr;
        let beaten = store.clone();
        thread::spawn(move || {
            for seq in 1.. {
                let fields = engine.fields(&engine.state.lock().unwrap());
                beaten.put("keyed.servers", &id, &format!(
                    "{{\"service\":\"llm\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":96,\
                     \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},{fields}}}"
                ));
                sleep_ms(1_200);
            }
        });
        let (name, ip) = (format!("side-{zone}-{number}"), addr.ip().to_string());
        let place = Place {
            name: &name,
            zone,
            ip: &ip,
            peer_port,
            store: store_port.addr,
            role: format!("\"engine_addr\":\"{addr}\""),
            first_start: true,
        };
        Daemon::start(folder, "loader", &name, &settings(&place))
    };
    [("z2", 2), ("z2", 3), ("z3", 4)].map(start_other).into()
}

/// Returns whether the server was ordered to load more than it holds.
pub fn run(record: &Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let store = Arc::new(Store::default());
    store.put("keyed.op", "config", CONFIG);
    let handled = store.clone();
    let store_port = serve("127.0.0.1:0".parse().unwrap(), move |call| {
        Some(handled.handle(&call))
    });
    let state = State {
        born: 1_700_000_000_000,
        models: vec!["m1".to_owned()],
        ..State::default()
    };
    let engine = Arc::new(Engine {
        id: ID.to_owned(),
        on_disk: "\"m1\",\"m2\"",
        load_ms: LOAD_MS,
        state: Mutex::new(state),
        record: record.clone(),
    });
    let mut port = start(&engine, SocketAddr::from(([127, 0, 1, 1], free_port())));
    let addr = port.addr;
    let is_up = Arc::new(Mutex::new(true));
    let (e, s, u) = (engine.clone(), store.clone(), is_up.clone());
    thread::spawn(move || {
        for seq in 1.. {
            if *u.lock().unwrap() {
                let fields = e.fields(&e.state.lock().unwrap());
                s.put("keyed.servers", ID, &format!(
                    "{{\"service\":\"llm\",\"address\":\"{addr}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":96,\
                     \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},{fields}}}"
                ));
            }
            sleep_ms(600);
        }
    });
    let peer_port = free_port();
    let others = start_others(record, &store, &store_port, folder, peer_port);
    let ip = addr.ip().to_string();
    let loader_place = |first_start| Place {
        name: "side-z1-1",
        zone: "z1",
        ip: &ip,
        peer_port,
        store: store_port.addr,
        role: format!("\"engine_addr\":\"{addr}\""),
        first_start,
    };
    let mut loader = Daemon::start(
        folder,
        "loader",
        "side-z1-1",
        &settings(&loader_place(true)),
    );
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
    let _gateway = Daemon::start(folder, "gateway", "front-z1-1", &settings(&place));
    sleep_ms(1_000);
    if !wait_ready(ready) {
        return None;
    }
    record.add("the gateway is ready");
    sleep_ms(4_500);
    let ask = |id: &str, model: &str| {
        record.add(format!("a client sends {id} for {model}"));
        let text = format!(
            "POST /chat/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: {model}\r\n\
             Token-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:1460\r\nDeadline-Ms: 5000\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\nhi"
        );
        let status = send(clients, &text, 6_000).map(|answer| answer.status);
        record.add(format!("{id} gets {status:?}"));
        status == Some(200)
    };
    // The window of late orders: an unload and a load are answered, then an unload is, and the load
    // after it is not; one order of four.
    ask("a1", "m1");
    ask("a2", "m2");
    engine.state.lock().unwrap().leaves_unanswered = trouble;
    thread::scope(|scope| {
        scope.spawn(|| ask("a3", "m1"));
        if !trouble {
            return;
        }
        for _ in 0..400 {
            if engine.state.lock().unwrap().has_left {
                break;
            }
            sleep_ms(10);
        }
        sleep_ms(200);
        record.add("the machine of the loader and the server loses power");
        loader.kill();
        *is_up.lock().unwrap() = false;
        port.end();
        sleep_ms(DOWN_MS);
        {
            let mut state = engine.state.lock().unwrap();
            *state = State {
                born: state.born + 60_000,
                has_left: state.has_left,
                ..State::default()
            };
        }
        port = start(&engine, addr);
        *is_up.lock().unwrap() = true;
        record.add("power is back: the server starts anew under its id, empty, with seq 0");
        loader = Daemon::start(
            folder,
            "loader",
            "side-z1-1",
            &settings(&loader_place(false)),
        );
    });
    let mut served = false;
    for model in ["m1", "m2"] {
        for number in 0..8 {
            served = ask(&format!("b{number}-{model}"), model);
            if served {
                break;
            }
            sleep_ms(300);
        }
    }
    sleep_ms(LATE_MS);
    let state = engine.state.lock().unwrap();
    if !served || (trouble && !state.has_left) {
        return None;
    }
    drop(others);
    Some(state.is_overloaded)
}

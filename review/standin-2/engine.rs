//! A model engine as `PROTOCOL.md` describes it: reports, orders, and requests for models. It runs in
//! this process; a restart drops its channels and all that it holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::*;

/// Memory for weights and the size of each model, in MB.
pub const MEMORY_MB: u32 = 100;
pub const MODEL_MB: u32 = 40;

/// Durations of a load: from the weight store, and of a model that was held before.
const STORE_LOAD: Duration = Duration::from_millis(1_500);
const DISK_LOAD: Duration = Duration::from_millis(300);

pub struct Engine {
    pub id: String,
    state: Mutex<State>,
    record: Arc<Record>,
    /// Operation and model of the order that is left unanswered and carried out late, once, with the
    /// delay.
    late: Mutex<Option<(String, Duration)>>,
}

#[derive(Default)]
struct State {
    is_up: bool,
    born: u64,
    seq: u64,
    busy: bool,
    /// Number of the life: work of a former life ends with it.
    life: u64,
    models: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    channels: BTreeMap<u64, TcpStream>,
    next_channel: u64,
    late_was_taken: Option<Instant>,
    overloads: Vec<String>,
}

impl Engine {
    pub fn start(id: &str, born: u64, models: &[&str], record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let models: BTreeSet<_> = models.iter().map(|model| (*model).to_owned()).collect();
        let state = State { is_up: true, born, on_disk: models.clone(), models, ..State::default() };
        let engine = Arc::new(Self {
            id: id.to_owned(),
            state: Mutex::new(state),
            record: record.clone(),
            late: Mutex::default(),
        });
        let own = engine.clone();
        let address = serve(loopback(11, 0), move |stream| own.handle(stream));
        (engine, address)
    }

    /// Leaves the next order with this operation and model unanswered, and carries it out later.
    pub fn delay(&self, order: &str, by: Duration) {
        *self.late.lock().unwrap() = Some((order.to_owned(), by));
    }

    /// Returns whether the order that is to be late has been sent.
    pub fn has_late_order(&self) -> bool {
        self.state.lock().unwrap().late_was_taken.is_some()
    }

    pub fn overloads(&self) -> Vec<String> {
        self.state.lock().unwrap().overloads.clone()
    }

    /// Returns the models, and the number of orders that were accepted.
    pub fn holds(&self) -> (Vec<String>, u64) {
        let state = self.state.lock().unwrap();
        (state.models.iter().cloned().collect(), state.seq)
    }

    /// Ends the process of the engine.
    pub fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        state.life += 1;
        for channel in std::mem::take(&mut state.channels).into_values() {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.record.add("engine: ended");
    }

    /// Starts the engine again under its id. It holds nothing; its disk is as before.
    pub fn restart(&self, born: u64) {
        let mut state = self.state.lock().unwrap();
        state.is_up = true;
        state.born = born;
        state.seq = 0;
        state.busy = false;
        state.models.clear();
        self.record.add("engine: starts again under its id, empty, seq 0");
    }

    /// Returns the entry of the engine in the store.
    pub fn entry(&self, address: SocketAddr, seq: u64) -> String {
        let state = self.state.lock().unwrap();
        format!(
            r#"{{"service":"llm","address":"{address}","zone":"z1","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{},"stage":"unified","models":{},"cachedModels":{{"inMemory":[],"onDisk":{}}}}}"#,
            state.born, models(&state), names(&state.on_disk)
        )
    }

    fn handle(self: &Arc<Self>, mut stream: TcpStream) {
        let number = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.next_channel += 1;
            let number = state.next_channel;
            state.channels.insert(number, stream.try_clone().expect("a channel"));
            number
        };
        while let Some(call) = read_message(&mut stream) {
            let Some(answer) = self.answer(&call) else {
                // The answer is lost: nothing more comes on this channel.
                thread::sleep(Duration::from_secs(30));
                return;
            };
            if stream.write_all(&answer).is_err() {
                break;
            }
        }
        self.state.lock().unwrap().channels.remove(&number);
    }

    fn answer(self: &Arc<Self>, call: &Message) -> Option<Vec<u8>> {
        let target = call.header("target-instance").to_owned();
        let own = format!("Instance-Id: {}\r\n", self.id);
        if !target.is_empty() && target != self.id {
            return Some(plain(421, &format!("{own}Not-Executed: 1\r\n"), ""));
        }
        if call.first.starts_with("GET /api/report ") {
            let state = self.state.lock().unwrap();
            let body = format!(
                r#"{{"stage":"unified","models":{},"busy":{},"seq":{},"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0,"pending":[],"cachedModels":{{"inMemory":[],"onDisk":{}}},"born":{}}}"#,
                models(&state), state.busy, state.seq, names(&state.on_disk), state.born
            );
            return Some(plain(200, "Content-Type: application/json\r\n", &body));
        }
        if call.first.starts_with("POST /api/order ") {
            return self.order(&String::from_utf8_lossy(&call.body));
        }
        let id = call.header("request-id");
        let own = format!("{own}Request-Id: {id}\r\n");
        let model = call.header("model");
        if !self.state.lock().unwrap().models.contains(model) {
            return Some(plain(421, &format!("{own}Not-Executed: 1\r\n"), ""));
        }
        self.record.add(&format!("{id} runs with {model}"));
        let head = format!("{own}Response-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\n", self.id);
        Some(plain(200, &head, "id: 0\ndata: x\n\n"))
    }

    fn order(self: &Arc<Self>, body: &str) -> Option<Vec<u8>> {
        let operation = field(body, "operation");
        let model = field(body, "model");
        let expect: u64 = field(body, "expect").parse().unwrap_or(u64::MAX);
        let name = format!("{operation} {model}");
        let late = self.late.lock().unwrap().take_if(|(late, _)| *late == name);
        if let Some((_, delay)) = late {
            self.record.add(&format!("order {body}: no answer; is carried out {} s later", delay.as_secs_f64()));
            self.state.lock().unwrap().late_was_taken = Some(Instant::now());
            let (engine, body) = (self.clone(), body.to_owned());
            thread::spawn(move || {
                thread::sleep(delay);
                let status = engine.carry_out(&operation, &model, expect);
                engine.record.add(&format!("late order {body}: {status}"));
            });
            return None;
        }
        let status = self.carry_out(&operation, &model, expect);
        self.record.add(&format!("order {body}: {status}"));
        Some(plain(status, "", ""))
    }

    /// Carries out an order, with its condition as it is now, and returns the status.
    fn carry_out(self: &Arc<Self>, operation: &str, model: &str, expect: u64) -> u16 {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return 0;
        }
        let holds = state.models.contains(model) == (operation == "load");
        if state.busy || state.seq != expect {
            return 409;
        }
        if holds {
            return 200;
        }
        let used = state.models.len() as u32 * MODEL_MB;
        state.seq += 1;
        if operation == "unload" {
            state.models.remove(model);
            return 202;
        }
        if used + MODEL_MB > MEMORY_MB {
            let text = format!(
                "LIMIT: ordered to load {model} ({MODEL_MB} MB) while {:?} take {used} of {MEMORY_MB} MB",
                state.models
            );
            self.record.add(&text);
            state.overloads.push(text);
            return 202;
        }
        state.busy = true;
        let duration = if state.on_disk.contains(model) { DISK_LOAD } else { STORE_LOAD };
        let (engine, model, life) = (self.clone(), model.to_owned(), state.life);
        thread::spawn(move || {
            thread::sleep(duration);
            let mut state = engine.state.lock().unwrap();
            if state.life == life {
                state.busy = false;
                state.models.insert(model.clone());
                state.on_disk.insert(model);
            }
        });
        202
    }
}

fn plain(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn names(models: &BTreeSet<String>) -> String {
    let names: Vec<_> = models.iter().map(|model| format!("\"{model}\"")).collect();
    format!("[{}]", names.join(","))
}

fn models(state: &State) -> String {
    let models = state.models.iter();
    let models: Vec<_> = models
        .map(|model| format!(r#"{{"name":"{model}","version":1,"adapters":[]}}"#))
        .collect();
    format!("[{}]", models.join(","))
}

/// Returns the text of a field of a flat JSON object.
fn field(body: &str, name: &str) -> String {
    let after = body.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    let value = after.split([',', '}']).next().unwrap_or_default();
    value.trim().trim_matches('"').to_owned()
}

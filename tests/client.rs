//! Contract tests of the clients of the outside systems against the emulators.
//!
//! Each file under `tests/data/client/` starts one emulator and lists steps. A `call` step uses
//! a client of `chestnuthub::client` and says what it must return.

mod client_support;

use std::{
    collections::HashMap,
    mem,
    path::Path,
    thread::{
        self,
        JoinHandle, //
    }, //
};

use chestnuthub::client::{
    Error,
    engine::Answer, //
};
use client_support::{
    Chat,
    ClientCall,
    Emulator,
    Events,
    answer_raw,
    closed_url,
    contains,
    default_timeout_ms, //
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

/// A test file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// The failure that the test guards against.
    guards: String,
    /// Emulator with its arguments; without one, calls go to raw answers.
    emulator: Option<String>,
    #[serde(default)]
    arguments: Vec<String>,
    /// Arguments of the weight store that an engine uses.
    #[serde(default)]
    store_arguments: Vec<String>,
    steps: Vec<Step>,
}

/// A step of a test.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Adds a fault.
    Fault(Value),
    /// Clears all faults.
    Clear,
    /// Kills the emulator.
    Kill,
    /// Takes a step with the engine's weight store instead of the engine.
    Store(Box<Step>),
    /// Puts a value at a path of the emulator.
    Put(String, Value),
    /// Posts a value to a path of the emulator.
    Post(String, Value),
    /// Deletes a path of the emulator.
    Delete(String),
    /// Calls a client and compares its result.
    Call(ClientCall, Value),
    /// Sends all later calls to a server that answers with these bytes and closes.
    RawAnswer(String),
    /// Sends all later calls to an address at which nothing listens.
    NothingListens,
    /// Starts a call in the background under a name.
    Begin(String, ClientCall),
    /// Compares the result of a call in the background.
    Join(String, Value),
    /// Compares what a path of the emulator shows now.
    Shows(String, Value),
    /// Waits until a path of the emulator shows a value.
    Await(String, Value),
    /// Reads a stream of this many events whose production the test permits one by one.
    ReadEventByEvent(u64),
    /// Starts a streamed completion and closes its connection after the first event.
    Abandon,
}

/// A test in progress.
struct Run {
    emulator: Option<Emulator>,
    /// Outlives the engine that uses it.
    store: Option<Emulator>,
    url: String,
    background: HashMap<String, JoinHandle<Value>>,
}

impl Run {
    fn start(case: &Case) -> Self {
        let mut arguments = case.arguments.clone();
        let is_engine = case.emulator.as_deref() == Some("engine");
        let store = is_engine.then(|| Emulator::start("store", &case.store_arguments));
        if let Some(store) = &store {
            arguments.extend(["--store".to_owned(), store.url.clone()]);
        }
        let emulator = case.emulator.as_deref();
        let emulator = emulator.map(|name| Emulator::start(name, &arguments));
        let url = emulator.as_ref().map(|emulator| emulator.url.clone());
        Self {
            url: url.unwrap_or_default(),
            emulator,
            store,
            background: HashMap::new(),
        }
    }

    fn emulator(&self) -> &Emulator {
        self.emulator.as_ref().expect("the test has an emulator")
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Fault(fault) => self.emulator().post("/faults", fault),
            Step::Clear => self.emulator().delete("/faults"),
            Step::Kill => self.emulator.as_mut().expect("an emulator").kill(),
            Step::Store(step) => {
                mem::swap(&mut self.emulator, &mut self.store);
                let result = self.step(step);
                mem::swap(&mut self.emulator, &mut self.store);
                return result;
            }
            Step::Put(path, body) => self.emulator().put(path, body),
            Step::Post(path, body) => self.emulator().post(path, body),
            Step::Delete(path) => self.emulator().delete(path),
            Step::RawAnswer(answer) => self.url = answer_raw(answer),
            Step::NothingListens => self.url = closed_url(),
            Step::Call(call, wanted) => return compare(&call.run(&self.url), wanted),
            Step::Begin(name, call) => {
                let (call, url) = (call.clone(), self.url.clone());
                let thread = thread::spawn(move || call.run(&url));
                self.background.insert(name.clone(), thread);
            }
            Step::Join(name, wanted) => {
                let thread = self.background.remove(name).expect("a started call");
                return compare(&thread.join().expect("the call returns"), wanted);
            }
            Step::Shows(path, wanted) => return compare(&self.emulator().get(path), wanted),
            Step::Await(path, wanted) => return self.emulator().await_contains(path, wanted),
            Step::ReadEventByEvent(events) => return self.read_event_by_event(*events),
            Step::Abandon => return self.abandon(),
        }
        Ok(())
    }

    fn stream(&self, tokens: u64) -> (Chat, Result<Answer, Error>) {
        let chat = Chat {
            request: "stream-1".to_owned(),
            model: "m@1".to_owned(),
            adapter: None,
            priority: 0,
            resume_from: 0,
            body: json!({ "messages": ["piecewise"], "stream": true, "max_tokens": tokens }),
            timeout_ms: default_timeout_ms(),
        };
        let answer = chat.start(&self.url);
        (chat, answer)
    }

    /// Reads each event before it permits the production of the next.
    ///
    /// A client or server that holds events back makes the read wait for an event that is never
    /// produced, so the read fails with the timeout of the completion.
    fn read_event_by_event(&self, count: u64) -> Result<(), String> {
        let (chat, answer) = self.stream(count - 1);
        let mut events = Events::new(answer.map_err(|error| error.to_string())?);
        for index in 0..count {
            self.emulator().post("/release", &json!({ "tokens": 1 }));
            let event = events.next().map_err(|error| error.to_string())?;
            let tokens = chat.token_indexes(&event.ok_or("the stream ended early")?);
            let expected = (index < count - 1).then_some(index as i64);
            compare(&json!(tokens), &json!(Vec::from_iter(expected)))?;
            let produced = json!({ "completions": [{ "produced": index + 1 }] });
            compare(&self.emulator().get("/record"), &produced)?;
        }
        let end = events.next().map_err(|error| error.to_string())?;
        compare(&json!(end), &json!("[DONE]"))
    }

    fn abandon(&self) -> Result<(), String> {
        let (_, answer) = self.stream(1_000);
        let mut events = Events::new(answer.map_err(|error| error.to_string())?);
        events.next().map_err(|error| error.to_string())?;
        Ok(())
    }
}

fn compare(value: &Value, wanted: &Value) -> Result<(), String> {
    if contains(value, wanted) {
        return Ok(());
    }
    Err(format!("got {value}, expected {wanted}"))
}

fn run(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    let mut run = Run::start(&case);
    for (index, step) in case.steps.iter().enumerate() {
        run.step(step)
            .map_err(|detail| format!("step {index} {step:?}: {detail}; {}", case.guards))?;
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/data/client", pattern = r"\.json$" },
}

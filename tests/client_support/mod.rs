//! Starts the emulators and reads what they record.

mod call;

pub(crate) use call::{
    Chat,
    ClientCall,
    Events,
    default_timeout_ms, //
};

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        TcpListener,
        TcpStream, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::Duration,
};

use serde_json::Value;

/// Attempts to see an expected record before a test is given up as hung.
const RECORD_ATTEMPTS: u32 = 6_000;

/// A running emulator, killed when dropped.
pub(crate) struct Emulator {
    child: Child,
    pub(crate) url: String,
}

impl Emulator {
    pub(crate) fn start(name: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_chestnuthub-emulator"))
            .args([name, "--listen", "127.0.0.1:0", "--until-stdin-closes"])
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the emulator starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the emulator answers");
        let addr = line.trim().strip_prefix("listening addr=");
        let url = format!("http://{}", addr.expect("the emulator says its address"));
        Self { child, url }
    }

    /// Ends the process without any goodbye.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(crate) fn put(&self, path: &str, body: &Value) {
        let url = format!("{}{path}", self.url);
        ureq::put(url)
            .send_json(body)
            .expect("the emulator answers");
    }

    pub(crate) fn post(&self, path: &str, body: &Value) {
        let url = format!("{}{path}", self.url);
        ureq::post(url)
            .send_json(body)
            .expect("the emulator answers");
    }

    pub(crate) fn delete(&self, path: &str) {
        ureq::delete(format!("{}{path}", self.url))
            .call()
            .expect("the emulator answers");
    }

    pub(crate) fn get(&self, path: &str) -> Value {
        let mut response = ureq::get(format!("{}{path}", self.url))
            .call()
            .expect("the emulator answers");
        response.body_mut().read_json().expect("JSON")
    }

    /// Waits until what the path shows contains the wanted value.
    pub(crate) fn await_contains(&self, path: &str, wanted: &Value) -> Result<(), String> {
        let mut seen = Value::Null;
        for _ in 0..RECORD_ATTEMPTS {
            seen = self.get(path);
            if contains(&seen, wanted) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(format!("{path} shows {seen}, not {wanted}"))
    }
}

impl Drop for Emulator {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether the value has all members that `wanted` has; arrays have equal lengths.
pub(crate) fn contains(value: &Value, wanted: &Value) -> bool {
    match (value, wanted) {
        (Value::Object(value), Value::Object(wanted)) => wanted
            .iter()
            .all(|(key, wanted)| value.get(key).is_some_and(|value| contains(value, wanted))),
        (Value::Array(value), Value::Array(wanted)) => {
            let pairs = value.iter().zip(wanted);
            value.len() == wanted.len() && pairs.into_iter().all(|(a, b)| contains(a, b))
        }
        _ => value == wanted,
    }
}

/// Answers every connection with the same bytes and closes it; returns the base URL.
pub(crate) fn answer_raw(answer: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("a bound address"));
    let answer = answer.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = answer.clone();
            thread::spawn(move || close_after(&answer, stream.expect("a connection")));
        }
    });
    url
}

/// Sends the answer to a request and no more.
fn close_after(answer: &str, mut stream: TcpStream) {
    let mut request = [0; 16 << 10];
    let _ = stream.read(&mut request);
    let _ = stream.write_all(answer.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    // Closing with unread data would reset the connection before the answer is read.
    let _ = io::copy(&mut stream, &mut io::sink());
}

/// Returns the base URL of an address at which nothing listens.
pub(crate) fn closed_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    format!("http://{}", listener.local_addr().expect("a bound address"))
}

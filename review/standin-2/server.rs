//! A model engine in a process of its own, which a case may kill. Its arguments are its id, its address
//! and its start. It holds one model and takes no orders, since there is none to give.
//!
//! A request whose path ends with `/stream` is answered with events and without a length: the answer
//! ends with its channel. It goes on after `Last-Event-Id`. Any other request is answered with a few
//! events in chunks, and its channel is kept.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use crate::*;

/// Number of events in a whole answer.
pub const EVENTS: u32 = 40;

/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(100);

/// Number of events in any other answer.
const FEW: u32 = 3;

/// A server process, which is killed when this value is dropped.
pub struct Server {
    child: Child,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(id: &str, machine: u8, born: u64) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut child = Command::new(program)
            .args(["server", id, &loopback(machine, 0).to_string(), &born.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take()?).read_line(&mut line).ok()?;
        let address = line.trim().parse().ok()?;
        Some(Self { child, address })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the entry of a server in the store.
pub fn entry(
    address: SocketAddr,
    zone: &str,
    state: &str,
    seq: u32,
    born: u64,
    more: &str,
) -> String {
    format!(
        r#"{{"service":"llm","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born},"stage":"unified","models":[{{"name":"m1","version":1,"adapters":[]}}]{more}}}"#
    )
}

/// Runs a server until it is killed.
pub fn run() -> Option<bool> {
    let mut arguments = std::env::args().skip(2);
    let id = arguments.next()?;
    let address: SocketAddr = arguments.next()?.parse().ok()?;
    let born: u64 = arguments.next()?.parse().ok()?;
    let listener = TcpListener::bind(address).ok()?;
    println!("{}", listener.local_addr().ok()?);
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        let _ = stream.set_nodelay(true);
        thread::spawn(move || handle(stream, &id, born));
    }
    None
}

fn handle(mut stream: TcpStream, id: &str, born: u64) {
    while let Some(request) = read_message(&mut stream) {
        if request.first.starts_with("GET /api/report ") {
            let body = format!(
                r#"{{"stage":"unified","models":[{{"name":"m1","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":200000,"handles":0,"born":{born}}}"#
            );
            let _ = stream.write_all(&response(200, "application/json", body.as_bytes()));
            continue;
        }
        let request_id = request.header("request-id");
        let own = format!("Request-Id: {request_id}\r\nInstance-Id: {id}\r\n");
        let target = request.header("target-instance");
        if !target.is_empty() && target != id {
            let answer = format!("HTTP/1.1 421 x\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes());
            continue;
        }
        let own = format!("{own}Response-Signature: {id}.{request_id}\r\n");
        if !request.first.contains("/stream ") {
            let head = format!("HTTP/1.1 200 OK\r\n{own}Keep-Alive: timeout=20\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            for number in 0..FEW {
                thread::sleep(INTERVAL / 2);
                let event = format!("id: {number}\ndata: x\n\n");
                let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            }
            let _ = stream.write_all(b"0\r\n\r\n");
            continue;
        }
        let head = format!("HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let last: Option<u32> = request.header("last-event-id").parse().ok();
        for number in last.map_or(0, |last| last + 1)..EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {EVENTS} by {id}\n\n");
            if stream.write_all(event.as_bytes()).is_err() {
                return;
            }
            thread::sleep(INTERVAL);
        }
        return;
    }
}

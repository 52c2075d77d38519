//! Requests that arrive while a gateway stops.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread::sleep,
    time::Duration,
};

use chestnuthub::emulator::site::Plan;

use crate::{
    deployment::Deployment,
    site_support::wait_until, //
};

/// Number of connections of each kind.
const CONNECTIONS: usize = 10;

/// Time from the signal to the stop of the process, within which it accepts connections.
const BEFORE: Duration = Duration::from_millis(1_200);

/// Time for which it stands still, as one that gets no processor time does, and after which it no
/// longer accepts connections.
const STILL: Duration = Duration::from_millis(2_500);

fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).expect("the gateway accepts")
}

fn send(stream: &mut TcpStream, id: &str) {
    let text = format!(
        "POST /look/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).expect("it is sent");
}

/// Reads a response without a body.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Guards against requests that are cut off without an answer because they arrive at a stopping
/// gateway just before it closes its port and its idle connections, and it has no time to read them.
#[test]
fn requests_that_arrive_just_before_the_end_are_answered() {
    let mut system = Deployment::start(&Plan::default());
    let mut kept: Vec<_> = (0..CONNECTIONS)
        .map(|_| connect(system.caller_addr))
        .collect();
    for (number, stream) in kept.iter_mut().enumerate() {
        send(stream, &format!("first-{number}"));
        let head = read_head(stream);
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    system.gateway.signal("TERM");
    wait_until("the gateway is not ready", || !system.is_ready());
    sleep(BEFORE);
    system.gateway.signal("STOP");
    for (number, stream) in kept.iter_mut().enumerate() {
        send(stream, &format!("kept-{number}"));
    }
    let mut new: Vec<_> = (0..CONNECTIONS)
        .map(|_| connect(system.caller_addr))
        .collect();
    for (number, stream) in new.iter_mut().enumerate() {
        send(stream, &format!("new-{number}"));
    }
    sleep(STILL);
    system.gateway.signal("CONT");
    let answered = |streams: &mut Vec<TcpStream>| {
        let heads = streams.iter_mut().map(read_head);
        heads.filter(|head| head.starts_with("HTTP/1.1 ")).count()
    };
    let counts = (answered(&mut kept), answered(&mut new));
    assert_eq!(counts, (CONNECTIONS, CONNECTIONS), "kept and new ones");
    wait_until("the gateway ends", || system.gateway.ended().is_some());
    assert_eq!(system.gateway.ended(), Some(true));
}

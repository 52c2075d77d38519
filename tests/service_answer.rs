//! Answers of plain services whose end is marked, or not.

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpListener,
    thread,
    time::Duration,
};

use chestnuthub::client::service::{
    Call,
    Service, //
};

/// Maximum size of a body that is kept.
const MAX_BYTES: usize = 64;

/// Calls a service that sends these bytes and closes the connection; returns the body if it is known
/// to be whole.
fn body(answer: &'static str) -> Option<String> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let base = format!("http://{}", listener.local_addr().expect("the address"));
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).expect("the request");
        stream
            .write_all(answer.as_bytes())
            .expect("the answer is sent");
    });
    let response = Service::new(&base).call(&Call {
        method: "GET",
        path: "/x",
        content_type: None,
        request: "r1",
        body: b"",
        timeout: Duration::from_secs(5),
    });
    server.join().expect("the server ends");
    let whole = response.expect("a head").read_whole(MAX_BYTES).ok()??;
    Some(String::from_utf8(whole).expect("text"))
}

/// Guards against a body that was cut short and is kept as the result of its call, because the end of
/// the connection was taken for its end.
#[test]
fn a_body_without_a_marked_end_is_kept_only_if_it_is_known_to_be_whole() {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext",
            Some("text"),
        ),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntext", None),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
            Some("text"),
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n",
            None,
        ),
        ("HTTP/1.1 200 OK\r\n\r\ntext", None),
        ("HTTP/1.1 200 OK\r\n\r\n{\"id\": 1}", Some("{\"id\": 1}")),
        ("HTTP/1.1 200 OK\r\n\r\n{\"id\": 1", None),
        ("HTTP/1.1 200 OK\r\n\r\n12", None),
    ];
    for (answer, expected) in cases {
        assert_eq!(body(answer).as_deref(), expected, "{answer}");
    }
}

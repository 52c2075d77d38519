//! HTTP/1.1 server that frames and breaks off its responses as a test asks.
//!
//! The HTTP library can't leave out the framing of a response or end a connection within one, so
//! this server writes its responses itself.

use std::{
    io,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use hyper::{
    HeaderMap, Method,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use socket2::SockRef;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

use super::{
    fault::Faults,
    http::{
        self,
        Call,
        Chunk,
        Content,
        Response, //
    },
};

/// How the end of a response's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length in the head.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

/// How a response that is broken off, or one that ends with its connection, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
    /// The server's process ends: its port is closed, and the connection in order.
    Crash,
}

/// How responses are delivered.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Number of bytes of the body after which the response is broken off; `None` if it is whole.
    pub cut: Option<usize>,
    /// Whether a response that is broken off is framed as if it were whole.
    pub hides_cut: bool,
    /// How the connection ends where it ends with the response.
    pub ending: Ending,
    /// Seed of the lengths of the pieces in which the response is written.
    pub seed: u64,
    /// Time after which a whole buffered response is sent once more on its connection, before any
    /// response to a later request; `None` if it is sent once.
    pub repeated_after: Option<Duration>,
    /// Bytes that follow the head instead of the body, repeated until the caller closes the
    /// connection.
    pub endless: Option<Endless>,
}

/// Bytes without end.
#[derive(Debug, Clone)]
pub struct Endless {
    /// Bytes that come once. They replace the response from its first byte on if `has_head` is
    /// false, and its body otherwise.
    pub start: &'static [u8],
    /// Bytes that are repeated.
    pub repeated: &'static [u8],
    /// Whether the response's own head comes first.
    pub has_head: bool,
    /// Pause after each repetition; zero to write as fast as the connection takes them.
    pub pause: Duration,
}

impl Default for Delivery {
    fn default() -> Self {
        Self {
            framing: Framing::Chunks,
            cut: None,
            hides_cut: false,
            ending: Ending::Close,
            seed: 0,
            repeated_after: None,
            endless: None,
        }
    }
}

/// State that the connections of a server share.
#[derive(Debug, Default)]
pub(super) struct Server {
    delivery: Mutex<Delivery>,
    accepting: Mutex<Option<JoinHandle<()>>>,
    has_crashed: watch::Sender<bool>,
    /// Number of bytes without end that were written so far.
    endless_bytes: Mutex<u64>,
}

impl Server {
    /// Sets how further responses are delivered.
    pub(super) fn deliver(&self, delivery: Delivery) {
        *lock(&self.delivery) = delivery;
    }

    /// Returns the number of bytes without end that were written so far.
    pub(super) fn endless_bytes(&self) -> u64 {
        *lock(&self.endless_bytes)
    }

    /// Serves the connections of a listener until a response crashes the server.
    pub(super) fn start<H, F>(
        self: &Arc<Self>,
        listener: TcpListener,
        faults: Arc<Faults>,
        handler: H,
    ) where
        H: Fn(Call) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let server = self.clone();
        let accepting = tokio::spawn(async move {
            // A failed accept ends the server, and the test sees refused connections.
            while let Ok((stream, _)) = listener.accept().await {
                let (server, handler) = (server.clone(), handler.clone());
                let faults = faults.clone();
                let mut has_crashed = server.has_crashed.subscribe();
                tokio::spawn(async move {
                    tokio::select! {
                        // An error means that the caller closed the connection.
                        _ = server.serve(stream, &faults, handler) => (),
                        _ = has_crashed.wait_for(|has_crashed| *has_crashed) => (),
                    }
                });
            }
        });
        *lock(&self.accepting) = Some(accepting);
    }

    async fn serve<H, F>(
        &self,
        mut stream: TcpStream,
        faults: &Faults,
        handler: H,
    ) -> io::Result<()>
    where
        H: Fn(Call) -> F + Clone,
        F: Future<Output = Response>,
    {
        stream.set_nodelay(true)?;
        let mut received = BytesMut::new();
        while let Some(call) = read_call(&mut stream, &mut received).await? {
            let call = call.with_faults(faults);
            let Some(response) = http::execute(call, handler.clone()).await else {
                return Ok(());
            };
            let delivery = lock(&self.delivery).clone();
            if !self.write(&mut stream, response, &delivery).await? {
                return self.end(stream, delivery.ending).await;
            }
        }
        Ok(())
    }

    /// Writes a response; returns whether the connection may be used again.
    async fn write(
        &self,
        stream: &mut TcpStream,
        response: Response,
        delivery: &Delivery,
    ) -> io::Result<bool> {
        let (status, headers, content) = response.into_parts();
        let mut head = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if let Some(endless) = &delivery.endless {
            let head = if endless.has_head { head.as_str() } else { "" };
            stream.write_all(head.as_bytes()).await?;
            return self.write_endless(stream, endless).await;
        }
        let mut writer = Writer {
            stream,
            framing: delivery.framing,
            remaining: delivery.cut,
            hides_cut: delivery.hides_cut,
            random: fastrand::Rng::with_seed(delivery.seed),
        };
        match delivery.framing {
            Framing::Length => {
                let mut body = collect(content).await;
                if delivery.hides_cut {
                    body.truncate(delivery.cut.unwrap_or(body.len()));
                }
                head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
                writer.stream.write_all(head.as_bytes()).await?;
                return writer.write_body(&body).await;
            }
            Framing::Chunks => head.push_str("transfer-encoding: chunked\r\n\r\n"),
            Framing::Connection => head.push_str("\r\n"),
        }
        writer.stream.write_all(head.as_bytes()).await?;
        match content {
            Content::Buffered(body) => {
                if !writer.write_body(&body).await? {
                    return Ok(false);
                }
                if let Some(pause) = delivery.repeated_after {
                    sleep(pause).await;
                    writer.stream.write_all(head.as_bytes()).await?;
                    return writer.write_body(&body).await;
                }
                Ok(true)
            }
            Content::Streamed(mut chunks) => {
                while let Some(Ok(chunk)) = chunks.recv().await {
                    if !writer.write_piece(&chunk).await? {
                        return Ok(false);
                    }
                }
                writer.finish().await
            }
        }
    }

    async fn write_endless(&self, stream: &mut TcpStream, endless: &Endless) -> io::Result<bool> {
        stream.write_all(endless.start).await?;
        loop {
            stream.write_all(endless.repeated).await?;
            *lock(&self.endless_bytes) += endless.repeated.len() as u64;
            sleep(endless.pause).await;
        }
    }

    async fn end(&self, mut stream: TcpStream, ending: Ending) -> io::Result<()> {
        if ending == Ending::Reset {
            // The bytes written before must arrive: a reset overtakes those in transit.
            sleep(Duration::from_millis(30)).await;
            return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        let accepting = lock(&self.accepting).take();
        match accepting {
            Some(accepting) if ending == Ending::Crash => {
                accepting.abort();
                // The listener is closed once the task has ended.
                let _ = accepting.await;
                self.has_crashed.send_replace(true);
            }
            accepting => *lock(&self.accepting) = accepting,
        }
        stream.shutdown().await
    }
}

/// Writes the body of a response up to its cut.
struct Writer<'a> {
    stream: &'a mut TcpStream,
    framing: Framing,
    /// Number of bytes that may still be written.
    remaining: Option<usize>,
    hides_cut: bool,
    random: fastrand::Rng,
}

impl Writer<'_> {
    async fn write_body(&mut self, body: &[u8]) -> io::Result<bool> {
        if !self.write_piece(body).await? {
            return Ok(false);
        }
        self.finish().await
    }

    /// Writes bytes in pieces of random length; returns false if the response is broken off.
    async fn write_piece(&mut self, bytes: &[u8]) -> io::Result<bool> {
        const MAX_PIECE_BYTES: usize = 20;
        let allowed = self.remaining.unwrap_or(usize::MAX).min(bytes.len());
        let mut rest = &bytes[..allowed];
        while !rest.is_empty() {
            let length = self.random.usize(1..=rest.len().min(MAX_PIECE_BYTES));
            let (piece, after) = rest.split_at(length);
            if self.framing == Framing::Chunks {
                let start = format!("{length:x}\r\n");
                self.stream.write_all(start.as_bytes()).await?;
                self.stream.write_all(piece).await?;
                self.stream.write_all(b"\r\n").await?;
            } else {
                self.stream.write_all(piece).await?;
            }
            rest = after;
        }
        if let Some(remaining) = &mut self.remaining {
            *remaining -= allowed;
            if *remaining == 0 {
                if self.hides_cut {
                    self.finish().await?;
                }
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Ends a whole response; returns whether the connection may be used again.
    async fn finish(&mut self) -> io::Result<bool> {
        if self.framing == Framing::Chunks {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(self.framing != Framing::Connection)
    }
}

/// Reads the next request; `None` if the caller has closed the connection.
async fn read_call(stream: &mut TcpStream, received: &mut BytesMut) -> io::Result<Option<Call>> {
    let head_end = loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
        if stream.read_buf(received).await? == 0 {
            return Ok(None);
        }
    };
    let head = received.split_to(head_end);
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let mut request_line = lines.next().unwrap_or_default().split(' ');
    let method = request_line.next().unwrap_or_default().parse();
    let target = request_line.next().unwrap_or_default();
    let mut headers = HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        if let (Ok(name), Ok(value)) = (
            name.parse::<HeaderName>(),
            HeaderValue::try_from(value.trim()),
        ) {
            headers.append(name, value);
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|value| value.to_str().ok());
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while received.len() < length {
        if stream.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
    let body = received.split_to(length).freeze();
    Ok(Some(Call::new(
        method.unwrap_or(Method::GET),
        target,
        headers,
        body,
    )))
}

async fn collect(content: Content) -> Bytes {
    match content {
        Content::Buffered(body) => body,
        Content::Streamed(mut chunks) => {
            let mut body = BytesMut::new();
            while let Some(Chunk::Ok(chunk)) = chunks.recv().await {
                body.extend_from_slice(&chunk);
            }
            body.freeze()
        }
    }
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

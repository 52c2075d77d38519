//! A caller of raw HTTP.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

/// Head of an answer as a caller sees it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: BTreeMap<String, String>,
}

/// A caller that reads answers byte by byte, so that a test sees when each piece arrives.
pub(crate) struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(addr).await.unwrap(),
            received: Vec::new(),
        }
    }

    pub(crate) async fn send(&mut self, head: &str, body: &str) {
        let length = body.len();
        self.write(&format!("{head}Content-Length: {length}\r\n\r\n{body}"))
            .await;
    }

    /// Writes as much as the entry takes; it may answer and close before the end.
    pub(crate) async fn write(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    pub(crate) async fn head(&mut self) -> Answer {
        let text = self.until("\r\n\r\n").await.unwrap();
        let mut lines = text.split("\r\n");
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        let headers = lines.filter_map(|line| line.split_once(": "));
        Answer {
            status: status.parse().unwrap(),
            headers: headers
                .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
                .collect(),
        }
    }

    /// Returns the next chunk, empty at the end of the body, nothing if the body was cut off.
    pub(crate) async fn chunk(&mut self) -> Option<String> {
        let size = self.until("\r\n").await?;
        let size = usize::from_str_radix(&size, 16).unwrap();
        let chunk = self.take(size + 2).await?;
        Some(chunk.strip_suffix("\r\n").unwrap().to_owned())
    }

    /// Returns all chunks up to the end of the body, nothing if the body was cut off.
    pub(crate) async fn chunks(&mut self) -> Option<String> {
        let mut text = String::new();
        loop {
            match self.chunk().await? {
                chunk if chunk.is_empty() => return Some(text),
                chunk => text.push_str(&chunk),
            }
        }
    }

    /// Reads an answer with problem data.
    pub(crate) async fn problem(&mut self) -> (Answer, serde_json::Value) {
        let (answer, problem) = self.json().await;
        assert_eq!(answer.headers["content-type"], "application/problem+json");
        (answer, problem)
    }

    /// Reads an answer with JSON of an announced length.
    pub(crate) async fn json(&mut self) -> (Answer, serde_json::Value) {
        let (answer, body) = self.whole().await;
        (answer, serde_json::from_str(&body).unwrap())
    }

    /// Reads an answer with a body of an announced length.
    pub(crate) async fn whole(&mut self) -> (Answer, String) {
        let answer = self.head().await;
        let size = answer.headers["content-length"].parse().unwrap();
        let body = self.take(size).await.unwrap();
        (answer, body)
    }

    /// Waits until the entry closes the connection; false if it sends something first.
    pub(crate) async fn is_closed(&mut self) -> bool {
        !self.fill().await
    }

    async fn until(&mut self, end: &str) -> Option<String> {
        loop {
            let found = self
                .received
                .windows(end.len())
                .position(|window| window == end.as_bytes());
            if let Some(index) = found {
                let text = self.take(index + end.len()).await?;
                return Some(text[..index].to_owned());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn take(&mut self, size: usize) -> Option<String> {
        while self.received.len() < size {
            if !self.fill().await {
                return None;
            }
        }
        let taken = self.received.drain(..size).collect();
        Some(String::from_utf8(taken).unwrap())
    }

    async fn fill(&mut self) -> bool {
        let mut buffer = [0; 4_096];
        match self.stream.read(&mut buffer).await {
            Ok(0) | Err(_) => false,
            Ok(size) => {
                self.received.extend_from_slice(&buffer[..size]);
                true
            }
        }
    }
}

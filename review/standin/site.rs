//! Stand-ins for the platform's store, servers and clients, and the daemons that run against them.
//! Standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "a.example";
pub const DRAIN_MS: u64 = 2_500;
pub const HEARTBEAT_MS: u64 = 1_200;

/// What was sent, answered and run, with the time since the start of the script.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::default(),
        })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>7.3} {line}\n", *at as f64 / 1_000.0))
            .collect();
        fs::write(path, text).expect("the record is written");
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A request that a stand-in received.
pub struct Call {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads one message head and its body of stated length; returns the first line, headers and body.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    let body = buffer.drain(..length).collect();
    Some((first, headers, body))
}

/// What a stand-in answers.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// A listening stand-in that can end like a process: its port closes and its connections break.
#[derive(Clone)]
pub struct Port {
    pub addr: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Port {
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the accept loop.
        let _ = TcpStream::connect(self.addr);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Serves an address. The handler returns `None` for a call that gets no answer; its connection
/// is closed.
pub fn serve<H>(addr: SocketAddr, handler: H) -> Port
where
    H: Fn(Call) -> Option<Answer> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).expect("the address is free");
    let port = Port {
        addr: listener.local_addr().unwrap(),
        ended: Arc::default(),
        open: Arc::default(),
    };
    let handler = Arc::new(handler);
    let own = port.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            if own.has_ended() {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            own.open.lock().unwrap().push(stream.try_clone().unwrap());
            let (handler, own) = (handler.clone(), own.clone());
            thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Some((first, headers, body)) = read_message(&mut stream, &mut buffer) {
                    let mut words = first.split(' ');
                    let call = Call {
                        target: words.nth(1).unwrap_or_default().to_owned(),
                        headers,
                        body,
                    };
                    let answer = handler(call);
                    if own.has_ended() {
                        break;
                    }
                    let Some(answer) = answer else { break };
                    let mut bytes = format!(
                        "HTTP/1.1 {} X\r\nContent-Length: {}\r\n",
                        answer.status,
                        answer.body.len()
                    );
                    for (name, value) in &answer.headers {
                        bytes.push_str(&format!("{name}: {value}\r\n"));
                    }
                    bytes.push_str("\r\n");
                    let mut bytes = bytes.into_bytes();
                    bytes.extend_from_slice(&answer.body);
                    if stream.write_all(&bytes).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    port
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = (u32::from(b[0]) << 16) | (u32::from(b[1]) << 8) | u32::from(b[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The platform's store: keyed topics with one partition, of which the system here only reads.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
    changed: Condvar,
}

impl Store {
    /// Appends a record; an empty value drops the key. The return is the store's confirmation.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn newest(&self, topic: &str) -> Answer {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = records.len();
        let items = items.join(",");
        Answer::new(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}"),
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.get(from..).unwrap_or_default() {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Answer::new(200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Answer {
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            let value = String::from_utf8_lossy(&record[key_end..]).into_owned();
            self.put(topic, &key, &value);
            body = &body[4 + length..];
        }
        Answer::new(200, "{\"offset\":0,\"endOffset\":1}")
    }

    pub fn handle(&self, call: &Call) -> Answer {
        let topic = call.query("topic").unwrap_or_default();
        let path = call.target.split('?').next().unwrap_or_default();
        match path {
            "/api/log-newest" => self.newest(topic),
            "/api/log-read" => {
                let number = |name| call.query(name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read(topic, number("from").unwrap_or(0) as usize, wait)
            }
            "/api/log-append" => self.append(topic, &call.body),
            _ => Answer::new(404, ""),
        }
    }
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns a port that is free on all addresses, below the range of ephemeral ports.
pub fn free_port() -> u16 {
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 101;
        let port = 12_000 + (number % 18_000) as u16;
        if TcpListener::bind(("0.0.0.0", port)).is_ok() {
            return port;
        }
    }
}

/// A daemon process of the project, which is killed when this value is dropped.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Starts `target/release/chestnuthubd ROLE --settings FILE`, the command of the deploy file.
    pub fn start(folder: &str, role: &str, name: &str, settings: &str) -> Self {
        let path = PathBuf::from(folder).join(format!("{name}.jsonc"));
        fs::write(&path, settings).expect("the settings are written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(PathBuf::from(folder).join(format!("{name}.log")))
            .expect("the log is opened");
        let child = Command::new("target/release/chestnuthubd")
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self { child }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Values of the settings template that differ between daemons.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: &'a str,
    pub peer_port: u16,
    pub store: SocketAddr,
    /// The key of the role: `listen` of a gateway or `engine_addr` of a loader.
    pub role: String,
    pub first_start: bool,
}

/// Fills in what `deploy/settings.jsonc` says, with the bounds of the installation.
pub fn settings(place: &Place<'_>) -> String {
    let Place {
        name,
        zone,
        ip,
        peer_port,
        store,
        role,
        first_start,
    } = place;
    let metrics = free_port();
    format!(
        "{{\"instance\":\"{name}\",\"failure_domain\":\"{zone}\",\
         \"regions\":{{\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":\"r2\"}},\"peer_ip\":\"{ip}\",\
         \"peer_port\":{peer_port},\"metrics_port\":{metrics},\"store_addr\":\"{store}\",{role},\
         \"grace_ms\":8e3,\"retry\":{{\"ratio\":0.2,\"slack\":54,\"window_ms\":10e3}},\
         \"store_load_window_ms\":5e3,\"server_drain_ms\":{DRAIN_MS},\
         \"settled_after_ms\":4000,\"first_start\":{first_start}}}"
    )
}

/// Waits until a gateway's readiness check says 200.
pub fn wait_ready(addr: SocketAddr) -> bool {
    for _ in 0..300 {
        let answer = send(addr, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1_000);
        if answer.is_some_and(|answer| answer.status == 200) {
            return true;
        }
        sleep_ms(50);
    }
    false
}

/// Sends a request on a connection of its own; returns the answer if it is complete.
pub fn send(addr: SocketAddr, text: &str, timeout_ms: u64) -> Option<Answer> {
    let mut stream = TcpStream::connect(addr).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)));
    stream.write_all(text.as_bytes()).ok()?;
    let (first, headers, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        headers,
        body,
    })
}

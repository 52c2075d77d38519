//! Stand-ins of the second review: a store, servers and clients that follow the users' pages, and the
//! cases that run the project's daemons before them. Only the standard library is used.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod partition;
mod server;
mod unframed;

use unframed::Trouble;

/// A request or response that was read.
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the head of a message, without its body.
pub fn read_head(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Some(Message { first, headers: headers.collect(), body: Vec::new() })
}

/// Reads a message whose body has a length or none.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut message = read_head(stream)?;
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Accepts connections in a thread; each is handled in one of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the stand-in binds its address");
    let address = listener.local_addr().expect("the address is known");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// The platform's store: the desired state and the list of servers.
#[derive(Default)]
pub struct Store {
    state: Mutex<Records>,
    changed: Condvar,
}

#[derive(Default)]
struct Records {
    /// Desired states in the order in which they were written; the offset is the position.
    configurations: Vec<String>,
    servers: BTreeMap<String, String>,
    server_offset: u64,
}

impl Store {
    /// Writes a desired state.
    pub fn configure(&self, configuration: &str) {
        self.state.lock().unwrap().configurations.push(configuration.to_owned());
        self.changed.notify_all();
    }

    /// Writes the entry of a server.
    pub fn list(&self, id: &str, entry: &str) {
        let mut state = self.state.lock().unwrap();
        state.servers.insert(id.to_owned(), entry.to_owned());
        state.server_offset += 1;
    }

    /// Removes the entry of a server.
    pub fn remove(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.servers.remove(id);
        state.server_offset += 1;
    }

    /// Starts to answer calls.
    pub fn start(self: &Arc<Self>) -> SocketAddr {
        self.start_until_cut(&Arc::default())
    }

    /// Starts to answer calls of a machine that is cut off while the flag is set.
    pub fn start_until_cut(self: &Arc<Self>, is_cut: &Arc<AtomicBool>) -> SocketAddr {
        let (store, is_cut) = (self.clone(), is_cut.clone());
        serve(loopback(1, 0), move |mut stream| {
            while let Some(call) = read_message(&mut stream) {
                while is_cut.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
                if stream.write_all(&store.answer(&call)).is_err() {
                    return;
                }
            }
        })
    }

    fn answer(&self, call: &Message) -> Vec<u8> {
        let target = call.first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        match (path, value("topic")) {
            ("/api/log-newest", "keyed.op") => {
                let state = self.state.lock().unwrap();
                let newest = state.configurations.last();
                let items = newest.map(|value| ("config".to_owned(), value.clone()));
                newest_answer(items.into_iter(), state.configurations.len() as u64)
            }
            ("/api/log-newest", "keyed.servers") => {
                let state = self.state.lock().unwrap();
                let items = state.servers.iter().map(|(id, entry)| (id.clone(), entry.clone()));
                newest_answer(items, state.server_offset)
            }
            ("/api/log-newest", _) => newest_answer(std::iter::empty(), 0),
            ("/api/log-read", "keyed.op") => {
                let from = value("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("waitMs").parse().unwrap_or(0));
                let state = self.state.lock().unwrap();
                let waited = self.changed.wait_timeout_while(state, wait, |state| {
                    state.configurations.len() <= from
                });
                let (state, _) = waited.unwrap();
                let mut body = (state.configurations.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for value in state.configurations.iter().skip(from) {
                    body.extend(((1 + 6 + value.len()) as u32).to_be_bytes());
                    body.extend(b"\x06config");
                    body.extend(value.as_bytes());
                }
                response(200, "application/octet-stream", &body)
            }
            _ => response(200, "application/json", b"{\"endOffset\":1,\"offset\":0}"),
        }
    }
}

fn newest_answer(items: impl Iterator<Item = (String, String)>, end: u64) -> Vec<u8> {
    let items = items.map(|(key, value)| {
        format!(r#"{{"key":"{key}","value":"{}","offset":0}}"#, base64(value.as_bytes()))
    });
    let items: Vec<_> = items.collect();
    let body = format!(
        r#"{{"items":[{}],"hasMore":false,"endOffset":{end}}}"#,
        items.join(",")
    );
    response(200, "application/json", body.as_bytes())
}

pub fn response(status: u16, media: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: {media}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns an address of the loopback network, one for each machine of a case.
pub fn loopback(machine: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, machine), port))
}

/// Returns a port that is free on all loopback addresses. It lies below the ports that the operating
/// system gives to outgoing channels, so that none of them takes it before a daemon does.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 97 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (12_000 + number % 18_000) as u16;
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

/// What was sent, answered and run, for `record.txt`.
pub struct Record {
    started: Instant,
    lines: Mutex<String>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: &str) {
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{:8.3} s  {line}", self.now());
    }

    pub fn write(&self) {
        let _ = fs::write("record.txt", self.lines.lock().unwrap().as_str());
    }
}

/// A daemon of the project, which is killed when this value is dropped.
pub struct Daemon(pub Child);

impl Daemon {
    /// Starts the daemon of a role with the command of the deploy file.
    pub fn start(role: &str, name: &str, settings: &str) -> Self {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"));
        let temporary = PathBuf::from(std::env::var("TEMPORARY").expect("TEMPORARY names a folder"));
        let path = temporary.join(format!("{name}.jsonc"));
        fs::write(&path, settings).expect("the settings are written");
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        let section = deploy.split(&format!("[roles.{role}]")).nth(1).expect("the role");
        let run = section.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.expect("the command").trim_matches('"');
        let mut words = run.split(' ');
        let program = words.next().expect("the program");
        let words = words.map(|word| match word {
            "/etc/chestnuthub/node.toml" => path.to_string_lossy().into_owned(),
            word => word.to_owned(),
        });
        let log = fs::File::create(temporary.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(root.join(program))
            .args(words)
            .current_dir(&root)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        Self(child.expect("the daemon starts"))
    }

    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A gateway, with the addresses at which it takes clients and tells whether it is ready.
pub struct Gateway {
    pub daemon: Daemon,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Starts a gateway on a machine of its own.
pub fn start_gateway(store: SocketAddr, machine: u8, peer_port: u16, extra: &str) -> Gateway {
    let callers = loopback(machine, free_port());
    let ready = loopback(machine, free_port());
    let name = format!("front-{machine}");
    let listen = format!(r#""listen": {{ "callers": "{callers}", "ready": "{ready}" }},"#);
    let settings = settings(store, &name, machine, "z0", peer_port, &format!("{listen}{extra}"));
    let daemon = Daemon::start("gateway", &name, &settings);
    Gateway { daemon, callers, ready }
}

/// Starts a loader on the machine of an engine.
pub fn start_loader(
    store: SocketAddr,
    engine: SocketAddr,
    machine: u8,
    zone: &str,
    peer_port: u16,
) -> Daemon {
    let name = format!("side-{machine}");
    let extra = format!(r#""engine_addr": "{engine}","#);
    let settings = settings(store, &name, machine, zone, peer_port, &extra);
    Daemon::start("loader", &name, &settings)
}

/// Returns settings as `deploy/settings.jsonc` gives them on the small sites.
fn settings(
    store: SocketAddr,
    name: &str,
    machine: u8,
    zone: &str,
    peer_port: u16,
    extra: &str,
) -> String {
    let ip = loopback(machine, 0).ip();
    let metrics = free_port();
    format!(
        r#"{{
    "instance": "{name}", "failure_domain": "{zone}", "regions": {{ "z0": "r1", "z1": "r1", "z2": "r2" }},
    "peer_ip": "{ip}", "peer_port": {peer_port}, "metrics_port": {metrics},
    "store_addr": "{store}", {extra}
    "grace_ms": 8e3, "retry": {{ "ratio": 0.2, "slack": 56, "window_ms": 10e3 }},
    "store_load_window_ms": 5e3, "server_drain_ms": 2500, "settled_after_ms": 4000
}}"#
    )
}

/// Waits until a gateway says that it is ready.
pub fn wait_until_ready(gateway: &Gateway) -> bool {
    for _ in 0..200 {
        if is_ready(gateway.ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let request = b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let sent = stream.write_all(request).is_ok();
    sent && read_message(&mut stream).is_some_and(|answer| answer.first.contains(" 200"))
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "server" => server::run(),
        "partition" => partition::run(trouble),
        "notice" => unframed::run(Trouble::Notice, trouble),
        "lossy" => unframed::run(Trouble::CrashAtLossyLink, trouble),
        _ => None,
    };
    ExitCode::from(match result {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    })
}

//! Daemons, settings and requests for tests before an emulated site.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::{
    ENGINES,
    SERVICE, //
};
use serde_json::{
    Value,
    json, //
};

/// Limit after which an event that must happen counts as missing. It only ends a test that would
/// otherwise hang.
const MISSING_AFTER: Duration = Duration::from_secs(30);

/// Host of all routes.
pub(crate) const HOST: &str = "a.example";

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A process that is killed when it is dropped.
pub(crate) struct Daemon(Child);

impl Daemon {
    /// Starts a daemon in a role; its log lines go to `log`.
    pub(crate) fn start(role: &str, settings: &Value, log: Stdio) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hosted-{}-{number}.jsonc", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_chestnuthubd"))
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stdout(log)
            .spawn()
            .expect("the daemon starts");
        Self(child)
    }

    /// Sends a signal by its name.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Returns whether the process succeeded, once it has ended.
    pub(crate) fn ended(&mut self) -> Option<bool> {
        let status = self.0.try_wait().expect("the state of the daemon is known");
        status.map(|status| status.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a port that is free on all addresses and that no other test of this program gets.
///
/// The ports lie below the range from which connections take theirs.
pub(crate) fn free_port() -> u16 {
    const FIRST: u32 = 12_000;
    const PORTS: u32 = 18_000;
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let port = (FIRST + number % PORTS) as u16;
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

/// Returns a daemon's settings.
pub(crate) fn settings(
    store: SocketAddr,
    instance: &str,
    address: SocketAddr,
    peer_port: u16,
) -> Value {
    json!({
        "instance": instance,
        "failure_domain": "z1",
        "regions": { "z1": "r1" },
        "peer_ip": address.ip().to_string(),
        "peer_port": peer_port,
        "metrics_port": free_port(),
        "store_addr": store.to_string(),
        "grace_ms": 8e3,
        "retry": { "ratio": 0.2, "slack": 54, "window_ms": 10e3 },
        "store_load_window_ms": 5e3,
        "server_drain_ms": 2_500,
        "settled_after_ms": 4_000,
    })
}

/// Returns a configuration; `more` adds routes to the plain service by their path prefixes.
pub(crate) fn configuration(version: u64, more: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, service: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 20000,
            "targetLatencyMs": 1000, "priority": 1, "service": service, "attempts": 2,
            "sticky": true, "resumable": resumable, "gapTargetMs": 400,
        })
    };
    let mut routes = vec![
        route("chat", "/chat/", ENGINES, "stream", false),
        route("review", "/review/", ENGINES, "stream", true),
        route("book", "/book/", SERVICE, "unsafe", false),
        route("look", "/look/", SERVICE, "safe", false),
    ];
    routes.extend(
        more.iter()
            .map(|prefix| route(prefix, prefix, SERVICE, "safe", false)),
    );
    let model = |name: &str| {
        json!({
            "name": name, "weightsMb": 40.0, "loadS": 1.0, "adapters": 2, "adapterMb": 1.0,
            "warmS": 0.1, "diskS": 0.2,
        })
    };
    let models: Vec<_> = ["m1", "m2", "m3", "m4"].into_iter().map(model).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": ENGINES, "healthPath": "/health", "maxConns": 100, "protocol": "h1",
                "tls": false,
                "engine": {
                    "slots": 8, "kvTokens": 1000, "weightsMb": 100.0, "adapterSlots": 2,
                    "loadsPerS": 4.0, "models": models,
                },
            },
            {
                "name": SERVICE, "healthPath": "/health", "maxConns": 100, "protocol": "h1",
                "tls": false,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

/// Sends bytes and returns all that comes back until the connection ends.
pub(crate) fn ask_raw(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    let mut answer = Vec::new();
    if stream.write_all(text.as_bytes()).is_ok() {
        // A reset after the answer leaves what was read before.
        let _ = stream.read_to_end(&mut answer);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the events of an answer, without the framing of its chunks.
pub(crate) fn events(answer: &str) -> Vec<&str> {
    answer
        .lines()
        .filter(|line| line.starts_with("data: "))
        .collect()
}

/// Returns whether a chunked answer has its end.
pub(crate) fn is_whole(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

/// Waits until `happened` returns true.
pub(crate) fn eventually(what: &str, mut happened: impl FnMut() -> bool) {
    let start = Instant::now();
    while !happened() {
        assert!(start.elapsed() < MISSING_AFTER, "never happened: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

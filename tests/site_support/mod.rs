//! Daemons, settings and requests for tests that run against an emulated site.

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

/// Timeout for an event that must happen. It only ends a test that would otherwise hang.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Host of all routes.
pub(crate) const HOST: &str = "a.example";

/// Counter from which this process takes distinct names of settings files and distinct ports.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A daemon process, which is killed when this value is dropped.
pub(crate) struct Daemon(Child);

impl Daemon {
    /// Starts a daemon with a role. Its standard output, to which it logs, goes to `log`.
    pub(crate) fn start(role: &str, settings: &Value, log: Stdio) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
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

    /// Sends the signal with this name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }

    /// Returns whether the process exited successfully, or `None` while it runs.
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
/// The ports lie below the operating system's range of ephemeral ports, so no outgoing connection
/// takes one before the daemon binds it.
pub(crate) fn free_port() -> u16 {
    const FIRST_PORT: u32 = 12_000;
    const PORT_COUNT: u32 = 18_000;
    loop {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let port = (FIRST_PORT + number % PORT_COUNT) as u16;
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

/// Returns the settings of a daemon. The store, the instance name, and the address and port for
/// peers are given; tests add the keys of the role.
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

/// Returns a configuration with two routes to the model engines and two to the plain service.
/// `extra_prefixes` adds a route to the plain service for each path prefix.
pub(crate) fn configuration(version: u64, extra_prefixes: &[&str]) -> Value {
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
        extra_prefixes
            .iter()
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

/// Sends a request as raw text and returns everything received until the connection ends, which is
/// empty if the connection is refused.
pub(crate) fn send_raw(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    let mut response = Vec::new();
    if stream.write_all(text.as_bytes()).is_ok() {
        // If the connection is reset after the response, the bytes read so far are kept.
        let _ = stream.read_to_end(&mut response);
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the content of a chunked body, and whether it has its last chunk.
pub(crate) fn unchunked(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, rest == "\r\n");
        }
        let available = size.min(rest.len());
        body.push_str(&rest[..available]);
        text = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Returns whether a chunked response has its last chunk.
pub(crate) fn is_terminated(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

/// Waits until `is_met` returns true. `condition` describes it for the panic message of a timeout.
pub(crate) fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "timed out waiting until {condition}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

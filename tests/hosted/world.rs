//! Real daemons before an emulated site.

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
    Plan,
    SERVICE,
    Site, //
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
    fn start(role: &str, settings: &Value) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hosted-{}-{number}.jsonc", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_chestnuthubd"))
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
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

    /// Waits for the end of the process; returns whether it succeeded.
    pub(crate) fn wait(&mut self) -> bool {
        self.0.wait().expect("the daemon ends").success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A gateway, the loaders beside the engines, and the site.
pub(crate) struct World {
    pub(crate) site: Site,
    pub(crate) gateway: Daemon,
    pub(crate) loaders: Vec<Daemon>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// Returns a port that is free on all addresses and that no other test of this program gets.
///
/// The ports lie below the range from which connections take theirs.
fn free_port() -> u16 {
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

impl World {
    /// Starts a site with the usual configuration and waits until the gateway is ready.
    pub(crate) fn start(plan: &Plan) -> Self {
        let site = Site::start(plan).expect("the site starts");
        site.configure(&configuration(1, &[]));
        let world = Self::unconfigured(site);
        eventually("the gateway is ready", || world.is_ready());
        world
    }

    /// Starts the daemons before a site.
    pub(crate) fn unconfigured(site: Site) -> Self {
        let peer_port = free_port();
        let callers = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let ready = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let mut loaders = Vec::new();
        for index in 0..site.engines() {
            let engine = site.engine_addr(index);
            let mut settings = settings(&site, &format!("side-{index}"), engine, peer_port);
            settings["engine_addr"] = json!(engine.to_string());
            loaders.push(Daemon::start("loader", &settings));
        }
        let mut settings = settings(&site, "front-1", callers, peer_port);
        let metrics_port = free_port();
        settings["metrics_port"] = json!(metrics_port);
        settings["listen"] = json!({ "callers": callers.to_string(), "ready": ready.to_string() });
        let gateway = Daemon::start("gateway", &settings);
        Self {
            site,
            gateway,
            loaders,
            callers,
            ready,
            metrics: SocketAddr::from((Ipv4Addr::LOCALHOST, metrics_port)),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        let answer = ask_raw(
            self.ready,
            "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        );
        answer.starts_with("HTTP/1.1 200")
    }

    /// Sends a request on a connection of its own and returns all bytes of the answer.
    pub(crate) fn ask(&self, request: &Request<'_>) -> String {
        ask_raw(self.callers, &request.text())
    }
}

fn settings(site: &Site, instance: &str, address: SocketAddr, peer_port: u16) -> Value {
    json!({
        "instance": instance,
        "failure_domain": "z1",
        "regions": { "z1": "r1" },
        "peer_ip": address.ip().to_string(),
        "peer_port": peer_port,
        "metrics_port": free_port(),
        "store_addr": site.store_addr().to_string(),
        "grace_ms": 8e3,
        "retry": { "ratio": 0.2, "slack": 54, "window_ms": 10e3 },
        "store_load_window_ms": 5e3,
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

/// A client's request.
pub(crate) struct Request<'a> {
    pub(crate) id: &'a str,
    pub(crate) path: &'a str,
    pub(crate) model: Option<&'a str>,
    pub(crate) body: &'a str,
}

impl<'a> Request<'a> {
    pub(crate) fn new(id: &'a str, path: &'a str) -> Self {
        Self {
            id,
            path,
            model: None,
            body: "",
        }
    }

    pub(crate) fn model(id: &'a str, path: &'a str, model: &'a str) -> Self {
        Self {
            model: Some(model),
            ..Self::new(id, path)
        }
    }

    fn text(&self) -> String {
        let model = self
            .model
            .map_or(String::new(), |model| format!("Model: {model}\r\n"));
        format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: 5000\r\n\
             {model}Connection: close\r\nContent-Length: {}\r\n\r\n{}",
            self.path,
            self.id,
            self.body.len(),
            self.body
        )
    }
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

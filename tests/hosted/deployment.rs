//! A gateway and loaders that run as real processes against an emulated site.

use std::{
    fs::{
        self,
        File, //
    },
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::Stdio,
    thread::{
        self,
        JoinHandle, //
    },
};

use chestnuthub::emulator::site::{
    Plan,
    Site, //
};
use serde_json::{
    Value,
    json, //
};

use crate::site_support::{
    Daemon,
    HOST,
    configuration,
    free_port,
    send_raw,
    settings,
    wait_until, //
};

/// A running gateway, a loader beside each engine, and the emulated site.
pub(crate) struct Deployment {
    pub(crate) site: Site,
    pub(crate) gateway: Daemon,
    pub(crate) loaders: Vec<Daemon>,
    /// Address at which the gateway accepts clients' requests.
    pub(crate) caller_addr: SocketAddr,
    /// Address of the gateway's readiness check.
    pub(crate) ready_addr: SocketAddr,
    /// Address of the gateway's metrics.
    pub(crate) metrics_addr: SocketAddr,
    /// Port of the hubs.
    peer_port: u16,
}

impl Deployment {
    /// Starts a site with the usual configuration and waits until the gateway is ready.
    pub(crate) fn start(plan: &Plan) -> Self {
        Self::start_with(plan, &configuration(1, &[]), &json!({}))
    }

    /// Starts a site with a configuration and waits until the gateway is ready. The gateway has
    /// `extra` settings.
    pub(crate) fn start_with(plan: &Plan, configuration: &Value, extra: &Value) -> Self {
        let site = Site::start(plan).expect("the site starts");
        site.configure(configuration);
        let loaders = site.engine_count();
        let deployment = Self::start_daemons(site, loaders, extra);
        wait_until("the gateway is ready", || deployment.is_ready());
        deployment
    }

    /// Starts a site at which no loader stands beside any engine, and waits until the gateway is
    /// ready.
    pub(crate) fn start_without_loaders(plan: &Plan) -> Self {
        let site = Site::start(plan).expect("the site starts");
        site.configure(&configuration(1, &[]));
        Self::start_site_without_loaders(site)
    }

    /// Starts a gateway, but no loader, for a site that has a configuration, and waits until the
    /// gateway is ready.
    pub(crate) fn start_site_without_loaders(site: Site) -> Self {
        let deployment = Self::start_daemons(site, 0, &json!({}));
        wait_until("the gateway is ready", || deployment.is_ready());
        deployment
    }

    /// Starts the daemons for a site without writing a configuration or waiting for readiness.
    pub(crate) fn start_unconfigured(site: Site) -> Self {
        let loaders = site.engine_count();
        Self::start_daemons(site, loaders, &json!({}))
    }

    fn start_daemons(site: Site, loader_count: usize, extra: &Value) -> Self {
        let peer_port = free_port();
        let caller_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let ready_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let loaders = start_loaders(&site, loader_count, peer_port, true);
        let mut settings = settings(site.store_addr(), "front-1", caller_addr, peer_port);
        let metrics_port = free_port();
        settings["metrics_port"] = json!(metrics_port);
        settings["first_start"] = json!(true);
        settings["listen"] =
            json!({ "callers": caller_addr.to_string(), "ready": ready_addr.to_string() });
        for (name, value) in extra.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let gateway = Daemon::start("gateway", &settings, log(&settings));
        Self {
            site,
            gateway,
            loaders,
            caller_addr,
            ready_addr,
            metrics_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, metrics_port)),
            peer_port,
        }
    }

    /// Kills all loaders and starts new ones, which know nothing of what the former ones knew.
    pub(crate) fn restart_loaders(&mut self) {
        let count = self.loaders.len();
        self.loaders.clear();
        self.loaders = start_loaders(&self.site, count, self.peer_port, false);
    }

    /// Starts a further gateway for the clients at the address that is returned, and waits until it
    /// is ready.
    pub(crate) fn start_gateway(&self, name: &str) -> (Daemon, SocketAddr) {
        let clients = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let ready = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let mut settings = settings(self.site.store_addr(), name, clients, self.peer_port);
        settings["metrics_port"] = json!(free_port());
        settings["listen"] = json!({ "callers": clients.to_string(), "ready": ready.to_string() });
        let gateway = Daemon::start("gateway", &settings, log(&settings));
        wait_until("the further gateway is ready", || is_ready(ready));
        (gateway, clients)
    }

    pub(crate) fn is_ready(&self) -> bool {
        is_ready(self.ready_addr)
    }

    /// Returns what the gateway has logged so far.
    pub(crate) fn gateway_log(&self) -> String {
        Self::log_of("front-1")
    }

    /// Returns what an instance has logged so far.
    pub(crate) fn log_of(instance: &str) -> String {
        fs::read_to_string(log_path(instance)).expect("the log is read")
    }

    /// Returns the log lines of links that ended for another reason than that the other end fell
    /// silent or closed them, which a busy machine brings about as well.
    pub(crate) fn faulty_links(&self) -> Vec<String> {
        const CAUSES: [&str; 4] = [
            "timed out",
            "unexpected end of file",
            "Broken pipe",
            "Connection reset",
        ];
        let loaders = (0..self.loaders.len()).map(|index| format!("side-{index}"));
        let mut logs = String::new();
        for instance in loaders.chain(["front-1".to_owned()]) {
            logs += &fs::read_to_string(log_path(&instance)).expect("the log is read");
        }
        let ends = |line: &&str| {
            line.contains("event=hub_lost") || line.contains("event=hub_connection_ended")
        };
        let is_faulty = |line: &&str| !CAUSES.iter().any(|cause| line.contains(cause));
        let lines = logs.lines().filter(ends).filter(is_faulty);
        lines.map(str::to_owned).collect()
    }

    /// Sends a request in a thread, which returns the response.
    pub(crate) fn start_request(&self, request: &Request<'_>) -> JoinHandle<String> {
        let (caller_addr, text) = (self.caller_addr, request.text());
        thread::spawn(move || send_raw(caller_addr, &text))
    }

    /// Sends a request on a connection of its own and returns all bytes of the response.
    pub(crate) fn send(&self, request: &Request<'_>) -> String {
        send_raw(self.caller_addr, &request.text())
    }
}

/// Starts a loader beside each of the first `count` engines.
fn start_loaders(site: &Site, count: usize, peer_port: u16, is_first_start: bool) -> Vec<Daemon> {
    let start = |index| {
        let engine = site.engine_addr(index);
        let name = format!("side-{index}");
        let mut settings = settings(site.store_addr(), &name, engine, peer_port);
        settings["engine_addr"] = json!(engine.to_string());
        settings["first_start"] = json!(is_first_start);
        Daemon::start("loader", &settings, log(&settings))
    };
    (0..count).map(start).collect()
}

/// Creates the file for the log of a daemon, which stays after the run.
fn log(settings: &Value) -> Stdio {
    let instance = settings["instance"].as_str().unwrap_or("unnamed");
    Stdio::from(File::create(log_path(instance)).expect("the log is created"))
}

/// Returns the file of an instance's log, `hosted-<test>-<instance>.log` in cargo's directory for
/// temporary files of tests.
fn log_path(instance: &str) -> PathBuf {
    let thread = thread::current();
    let test = thread.name().unwrap_or("unnamed").replace("::", "-");
    let name = format!("hosted-{test}-{instance}.log");
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn is_ready(address: SocketAddr) -> bool {
    let response = send_raw(
        address,
        "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    );
    response.starts_with("HTTP/1.1 200")
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

    pub(crate) fn text(&self) -> String {
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

/// Returns the `data:` lines of a response, one for each event, without the framing of its chunks.
pub(crate) fn events(response: &str) -> Vec<&str> {
    response
        .lines()
        .filter(|line| line.starts_with("data: "))
        .collect()
}

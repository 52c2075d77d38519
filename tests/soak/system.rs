//! Gateways and loaders before an emulated site, with a proxy on every link.

use std::{
    fs::File,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::Stdio,
    time::{
        Duration,
        Instant, //
    },
};

use chestnuthub::emulator::site::{
    Plan,
    Run,
    Site, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

use super::{
    client::Record,
    fault::{
        Action,
        Link,
        Process,
        Size, //
    },
    proxy::{
        Mode,
        Proxy, //
    },
    site_support::{
        Daemon,
        ask_raw,
        configuration,
        eventually,
        free_port,
        settings, //
    },
};

/// Time within which the system serves again after the last fault; the bound that the users'
/// platform states for the recovery.
pub(crate) const RECOVERY: Duration = Duration::from_secs(12);

pub(crate) const SIZE: Size = Size {
    gateways: 2,
    engines: 3,
    services: 2,
};

/// A daemon that is started again.
struct Restartable {
    role: &'static str,
    settings: Value,
    log: PathBuf,
    daemon: Option<Daemon>,
}

impl Restartable {
    fn start(&mut self) {
        // A process that is still stopping is killed, as at the end of the grace period.
        self.daemon = None;
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log opens");
        self.daemon = Some(Daemon::start(self.role, &self.settings, Stdio::from(log)));
    }

    fn signal(&self, name: &str) {
        if let Some(daemon) = &self.daemon {
            daemon.signal(name);
        }
    }
}

/// The system under test.
pub(crate) struct System {
    /// Drives the proxies.
    runtime: Runtime,
    site: Site,
    gateways: Vec<Restartable>,
    loaders: Vec<Restartable>,
    links: Vec<(Link, Proxy)>,
    version: u64,
    callers: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
}

fn addr(net: u8, index: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, 0, net, index as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), port)
}

impl System {
    /// Starts everything and waits until all gateways are ready.
    pub(crate) fn start(seed: u64) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        let runtime = runtime.expect("the runtime starts");
        let plan = Plan {
            engines: vec![vec!["m1", "m2"], vec!["m1"], vec!["m3"]],
            services: SIZE.services,
            ..Plan::default()
        };
        let mut system = Self {
            site: Site::start(&plan).expect("the site starts"),
            runtime,
            gateways: Vec::new(),
            loaders: Vec::new(),
            links: Vec::new(),
            version: 1,
            callers: Vec::new(),
            readiness: Vec::new(),
        };
        system.site.configure(&configuration(1, &[]));
        let peer_port = free_port();
        for index in 0..SIZE.engines {
            system.add_loader(seed, index, peer_port);
        }
        for index in 0..SIZE.services {
            let target = system.site.service_addr(index);
            let proxy = system.link(Link::Service(index), addr(6, index, 0), target);
            system.site.publish_service_at(index, proxy);
        }
        for index in 0..SIZE.gateways {
            system.add_gateway(seed, index, peer_port);
        }
        eventually("all gateways are ready", || system.is_ready());
        system
    }

    fn link(&mut self, link: Link, listen: SocketAddr, target: SocketAddr) -> SocketAddr {
        let proxy = Proxy::start(self.runtime.handle(), listen, target);
        let proxy = proxy.expect("the proxy starts");
        let address = proxy.addr;
        self.links.push((link, proxy));
        address
    }

    fn add_loader(&mut self, seed: u64, index: usize, peer_port: u16) {
        let engine = self.site.engine_addr(index);
        let public = self.link(Link::Engine(index), addr(4, index, 0), engine);
        self.site.publish_engine_at(index, public);
        let listen = addr(5, index, peer_port);
        self.link(Link::Peer(index), addr(4, index, peer_port), listen);
        let store = self.store(Process::Loader(index));
        let mut settings = settings(store, &format!("side-{index}"), listen, peer_port);
        settings["engine_addr"] = json!(public.to_string());
        self.loaders.push(start("loader", settings, seed, index));
    }

    fn add_gateway(&mut self, seed: u64, index: usize, peer_port: u16) {
        let callers = addr(7, index, free_port());
        let ready = addr(7, index, free_port());
        let store = self.store(Process::Gateway(index));
        let mut settings = settings(store, &format!("front-{index}"), callers, peer_port);
        settings["listen"] = json!({ "callers": callers.to_string(), "ready": ready.to_string() });
        self.gateways.push(start("gateway", settings, seed, index));
        self.callers.push(callers);
        self.readiness.push(ready);
    }

    fn store(&mut self, process: Process) -> SocketAddr {
        let store = self.site.store_addr();
        self.link(Link::Store(process), addr(8, 0, 0), store)
    }

    fn is_ready(&self) -> bool {
        let text = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut ready = self.readiness.iter();
        ready.all(|addr| ask_raw(*addr, text).starts_with("HTTP/1.1 200"))
    }

    /// Returns the addresses for callers, one for each gateway.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.callers.clone()
    }

    /// Returns what the servers ran.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.site.runs()
    }

    /// Returns the rules that were broken in the engines' own view.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.site.violations()
    }

    /// Returns the path prefix of the newest route.
    pub(crate) fn newest_prefix(&self) -> String {
        format!("/new{}/", self.version)
    }

    pub(crate) fn apply(&mut self, action: &Action) {
        match action {
            Action::Kill(process) => self.process(*process).daemon = None,
            Action::Stop(process) => self.process(*process).signal("TERM"),
            Action::Start(process) => self.process(*process).start(),
            Action::Freeze(process) => self.process(*process).signal("STOP"),
            Action::Thaw(process) => self.process(*process).signal("CONT"),
            Action::SetLink(link, mode) => self.proxy(*link).set(*mode),
            Action::Stall(link) => self.proxy(*link).stall(),
            Action::EngineFault(index, fault) => self.site.engine_fault(*index, fault.clone()),
            Action::ServiceFault(index, fault) => self.site.service_fault(*index, fault.clone()),
            Action::StoreFault(fault) => self.site.store_fault(fault.clone()),
            Action::ClearFaults => self.site.clear_faults(),
            Action::BreakStream(index, after) => self.site.break_next_stream(*index, *after),
            Action::Drain(index) => self.site.describe_service(*index, "draining"),
            Action::Undrain(index) => self.site.describe_service(*index, "ready"),
            Action::Configure => self.configure(),
        }
    }

    fn process(&mut self, process: Process) -> &mut Restartable {
        match process {
            Process::Gateway(index) => &mut self.gateways[index],
            Process::Loader(index) => &mut self.loaders[index],
        }
    }

    fn proxy(&self, link: Link) -> &Proxy {
        let found = self.links.iter().find(|(own, _)| *own == link);
        &found.expect("each link has a proxy").1
    }

    fn configure(&mut self) {
        self.version += 1;
        let prefix = self.newest_prefix();
        self.site
            .configure(&configuration(self.version, &[&prefix]));
    }

    /// Ends all faults, writes a last configuration, and waits until `unserved` finds nothing.
    pub(crate) fn recover(&mut self, unserved: impl Fn(&Self) -> Option<Record>) {
        for (_, proxy) in &self.links {
            proxy.set(Mode::Pass);
        }
        self.site.clear_faults();
        for index in 0..SIZE.services {
            self.site.describe_service(index, "ready");
        }
        for process in self.gateways.iter_mut().chain(&mut self.loaders) {
            process.signal("CONT");
            let daemon = process.daemon.as_mut();
            if daemon.is_none_or(|daemon| daemon.ended().is_some()) {
                process.start();
            }
        }
        self.configure();
        let start = Instant::now();
        eventually("the system serves again", || {
            let unserved = unserved(self);
            assert!(
                unserved.is_none() || start.elapsed() <= RECOVERY,
                "not served within {RECOVERY:?}: {unserved:?}"
            );
            unserved.is_none() && self.is_ready()
        });
    }
}

fn start(role: &'static str, settings: Value, seed: u64, index: usize) -> Restartable {
    let name = format!("soak-{seed}-{role}-{index}.log");
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // A log of an earlier run of the seed is of no use.
    let _ = std::fs::remove_file(&log);
    let mut process = Restartable {
        role,
        settings,
        log,
        daemon: None,
    };
    process.start();
    process
}

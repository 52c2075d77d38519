//! The system under test: gateways, loaders and an emulated site, with a proxy on every link.

use std::{
    env,
    fs::File,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::Stdio,
    sync::{
        Arc,
        Mutex, //
    },
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
    client::{
        Credential,
        Record, //
    },
    fault::{
        Action,
        Link,
        Process,
        Size, //
    },
    proxy::{
        Mode,
        Proxy,
        Trigger, //
    },
    site_support::{
        Daemon,
        configuration,
        free_port,
        send_raw,
        settings,
        wait_until, //
    },
};

/// Maximum time from the end of the last fault until the system serves all requests again. It is
/// the recovery time that the users' platform requires.
pub(crate) const RECOVERY: Duration = Duration::from_secs(12);

/// Number of client accounts.
const ACCOUNTS: u64 = 3;

/// Key that is moved to the next account by each version.
const MOVING_KEY: &str = "key-moving";

/// Environment variable with the multiple of the usual size that is tested.
const SCALE_VARIABLE: &str = "CHESTNUTHUB_SOAK_SCALE";

/// Returns how many times the usual size the system under test has.
pub(crate) fn scale() -> usize {
    env::var(SCALE_VARIABLE).map_or(1, |scale| scale.parse().expect("a number"))
}

/// Returns the size of the system under test.
pub(crate) fn size() -> Size {
    Size {
        gateways: 2 * scale(),
        engines: 3 * scale(),
        services: 2,
    }
}

/// A daemon that can be restarted with the same settings.
struct Restartable {
    role: &'static str,
    settings: Value,
    log: PathBuf,
    daemon: Option<Daemon>,
}

impl Restartable {
    fn start(&mut self) {
        // Dropping the daemon kills a process that is still stopping, as the platform does at the
        // end of the grace period.
        self.daemon = None;
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log opens");
        self.daemon = Some(Daemon::start(self.role, &self.settings, Stdio::from(log)));
    }

    /// Sends a signal to the process if it runs.
    fn signal(&mut self, name: &str) {
        if !self.has_ended()
            && let Some(daemon) = &self.daemon
        {
            daemon.signal(name);
        }
    }

    fn has_ended(&mut self) -> bool {
        let daemon = self.daemon.as_mut();
        daemon.is_none_or(|daemon| daemon.ended().is_some())
    }
}

/// The system under test.
pub(crate) struct System {
    /// Runtime of the proxies.
    runtime: Runtime,
    site: Site,
    gateways: Vec<Restartable>,
    loaders: Vec<Restartable>,
    links: Vec<(Link, Proxy)>,
    /// Requests that crash engines.
    pub(crate) trigger: Arc<Trigger>,
    version: u64,
    /// Whether the configurations have client accounts.
    has_accounts: bool,
    caller_addrs: Vec<SocketAddr>,
    ready_addrs: Vec<SocketAddr>,
}

/// Returns the loopback address 127.0.`net`.(`index` + 1).
fn loopback(net: u8, index: usize, port: u16) -> SocketAddr {
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
        let size = size();
        let models = [vec!["m1", "m2"], vec!["m1"], vec!["m3"]];
        let plan = Plan {
            engines: models.into_iter().cycle().take(size.engines).collect(),
            services: size.services,
            ..Plan::default()
        };
        let mut system = Self {
            site: Site::start(&plan).expect("the site starts"),
            runtime,
            gateways: Vec::new(),
            loaders: Vec::new(),
            links: Vec::new(),
            trigger: Arc::new(Trigger {
                // Gateways write the names of headers in lower case.
                text: "prompt-prefix: bad:10",
                arrivals: Mutex::default(),
                crashes: Mutex::default(),
            }),
            version: 1,
            has_accounts: has_accounts(seed),
            caller_addrs: Vec::new(),
            ready_addrs: Vec::new(),
        };
        system.site.start_raw().expect("the raw servers start");
        system
            .site
            .configure(&keyed(configuration(1, &[]), 1, system.has_accounts));
        let peer_port = free_port();
        for index in 0..size.engines {
            system.add_loader(seed, index, peer_port);
        }
        for index in 0..size.services {
            let target = system.site.raw_service_addr(index);
            let proxy = system.add_proxy(Link::Service(index), loopback(6, index, 0), target);
            system.site.publish_service_at(index, proxy);
        }
        for index in 0..size.gateways {
            system.add_gateway(seed, index, peer_port);
        }
        wait_until("all gateways are ready", || system.is_ready());
        system
    }

    /// Starts a proxy for a link and returns its address.
    fn add_proxy(&mut self, link: Link, listen: SocketAddr, target: SocketAddr) -> SocketAddr {
        let trigger = matches!(link, Link::Engine(_)).then(|| self.trigger.clone());
        let proxy = Proxy::start(self.runtime.handle(), listen, target, trigger);
        let proxy = proxy.expect("the proxy starts");
        let address = proxy.addr;
        self.links.push((link, proxy));
        address
    }

    fn add_loader(&mut self, seed: u64, index: usize, peer_port: u16) {
        let engine = self.site.raw_engine_addr(index);
        let public_addr = self.add_proxy(Link::Engine(index), loopback(4, index, 0), engine);
        self.site.publish_engine_at(index, public_addr);
        let listen = loopback(5, index, peer_port);
        self.add_proxy(Link::Peer(index), loopback(4, index, peer_port), listen);
        let store = self.add_store_proxy(Process::Loader(index));
        let mut settings = settings(store, &format!("side-{index}"), listen, peer_port);
        settings["engine_addr"] = json!(public_addr.to_string());
        self.loaders
            .push(start_daemon("loader", settings, seed, index));
    }

    fn add_gateway(&mut self, seed: u64, index: usize, peer_port: u16) {
        let caller_addr = loopback(7, index, free_port());
        let ready_addr = loopback(7, index, free_port());
        let store = self.add_store_proxy(Process::Gateway(index));
        let mut settings = settings(store, &format!("front-{index}"), caller_addr, peer_port);
        settings["listen"] =
            json!({ "callers": caller_addr.to_string(), "ready": ready_addr.to_string() });
        self.gateways
            .push(start_daemon("gateway", settings, seed, index));
        self.caller_addrs.push(caller_addr);
        self.ready_addrs.push(ready_addr);
    }

    /// Starts a proxy between a process and the store and returns its address.
    fn add_store_proxy(&mut self, process: Process) -> SocketAddr {
        let store = self.site.store_addr();
        self.add_proxy(Link::Store(process), loopback(8, 0, 0), store)
    }

    fn is_ready(&self) -> bool {
        let text = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut addrs = self.ready_addrs.iter();
        addrs.all(|addr| send_raw(*addr, text).starts_with("HTTP/1.1 200"))
    }

    /// Returns the addresses to which clients send requests, one for each gateway.
    pub(crate) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.caller_addrs.clone()
    }

    /// Returns what the servers ran.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.site.runs()
    }

    /// Returns descriptions of the rules that the engines saw violated.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.site.violations()
    }

    /// Returns what a client bears: each third client a key that moves with each version.
    pub(crate) fn credential(&self, client: u64) -> Option<Credential> {
        let name = |number: u64| format!("account-{number}");
        let credential = match client % ACCOUNTS {
            0 => Credential {
                key: MOVING_KEY.to_owned(),
                accounts: (0..ACCOUNTS).map(name).collect(),
            },
            number => Credential {
                key: format!("key-{number}"),
                accounts: vec![name(number)],
            },
        };
        self.has_accounts.then_some(credential)
    }

    /// Returns whether the configurations have client accounts.
    pub(crate) fn has_accounts(&self) -> bool {
        self.has_accounts
    }

    /// Returns the key that was withdrawn last.
    pub(crate) fn withdrawn(&self) -> Option<Credential> {
        let is_any = self.has_accounts && self.version > 1;
        is_any.then(|| Credential {
            key: passing_key(self.version - 1),
            accounts: Vec::new(),
        })
    }

    /// Returns the path prefix of the newest route.
    pub(crate) fn newest_prefix(&self) -> String {
        format!("/new{}/", self.version)
    }

    pub(crate) fn apply(&mut self, action: &Action) {
        match action {
            Action::Kill(process) => self.process_mut(*process).daemon = None,
            Action::Stop(process) => self.process_mut(*process).signal("TERM"),
            Action::Start(process) => self.process_mut(*process).start(),
            Action::Freeze(process) => self.process_mut(*process).signal("STOP"),
            Action::Thaw(process) => self.process_mut(*process).signal("CONT"),
            Action::SetLink(link, mode) => self.proxy(*link).set(*mode),
            Action::Stall(link) => self.proxy(*link).stall(),
            Action::EngineFault(index, fault) => self.site.engine_fault(*index, fault.clone()),
            Action::ServiceFault(index, fault) => self.site.service_fault(*index, fault.clone()),
            Action::StoreFault(fault) => self.site.store_fault(fault.clone()),
            Action::ClearFaults => self.site.clear_faults(),
            Action::BreakStream(index, after) => self.site.break_next_stream(*index, *after),
            Action::Drain(index) => self.site.publish_service(*index, "draining"),
            Action::Undrain(index) => self.site.publish_service(*index, "ready"),
            Action::Configure => self.configure(),
            Action::Deliver(server, delivery) => {
                self.site.deliver_at(*server, delivery.clone());
            }
            Action::Hangup(process) => self.process_mut(*process).signal("HUP"),
            Action::Upgrade(index, version) => {
                for model in ["m1", "m2", "m3", "m4"] {
                    self.site.drop_model(*index, model);
                }
                self.site.upgrade_engine(*index, version);
            }
        }
    }

    fn process_mut(&mut self, process: Process) -> &mut Restartable {
        match process {
            Process::Gateway(index) => &mut self.gateways[index],
            Process::Loader(index) => &mut self.loaders[index],
        }
    }

    fn proxy(&self, link: Link) -> &Proxy {
        let found = self.links.iter().find(|(other, _)| *other == link);
        &found.expect("each link has a proxy").1
    }

    fn configure(&mut self) {
        self.version += 1;
        let prefix = self.newest_prefix();
        let configuration = configuration(self.version, &[&prefix]);
        let configuration = keyed(configuration, self.version, self.has_accounts);
        self.site.configure(&configuration);
    }

    /// Kills all processes at the same moment, as when all machines lose power.
    pub(crate) fn kill_all(&mut self) {
        for process in self.gateways.iter_mut().chain(&mut self.loaders) {
            process.signal("KILL");
        }
    }

    /// Ends all faults, writes a last configuration, and waits until `unserved` returns `None`.
    /// Fails if this takes longer than `RECOVERY`.
    pub(crate) fn recover(&mut self, unserved: impl Fn(&Self) -> Option<Record>) {
        for (_, proxy) in &self.links {
            proxy.set(Mode::Pass);
        }
        self.site.clear_faults();
        for index in 0..size().services {
            self.site.publish_service(index, "ready");
        }
        for process in self.gateways.iter_mut().chain(&mut self.loaders) {
            if process.has_ended() {
                process.start();
            } else {
                process.signal("CONT");
            }
        }
        self.configure();
        let start = Instant::now();
        wait_until("the system serves again", || {
            let unserved = unserved(self);
            assert!(
                unserved.is_none() || start.elapsed() <= RECOVERY,
                "not served within {RECOVERY:?}: {unserved:?}"
            );
            unserved.is_none() && self.is_ready()
        });
    }
}

/// Returns whether the configurations of a seed have client accounts. Half of the seeds have, with
/// and without a loss of power.
fn has_accounts(seed: u64) -> bool {
    matches!(seed % 4, 1 | 2)
}

/// Returns a key that only this version holds.
fn passing_key(version: u64) -> String {
    format!("key-of-version-{version}")
}

/// Adds client accounts to a configuration, if it is to have any. Each has a key of its own, one has
/// a key that moves with each version, and one has a key of this version.
fn keyed(mut configuration: Value, version: u64, has_accounts: bool) -> Value {
    if !has_accounts {
        return configuration;
    }
    let account = |number: u64| {
        let mut keys = vec![format!("key-{number}")];
        if version % ACCOUNTS == number {
            keys.extend([MOVING_KEY.to_owned(), passing_key(version)]);
        }
        json!({ "name": format!("account-{number}"), "apiKeys": keys })
    };
    configuration["tenants"] = (0..ACCOUNTS).map(account).collect();
    for route in configuration["routes"].as_array_mut().into_iter().flatten() {
        route["public"] = json!(route["name"] == "look");
    }
    configuration
}

/// Starts a daemon whose log goes to a file named after the seed, the role and the index.
fn start_daemon(role: &'static str, settings: Value, seed: u64, index: usize) -> Restartable {
    let name = format!("soak-{seed}-{role}-{index}.log");
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // The log is opened for appending, so one of an earlier run of the seed must be removed.
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

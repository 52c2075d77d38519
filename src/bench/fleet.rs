//! A small system on loopback: emulators and daemons as separate processes.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        UdpSocket, //
    },
    ops::Range,
    path::{
        Path,
        PathBuf, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};
use uuid::Uuid;

use crate::catalogue::Note;

use super::{
    Caller,
    Deployment,
    Error,
    Process,
    meter::Meter,
    process, //
};

/// Longest wait until all daemons are ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Slots that each model of the first release note has ahead of need.
const HOME_SLOTS: usize = 2;

/// Ports of daemons.
const PORTS: Range<u16> = 10_000..32_000;

/// Ports that are tried for one address.
const PORT_ATTEMPTS: u32 = 100;

/// Pause between checks of readiness.
const READY_PAUSE: Duration = Duration::from_millis(100);

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent.
    pub engines: usize,
    /// Number of backend servers of the plain service, each with an agent.
    pub services: usize,
    /// Accelerator memory of each engine in MiB.
    pub memory_mb: u64,
    /// Time between tokens of an engine in milliseconds.
    pub token_interval_ms: u64,
    /// Completions that an engine runs at once.
    pub max_running: u32,
    /// Whether the engines refuse orders with an old fencing number.
    pub checks_fence: bool,
    /// Bytes a second that the weight store sends at full speed.
    pub store_bytes_per_s: u64,
    /// Seconds for which the log keeps records.
    pub log_retention_s: u64,
    /// Whether the bytes between daemons and the log and list are counted.
    pub metered: bool,
}

impl Plan {
    /// Returns a plan with two entries, two engines and one plain service.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            entries: 2,
            engines: 2,
            services: 1,
            memory_mb: 40_000,
            token_interval_ms: 20,
            max_running: 8,
            checks_fence: true,
            store_bytes_per_s: 20 << 30,
            log_retention_s: 86_400,
            metered: false,
        }
    }
}

/// A daemon of the fleet.
#[derive(Debug)]
pub struct Daemon {
    /// Name of its instance.
    pub name: String,
    /// Address of its operator port.
    pub operator_addr: SocketAddr,
    /// Address of its caller port, for an entry.
    pub caller_addr: Option<SocketAddr>,
    /// The process.
    pub process: Process,
    /// Links to the log and to the list, in this order, if metered.
    pub meters: Vec<Meter>,
    settings: PathBuf,
    directory: PathBuf,
}

impl Daemon {
    /// Starts the daemon anew, with the same settings and nothing in memory.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process.kill();
        self.process = start_daemon(&self.name, &self.settings, &self.directory)?;
        Ok(())
    }

    /// Starts a second process with the same settings beside this one.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start_another(&self) -> Result<Process, Error> {
        start_daemon(&self.name, &self.settings, &self.directory)
    }

    /// Returns the number of slots that the daemon knows.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn slots(&self, operator_token: &str) -> Result<usize, Error> {
        Ok(self.slot_models(operator_token)?.len())
    }

    /// Returns the number of slots of a model version that the daemon knows.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn slots_of(&self, operator_token: &str, model: &str) -> Result<usize, Error> {
        let models = self.slot_models(operator_token)?;
        Ok(models.iter().filter(|one| *one == model).count())
    }

    /// Returns the model version of each slot.
    fn slot_models(&self, operator_token: &str) -> Result<Vec<String>, Error> {
        let url = format!("http://{}/status", self.operator_addr);
        let request = ureq::get(url).header("Authorization", format!("Bearer {operator_token}"));
        let status: Value = request.call()?.body_mut().read_json()?;
        let slots = status["slots"].as_array().cloned().unwrap_or_default();
        let models = slots.iter().filter_map(|slot| slot["model"].as_str());
        Ok(models.map(str::to_owned).collect())
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.operator_addr);
        ureq::get(url).call().is_ok()
    }
}

/// An emulator of the fleet.
#[derive(Debug)]
pub struct Emulator {
    /// Base URL.
    pub url: String,
    /// Address.
    pub addr: SocketAddr,
    /// The process.
    pub process: Process,
}

impl Emulator {
    /// Returns the emulator's record of what happened.
    ///
    /// # Errors
    ///
    /// Fails if the emulator does not answer.
    pub fn record(&self) -> Result<Value, Error> {
        let mut response = ureq::get(format!("{}/record", self.url)).call()?;
        Ok(response.body_mut().read_json()?)
    }

    /// Returns a counter of the record, or the length of one of its lists.
    ///
    /// # Errors
    ///
    /// Fails if the emulator does not answer.
    pub fn count(&self, name: &str) -> Result<u64, Error> {
        Ok(match &self.record()?[name] {
            Value::Array(items) => items.len() as u64,
            value => value.as_u64().unwrap_or(0),
        })
    }

    /// Adds a fault.
    ///
    /// # Errors
    ///
    /// Fails if the emulator does not answer or refuses the fault.
    pub fn add_fault(&self, fault: &Value) -> Result<(), Error> {
        ureq::post(format!("{}/faults", self.url)).send_json(fault)?;
        Ok(())
    }

    /// Ends all faults and lets held calls continue.
    ///
    /// # Errors
    ///
    /// Fails if the emulator does not answer.
    pub fn clear_faults(&self) -> Result<(), Error> {
        ureq::delete(format!("{}/faults", self.url)).call()?;
        Ok(())
    }
}

/// A small system on loopback.
#[derive(Debug)]
pub struct Fleet {
    /// What was started.
    pub plan: Plan,
    /// Entries.
    pub entries: Vec<Daemon>,
    /// Agents of the model engines, in the order of `engines`.
    pub engine_agents: Vec<Daemon>,
    /// Agents of the plain service, in the order of `services`.
    pub service_agents: Vec<Daemon>,
    /// Emulated model engines.
    pub engines: Vec<Emulator>,
    /// Emulated plain services.
    pub services: Vec<Emulator>,
    /// Emulated log service.
    pub log: Emulator,
    /// Emulated instance list.
    pub list: Emulator,
    /// Emulated weight store.
    pub store: Emulator,
    /// Bearer token of the institution's callers.
    pub caller_token: String,
    /// Bearer token of the operator.
    pub operator_token: String,
    directory: PathBuf,
}

impl Fleet {
    /// Starts all processes and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails if a program is not built, can't be started or is not ready in time.
    pub fn start(plan: Plan) -> Result<Self, Error> {
        let mut fleet = Self::start_platform(plan)?;
        fleet.create_keys()?;
        for number in 0..fleet.plan.engines {
            fleet.start_engine(number)?;
        }
        for number in 0..fleet.plan.services {
            fleet.start_service(number)?;
        }
        for number in 0..fleet.plan.entries {
            fleet.start_entry(number)?;
        }
        fleet.publish_first_note()?;
        fleet.wait_until_ready()?;
        fleet.wait_for_slots()?;
        Ok(fleet)
    }

    /// Returns a caller of the entry with this number.
    pub fn caller(&self, entry: usize) -> Caller {
        let addr = self.entries[entry].caller_addr;
        Caller::new(
            addr.unwrap_or(self.entries[entry].operator_addr),
            &self.caller_token,
        )
    }

    /// Returns the folder of settings, keys and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns the sum of a counter over the plain service's backend servers.
    ///
    /// # Errors
    ///
    /// Fails if an emulator does not answer.
    pub fn count_services(&self, name: &str) -> Result<u64, Error> {
        self.services.iter().map(|server| server.count(name)).sum()
    }

    /// Returns the sum of a counter over the model engines.
    ///
    /// # Errors
    ///
    /// Fails if an emulator does not answer.
    pub fn count_engines(&self, name: &str) -> Result<u64, Error> {
        self.engines.iter().map(|engine| engine.count(name)).sum()
    }

    /// Publishes a release note from a file through the command-line tool and returns its exit
    /// code and output.
    ///
    /// # Errors
    ///
    /// Fails if the tool can't be run.
    pub fn publish(&self, file: &Path) -> Result<(i32, String), Error> {
        let token = self.directory.join("operator.token");
        run_command(&[
            "release",
            "publish",
            &file.display().to_string(),
            "--log",
            &self.log.url,
            "--list",
            &self.list.url,
            "--token-file",
            &token.display().to_string(),
            "--wait",
            "20",
        ])
    }

    /// Writes a release note to a file of the fleet's folder.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write_note(&self, name: &str, note: &Note) -> Result<PathBuf, Error> {
        let text = serde_json::to_string(note).map_err(|error| Error::Call(error.to_string()))?;
        let file = self.directory.join(name);
        write(&file, &text)?;
        Ok(file)
    }

    fn start_platform(plan: Plan) -> Result<Self, Error> {
        let directory = std::env::temp_dir().join(format!("chestnuthub-{}", Uuid::new_v4()));
        fs::create_dir_all(&directory)
            .map_err(|error| Error::Io(directory.display().to_string(), error))?;
        let retention = plan.log_retention_s.to_string();
        let loads = plan.deployment.store_loads_per_s.to_string();
        let bytes = plan.store_bytes_per_s.to_string();
        let log = start_emulator("log", "log", &directory, &["--retention-s", &retention])?;
        let list = start_emulator("list", "list", &directory, &[])?;
        let store_args = ["--loads-per-s", &loads, "--bytes-per-s", &bytes];
        let store = start_emulator("store", "store", &directory, &store_args)?;
        Ok(Self {
            plan,
            entries: Vec::new(),
            engine_agents: Vec::new(),
            service_agents: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            log,
            list,
            store,
            caller_token: Uuid::new_v4().to_string(),
            operator_token: Uuid::new_v4().to_string(),
            directory,
        })
    }

    fn create_keys(&self) -> Result<(), Error> {
        let token = self.directory.join("operator.token");
        write(&token, &self.operator_token)?;
        let mut args = vec!["keys".to_owned(), "create".to_owned(), "--out".to_owned()];
        args.push(self.directory.display().to_string());
        for name in self.names() {
            args.extend(["--name".to_owned(), name]);
        }
        succeed(run_command(
            &args.iter().map(String::as_str).collect::<Vec<_>>(),
        )?)
    }

    fn names(&self) -> Vec<String> {
        let pool = self.plan.deployment.model_pool;
        let service = self.plan.deployment.service;
        let engines = (0..self.plan.engines).map(|n| format!("{pool}-{n}"));
        let services = (0..self.plan.services).map(|n| format!("{service}-{n}"));
        let entries = (0..self.plan.entries).map(|n| format!("entry-{n}"));
        engines.chain(services).chain(entries).collect()
    }

    fn start_engine(&mut self, number: usize) -> Result<(), Error> {
        let pool = self.plan.deployment.model_pool;
        let memory = self.plan.memory_mb.to_string();
        let interval = self.plan.token_interval_ms.to_string();
        let max_running = self.plan.max_running.to_string();
        let mut args = vec!["--store", &self.store.url, "--memory-mb", &memory];
        args.extend(["--token-interval-ms", &interval]);
        args.extend(["--max-running", &max_running]);
        if self.plan.checks_fence {
            args.push("--checks-fence");
        }
        let name = format!("engine-{number}");
        let engine = start_emulator("engine", &name, &self.directory, &args)?;
        let role = json!({ "agent": { "pool": pool, "backend": { "engine": {
            "url": engine.url,
            "memory_mb": self.plan.memory_mb,
            "adapter_memory_mb": 1_000,
            "checks_fence": self.plan.checks_fence,
        }}}});
        let agent = self.start_daemon(&format!("{pool}-{number}"), number, &role)?;
        self.engines.push(engine);
        self.engine_agents.push(agent);
        Ok(())
    }

    fn start_service(&mut self, number: usize) -> Result<(), Error> {
        let pool = self.plan.deployment.service;
        let name = format!("service-{number}");
        let service = start_emulator("service", &name, &self.directory, &[])?;
        let backend = json!({ "service": { "url": service.url } });
        let role = json!({ "agent": { "pool": pool, "backend": backend } });
        let agent = self.start_daemon(&format!("{pool}-{number}"), number, &role)?;
        self.services.push(service);
        self.service_agents.push(agent);
        Ok(())
    }

    fn start_entry(&mut self, number: usize) -> Result<(), Error> {
        let institution = self.plan.deployment.institution;
        let caller_addr = free_addr()?;
        let role = json!({ "entry": {
            "caller_addr": caller_addr,
            "institutions": { institution: [digest(&self.caller_token)] },
        }});
        let mut entry = self.start_daemon(&format!("entry-{number}"), number, &role)?;
        entry.caller_addr = Some(caller_addr);
        self.entries.push(entry);
        Ok(())
    }

    fn start_daemon(&self, name: &str, number: usize, role: &Value) -> Result<Daemon, Error> {
        let domains = self.plan.deployment.failure_domains;
        let (region, failure_domain) = domains[number % domains.len()];
        let operator_addr = free_addr()?;
        let peer_addr = free_addr()?;
        let file = |suffix: &str| self.directory.join(format!("{name}{suffix}"));
        let (log, list, meters) = self.platform_urls()?;
        let settings = json!({
            "instance": name,
            "region": region,
            "failure_domain": failure_domain,
            "peer_addr": peer_addr,
            "operator_addr": operator_addr,
            "platform": {
                "log": log,
                "log_retention_h": 24,
                "list": list,
                "store": self.store.url,
            },
            "tls": {
                "authority": self.directory.join("authority.pem"),
                "certificate": file(".pem"),
                "key": file(".key.pem"),
            },
            "operators": { "operator": digest(&self.operator_token) },
            "role": role,
        });
        let path = file(".json");
        write(&path, &settings.to_string())?;
        let process = start_daemon(name, &path, &self.directory)?;
        self.register(name, number, peer_addr, operator_addr, role)?;
        Ok(Daemon {
            name: name.to_owned(),
            operator_addr,
            caller_addr: None,
            process,
            meters,
            settings: path,
            directory: self.directory.clone(),
        })
    }

    /// Returns the URLs of the log and the list for one daemon, through meters if wanted.
    fn platform_urls(&self) -> Result<(String, String, Vec<Meter>), Error> {
        if !self.plan.metered {
            return Ok((self.log.url.clone(), self.list.url.clone(), Vec::new()));
        }
        let meters = vec![Meter::start(self.log.addr)?, Meter::start(self.list.addr)?];
        Ok((meters[0].url(), meters[1].url(), meters))
    }

    fn register(
        &self,
        name: &str,
        number: usize,
        peer_addr: SocketAddr,
        operator_addr: SocketAddr,
        role: &Value,
    ) -> Result<(), Error> {
        let domains = self.plan.deployment.failure_domains;
        let (region, failure_domain) = domains[number % domains.len()];
        let pool = role["agent"]["pool"].as_str().unwrap_or_default();
        let instance = json!({
            "name": name,
            "role": if pool.is_empty() { "entry" } else { "agent" },
            "addr": peer_addr,
            "operator_addr": operator_addr,
            "pool": pool,
            "region": region,
            "failure_domain": failure_domain,
            "state": "live",
        });
        ureq::put(format!("{}/instances/{name}", self.list.url)).send_json(&instance)?;
        Ok(())
    }

    fn publish_first_note(&self) -> Result<(), Error> {
        let file = self.write_note("first-release.json", &self.plan.deployment.first_note())?;
        succeed(self.publish(&file)?)?;
        Ok(())
    }

    /// Waits until every daemon knows the home slots of all models.
    fn wait_for_slots(&self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_LIMIT;
        let home_slots = self.plan.engines.min(HOME_SLOTS);
        let wanted = home_slots * self.plan.deployment.models as usize;
        let daemons = self.entries.iter().chain(&self.engine_agents);
        for daemon in daemons.chain(&self.service_agents) {
            while daemon.slots(&self.operator_token)? < wanted {
                if Instant::now() > deadline {
                    return Err(Error::NotReady(format!("slots at {}", daemon.name)));
                }
                thread::sleep(READY_PAUSE);
            }
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_LIMIT;
        let daemons = self.entries.iter().chain(&self.engine_agents);
        for daemon in daemons.chain(&self.service_agents) {
            while !daemon.is_ready() {
                if Instant::now() > deadline {
                    return Err(Error::NotReady(daemon.name.clone()));
                }
                thread::sleep(READY_PAUSE);
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Logs are kept for inspection if a test fails.
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn start_emulator(
    kind: &str,
    name: &str,
    directory: &Path,
    args: &[&str],
) -> Result<Emulator, Error> {
    let first = [kind, "--listen", "127.0.0.1:0"];
    let all = first.iter().chain(args);
    let mut process = Process::start("chestnuthub-emulator", name, directory, all)?;
    let addr = process.listening()?;
    Ok(Emulator {
        url: format!("http://{addr}"),
        addr,
        process,
    })
}

fn start_daemon(name: &str, settings: &Path, directory: &Path) -> Result<Process, Error> {
    let args = [Path::new("--settings"), settings];
    Process::start("chestnuthubd", name, directory, args)
}

/// Runs the command-line tool and returns its exit code and output.
fn run_command(args: &[&str]) -> Result<(i32, String), Error> {
    let output = std::process::Command::new(process::executable("chestnuthub")?)
        .args(args)
        .output()
        .map_err(|error| Error::Io("chestnuthub".to_owned(), error))?;
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().unwrap_or(-1);
    Ok((code, format!("{stdout}{stderr}")))
}

fn succeed((code, output): (i32, String)) -> Result<(), Error> {
    if code == 0 {
        return Ok(());
    }
    Err(Error::Call(format!("exit code {code}: {output}")))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|error| Error::Io(path.display().to_string(), error))
}

fn digest(token: &str) -> String {
    format!("{:x}", Sha256::digest(token))
}

/// Returns an address whose TCP and UDP ports are free. The ports lie below those that the
/// kernel gives to outgoing connections, which could otherwise take one before it is bound.
fn free_addr() -> Result<SocketAddr, Error> {
    for _ in 0..PORT_ATTEMPTS {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, fastrand::u16(PORTS)));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(Error::NotReady("a free port".to_owned()))
}

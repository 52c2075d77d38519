//! Emulator of the users' platform within a process: its store, model engines and plain services.

mod engine;
mod service;
mod store;

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
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
    fault::{
        Fault,
        Faults, //
    },
    http,
};

/// What a site consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Models that each engine holds at first; one list for each engine.
    pub engines: Vec<Vec<&'static str>>,
    /// Number of servers of the plain service.
    pub services: usize,
    /// Events of each stream.
    pub events: u32,
    /// Time between events, and time of a plain call.
    pub pace: Duration,
    /// Accelerator memory of an engine in MB.
    pub weights_mb: f64,
    /// Time of a load.
    pub load: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: vec![vec!["m1"], vec!["m2"]],
            services: 2,
            events: 6,
            pace: Duration::from_millis(20),
            weights_mb: 100.0,
            load: Duration::from_millis(200),
        }
    }
}

/// A request that a server ran, or an order that an engine accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// Id of the server.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Whether it ended because its caller had left.
    pub abandoned: bool,
}

/// The servers' records.
#[derive(Debug, Default)]
pub(super) struct Records {
    runs: Vec<Run>,
    violations: Vec<String>,
}

/// A site that runs until it is dropped.
#[derive(Debug)]
pub struct Site {
    _runtime: Runtime,
    store: Arc<store::Store>,
    store_faults: Arc<Faults>,
    store_addr: SocketAddr,
    engines: Vec<Served<Arc<engine::Engine>>>,
    services: Vec<Served<String>>,
    records: Arc<Mutex<Records>>,
}

/// A server and how it is reached.
#[derive(Debug)]
struct Served<T> {
    server: T,
    faults: Arc<Faults>,
    addr: SocketAddr,
    /// Address in the server's description.
    public_addr: SocketAddr,
}

impl<T> Served<T> {
    fn new(server: T, faults: Arc<Faults>, addr: SocketAddr) -> Self {
        Self {
            server,
            faults,
            addr,
            public_addr: addr,
        }
    }
}

/// Name of the service of the model engines.
pub const ENGINES: &str = "llm";
/// Name of the plain service.
pub const SERVICE: &str = "desk";

impl Site {
    /// Starts a site on loopback. Each server has an address of its own, as on the platform.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if an address can't be bound.
    pub fn start(plan: &Plan) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let records = Arc::new(Mutex::new(Records::default()));
        let store = Arc::new(store::Store::default());
        let store_faults = Arc::new(Faults::new());
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let store_addr = listener.local_addr()?;
        let served = store.clone();
        let handler = move |call| store::handle(served.clone(), call);
        spawn(&runtime, listener, store_faults.clone(), handler)?;
        let mut site = Self {
            _runtime: runtime,
            store,
            store_faults,
            store_addr,
            engines: Vec::new(),
            services: Vec::new(),
            records,
        };
        for (index, models) in plan.engines.iter().enumerate() {
            site.add_engine(plan, index, models)?;
        }
        for index in 0..plan.services {
            site.add_service(plan, index)?;
        }
        Ok(site)
    }

    fn add_engine(&mut self, plan: &Plan, index: usize, models: &[&str]) -> io::Result<()> {
        let id = format!("engine-{index}");
        let engine = engine::Engine::new(&id, plan, models, self.records.clone());
        let engine = Arc::new(engine);
        let faults = Arc::new(Faults::new());
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 1, index as u8 + 1), 0))?;
        let address = listener.local_addr()?;
        let served = engine.clone();
        let handler = move |call| engine::handle(served.clone(), call);
        spawn(&self._runtime, listener, faults.clone(), handler)?;
        self.engines.push(Served::new(engine, faults, address));
        self.describe_engine(index, "ready");
        Ok(())
    }

    fn add_service(&mut self, plan: &Plan, index: usize) -> io::Result<()> {
        let id = format!("desk-{index}");
        let faults = Arc::new(Faults::new());
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 2, index as u8 + 1), 0))?;
        let address = listener.local_addr()?;
        let service = Arc::new(service::Service::new(&id, plan.pace, self.records.clone()));
        let handler = move |call| service::handle(service.clone(), call);
        spawn(&self._runtime, listener, faults.clone(), handler)?;
        self.services.push(Served::new(id, faults, address));
        self.describe_service(index, "ready");
        Ok(())
    }

    /// Returns the address of the store.
    pub fn store_addr(&self) -> SocketAddr {
        self.store_addr
    }

    /// Returns the address of an engine.
    pub fn engine_addr(&self, index: usize) -> SocketAddr {
        self.engines[index].addr
    }

    /// Returns the address of a server of the plain service.
    pub fn service_addr(&self, index: usize) -> SocketAddr {
        self.services[index].addr
    }

    /// Returns the number of servers of the plain service.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Describes an engine at another address from now on, as that of a proxy before it.
    pub fn publish_engine_at(&mut self, index: usize, address: SocketAddr) {
        self.engines[index].public_addr = address;
        self.describe_engine(index, "ready");
    }

    /// Describes a server of the plain service at another address from now on.
    pub fn publish_service_at(&mut self, index: usize, address: SocketAddr) {
        self.services[index].public_addr = address;
        self.describe_service(index, "ready");
    }

    /// Writes a configuration into the store.
    pub fn configure(&self, configuration: &Value) {
        self.store.put("keyed.op", "config", configuration);
    }

    /// Writes the description of an engine into the store.
    pub fn describe_engine(&self, index: usize, state: &str) {
        let served = &self.engines[index];
        let engine = &served.server;
        let description = engine.description(ENGINES, served.public_addr, state);
        self.store.put("keyed.servers", engine.id(), &description);
    }

    /// Writes the description of a server that is gone, at the address of an engine.
    pub fn describe_former_engine(&self, index: usize, id: &str) {
        let served = &self.engines[index];
        let address = served.public_addr;
        let description = served.server.description(ENGINES, address, "ready");
        self.store.put("keyed.servers", id, &description);
    }

    /// Writes the description of a server of the plain service into the store.
    pub fn describe_service(&self, index: usize, state: &str) {
        let served = &self.services[index];
        let id = &served.server;
        let description = json!({
            "service": SERVICE, "address": served.public_addr.to_string(), "zone": "z1", "version": "v1",
            "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1, "born": 1,
        });
        self.store.put("keyed.servers", id, &description);
    }

    /// Adds a fault, described as in the emulators' control calls, to an engine.
    pub fn engine_fault(&self, index: usize, fault: Value) {
        add(&self.engines[index].faults, fault);
    }

    /// Adds a fault to a server of the plain service.
    pub fn service_fault(&self, index: usize, fault: Value) {
        add(&self.services[index].faults, fault);
    }

    /// Adds a fault to the store.
    pub fn store_fault(&self, fault: Value) {
        add(&self.store_faults, fault);
    }

    /// Clears the faults of the store and of all servers.
    pub fn clear_faults(&self) {
        self.store_faults.clear();
        self.engines.iter().for_each(|engine| engine.faults.clear());
        self.services
            .iter()
            .for_each(|server| server.faults.clear());
        self.clear_breaks();
    }

    /// Clears the store's faults.
    pub fn clear_store_faults(&self) {
        self.store_faults.clear();
    }

    /// Returns what servers ran so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.records).runs.clone()
    }

    /// Returns the rules that were broken in the engines' own view.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.records).violations.clone()
    }

    /// Returns the number of engines.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }

    /// Returns the number of streams that an engine runs.
    pub fn running(&self, index: usize) -> u32 {
        self.engines[index].server.running()
    }

    /// Makes an engine drop a model without an order, as after an order that was carried out late.
    pub fn drop_model(&self, index: usize, model: &str) {
        self.engines[index].server.drop_model(model);
    }

    /// Lets all engines finish their streams again.
    pub fn clear_breaks(&self) {
        for engine in &self.engines {
            engine.server.clear_break();
        }
    }

    /// Makes an engine break off its next stream after some events.
    pub fn break_next_stream(&self, index: usize, after: u32) {
        self.engines[index].server.break_next_stream(after);
    }
}

fn add(faults: &Faults, fault: Value) {
    match serde_json::from_value::<Fault>(fault) {
        Ok(fault) => faults.add(fault),
        Err(error) => panic!("no such fault: {error}"),
    }
}

fn lock(records: &Mutex<Records>) -> MutexGuard<'_, Records> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn<H, F>(
    runtime: &Runtime,
    listener: TcpListener,
    faults: Arc<Faults>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(http::Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Answer> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let _guard = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    runtime.spawn(async move {
        // An accept that fails ends the server; the test sees refused connections.
        let _ = http::accept(listener, faults, handler).await;
    });
    Ok(())
}

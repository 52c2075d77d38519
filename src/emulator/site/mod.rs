//! Emulator of the users' platform that runs within the test's process: a store, model engines and
//! servers of a plain service.

mod crash;
mod delivery;
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
    http, raw,
};

pub use crash::{
    Crashes,
    Trigger, //
};

pub use super::raw::{
    Delivery,
    Ending,
    Endless,
    Framing, //
};

/// What a site consists of and how its servers behave.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Models that each engine holds at the start; one list for each engine.
    pub engines: Vec<Vec<&'static str>>,
    /// Number of servers of the plain service.
    pub services: usize,
    /// Number of events in each stream.
    pub events: u32,
    /// Time between two events of a stream, and duration of a call of the plain service.
    pub event_interval: Duration,
    /// Accelerator memory of an engine in MB.
    pub weights_mb: f64,
    /// Duration of a load.
    pub load: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: vec![vec!["m1"], vec!["m2"]],
            services: 2,
            events: 6,
            event_interval: Duration::from_millis(20),
            weights_mb: 100.0,
            load: Duration::from_millis(200),
        }
    }
}

/// A request that a server ran.
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
    /// Whether the run ended early because the caller had closed the connection.
    pub abandoned: bool,
    /// Names of client accounts that the request bore.
    pub accounts: Vec<String>,
    /// Credentials that the request bore.
    pub credentials: Vec<String>,
}

/// Returns all values of a header of a request.
fn values(call: &http::Call, name: &str) -> Vec<String> {
    let values = call.headers.get_all(name).iter();
    values
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        .collect()
}

/// What the servers recorded, for tests to check.
#[derive(Debug, Default)]
pub(super) struct Records {
    runs: Vec<Run>,
    violations: Vec<String>,
}

/// An emulated site, which runs until this value is dropped.
#[derive(Debug)]
pub struct Site {
    _runtime: Runtime,
    store: Arc<store::Store>,
    store_faults: Arc<Faults>,
    store_addr: SocketAddr,
    engines: Vec<Endpoint<Arc<engine::Engine>>>,
    services: Vec<Endpoint<Arc<service::Service>>>,
    /// Servers that deliver responses as a test asks: of the engines, of the plain service and of
    /// the store.
    raw: Vec<Arc<raw::Server>>,
    records: Arc<Mutex<Records>>,
    /// What crashes the servers at the addresses of [`Self::start_crashing`].
    crasher: Option<Arc<crash::Crasher>>,
}

/// A server, its faults and its addresses.
#[derive(Debug)]
struct Endpoint<T> {
    server: T,
    faults: Arc<Faults>,
    addr: SocketAddr,
    /// Address in the server's description in the store.
    public_addr: SocketAddr,
}

impl<T> Endpoint<T> {
    fn new(server: T, faults: Arc<Faults>, addr: SocketAddr) -> Self {
        Self {
            server,
            faults,
            addr,
            public_addr: addr,
        }
    }

    /// Returns the address and the faults that the server has at each of its ports.
    fn listens_with(&self) -> (SocketAddr, Arc<Faults>) {
        (self.addr, self.faults.clone())
    }
}

/// Name of the service of the model engines.
pub const ENGINES: &str = "llm";
/// Name of the plain service.
pub const SERVICE: &str = "desk";

impl Site {
    /// Starts a site on loopback. Each server has its own IP address, as on the platform.
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
        let handler_store = store.clone();
        let handler = move |call| store::handle(handler_store.clone(), call);
        spawn(&runtime, listener, store_faults.clone(), handler)?;
        let mut site = Self {
            _runtime: runtime,
            store,
            store_faults,
            store_addr,
            engines: Vec::new(),
            services: Vec::new(),
            raw: Vec::new(),
            records,
            crasher: None,
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
        let handler_engine = engine.clone();
        let handler = move |call| engine::handle(handler_engine.clone(), call);
        spawn(&self._runtime, listener, faults.clone(), handler)?;
        self.engines.push(Endpoint::new(engine, faults, address));
        self.publish_engine(index, "ready");
        Ok(())
    }

    fn add_service(&mut self, plan: &Plan, index: usize) -> io::Result<()> {
        let id = format!("desk-{index}");
        let faults = Arc::new(Faults::new());
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 2, index as u8 + 1), 0))?;
        let address = listener.local_addr()?;
        let service = Arc::new(service::Service::new(
            &id,
            plan.event_interval,
            self.records.clone(),
        ));
        let handler_service = service.clone();
        let handler = move |call| service::handle(handler_service.clone(), call);
        spawn(&self._runtime, listener, faults.clone(), handler)?;
        self.services.push(Endpoint::new(service, faults, address));
        self.publish_service(index, "ready");
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
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Sets the address in the description of an engine, for example to that of a proxy, and writes
    /// the description.
    pub fn publish_engine_at(&mut self, index: usize, address: SocketAddr) {
        self.engines[index].public_addr = address;
        self.publish_engine(index, "ready");
    }

    /// Sets the address in the description of a server of the plain service and writes the
    /// description.
    pub fn publish_service_at(&mut self, index: usize, address: SocketAddr) {
        self.services[index].public_addr = address;
        self.publish_service(index, "ready");
    }

    /// Writes a configuration into the store.
    pub fn configure(&self, configuration: &Value) {
        self.store.put("keyed.op", "config", configuration);
    }

    /// Writes the description of an engine with the state into the store.
    pub fn publish_engine(&self, index: usize, state: &str) {
        let endpoint = &self.engines[index];
        let engine = &endpoint.server;
        let seq = self.store.record_count();
        let description = engine.description(ENGINES, endpoint.public_addr, state, seq);
        self.store.put("keyed.servers", engine.id(), &description);
    }

    /// Writes the description of a replaced server, which has the address of an engine but another
    /// id.
    pub fn publish_former_engine(&self, index: usize, id: &str) {
        let endpoint = &self.engines[index];
        let address = endpoint.public_addr;
        let seq = self.store.record_count();
        let description = endpoint.server.description(ENGINES, address, "ready", seq);
        self.store.put("keyed.servers", id, &description);
    }

    /// Writes the description of a server of the plain service with the state into the store.
    pub fn publish_service(&self, index: usize, state: &str) {
        let endpoint = &self.services[index];
        let id = endpoint.server.id();
        let description = json!({
            "service": SERVICE, "address": endpoint.public_addr.to_string(), "zone": "z1",
            "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0,
            "seq": self.store.record_count(), "born": 1,
        });
        self.store.put("keyed.servers", id, &description);
    }

    /// Makes a server of the plain service announce in all its responses that it leaves. Its
    /// description in the store stays.
    pub fn announce_leaving(&self, index: usize) {
        self.services[index].server.leave();
    }

    /// Makes a server of the plain service refuse its next request and ask for rest, for the time in
    /// seconds that `text` states.
    pub fn ask_for_rest(&self, index: usize, text: &str) {
        self.services[index].server.ask_for_rest(text);
    }

    /// Makes a server of the plain service name a limit in all its responses, as the text of the
    /// header; `None` ends that.
    pub fn name_service_limit(&self, index: usize, text: Option<&str>) {
        self.services[index].server.name_limit(text);
    }

    /// Starts an engine anew with another version of its software and writes its description. The
    /// streams that it runs break, and the events of its streams then end with the version.
    pub fn upgrade_engine(&self, index: usize, version: &str) {
        self.upgrade_engine_unlisted(index, version);
        self.publish_engine(index, "ready");
    }

    /// Like [`Self::upgrade_engine`], but the store keeps the description of the earlier start.
    pub fn upgrade_engine_unlisted(&self, index: usize, version: &str) {
        self.engines[index].server.upgrade(version);
    }

    /// Makes an engine name a limit in all its responses, as the text of the header; `None` ends
    /// that.
    pub fn name_engine_limit(&self, index: usize, text: Option<&str>) {
        self.engines[index].server.name_limit(text);
    }

    /// Replaces the store's content by a copy that lacks the newest `lost` records of each topic, and
    /// raises its era.
    pub fn restore_store(&self, lost: usize) {
        self.store.restore(lost);
    }

    /// Adds a fault to an engine. The JSON is that of `POST /faults`.
    ///
    /// # Panics
    ///
    /// Panics if the JSON describes no fault.
    pub fn engine_fault(&self, index: usize, fault: Value) {
        add_fault(&self.engines[index].faults, fault);
    }

    /// Adds a fault to a server of the plain service, as [`Self::engine_fault`] does to an engine.
    pub fn service_fault(&self, index: usize, fault: Value) {
        add_fault(&self.services[index].faults, fault);
    }

    /// Adds a fault to the store, as [`Self::engine_fault`] does to an engine.
    pub fn store_fault(&self, fault: Value) {
        add_fault(&self.store_faults, fault);
    }

    /// Clears the faults of the store and of all servers, and the stream breaks of all engines.
    pub fn clear_faults(&self) {
        self.store_faults.clear();
        self.engines.iter().for_each(|engine| engine.faults.clear());
        self.services
            .iter()
            .for_each(|server| server.faults.clear());
        self.clear_breaks();
    }

    /// Clears the faults of the store only.
    pub fn clear_store_faults(&self) {
        self.store_faults.clear();
    }

    /// Returns the requests that servers ran so far, except those still running on an engine.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.records).runs.clone()
    }

    /// Returns descriptions of the rules that orders to the engines violated.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.records).violations.clone()
    }

    /// Returns the number of engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns the number of streams that an engine is running.
    pub fn running_streams(&self, index: usize) -> u32 {
        self.engines[index].server.running_streams()
    }

    /// Returns the number of requests that an engine has refused because it lacks their model.
    pub fn refusals(&self, index: usize) -> u32 {
        self.engines[index].server.refusals()
    }

    /// Removes a model from an engine without an order, which to the loader looks like an earlier
    /// unload order that was executed late.
    pub fn drop_model(&self, index: usize, model: &str) {
        self.engines[index].server.drop_model(model);
    }

    /// Cancels the breaks that [`Self::break_next_stream`] set on all engines.
    pub fn clear_breaks(&self) {
        for engine in &self.engines {
            engine.server.clear_break();
        }
    }

    /// Makes an engine close the connection of its next stream in the middle of the event with
    /// index `after`, unless the stream resumes after that event.
    pub fn break_next_stream(&self, index: usize, after: u32) {
        self.engines[index].server.break_next_stream(after);
    }
}

/// Adds a fault given as JSON.
fn add_fault(faults: &Faults, fault: Value) {
    match serde_json::from_value::<Fault>(fault) {
        Ok(fault) => faults.add(fault),
        Err(error) => panic!("invalid fault: {error}"),
    }
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves a listener in the background with the handler.
fn spawn<H, F>(
    runtime: &Runtime,
    listener: TcpListener,
    faults: Arc<Faults>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(http::Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http::Response> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let _guard = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    runtime.spawn(async move {
        // If accepting fails, the server ends and the test sees refused connections.
        let _ = http::accept(listener, faults, handler).await;
    });
    Ok(())
}

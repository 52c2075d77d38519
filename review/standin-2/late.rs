//! A machine with a loader and an engine loses power while an order is unanswered, and the engine
//! starts again under its id. Does the order make it load more than its memory holds?

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{engine::Engine, *};

/// Time after which the unanswered order is carried out; the pages name 2 to 12 s.
const DELAY: Duration = Duration::from_secs(9);

/// Time for which the machine is without power.
const POWER_LOSS: Duration = Duration::from_millis(3_500);

const BORN: u64 = 1_700_000_000_000;

pub fn run(trouble: bool) -> Option<bool> {
    let record = Record::new();
    let store = Arc::new(Store::default());
    store.configure(CONFIGURATION);
    let address = store.start();
    let peer_port = free_port();
    let (engine, engine_address) = Engine::start("i-1", BORN, &["m1"], &record);
    store.list("i-1", &engine.entry(engine_address, 1));
    let mut loader = Some(start_loader(address, engine_address, 11, peer_port));
    let gateway = start_gateway(address, 21, peer_port, r#""first_start": true,"#);
    if !wait_until_ready(&gateway) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let demand = Demand::start(gateway.callers, &record);
    // The engine holds m1. A first request loads m2, which fills the memory.
    demand.ask(&["m1", "m2"]);
    wait(|| engine.holds().0 == ["m1", "m2"])?;
    record.add("engine holds m1 and m2");
    thread::sleep(Duration::from_secs(1));
    if trouble {
        engine.delay("load m3", DELAY);
    }
    // Demand moves to m3: one of the two is unloaded, and the load of m3 is ordered.
    demand.ask(&["m3"]);
    if trouble {
        wait(|| engine.has_late_order())?;
        // Demand moves back.
        demand.ask(&[]);
        record.add("the machine loses power");
        drop(loader.take());
        engine.stop();
        thread::sleep(POWER_LOSS);
        engine.restart(BORN + 60_000);
        store.list("i-1", &engine.entry(engine_address, 1));
        loader = Some(start_loader(address, engine_address, 11, peer_port));
    } else {
        wait(|| engine.holds().0.contains(&"m3".to_owned()))?;
    }
    demand.ask(&["m1", "m2"]);
    for _ in 0..24 {
        thread::sleep(Duration::from_millis(500));
        let (models, seq) = engine.holds();
        record.add(&format!("engine holds {models:?}, seq {seq}"));
    }
    demand.ask(&[]);
    drop(loader);
    let overloads = engine.overloads();
    record.add(&format!("{} orders to load more than the memory holds", overloads.len()));
    record.write();
    Some(overloads.is_empty())
}

fn wait(is_met: impl Fn() -> bool) -> Option<()> {
    for _ in 0..400 {
        if is_met() {
            return Some(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Clients that ask for some models, four times a second each.
struct Demand(Arc<[AtomicBool; 3]>);

impl Demand {
    fn start(gateway: SocketAddr, record: &Arc<Record>) -> Self {
        let wanted: Arc<[AtomicBool; 3]> = Arc::default();
        let next = Arc::new(AtomicU32::new(0));
        let own = Self(wanted.clone());
        let record = record.clone();
        thread::spawn(move || {
            loop {
                for (index, is_wanted) in wanted.iter().enumerate() {
                    if is_wanted.load(Ordering::Relaxed) {
                        let id = format!("r{}", next.fetch_add(1, Ordering::Relaxed));
                        let model = format!("m{}", index + 1);
                        let record = record.clone();
                        thread::spawn(move || send(gateway, &id, &model, &record));
                    }
                }
                thread::sleep(Duration::from_millis(250));
            }
        });
        own
    }

    fn ask(&self, models: &[&str]) {
        for (index, is_wanted) in self.0.iter().enumerate() {
            let name = format!("m{}", index + 1);
            is_wanted.store(models.contains(&name.as_str()), Ordering::Relaxed);
        }
    }
}

fn send(gateway: SocketAddr, id: &str, model: &str, record: &Record) -> Option<()> {
    let mut stream = TcpStream::connect(gateway).ok()?;
    let text = format!(
        "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: {model}\r\nToken-Count: 100,80\r\nDeadline-Ms: 2500\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    stream.write_all(text.as_bytes()).ok()?;
    record.add(&format!("{id} sent for {model}"));
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    record.add(&format!("{id}: {}", answer.lines().next().unwrap_or_default()));
    Some(())
}

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":15000,"targetLatencyMs":600,"gapTargetMs":400,"priority":1,"service":"llm","attempts":1,"sticky":true}],"services":[{"name":"llm","healthPath":"/health","maxConns":500,"engine":{"slots":64,"kvTokens":200000,"weightsMb":100.0,"adapterSlots":8,"loadsPerS":2.1,"models":[{"name":"m1","weightsMb":40.0,"loadS":1.5,"adapters":0,"adapterMb":1.0,"warmS":0.1,"diskS":0.3},{"name":"m2","weightsMb":40.0,"loadS":1.5,"adapters":0,"adapterMb":1.0,"warmS":0.1,"diskS":0.3},{"name":"m3","weightsMb":40.0,"loadS":1.5,"adapters":0,"adapterMb":1.0,"warmS":0.1,"diskS":0.3}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

//! Random schedule of faults.

use std::time::Duration;

use chestnuthub::emulator::site::{
    Delivery,
    Ending,
    Framing, //
};
use fastrand::Rng;
use serde_json::{
    Value,
    json, //
};

use super::proxy::Mode;

/// Period in which faults begin, in ms.
const SCHEDULE_MS: u64 = 8_000;

/// Maximum duration of a fault in ms.
const MAX_FAULT_MS: u64 = 2_500;

/// Number of faults in a schedule.
const FAULT_COUNT: usize = 10;

/// Number of series of signals, restarts, upgrades or configurations in a schedule.
const SERIES_COUNT: usize = 3;

/// Number of times in a schedule that a server frames its responses otherwise or breaks them off.
const DELIVERY_COUNT: usize = 6;

/// Number of bytes within which such responses are broken off; those of a stream are longer.
const MAX_CUT_BYTES: usize = 90;

/// A process of the system under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Process {
    Gateway(usize),
    Loader(usize),
}

/// A network link, which passes through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// From a process to the store.
    Store(Process),
    /// To an engine, from the gateways and from its loader.
    Engine(usize),
    /// To a server of the plain service.
    Service(usize),
    /// From the gateways to a loader.
    Peer(usize),
}

/// A step of the schedule: begins or ends a fault.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Sends SIGKILL.
    Kill(Process),
    /// Sends SIGTERM.
    Stop(Process),
    /// Starts the process; one that is still stopping is killed first.
    Start(Process),
    /// Sends SIGSTOP.
    Freeze(Process),
    /// Sends SIGCONT.
    Thaw(Process),
    SetLink(Link, Mode),
    /// Makes the open connections of the link pass nothing more.
    Stall(Link),
    EngineFault(usize, Value),
    ServiceFault(usize, Value),
    StoreFault(Value),
    /// Clears the faults of the store and of all servers.
    ClearFaults,
    /// Makes an engine break its next stream in the middle of the event with this index.
    BreakStream(usize, u32),
    /// Describes a server of the plain service as draining.
    Drain(usize),
    /// Describes a server of the plain service as ready.
    Undrain(usize),
    /// Writes a configuration with a new route.
    Configure,
    /// Sends SIGHUP.
    Hangup(Process),
    /// Starts an engine anew with this software version.
    Upgrade(usize, &'static str),
    /// Makes a server deliver its responses in this way; engines are counted first.
    Deliver(usize, Delivery),
}

/// Number of gateways, engines and servers of the plain service. Each engine has one loader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
}

/// Returns random actions in order of time, each with its time after the start of the schedule.
pub(crate) fn schedule(random: &mut Rng, size: Size) -> Vec<(Duration, Action)> {
    let mut actions = Vec::new();
    for _ in 0..FAULT_COUNT {
        let begin = random.u64(..SCHEDULE_MS);
        let end = begin + random.u64(100..MAX_FAULT_MS);
        let (begin_action, end_action) = random_fault(random, size);
        actions.push((Duration::from_millis(begin), begin_action));
        if let Some(end_action) = end_action {
            actions.push((Duration::from_millis(end), end_action));
        }
    }
    for _ in 0..SERIES_COUNT {
        actions.extend(random_series(random, size));
    }
    for _ in 0..DELIVERY_COUNT {
        actions.extend(random_delivery(random, size));
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Returns the actions that change how a server delivers its responses, and change it back.
fn random_delivery(random: &mut Rng, size: Size) -> [(Duration, Action); 2] {
    let begin = random.u64(..SCHEDULE_MS);
    let end = begin + random.u64(100..MAX_FAULT_MS);
    let server = random.usize(..size.engines + size.services);
    let framings = [Framing::Length, Framing::Chunks, Framing::Connection];
    let delivery = Delivery {
        // Answers without length or chunks are the least proven.
        framing: framings[random.usize(..4).min(2)],
        cut: random.bool().then(|| random.usize(..MAX_CUT_BYTES)),
        ending: [Ending::Close, Ending::Reset][random.usize(..2)],
        seed: random.u64(..),
        ..Delivery::default()
    };
    [
        (
            Duration::from_millis(begin),
            Action::Deliver(server, delivery),
        ),
        (
            Duration::from_millis(end),
            Action::Deliver(server, Delivery::default()),
        ),
    ]
}

/// Returns actions of one kind that follow one another, some before the one before has ended.
fn random_series(random: &mut Rng, size: Size) -> Vec<(Duration, Action)> {
    let kind = random.u32(..4);
    let mut at = random.u64(..SCHEDULE_MS);
    let mut actions = Vec::new();
    for number in 0..random.usize(2..6) {
        at += random.u64(20..800);
        let mut push = |at, action| actions.push((Duration::from_millis(at), action));
        match kind {
            0 => push(at, Action::Configure),
            1 => push(at, Action::Hangup(random_process(random, size))),
            2 => {
                let gateway = Process::Gateway(number % size.gateways);
                push(at, Action::Stop(gateway));
                push(at + random.u64(50..3_000), Action::Start(gateway));
            }
            _ => {
                let version = ["v1", "v2", "v2"][random.usize(..3)];
                push(at, Action::Upgrade(number % size.engines, version));
            }
        }
    }
    actions
}

/// Returns the action that begins a random fault and the one that ends it, if any.
fn random_fault(random: &mut Rng, size: Size) -> (Action, Option<Action>) {
    let process = random_process(random, size);
    let engine = random.usize(..size.engines);
    let service = random.usize(..size.services);
    match random.u32(..16) {
        0 | 1 => (Action::Kill(process), Some(Action::Start(process))),
        2 => (Action::Stop(process), Some(Action::Start(process))),
        3 | 4 => (Action::Freeze(process), Some(Action::Thaw(process))),
        5 | 6 => {
            let link = random_link(random, size);
            let modes = [Mode::Cut, Mode::Mute, Mode::Refuse];
            let mode = modes[random.usize(..modes.len())];
            let end = Action::SetLink(link, Mode::Pass);
            (Action::SetLink(link, mode), Some(end))
        }
        7 => (Action::Stall(random_link(random, size)), None),
        8 => {
            let faults = [
                json!({ "kind": "drop_after", "calls": 4, "path": "/book/" }),
                json!({ "kind": "drop_after", "calls": 4 }),
                json!({ "kind": "drop_before", "calls": 4 }),
                json!({ "kind": "delay_answer", "ms": 700, "calls": 6 }),
            ];
            let fault = faults[random.usize(..faults.len())].clone();
            (Action::ServiceFault(service, fault), None)
        }
        9 | 10 => {
            let faults = [
                json!({ "kind": "drop_after", "calls": 2, "path": "/api/order" }),
                json!({ "kind": "delay", "ms": 2_000, "calls": 2, "path": "/api/order" }),
                json!({ "kind": "refuse", "status": 503, "calls": 3, "path": "/api/order" }),
                json!({ "kind": "drop_after", "calls": 2 }),
            ];
            let fault = faults[random.usize(..faults.len())].clone();
            (Action::EngineFault(engine, fault), None)
        }
        11 => (Action::BreakStream(engine, random.u32(..6)), None),
        12 => {
            let kinds = ["drop_before", "drop_after", "refuse", "hold_answer"];
            let kind = kinds[random.usize(..kinds.len())];
            let fault = json!({ "kind": kind });
            (Action::StoreFault(fault), Some(Action::ClearFaults))
        }
        13 | 14 => {
            let link = match random.usize(..size.engines + size.services) {
                number if number < size.engines => Link::Engine(number),
                number => Link::Service(number - size.engines),
            };
            let end = Action::SetLink(link, Mode::Pass);
            (Action::SetLink(link, Mode::Down), Some(end))
        }
        _ if random.bool() => (Action::Configure, None),
        _ => (Action::Drain(service), Some(Action::Undrain(service))),
    }
}

fn random_process(random: &mut Rng, size: Size) -> Process {
    let number = random.usize(..size.gateways + size.engines);
    match number.checked_sub(size.gateways) {
        Some(loader) => Process::Loader(loader),
        None => Process::Gateway(number),
    }
}

fn random_link(random: &mut Rng, size: Size) -> Link {
    match random.u32(..4) {
        0 => Link::Store(random_process(random, size)),
        1 => Link::Engine(random.usize(..size.engines)),
        2 => Link::Service(random.usize(..size.services)),
        _ => Link::Peer(random.usize(..size.engines)),
    }
}

//! A seeded table of faults.

use std::time::Duration;

use fastrand::Rng;
use serde_json::{
    Value,
    json, //
};

use super::proxy::Mode;

/// Time over which faults begin.
const SPAN_MS: u64 = 8_000;

/// Longest time of a fault.
const LONGEST_MS: u64 = 2_500;

/// Faults of one seed.
const FAULTS: usize = 10;

/// A process of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Process {
    Gateway(usize),
    Loader(usize),
}

/// A link that a proxy carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// From a process to the store.
    Store(Process),
    /// To an engine, from gateways and its loader.
    Engine(usize),
    /// To a server of the plain service.
    Service(usize),
    /// From gateways to a loader.
    Peer(usize),
}

/// What happens at one moment.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    Kill(Process),
    /// Asks the process to stop.
    Stop(Process),
    /// Starts the process if it does not run, in place of one that is still stopping.
    Start(Process),
    Freeze(Process),
    Thaw(Process),
    SetLink(Link, Mode),
    /// Connections of the link go silent for good.
    Stall(Link),
    EngineFault(usize, Value),
    ServiceFault(usize, Value),
    StoreFault(Value),
    ClearFaults,
    BreakStream(usize, u32),
    Drain(usize),
    Undrain(usize),
    Configure,
}

/// How many of each there are.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
}

/// Returns the actions of a seed with their times, the first one first.
pub(crate) fn schedule(random: &mut Rng, size: Size) -> Vec<(Duration, Action)> {
    let mut actions = Vec::new();
    for _ in 0..FAULTS {
        let begin = random.u64(..SPAN_MS);
        let end = begin + random.u64(100..LONGEST_MS);
        let (first, last) = draw(random, size);
        actions.push((Duration::from_millis(begin), first));
        if let Some(last) = last {
            actions.push((Duration::from_millis(end), last));
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Draws a fault: what begins it, and what ends it.
fn draw(random: &mut Rng, size: Size) -> (Action, Option<Action>) {
    let process = process(random, size);
    let engine = random.usize(..size.engines);
    let service = random.usize(..size.services);
    match random.u32(..14) {
        0 | 1 => (Action::Kill(process), Some(Action::Start(process))),
        2 => (Action::Stop(process), Some(Action::Start(process))),
        3 | 4 => (Action::Freeze(process), Some(Action::Thaw(process))),
        5 | 6 => {
            let link = link(random, size);
            let modes = [Mode::Cut, Mode::Mute, Mode::Refuse];
            let mode = modes[random.usize(..modes.len())];
            let end = Action::SetLink(link, Mode::Pass);
            (Action::SetLink(link, mode), Some(end))
        }
        7 => (Action::Stall(link(random, size)), None),
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
        _ if random.bool() => (Action::Configure, None),
        _ => (Action::Drain(service), Some(Action::Undrain(service))),
    }
}

fn process(random: &mut Rng, size: Size) -> Process {
    let number = random.usize(..size.gateways + size.engines);
    match number.checked_sub(size.gateways) {
        Some(loader) => Process::Loader(loader),
        None => Process::Gateway(number),
    }
}

fn link(random: &mut Rng, size: Size) -> Link {
    match random.u32(..4) {
        0 => Link::Store(process(random, size)),
        1 => Link::Engine(random.usize(..size.engines)),
        2 => Link::Service(random.usize(..size.services)),
        _ => Link::Peer(random.usize(..size.engines)),
    }
}

//! Seeded schedules over the queue and the dispatcher: each accepted request gets exactly one
//! answer, by its deadline, and no institution's burst starves another.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chestnuthub::{
    agent::{
        dispatch::{
            Dispatch,
            Effect,
            MAX_RUNNING, //
        },
        event::{
            Event,
            Slot, //
        },
        ledger::{
            Answer,
            Ledger,
            Order, //
        },
        queue::{
            Key,
            Queue,
            Ticket, //
        },
        residency::Policy,
        usage::Weights,
    },
    client::engine::{
        Inventory,
        Kind, //
    },
    id,
    timer::Time,
    wire::Reason,
};
use fastrand::Rng;

const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 1_200;
const SEEDS: u64 = 100;
const MODELS: usize = 3;

fn model(index: usize) -> id::Model {
    format!("m{index}@1").as_str().into()
}

fn ticket(institution: &str, priority: u8, deadline: Time) -> Ticket {
    Ticket {
        model: model(0),
        institution: institution.into(),
        priority,
        max_queue: 1_000,
        deadline,
    }
}

struct World {
    rng: Rng,
    now: Time,
    dispatch: Dispatch,
    /// Requests without an answer, with their deadlines.
    open: BTreeMap<Key, (Time, id::Model)>,
    running: Vec<(Time, id::Model, Duration)>,
    answers: Vec<(Time, Order, Answer)>,
    granted: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: Rng::with_seed(seed),
            now: Time::from_millis(1_000),
            dispatch: Dispatch::new(Policy::new(Ledger::new(250, 0))),
            open: BTreeMap::new(),
            running: Vec::new(),
            answers: Vec::new(),
            granted: true,
        };
        world.step(Event::Authority(true));
        let empty = Inventory {
            fence: 0,
            memory_mb: 250,
            models: Vec::new(),
        };
        world.step(Event::Inventory(0, empty));
        world.publish();
        world
    }

    fn publish(&mut self) {
        let slots = (0..MODELS).filter(|index| *index > 0 || self.granted);
        let slots = slots.map(|index| Slot {
            model: model(index),
            grant: 1,
            retiring: false,
            size: Some((100, 1_000)),
        });
        let slots = slots.collect();
        self.step(Event::Slots(slots));
    }

    fn step(&mut self, event: Event) {
        let effects = self.dispatch.step(event, self.now);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Order(order, _) => self.order(order),
                Effect::Start(key) => {
                    let model = self.answered(key);
                    let took = Duration::from_millis(self.rng.u64(20..4_000));
                    self.running.push((self.now + took, model, took));
                }
                Effect::Refuse(key, _) => _ = self.answered(key),
                Effect::Released(..) | Effect::Widen(_) => (),
            }
        }
    }

    /// Judges that the request has no answer yet and that its deadline has not passed.
    fn answered(&mut self, key: Key) -> id::Model {
        let open = self.open.remove(&key);
        let (deadline, model) = open.expect("a request is answered twice");
        assert!(self.now <= deadline, "a request is answered too late");
        model
    }

    fn order(&mut self, order: Order) {
        let at = self.now + Duration::from_millis(self.rng.u64(50..6_000));
        let answer = match self.rng.u32(0..8) {
            0 => Answer::Rejected,
            1 => Answer::Lost,
            _ => Answer::Done,
        };
        self.answers.push((at, order, answer));
    }

    fn arrive(&mut self) {
        let now = self.now;
        let index = self.rng.usize(0..MODELS);
        let deadline = now + Duration::from_millis(self.rng.u64(100..12_000));
        let names = ["a", "b", "c"];
        let name = names[self.rng.usize(0..names.len())];
        let mut ticket = ticket(name, self.rng.u8(0..3), deadline);
        ticket.model = model(index);
        ticket.max_queue = 20;
        let (result, effects) = self.dispatch.arrive(ticket, Weights::default(), now);
        if let Ok(key) = result {
            let known = self.open.insert(key, (deadline, model(index)));
            assert!(known.is_none(), "two requests have the same key");
        }
        self.carry_out(effects);
    }

    fn leave(&mut self) {
        let index = self.rng.usize(0..self.open.len().max(1));
        if let Some(key) = self.open.keys().nth(index).copied() {
            self.open.remove(&key);
            let effects = self.dispatch.cancel(key, self.now);
            self.carry_out(effects);
        }
    }

    fn advance(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, rest) = self.answers.drain(..).partition(|(at, ..)| *at <= now);
        self.answers = rest;
        let due: Vec<(Time, Order, Answer)> = due;
        for (_, order, answer) in due {
            self.step(Event::Answered(order, answer));
        }
        let (ended, rest) = self.running.drain(..).partition(|(at, ..)| *at <= now);
        self.running = rest;
        let ended: Vec<(Time, id::Model, Duration)> = ended;
        for (_, model, took) in ended {
            let effects = self.dispatch.end(&model, Some(took), now);
            self.carry_out(effects);
        }
        self.step(Event::Tick);
        let late = self.open.values().any(|(deadline, _)| *deadline < now);
        assert!(!late, "a request waits past its deadline");
    }

    fn disturb(&mut self) {
        match self.rng.u32(0..400) {
            0 => self.dispatch.suspend(),
            1 => {
                self.granted = !self.granted;
                self.publish();
            }
            2..30 => self.leave(),
            30..40 => (0..100).for_each(|_| self.arrive()),
            40..200 => self.arrive(),
            _ => (),
        }
    }
}

/// Guards against requests that are dropped, answered twice or answered late while loads fail,
/// answers are lost, the engine stalls, slots vanish and callers leave.
#[test]
fn each_request_gets_one_answer_by_its_deadline() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..STEPS {
                world.advance();
                world.disturb();
            }
            // The longest deadline passes.
            for _ in 0..300 {
                world.advance();
            }
            assert!(world.open.is_empty(), "a request has no answer");
        }));
        if let Err(cause) = outcome {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(cause);
        }
    }
}

/// Guards against an institution whose burst keeps another one's requests waiting.
#[test]
fn institutions_take_turns() {
    let later = Time::from_millis(1_000_000);
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let mut queue = Queue::default();
        for _ in 0..rng.usize(1..500) {
            queue.push(ticket("burst", 1, later));
        }
        for _ in 0..rng.usize(0..20) {
            queue.pop(&model(0));
        }
        let few = rng.usize(1..5);
        let keys: Vec<_> = (0..few)
            .filter_map(|_| queue.push(ticket("few", 1, later)))
            .collect();
        let order: Vec<_> = std::iter::from_fn(|| queue.pop(&model(0))).collect();
        for (index, key) in keys.iter().enumerate() {
            let position = order.iter().position(|(other, _)| other == key);
            let position = position.expect("the request is served");
            assert!(
                position <= 2 * index + 1,
                "seed {seed}: position {position}"
            );
        }
    }
}

/// Guards against a request of low priority that is served before one of high priority, and
/// against `ahead` counting other requests than those that are served before.
#[test]
fn priority_goes_first_and_ahead_counts_what_is_served_before() {
    let later = Time::from_millis(1_000_000);
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let mut queue = Queue::default();
        for _ in 0..rng.usize(0..60) {
            let name = ["a", "b", "c"][rng.usize(0..3)];
            queue.push(ticket(name, rng.u8(0..3), later));
            if rng.u32(0..5) == 0 {
                queue.pop(&model(0));
            }
        }
        let last = ticket("b", rng.u8(0..3), later);
        let ahead = queue.ahead(&last);
        let key = queue.push(last).expect("there is room");
        let order: Vec<_> = std::iter::from_fn(|| queue.pop(&model(0))).collect();
        assert!(order.is_sorted_by_key(|(_, ticket)| ticket.priority));
        let position = order.iter().position(|(other, _)| *other == key);
        let position = position.expect("the request is served");
        // Whose turn is next is not counted, so each other institution may differ by one.
        assert!(
            position.abs_diff(ahead) <= 2,
            "seed {seed}: {position}, not {ahead}"
        );
    }
}

/// Guards against a request that is held although its deadline can't be met.
#[test]
fn refuses_at_once_what_cannot_be_served_in_time() {
    let mut world = World::new(0);
    world.step(Event::Tick);
    let served = Duration::from_secs(2);
    let deadline = world.now + Duration::from_secs(10);
    let mut keys = Vec::new();
    for index in 0..10 * MAX_RUNNING {
        let ticket = ticket("a", 0, deadline);
        let (result, _) = world.dispatch.arrive(ticket, Weights::default(), world.now);
        keys.extend(result.map(|key| (index, key)));
        if index == 0 {
            // One observed request tells the service time.
            world.dispatch.end(&model(0), Some(served), world.now);
        }
    }
    let (result, _) = {
        let ticket = ticket("a", 0, deadline);
        world.dispatch.arrive(ticket, Weights::default(), world.now)
    };
    let denial = result.expect_err("the queue takes longer than the deadline");
    assert_eq!(denial.reason, Reason::Busy);
    assert!(denial.retry_after_ms >= 1_000);
    assert!(keys.len() > MAX_RUNNING && keys.len() < 10 * MAX_RUNNING);
}

/// Guards against a model that is never loaded because each caller's deadline is shorter than the
/// load: the first refusal begins the load, so that the caller is served when it comes back.
#[test]
fn refusal_for_the_load_time_begins_the_load() {
    let mut world = World::new(0);
    let arrive = |world: &mut World, seconds: u64| {
        let deadline = world.now + Duration::from_secs(seconds);
        let ticket = ticket("a", 0, deadline);
        let weights = Weights {
            cold_start: 1.0,
            idle_hour: 20.0,
        };
        world.dispatch.arrive(ticket, weights, world.now)
    };
    let order = |effects: Vec<Effect>| {
        let mut orders = effects.into_iter().filter_map(|effect| match effect {
            Effect::Order(order, _) => Some(order),
            _ => None,
        });
        orders.next().expect("an order is given")
    };
    // A slow load tells the load time, and the idle model is unloaded after it.
    let (_, effects) = arrive(&mut world, 60);
    world.now = world.now + Duration::from_secs(8);
    let done = Event::Answered(order(effects), Answer::Done);
    world.dispatch.step(done, world.now);
    world.dispatch.end(&model(0), None, world.now);
    for (index, wait) in [40, 1].into_iter().enumerate() {
        world.now = world.now + Duration::from_secs(wait);
        let effects = world.dispatch.step(Event::Tick, world.now);
        if index == 0 {
            let done = Event::Answered(order(effects), Answer::Done);
            world.dispatch.step(done, world.now);
        }
    }
    let (result, effects) = arrive(&mut world, 3);
    let denial = result.expect_err("the load takes longer than the deadline");
    assert_eq!(
        (denial.reason, denial.retry_after_ms),
        (Reason::Loading, 8_000)
    );
    assert_eq!(order(effects).kind, Kind::Load);
}

//! Sends the dispatcher's orders to the engine and passes the replies back to the dispatcher.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::Duration, //
};

use slotmap::SecondaryMap;
use tokio::sync::{
    oneshot,
    watch, //
};

use super::{
    coordination::Coordination,
    dispatch::{
        Denial,
        Dispatch,
        Effect, //
    },
    event::{
        Event,
        Slot, //
    },
    ledger::{
        Ledger,
        Order,
        Reply,
        Subject, //
    },
    order,
    queue::{
        Key,
        Ticket, //
    },
    registration::Registration,
    residency::Policy,
    usage::Weights,
};
use crate::{
    catalogue,
    client::{Error, engine::Engine},
    context::Context,
    decision, id, report,
    timer::{
        self,
        Time, //
    },
    wire::Load,
};

/// Period of the dispatcher's ticks, which limits how late a refusal can be.
const TICK: Duration = Duration::from_millis(50);

/// Period of inventories while the state of the engine is unknown or in doubt.
const INVENTORY_RETRY: Duration = Duration::from_millis(500);

/// Period of inventories while the state of the engine is not in doubt.
const INVENTORY_PERIOD: Duration = Duration::from_secs(10);

/// Whether a waiting request is started, or why it is refused.
pub(super) type Verdict = Result<(), Denial>;

struct State {
    dispatch: Dispatch,
    waiters: SecondaryMap<Key, oneshot::Sender<Verdict>>,
    /// Time of the last inventory, or `None` if one is due.
    last_inventory: Option<Time>,
    /// Time at which the idle replicas were last counted.
    last_idle_count: Option<Time>,
}

struct Shared {
    context: Context,
    engine: Engine,
    registration: Arc<Registration>,
    coordination: Coordination,
    state: Mutex<State>,
    /// Notifies the requests that wait for their adapters, after each event.
    changed: watch::Sender<()>,
}

/// Driver of the engine.
#[derive(Clone)]
pub(super) struct Driver {
    shared: Arc<Shared>,
}

impl Driver {
    /// Starts the threads that drive the engine.
    pub(super) fn start(
        context: Context,
        engine: Engine,
        ledger: Ledger,
        registration: Arc<Registration>,
        coordination: Coordination,
    ) -> std::io::Result<Self> {
        let state = State {
            dispatch: Dispatch::new(Policy::new(ledger)),
            waiters: SecondaryMap::new(),
            last_inventory: None,
            last_idle_count: None,
        };
        let driver = Self {
            shared: Arc::new(Shared {
                context,
                engine,
                registration,
                coordination,
                state: Mutex::new(state),
                changed: watch::Sender::new(()),
            }),
        };
        let ticking = driver.clone();
        let mut changes = driver.shared.context.view.changes();
        changes.mark_changed();
        timer::spawn_periodic("dispatch", TICK, move |_| {
            let changed = changes.has_changed().unwrap_or(true);
            changes.mark_unchanged();
            ticking.tick(changed);
            true
        })?;
        let reconciling = driver.clone();
        timer::spawn_periodic("inventory", INVENTORY_RETRY, move |now| {
            reconciling.reconcile(now);
            true
        })?;
        Ok(driver)
    }

    /// Returns the client of the engine.
    pub(super) fn engine(&self) -> &Engine {
        &self.shared.engine
    }

    /// Queues a request; the receiver gets the verdict.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; it has not run.
    pub(super) fn submit(
        &self,
        ticket: Ticket,
        weights: Weights,
    ) -> Result<(Key, oneshot::Receiver<Verdict>), Denial> {
        let mut state = self.lock();
        let (result, effects) = state.dispatch.arrive(ticket, weights, Time::now());
        let submitted = result.map(|key| {
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(key, sender);
            (key, receiver)
        });
        self.apply_effects(&mut state, effects);
        submitted
    }

    /// Withdraws a request that is still waiting or has been started in the meantime.
    pub(super) fn withdraw(&self, key: Key, model: &id::Model) {
        let mut state = self.lock();
        let now = Time::now();
        let effects = match state.waiters.remove(key) {
            Some(_) => state.dispatch.cancel(key, now),
            None => state.dispatch.end(model, None, now),
        };
        self.apply_effects(&mut state, effects);
    }

    /// Records that a started request has ended; `took` is its service time if it was served.
    pub(super) fn end(&self, model: &id::Model, took: Option<Duration>) {
        let mut state = self.lock();
        let effects = state.dispatch.end(model, took, Time::now());
        self.apply_effects(&mut state, effects);
    }

    /// Waits until an adapter is loaded. [`Driver::release_adapter`] must be called afterwards, even
    /// if the wait is cancelled.
    pub(super) async fn acquire_adapter(&self, subject: &Subject, memory_mb: u64) {
        let mut changes = self.shared.changed.subscribe();
        self.step(Event::AdapterNeeded(subject.clone(), memory_mb));
        while !self.lock().dispatch.policy().has_adapter(subject) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Records that a request no longer needs its adapter.
    pub(super) fn release_adapter(&self, subject: &Subject) {
        self.step(Event::AdapterReleased(subject.clone()));
    }

    /// Returns the load of a model version, as reported to entries.
    pub(super) fn load(&self, model: &id::Model) -> Load {
        self.lock().dispatch.load(model, Time::now())
    }

    /// Refuses new requests from now on.
    pub(super) fn leave(&self) {
        self.lock().dispatch.leave();
    }

    /// Stops sending requests to a stalled engine until the next inventory succeeds.
    pub(super) fn suspend(&self) {
        let mut state = self.lock();
        state.dispatch.suspend();
        state.last_inventory = None;
    }

    /// Makes an inventory due, because a response of the engine contradicts its known state.
    pub(super) fn request_inventory(&self) {
        self.lock().last_inventory = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, event: Event) {
        let mut state = self.lock();
        let effects = state.dispatch.step(event, Time::now());
        self.apply_effects(&mut state, effects);
    }

    fn apply_effects(&self, state: &mut State, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(key) => notify(state, key, Ok(())),
                Effect::Refuse(key, denial) => notify(state, key, Err(denial)),
                Effect::Order(order, reason) => self.spawn_order(order, reason),
                Effect::Released(model, grant) => self.release(model, grant),
                Effect::Widen(model) => self.shared.coordination.request_widen(&model),
            }
        }
        let _ = self.shared.changed.send(());
    }

    fn tick(&self, changed: bool) {
        let is_authorized = self.shared.registration.has_authority(Time::now());
        // The slots are read after the authority and applied before it. Otherwise an agent that has
        // just registered could unload models that it has slots for, because its slots were read too
        // early.
        let needs_slots = changed || !self.lock().dispatch.policy().may_issue_orders();
        let slots = needs_slots.then(|| self.slots());
        let mut state = self.lock();
        let now = Time::now();
        let mut effects = Vec::new();
        if let Some(slots) = slots {
            effects.extend(state.dispatch.step(Event::Slots(slots), now));
        }
        effects.extend(state.dispatch.step(Event::Authority(is_authorized), now));
        self.record_idle_time(&mut state, now);
        self.apply_effects(&mut state, effects);
    }

    fn record_idle_time(&self, state: &mut State, now: Time) {
        let last = state.last_idle_count.replace(now).unwrap_or(now);
        let idle = state.dispatch.policy().idle_replicas();
        let seconds = (now - last).as_secs_f64() * f64::from(u32::try_from(idle).unwrap_or(0));
        self.shared.context.metrics.idle_replica.inc_by(seconds);
    }

    fn slots(&self) -> Vec<Slot> {
        let view = &self.shared.context.view;
        let catalogue = view.catalogue();
        let table = view.table();
        let slots = table.on_server(&self.shared.context.settings.instance);
        slots
            .map(|(model, slot)| Slot {
                model: model.clone(),
                grant: slot.grant,
                retiring: slot.state == decision::State::Retiring,
                size: size(&catalogue, model),
            })
            .collect()
    }

    /// Requests an inventory from the engine when one is due, and applies it to the ledger.
    fn reconcile(&self, now: Time) {
        let mark = {
            let state = self.lock();
            let policy = state.dispatch.policy();
            let due = state
                .last_inventory
                .is_none_or(|at| now - at >= INVENTORY_PERIOD);
            if !due && !policy.ledger().has_unresolved_order() {
                return;
            }
            policy.ledger().mark()
        };
        match self.shared.engine.inventory() {
            Ok(inventory) => {
                let mut state = self.lock();
                // Memory was freed in the meantime, so this inventory is stale; the next one is used.
                if state.dispatch.policy().ledger().is_stale(mark) {
                    return;
                }
                state.last_inventory = Some(now);
                let event = Event::Inventory(mark, inventory);
                let effects = state.dispatch.step(event, Time::now());
                self.apply_effects(&mut state, effects);
            }
            Err(error) => {
                report::warn("inventory_failed", &[("error", &error)]);
                if matches!(error, Error::Unreachable(_)) {
                    self.suspend();
                }
            }
        }
    }

    /// Sends an order from a separate thread, since the response may take minutes.
    fn spawn_order(&self, order: Order, reason: &'static str) {
        let driver = self.clone();
        let work = order.clone();
        let spawned = thread::Builder::new()
            .name("order".to_owned())
            .spawn(move || {
                let reply = driver.send_order(&work, reason);
                driver.step(Event::OrderEnded(work, reply));
            });
        if let Err(error) = spawned {
            report::warn("order_not_given", &[("error", &error)]);
            let driver = self.clone();
            // The caller holds the lock, so the event is applied from another task.
            self.shared.context.runtime.spawn(async move {
                driver.step(Event::OrderEnded(order, Reply::Rejected));
            });
        }
    }

    fn send_order(&self, order: &Order, reason: &'static str) -> Reply {
        let began = Time::now();
        let permit = self.shared.registration.permit();
        self.log_order(order, reason, permit);
        let Ok(fence) = permit else {
            return Reply::Rejected;
        };
        let message = order::message(order, fence);
        let result = self
            .shared
            .engine
            .order(&message, order::timeout(order.kind));
        let detail = result.as_ref().err().map(Error::to_string);
        report::info(
            "order_answered",
            &[
                ("order", &message.id),
                ("kind", &order::name(order.kind)),
                ("model", &order.subject.model),
                ("answer", &format!("{:?}", order::reply(&result))),
                ("detail", &detail.unwrap_or_default()),
                ("took_ms", &(Time::now() - began).as_millis()),
            ],
        );
        order::reply(&result)
    }

    fn log_order(&self, order: &Order, reason: &str, permit: Result<u64, &'static str>) {
        let adapter = order.subject.adapter.as_ref().map(id::Adapter::as_str);
        report::info(
            order::name(order.kind),
            &[
                ("model", &order.subject.model),
                ("adapter", &adapter.unwrap_or_default()),
                ("reason", &reason),
                ("offset", &self.grant(&order.subject.model)),
                ("fence", &permit.unwrap_or_default()),
                ("not_given", &permit.err().unwrap_or_default()),
            ],
        );
    }

    fn grant(&self, model: &id::Model) -> u64 {
        let table = self.shared.context.view.table();
        let slots = table.slots(model).iter();
        let own = &self.shared.context.settings.instance;
        let mut own = slots.filter(|slot| slot.server == *own);
        own.next().map_or(0, |slot| slot.grant)
    }

    fn release(&self, model: id::Model, grant: u64) {
        let coordination = self.shared.coordination.clone();
        let spawned = thread::Builder::new()
            .name("release".to_owned())
            .spawn(move || coordination.release(&model, grant));
        if let Err(error) = spawned {
            report::warn("release_not_appended", &[("error", &error)]);
        }
    }
}

fn notify(state: &mut State, key: Key, verdict: Verdict) {
    if let Some(waiter) = state.waiters.remove(key) {
        // A waiter that has been dropped withdraws its request itself.
        let _ = waiter.send(verdict);
    }
}

fn size(catalogue: &catalogue::Catalogue, model: &id::Model) -> Option<(u64, u64)> {
    match catalogue.get(&catalogue::Key::Model(model.clone())) {
        Some(catalogue::Item::Model(model)) => Some((model.memory_mb, model.checkpoint_mb)),
        _ => None,
    }
}

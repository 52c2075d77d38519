//! Completions that run or wait in the engine, and the engine's load.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::oneshot;

use crate::client::engine::Load;

/// Maximum number of changes of the load that are kept between two reports.
const MAX_PAST_LOADS: usize = 10_000;

#[derive(Debug, Default)]
struct State {
    running: u32,
    /// Waiting completions by priority and order of arrival.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
    /// Number of completions that have had to wait, which numbers their arrivals.
    arrivals: u64,
    /// Past loads with the time from which they applied, the oldest first.
    history: VecDeque<(Instant, Load)>,
}

impl State {
    /// Adds the present load to the history.
    fn record_load(&mut self) {
        let load = Load {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        };
        self.history.push_back((Instant::now(), load));
        if self.history.len() > MAX_PAST_LOADS {
            self.history.pop_front();
        }
    }
}

/// Queue of completions. The one with the lowest priority number runs first.
#[derive(Debug)]
pub(super) struct Queue {
    max_running: u32,
    state: Mutex<State>,
}

/// Permit to run a completion. When it is dropped, the next completion may run.
#[derive(Debug)]
pub(super) struct Permit(Arc<Queue>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

impl Queue {
    /// Returns an empty queue for an engine that runs up to `max_running` completions concurrently.
    pub(super) fn new(max_running: u32) -> Self {
        Self {
            max_running,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a completion with the priority may run.
    pub(super) async fn enter(self: &Arc<Self>, priority: u8) -> Permit {
        let receiver = {
            let mut state = self.lock();
            if state.running < self.max_running {
                state.running += 1;
                state.record_load();
                return Permit(self.clone());
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let key = (priority, state.arrivals);
            state.waiting.insert(key, sender);
            state.record_load();
            receiver
        };
        // While this queue exists, a sender is dropped only after it has sent a permit.
        receiver.await.unwrap_or_else(|_| Permit(self.clone()))
    }

    /// Returns the load as it was `lag` ago, and drops older loads, which no later report needs.
    pub(super) fn report(&self, lag: Duration) -> Load {
        let mut state = self.lock();
        let now = Instant::now();
        while let Some((at, _)) = state.history.get(1)
            && now.duration_since(*at) >= lag
        {
            state.history.pop_front();
        }
        match state.history.front() {
            Some((at, load)) if now.duration_since(*at) >= lag => *load,
            _ => Load::default(),
        }
    }

    /// Passes a permit on to the first waiting completion, or frees it if none waits.
    fn release(self: &Arc<Self>) {
        let next = {
            let mut state = self.lock();
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            state.record_load();
            next
        };
        if let Some((_, sender)) = next {
            // If the receiver is gone, this drops the permit, which passes it on to the next one.
            drop(sender.send(Permit(self.clone())));
        }
    }
}

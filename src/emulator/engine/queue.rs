//! Completions that run and wait in the engine.

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

/// Changes of the load that are remembered between two reports.
const MAX_PAST_LOADS: usize = 10_000;

#[derive(Debug, Default)]
struct State {
    running: u32,
    /// By priority and order of arrival.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
    arrivals: u64,
    /// Past loads, the oldest first.
    loads: VecDeque<(Instant, Load)>,
}

impl State {
    fn note(&mut self) {
        let load = Load {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        };
        self.loads.push_back((Instant::now(), load));
        if self.loads.len() > MAX_PAST_LOADS {
            self.loads.pop_front();
        }
    }
}

/// Queue of completions, the lowest priority number first.
#[derive(Debug)]
pub(super) struct Queue {
    max_running: u32,
    state: Mutex<State>,
}

/// The right to run; when dropped, the next completion runs.
#[derive(Debug)]
pub(super) struct Permit(Arc<Queue>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.pass_on();
    }
}

impl Queue {
    /// Makes a queue for an engine that runs this many completions at once.
    pub(super) fn new(max_running: u32) -> Self {
        Self {
            max_running,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a completion of the priority may run.
    pub(super) async fn enter(self: &Arc<Self>, priority: u8) -> Permit {
        let turn = {
            let mut state = self.lock();
            if state.running < self.max_running {
                state.running += 1;
                state.note();
                return Permit(self.clone());
            }
            let (sender, turn) = oneshot::channel();
            state.arrivals += 1;
            let key = (priority, state.arrivals);
            state.waiting.insert(key, sender);
            state.note();
            turn
        };
        // A sender is dropped only after it has sent, while this queue lives.
        turn.await.unwrap_or_else(|_| Permit(self.clone()))
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn report(&self, lag: Duration) -> Load {
        let mut state = self.lock();
        let now = Instant::now();
        while let Some((at, _)) = state.loads.get(1)
            && now.duration_since(*at) >= lag
        {
            state.loads.pop_front();
        }
        match state.loads.front() {
            Some((at, load)) if now.duration_since(*at) >= lag => *load,
            _ => Load::default(),
        }
    }

    /// Gives the right to run to the first completion that still waits.
    fn pass_on(self: &Arc<Self>) {
        let next = {
            let mut state = self.lock();
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            state.note();
            next
        };
        if let Some((_, sender)) = next {
            // A permit that can't be sent is dropped here and so passed on again.
            drop(sender.send(Permit(self.clone())));
        }
    }
}

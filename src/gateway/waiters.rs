//! Wakes requests that wait for a server.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    sync::Notify,
    time::timeout, //
};

/// Number of models from which unused entries are removed.
const MAX_UNUSED: usize = 64;

/// Wakes requests that wait for a server: those that wait for a certain model, or all.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    by_model: RefCell<BTreeMap<String, Rc<Notify>>>,
    all: Notify,
}

impl Waiters {
    /// Waits until the servers that hold a model have changed, or all requests are woken, for at
    /// most `max_wait`.
    pub(super) async fn wait(&self, model: Option<&str>, max_wait: Duration) {
        let changed = self.of_model(model.unwrap_or_default());
        let woken = async {
            tokio::select! {
                () = changed.notified() => (),
                () = self.all.notified() => (),
            }
        };
        // The caller looks again at the end of the wait in any case.
        let _ = timeout(max_wait, woken).await;
    }

    fn of_model(&self, model: &str) -> Rc<Notify> {
        let mut by_model = self.by_model.borrow_mut();
        if by_model.len() > MAX_UNUSED {
            by_model.retain(|_, changed| Rc::strong_count(changed) > 1);
        }
        by_model.entry(model.to_owned()).or_default().clone()
    }

    /// Wakes the requests that wait for a model.
    pub(super) fn wake(&self, model: &str) {
        if let Some(changed) = self.by_model.borrow().get(model) {
            changed.notify_waiters();
        }
    }

    /// Wakes all waiting requests.
    pub(super) fn wake_all(&self) {
        self.all.notify_waiters();
    }
}

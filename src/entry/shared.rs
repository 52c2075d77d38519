//! State that all requests of an entry share.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use super::{
    admission::{
        self,
        Admission,
        Rejection,
        Share, //
    },
    budget::Budget,
    problem::Problem,
    route, //
};
use crate::{
    catalogue::{
        self,
        Access, //
    },
    client::list,
    context::Context,
    credential::Credentials,
    id,
    timer::Time, //
};

/// Retry time sent to a client when the entry has not read the catalogue yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry time sent to a client when the last sync with the log is too old.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// State that all requests of an entry share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) context: Context,
    pub(super) credentials: Credentials<id::Institution>,
    admission: Mutex<Admission>,
    budget: Mutex<Budget>,
    routes: Mutex<route::State>,
}

impl Shared {
    /// Creates the state of an entry that has no requests.
    pub(super) fn new(context: Context, credentials: Credentials<id::Institution>) -> Self {
        Self {
            context,
            credentials,
            admission: Mutex::default(),
            budget: Mutex::default(),
            routes: Mutex::default(),
        }
    }

    /// Locks the state of the backend servers.
    pub(super) fn routes(&self) -> MutexGuard<'_, route::State> {
        lock(&self.routes)
    }

    /// Locks the retry budget.
    pub(super) fn budget(&self) -> MutexGuard<'_, Budget> {
        lock(&self.budget)
    }

    /// Admits a request, which counts as in flight until the returned ticket is dropped.
    pub(super) fn admit(self: &Arc<Self>, access: &Access) -> Result<Ticket, Problem> {
        let share = Share::of(access, self.live_entries());
        let key = (access.institution.clone(), access.target.clone());
        let now = Time::now();
        lock(&self.admission)
            .admit(&key, share, now)
            .map_err(too_many_requests)?;
        lock(&self.budget).record_request(now);
        self.context.metrics.in_flight.inc();
        let shared = self.clone();
        Ok(Ticket { shared, key })
    }

    /// Checks that the catalogue has been read. Before that the entry can't know whether a target
    /// exists.
    pub(super) fn check_started(&self) -> Result<(), Problem> {
        if self.context.view.catalogue().applied() > 0 {
            return Ok(());
        }
        let detail = "the entry has not read the catalogue yet";
        Err(Problem::not_run(503, "starting", detail).retry_after(STARTING_RETRY_AFTER))
    }

    /// Checks that the last sync with the log is recent enough for a target with this limit.
    pub(super) fn check_fresh(&self, stale_limit_s: Option<u64>) -> Result<(), Problem> {
        let Some(limit) = stale_limit_s.map(Duration::from_secs) else {
            return Ok(());
        };
        let last_sync = self.context.view.synced_at();
        if last_sync.is_some_and(|last_sync| Time::now() - last_sync <= limit) {
            return Ok(());
        }
        let detail = "the target may have been withdrawn; the log was not heard of for too long";
        Err(Problem::not_run(503, "stale", detail).retry_after(STALE_RETRY_AFTER))
    }

    /// Deletes the state of servers that are not in the instance list, and of institutions and
    /// targets whose access was withdrawn.
    pub(super) fn clean_up(&self) {
        let instances = self.context.view.instances();
        self.routes()
            .retain(|server| instances.iter().any(|known| known.name == *server));
        drop(instances);
        let catalogue = self.context.view.catalogue();
        lock(&self.admission).retain(|(institution, target)| {
            let key = catalogue::Key::Access {
                institution: institution.clone(),
                target: target.clone(),
            };
            catalogue.get(&key).is_some()
        });
    }

    fn live_entries(&self) -> usize {
        let instances = self.context.view.instances();
        let entries = instances.iter().filter(|instance| {
            instance.role == list::Role::Entry && instance.state == list::State::Live
        });
        entries.count()
    }
}

/// Guard of an admitted request, which is in flight until this is dropped.
#[derive(Debug)]
pub(super) struct Ticket {
    shared: Arc<Shared>,
    key: admission::Key,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.shared.admission).release(&self.key);
        self.shared.context.metrics.in_flight.dec();
    }
}

fn too_many_requests(rejection: Rejection) -> Problem {
    let (detail, retry_after) = match rejection {
        Rejection::Rate(retry_after) => ("too many requests a second", retry_after),
        Rejection::InFlight(retry_after) => ("too many requests in flight", retry_after),
    };
    Problem::not_run(429, "too_many_requests", detail).retry_after(retry_after)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The agent's own registration in the log, which permits it to send orders.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use uuid::Uuid;

use super::authority::{
    self,
    Attempt,
    Standing, //
};
use crate::{
    context::Context,
    decision::{
        self,
        Body,
        Record, //
    },
    report,
    settings::{
        self,
        Backend, //
    },
    timer::Time,
};

/// Time to wait for the registration to appear in the stream before it is appended again.
const REAPPEND_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of records that are read to check whether an order may be sent.
const MAX_CHECKED_RECORDS: u32 = 500;

/// Exit code of a process that a newer agent of the same server has replaced.
const EXIT_SUPERSEDED: i32 = 3;

#[derive(Debug)]
struct State {
    record: Record,
    incarnation: Uuid,
    appended_at: Option<Time>,
    /// Log offset of the registration, and the time at which it was first seen in the stream.
    epoch: Option<(u64, Time)>,
}

/// Registration of this agent.
#[derive(Debug)]
pub(crate) struct Registration {
    context: Context,
    agent_settings: settings::Agent,
    /// Whether the engine refuses orders with an outdated fencing token.
    checks_fence: bool,
    state: Mutex<State>,
}

impl Registration {
    /// Creates a registration; [`Registration::tick`] appends it.
    pub(crate) fn new(context: Context, agent_settings: &settings::Agent) -> Self {
        let state = Mutex::new(new_state(&context, agent_settings));
        Self {
            context,
            agent_settings: agent_settings.clone(),
            checks_fence: matches!(
                agent_settings.backend,
                Backend::Engine {
                    checks_fence: true,
                    ..
                }
            ),
            state,
        }
    }

    /// Returns the log offset of the registration, or `None` until it has been seen in the stream.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.lock().epoch.map(|(epoch, _)| epoch)
    }

    /// Returns whether this process may send orders to its engine, as far as the stream has been
    /// read.
    pub(crate) fn has_authority(&self, now: Time) -> bool {
        let registered_at = self.lock().epoch.map(|(_, at)| at);
        self.standing()
            .may_issue_orders(registered_at, self.checks_fence, now)
    }

    /// Appends the registration until it is seen in the stream. Exits the process when a newer
    /// agent has registered, and starts a new registration when the server was declared gone.
    pub(crate) fn tick(&self, now: Time) {
        match self.standing() {
            Standing::Held { epoch, .. } => self.record_epoch(epoch, now),
            Standing::Superseded(epoch) => {
                report::warn("superseded", &[("offset", &epoch)]);
                std::process::exit(EXIT_SUPERSEDED);
            }
            Standing::Gone => {
                report::warn("declared_gone", &[("action", &"register again")]);
                *self.lock() = new_state(&self.context, &self.agent_settings);
            }
            Standing::Unseen => self.append(now),
        }
    }

    fn standing(&self) -> Standing {
        let state = self.lock();
        let table = self.context.view.table();
        let seen = state.epoch.is_some() || table.has_seen(state.record.id);
        let server = &self.context.settings.instance;
        Standing::new(&table, server, state.incarnation, seen)
    }

    fn record_epoch(&self, epoch: u64, now: Time) {
        let mut state = self.lock();
        if state.epoch.is_none() {
            state.epoch = Some((epoch, now));
            report::info(
                "registered",
                &[("offset", &epoch), ("incarnation", &state.incarnation)],
            );
        }
    }

    fn append(&self, now: Time) {
        let record = {
            let mut state = self.lock();
            let is_pending = state
                .appended_at
                .is_some_and(|at| now - at < REAPPEND_DELAY);
            if is_pending {
                return;
            }
            state.appended_at = Some(now);
            state.record.clone()
        };
        let Ok(body) = serde_json::to_string(&record) else {
            return;
        };
        if let Err(error) = self.context.log.append(decision::STREAM, &body) {
            report::warn("register_unanswered", &[("error", &error)]);
        }
    }

    /// Returns the fencing token for an order, or the reason why no order may be sent now.
    pub(crate) fn permit(&self) -> Result<u64, &'static str> {
        let last_read = self.context.view.synced_at();
        let stale = !authority::is_fresh(last_read, Time::now());
        let attempt = stale.then(|| self.read_log());
        let Standing::Held { fence, .. } = self.standing() else {
            return Err("this process is not the server's agent");
        };
        authority::check(last_read, attempt, Time::now())?;
        Ok(fence)
    }

    fn read_log(&self) -> Attempt {
        let began = Time::now();
        let from = self.context.view.table().applied() + 1;
        let log = &self.context.log;
        let page = log.read(decision::STREAM, from, MAX_CHECKED_RECORDS, Duration::ZERO);
        let has_successor = page.ok().map(|page| {
            let mut records = page.records.iter();
            records.any(|record| self.is_successor(&record.body))
        });
        Attempt {
            began,
            has_successor,
        }
    }

    fn is_successor(&self, body: &str) -> bool {
        let server = &self.context.settings.instance;
        let own = self.lock().incarnation;
        let record: Result<Record, _> = serde_json::from_str(body);
        record.is_ok_and(|record| match record.body {
            Body::Register {
                server: other,
                incarnation,
                ..
            } => other == *server && incarnation != own,
            _ => false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_state(context: &Context, agent_settings: &settings::Agent) -> State {
    let incarnation = Uuid::new_v4();
    let settings = &context.settings;
    let memory_mb = match &agent_settings.backend {
        Backend::Engine {
            memory_mb,
            adapter_memory_mb,
            ..
        } => memory_mb.saturating_sub(*adapter_memory_mb),
        Backend::Service { .. } => 0,
    };
    let record = Record::new(Body::Register {
        server: settings.instance.clone(),
        incarnation,
        memory_mb,
        pool: agent_settings.pool.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
    });
    State {
        record,
        incarnation,
        appended_at: None,
        epoch: None,
    }
}

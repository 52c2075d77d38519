//! The agent's own registration on the log, and the permission to give orders that follows from
//! it.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use uuid::Uuid;

use crate::{
    context::Context,
    decision::{
        self,
        Body,
        Record,
        Table, //
    },
    report,
    settings::{
        self,
        Backend, //
    },
    timer::Time,
};

/// Age of the last read of the log beyond which an order needs a read of its own.
const ORDER_FRESHNESS: Duration = Duration::from_secs(5);

/// Time for which the stream is searched for the registration before it is appended again.
const REAPPEND_AFTER: Duration = Duration::from_secs(3);

/// Most records that a read before an order looks through.
const CHECK_LIMIT: u32 = 500;

/// Exit code of a process whose server has a newer agent.
const EXIT_SUPERSEDED: i32 = 3;

#[derive(Debug)]
struct Current {
    record: Record,
    incarnation: Uuid,
    appended: Option<Time>,
    /// Offset of the registration once it was seen in the stream.
    epoch: Option<u64>,
}

/// What the table says about this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The registration is not in the stream yet.
    Unseen,
    /// This process is the server's agent, with this epoch.
    Held(u64),
    /// A newer process is the server's agent, with this epoch.
    Superseded(u64),
    /// The server was declared gone.
    Gone,
}

/// The agent's own registration.
#[derive(Debug)]
pub(crate) struct Registration {
    context: Context,
    backend: settings::Agent,
    current: Mutex<Current>,
}

impl Registration {
    /// Prepares a registration; [`Registration::tick`] appends it.
    pub(crate) fn new(context: Context, backend: &settings::Agent) -> Self {
        let current = Mutex::new(new_current(&context, backend));
        Self {
            context,
            backend: backend.clone(),
            current,
        }
    }

    /// Returns the offset of the registration while it holds.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.lock().epoch
    }

    /// Appends the registration until it is in the stream, and ends the process when a newer one
    /// follows it.
    pub(crate) fn tick(&self, now: Time) {
        match self.standing() {
            Standing::Held(epoch) => self.hold(epoch),
            Standing::Superseded(epoch) => {
                report::warn("superseded", &[("offset", &epoch)]);
                std::process::exit(EXIT_SUPERSEDED);
            }
            Standing::Gone => {
                report::warn("declared_gone", &[("action", &"register again")]);
                *self.lock() = new_current(&self.context, &self.backend);
            }
            Standing::Unseen => self.append(now),
        }
    }

    fn standing(&self) -> Standing {
        let current = self.lock();
        let table = self.context.view.table();
        standing(&table, &self.context.settings.instance, &current)
    }

    fn hold(&self, epoch: u64) {
        let mut current = self.lock();
        if current.epoch.replace(epoch).is_none() {
            report::info(
                "registered",
                &[("offset", &epoch), ("incarnation", &current.incarnation)],
            );
        }
    }

    fn append(&self, now: Time) {
        let record = {
            let mut current = self.lock();
            let waits = current.appended.is_some_and(|at| now - at < REAPPEND_AFTER);
            if waits {
                return;
            }
            current.appended = Some(now);
            current.record.clone()
        };
        let Ok(body) = serde_json::to_string(&record) else {
            return;
        };
        if let Err(error) = self.context.log.append(decision::STREAM, &body) {
            report::warn("register_unanswered", &[("error", &error)]);
        }
    }

    /// Returns the fencing number for an order, or why no order may be given now.
    pub(crate) fn permit(&self) -> Result<u64, &'static str> {
        let Standing::Held(_) = self.standing() else {
            return Err("this process is not the server's agent");
        };
        let news = self.context.view.news();
        if news.is_none_or(|at| Time::now() - at > ORDER_FRESHNESS) {
            self.check_log()?;
        }
        let table = self.context.view.table();
        let epoch = table.epoch(&self.context.settings.instance);
        epoch
            .map(|epoch| epoch.fence)
            .ok_or("this process is not the server's agent")
    }

    /// Reads the log once. A failure within the time limit shows that this process was not paused.
    fn check_log(&self) -> Result<(), &'static str> {
        let began = Time::now();
        let from = self.context.view.table().applied() + 1;
        let page = self
            .context
            .log
            .read(decision::STREAM, from, CHECK_LIMIT, Duration::ZERO);
        if Time::now() - began > ORDER_FRESHNESS {
            return Err("the process was paused");
        }
        let Ok(page) = page else {
            return Ok(());
        };
        let server = &self.context.settings.instance;
        let own = self.lock().incarnation;
        let newer = page.records.iter().any(|record| {
            let parsed: Result<Record, _> = serde_json::from_str(&record.body);
            parsed.is_ok_and(|record| {
                matches!(record.body, Body::Register { server: ref other, incarnation, .. }
                    if other == server && incarnation != own)
            })
        });
        if newer {
            return Err("a newer agent has registered");
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Current> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn standing(table: &Table, server: &crate::id::Instance, current: &Current) -> Standing {
    let seen = current.epoch.is_some() || table.has_seen(current.record.id);
    match table.epoch(server) {
        Some(epoch) if epoch.incarnation == current.incarnation => Standing::Held(epoch.offset),
        _ if !seen => Standing::Unseen,
        Some(epoch) => Standing::Superseded(epoch.offset),
        None => Standing::Gone,
    }
}

fn new_current(context: &Context, backend: &settings::Agent) -> Current {
    let incarnation = Uuid::new_v4();
    let settings = &context.settings;
    let memory_mb = match &backend.backend {
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
        pool: backend.pool.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
    });
    Current {
        record,
        incarnation,
        appended: None,
        epoch: None,
    }
}

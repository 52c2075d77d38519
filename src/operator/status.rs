//! The status of a daemon, for operators.

use serde::Serialize;

use crate::{
    context::Context,
    decision,
    id,
    settings::Role,
    timer::Time, //
};

/// Status of a daemon.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    instance: id::Instance,
    role: &'static str,
    region: String,
    failure_domain: String,
    ready: bool,
    stopping: bool,
    #[serde(flatten)]
    applied: Applied,
    /// Offset of the last accepted release note.
    release: u64,
    /// Time in milliseconds since both streams of the log were last known to be up to date; null if
    /// they never were.
    news_age_ms: Option<u64>,
    instances: usize,
    slots: Vec<Slot>,
    servers: Vec<Server>,
}

/// Offsets of the last records applied to the view.
#[derive(Debug, Serialize)]
struct Applied {
    decisions: u64,
    releases: u64,
}

/// The permission to load a model version on a backend server.
#[derive(Debug, Serialize)]
struct Slot {
    model: id::Model,
    /// Offset of the newest valid decision about the model version.
    decided_at: u64,
    #[serde(flatten)]
    slot: decision::Slot,
}

/// A registered backend server.
#[derive(Debug, Serialize)]
struct Server {
    server: id::Instance,
    /// Offset of the registration.
    epoch: u64,
    /// Offset of the newest decision about the server.
    decided_at: u64,
    pool: id::Pool,
    region: String,
    failure_domain: String,
    memory_mb: u64,
}

/// Returns whether the daemon can serve requests: it isn't stopping and has read the catalogue, the
/// decisions and the instance list.
pub(super) fn is_ready(context: &Context) -> bool {
    let stopping = *context.stopping.borrow();
    let catalogue = context.view.catalogue().applied() > 0;
    let list = !context.view.instances().is_empty();
    // Part of the decisions would not do: the entry would take models for ones without a slot.
    let decisions = context.view.is_complete();
    !stopping && catalogue && list && decisions
}

/// Returns the current status of the daemon.
pub(super) fn status(context: &Context) -> Status {
    let settings = &context.settings;
    // Computed before the guards below are taken: a thread that takes a read lock twice can
    // deadlock.
    let ready = is_ready(context);
    let synced_at = context.view.synced_at();
    let age_ms =
        |synced_at| u64::try_from((Time::now() - synced_at).as_millis()).unwrap_or(u64::MAX);
    let table = context.view.table();
    let catalogue = context.view.catalogue();
    Status {
        instance: settings.instance.clone(),
        role: match settings.role {
            Role::Entry(_) => "entry",
            Role::Agent(_) => "agent",
        },
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        ready,
        stopping: *context.stopping.borrow(),
        applied: Applied {
            decisions: table.applied(),
            releases: catalogue.applied(),
        },
        release: catalogue.head(),
        news_age_ms: synced_at.map(age_ms),
        instances: context.view.instances().len(),
        slots: slots(&table),
        servers: table.servers().map(server).collect(),
    }
}

fn slots(table: &decision::Table) -> Vec<Slot> {
    let slots_of = |model| {
        let slots = table.slots(model).iter();
        slots.map(move |slot| Slot {
            model: model.clone(),
            decided_at: table.head(model),
            slot: slot.clone(),
        })
    };
    table.models().flat_map(slots_of).collect()
}

fn server((server, epoch): (&id::Instance, &decision::Epoch)) -> Server {
    Server {
        server: server.clone(),
        epoch: epoch.offset,
        decided_at: epoch.fence,
        pool: epoch.pool.clone(),
        region: epoch.region.clone(),
        failure_domain: epoch.failure_domain.clone(),
        memory_mb: epoch.memory_mb,
    }
}

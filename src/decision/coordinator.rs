//! Decides which records the coordinator of a model version appends. The functions have no side
//! effects apart from updating the [`Tracker`].

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

pub use super::tracker::Tracker;
use super::{
    Body,
    Epoch,
    Record,
    Slot,
    State,
    Table,
    tracker::Subject, //
};
use crate::{
    catalogue::{
        Catalogue,
        Item,
        Model, //
    },
    client::list::{
        self,
        Instance,
        Role, //
    },
    id, rank,
    timer::Time,
};

/// Time for which slots beyond the home slots are kept after the last `Widen` request that was
/// granted.
pub const SURPLUS_RETENTION: Duration = Duration::from_secs(600);

/// Time for which a model must be missing from the catalogue before its slots are retired.
///
/// A starting daemon reads the streams concurrently, so it may see a slot before it sees the model.
pub const WITHDRAWAL_DELAY: Duration = Duration::from_secs(10);

/// The coordinator's view of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The decisions.
    pub table: &'a Table,
    /// The release notes.
    pub catalogue: &'a Catalogue,
    /// The instance list from the last successful poll.
    pub instances: &'a [Instance],
    /// Name of this agent's own instance.
    pub own: &'a id::Instance,
}

/// A record to append and the reason for it, which is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The record.
    pub record: Record,
    /// The reason for proposing it.
    pub reason: &'static str,
}

/// Returns the agent that coordinates a model version: the live agent of the pool that ranks first
/// for it.
pub fn coordinator<'a>(
    model: &id::Model,
    pool: &id::Pool,
    instances: &'a [Instance],
) -> Option<&'a Instance> {
    let live = instances.iter().filter(|i| is_live(i) && i.pool == *pool);
    let first = *rank::order(model.as_str(), live.map(|i| i.name.as_str())).first()?;
    instances.iter().find(|i| i.name.as_str() == first)
}

/// Returns the records that this agent has to append now, at most one per model version and one per
/// server.
///
/// # Examples
///
/// ```
/// use chestnuthub::{
///     catalogue::Catalogue,
///     decision::{
///         Table,
///         coordinator::{self, Fleet, Tracker},
///     },
///     timer::Time,
/// };
///
/// let fleet = Fleet {
///     table: &Table::default(),
///     catalogue: &Catalogue::default(),
///     instances: &[],
///     own: &"gearmind-1".into(),
/// };
/// // An agent that is not in the list decides nothing.
/// assert!(coordinator::plan(&fleet, &mut Tracker::default(), Time::ZERO).is_empty());
/// ```
pub fn plan(fleet: &Fleet<'_>, tracker: &mut Tracker, now: Time) -> Vec<Proposal> {
    let own = fleet.instances.iter().find(|i| i.name == *fleet.own);
    // If this agent is not in the list as live, the list is empty or incomplete or the agent is
    // leaving.
    if !own.is_some_and(is_live) {
        return Vec::new();
    }
    tracker.observe(fleet, now);
    let mut proposals = propose_gone(fleet, tracker, now);
    let models: BTreeMap<_, _> = fleet
        .catalogue
        .items()
        .filter_map(|item| match item {
            Item::Model(model) => Some((model.id(), model)),
            _ => None,
        })
        .collect();
    for (id, model) in &models {
        tracker.withdrawn_since.remove(id);
        proposals.extend(reconcile(fleet, tracker, id, model, now));
    }
    for id in fleet.table.models().filter(|id| !models.contains_key(*id)) {
        proposals.extend(retire_withdrawn(fleet, tracker, id, now));
    }
    proposals
}

/// Returns whether this agent suspects that a server is gone and is the one to report it, so that
/// it has to poll the instance list; see [`Tracker::apply_poll`].
pub fn suspects(fleet: &Fleet<'_>, tracker: &Tracker, now: Time) -> bool {
    let mut servers = fleet.table.servers();
    servers
        .any(|(server, epoch)| tracker.suspects(server, now) && is_reporter(fleet, server, epoch))
}

fn is_live(instance: &Instance) -> bool {
    instance.role == Role::Agent && instance.state == list::State::Live
}

/// Proposes a `Gone` record for each server that counts as gone, if this agent is the one to report
/// it and no earlier proposal for it is pending.
fn propose_gone(fleet: &Fleet<'_>, tracker: &mut Tracker, now: Time) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for (server, epoch) in fleet.table.servers() {
        let subject = Subject::Server(server.clone());
        if !tracker.is_gone(server, now)
            || tracker.pending.contains_key(&subject)
            || !is_reporter(fleet, server, epoch)
        {
            continue;
        }
        let proposal = Proposal {
            record: Record::new(Body::Gone {
                server: server.clone(),
                epoch: epoch.offset,
            }),
            reason: "missing from the instance list",
        };
        tracker.record_pending(subject, epoch.offset, &proposal, now);
        proposals.push(proposal);
    }
    proposals
}

/// Returns whether this agent is the one to report that the server is gone: it ranks first for the
/// server among the live agents of the server's pool, or among all live agents if the pool has
/// none.
fn is_reporter(fleet: &Fleet<'_>, server: &id::Instance, epoch: &Epoch) -> bool {
    let live = || fleet.instances.iter().filter(|i| is_live(i));
    let pool_is_live = live().any(|i| i.pool == epoch.pool);
    let eligible = live().filter(|i| !pool_is_live || i.pool == epoch.pool);
    let ranked = rank::order(server.as_str(), eligible.map(|i| i.name.as_str()));
    ranked.first() == Some(&fleet.own.as_str())
}

/// Proposes to grant or retire a slot of a model version in the catalogue if this agent coordinates
/// it and no earlier proposal for it is pending.
fn reconcile(
    fleet: &Fleet<'_>,
    tracker: &mut Tracker,
    id: &id::Model,
    model: &Model,
    now: Time,
) -> Option<Proposal> {
    let subject = Subject::Model(id.clone());
    if tracker.pending.contains_key(&subject) {
        return None;
    }
    let proposal = propose_grant(fleet, tracker, id, model)
        .or_else(|| retire_surplus(fleet, tracker, id, model, now))?;
    let chosen = coordinator(id, &model.pool, fleet.instances)?;
    if chosen.name != *fleet.own {
        return None;
    }
    if matches!(proposal.record.body, Body::Grant { .. })
        && tracker.widen_requests.remove(id).is_some()
    {
        tracker.surplus_since.insert(id.clone(), now);
    }
    tracker.record_pending(subject, fleet.table.head(id), &proposal, now);
    Some(proposal)
}

/// Proposes to grant a slot if there are fewer usable slots than home slots or a `Widen` request is
/// pending, but never more than `max_replicas`.
fn propose_grant(
    fleet: &Fleet<'_>,
    tracker: &Tracker,
    id: &id::Model,
    model: &Model,
) -> Option<Proposal> {
    let slots = fleet.table.slots(id);
    if slots.len() >= model.max_replicas as usize {
        return None;
    }
    let usable = slots.iter().filter(|slot| is_usable(fleet, slot)).count();
    let reason = if usable < model.home_slots as usize {
        "fewer slots than home slots"
    } else if tracker.widen_requests.contains_key(id) {
        "replicas are saturated"
    } else {
        return None;
    };
    let server = candidate(fleet, id, model)?;
    Some(Proposal {
        record: Record::new(Body::Grant {
            model: id.clone(),
            server,
            replaces: fleet.table.head(id),
            limit: model.max_replicas,
        }),
        reason,
    })
}

/// Returns whether a slot can serve new requests: it is granted and its server is not leaving.
///
/// A slot on a server that is missing from the list stays usable until the server counts as gone.
fn is_usable(fleet: &Fleet<'_>, slot: &Slot) -> bool {
    let leaving = fleet
        .instances
        .iter()
        .any(|i| i.name == slot.server && i.state == list::State::Leaving);
    slot.state == State::Granted && !leaving
}

/// Returns the best server for one more slot: preferably in a failure domain without a slot of the
/// model version, then with the fewest slots, counted in steps of four, then by rank.
fn candidate(fleet: &Fleet<'_>, id: &id::Model, model: &Model) -> Option<id::Instance> {
    let slots = fleet.table.slots(id);
    let used: BTreeSet<_> = slots
        .iter()
        .filter_map(|slot| fleet.table.epoch(&slot.server))
        .map(|epoch| epoch.failure_domain.as_str())
        .collect();
    let free = fleet.instances.iter().filter(|instance| {
        is_live(instance)
            && instance.pool == model.pool
            && slots.iter().all(|slot| slot.server != instance.name)
            && fleet
                .table
                .epoch(&instance.name)
                .is_some_and(|epoch| epoch.memory_mb >= model.memory_mb)
    });
    let ranked = rank::order(id.as_str(), free.map(|i| i.name.as_str()));
    ranked
        .into_iter()
        .map(id::Instance::from)
        .filter_map(|server| Some((fleet.table.epoch(&server)?, server)))
        // Among equal elements `min_by_key` returns the first, which is the one that ranks first.
        .min_by_key(|(epoch, server)| {
            let slots = fleet.table.on_server(server).count();
            (used.contains(epoch.failure_domain.as_str()), slots / 4)
        })
        .map(|(_, server)| server)
}

/// Proposes to retire a slot if there are more than `max_replicas`, or more than the home slots and
/// [`SURPLUS_RETENTION`] is over.
fn retire_surplus(
    fleet: &Fleet<'_>,
    tracker: &mut Tracker,
    id: &id::Model,
    model: &Model,
    now: Time,
) -> Option<Proposal> {
    let granted = granted_slots(fleet.table, id).count();
    let home = model.home_slots.min(model.max_replicas) as usize;
    if granted <= home {
        tracker.surplus_since.remove(id);
        return None;
    }
    // An agent that has just become coordinator waits for as long as after a granted `Widen`
    // request.
    let since = *tracker.surplus_since.entry(id.clone()).or_insert(now);
    if granted <= model.max_replicas as usize && now - since < SURPLUS_RETENTION {
        return None;
    }
    propose_retire(fleet, id, "more slots than wanted")
}

/// Proposes to retire a slot of a model version that has been missing from the catalogue for
/// [`WITHDRAWAL_DELAY`], if this agent coordinates it and no earlier proposal for it is pending.
fn retire_withdrawn(
    fleet: &Fleet<'_>,
    tracker: &mut Tracker,
    id: &id::Model,
    now: Time,
) -> Option<Proposal> {
    let slot = granted_slots(fleet.table, id).next()?;
    let pool = &fleet.table.epoch(&slot.server)?.pool;
    let since = *tracker.withdrawn_since.entry(id.clone()).or_insert(now);
    let subject = Subject::Model(id.clone());
    let known = fleet.catalogue.applied() > 0 && now - since >= WITHDRAWAL_DELAY;
    if !known || tracker.pending.contains_key(&subject) {
        return None;
    }
    if coordinator(id, pool, fleet.instances)?.name != *fleet.own {
        return None;
    }
    let proposal = propose_retire(fleet, id, "withdrawn by a release note")?;
    tracker.record_pending(subject, fleet.table.head(id), &proposal, now);
    Some(proposal)
}

fn granted_slots<'a>(table: &'a Table, id: &id::Model) -> impl Iterator<Item = &'a Slot> {
    let slots = table.slots(id).iter();
    slots.filter(|slot| slot.state == State::Granted)
}

/// Proposes to retire the least useful slot: the newest one on a leaving server, or else the newest
/// of all.
fn propose_retire(fleet: &Fleet<'_>, id: &id::Model, reason: &'static str) -> Option<Proposal> {
    let slot =
        granted_slots(fleet.table, id).max_by_key(|slot| (!is_usable(fleet, slot), slot.grant))?;
    Some(Proposal {
        record: Record::new(Body::Retire {
            model: id.clone(),
            server: slot.server.clone(),
            replaces: fleet.table.head(id),
        }),
        reason,
    })
}

//! Decides which records the coordinator of a model version appends. Pure.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

pub use super::soft::Soft;
use super::{
    Body,
    Epoch,
    Record,
    Slot,
    State,
    Table,
    soft::Subject, //
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

/// Time for which slots beyond the home slots are kept after the last `Widen`.
pub const SURPLUS_FOR: Duration = Duration::from_secs(600);

/// Time for which a model must be missing from the catalogue before its slots are retired.
///
/// A daemon that starts reads the streams side by side, so a slot may be known before its model.
pub const WITHDRAWN_AFTER: Duration = Duration::from_secs(10);

/// What the coordinator knows of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The decisions.
    pub table: &'a Table,
    /// The release notes.
    pub catalogue: &'a Catalogue,
    /// The instance list as last polled.
    pub instances: &'a [Instance],
    /// Name of this agent's instance.
    pub own: &'a id::Instance,
}

/// A record to append, with the reason for the log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The record.
    pub record: Record,
    /// Why it is proposed.
    pub reason: &'static str,
}

/// Returns the agent that decides about a model version: the live agent of the pool that ranks
/// first.
pub fn coordinator<'a>(
    model: &id::Model,
    pool: &id::Pool,
    instances: &'a [Instance],
) -> Option<&'a Instance> {
    let live = instances.iter().filter(|i| is_live(i) && i.pool == *pool);
    let first = *rank::order(model.as_str(), live.map(|i| i.name.as_str())).first()?;
    instances.iter().find(|i| i.name.as_str() == first)
}

/// Returns the records that this agent appends now, at most one for each model version.
///
/// # Examples
///
/// ```
/// use chestnuthub::{
///     catalogue::Catalogue,
///     decision::{
///         Table,
///         coordinator::{self, Fleet, Soft},
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
/// assert!(coordinator::plan(&fleet, &mut Soft::default(), Time::ZERO).is_empty());
/// ```
pub fn plan(fleet: &Fleet<'_>, soft: &mut Soft, now: Time) -> Vec<Proposal> {
    let own = fleet.instances.iter().find(|i| i.name == *fleet.own);
    // Without its own entry the list is empty, partial or tells this agent to leave.
    if !own.is_some_and(is_live) {
        return Vec::new();
    }
    soft.observe(fleet, now);
    let mut proposals = gone(fleet, soft, now);
    let models: BTreeMap<_, _> = fleet
        .catalogue
        .items()
        .filter_map(|item| match item {
            Item::Model(model) => Some((model.id(), model)),
            _ => None,
        })
        .collect();
    for (id, model) in &models {
        soft.absent.remove(id);
        proposals.extend(reconcile(fleet, soft, id, model, now));
    }
    for id in fleet.table.models().filter(|id| !models.contains_key(*id)) {
        proposals.extend(withdraw(fleet, soft, id, now));
    }
    proposals
}

/// Returns whether this agent suspects that a server which it reports is gone, so that it has to
/// poll the list itself; see [`Soft::polled`].
pub fn suspects(fleet: &Fleet<'_>, soft: &Soft, now: Time) -> bool {
    let mut servers = fleet.table.servers();
    servers.any(|(server, epoch)| soft.suspects(server, now) && reports_gone(fleet, server, epoch))
}

fn is_live(instance: &Instance) -> bool {
    instance.role == Role::Agent && instance.state == list::State::Live
}

fn gone(fleet: &Fleet<'_>, soft: &mut Soft, now: Time) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for (server, epoch) in fleet.table.servers() {
        let subject = Subject::Server(server.clone());
        if !soft.is_gone(server, now)
            || soft.pending.contains_key(&subject)
            || !reports_gone(fleet, server, epoch)
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
        soft.propose(subject, epoch.offset, &proposal, now);
        proposals.push(proposal);
    }
    proposals
}

/// Returns whether this agent ranks first for the server among its pool, or among all agents
/// where the pool has none left.
fn reports_gone(fleet: &Fleet<'_>, server: &id::Instance, epoch: &Epoch) -> bool {
    let live = || fleet.instances.iter().filter(|i| is_live(i));
    let pool_left = live().any(|i| i.pool == epoch.pool);
    let voters = live().filter(|i| !pool_left || i.pool == epoch.pool);
    let ranked = rank::order(server.as_str(), voters.map(|i| i.name.as_str()));
    ranked.first() == Some(&fleet.own.as_str())
}

fn reconcile(
    fleet: &Fleet<'_>,
    soft: &mut Soft,
    id: &id::Model,
    model: &Model,
    now: Time,
) -> Option<Proposal> {
    let subject = Subject::Model(id.clone());
    if soft.pending.contains_key(&subject) {
        return None;
    }
    let proposal =
        grant(fleet, soft, id, model).or_else(|| surplus(fleet, soft, id, model, now))?;
    let chosen = coordinator(id, &model.pool, fleet.instances)?;
    if chosen.name != *fleet.own {
        return None;
    }
    if matches!(proposal.record.body, Body::Grant { .. }) && soft.widen.remove(id).is_some() {
        soft.surplus.insert(id.clone(), now);
    }
    soft.propose(subject, fleet.table.head(id), &proposal, now);
    Some(proposal)
}

fn grant(fleet: &Fleet<'_>, soft: &Soft, id: &id::Model, model: &Model) -> Option<Proposal> {
    let slots = fleet.table.slots(id);
    if slots.len() >= model.max_replicas as usize {
        return None;
    }
    let usable = slots.iter().filter(|slot| is_usable(fleet, slot)).count();
    let reason = if usable < model.home_slots as usize {
        "fewer slots than home slots"
    } else if soft.widen.contains_key(id) {
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

/// Returns whether a slot serves new work: it is granted and its server is not leaving.
///
/// A server that is missing from the list keeps its slot until it counts as gone.
fn is_usable(fleet: &Fleet<'_>, slot: &Slot) -> bool {
    let leaving = fleet
        .instances
        .iter()
        .any(|i| i.name == slot.server && i.state == list::State::Leaving);
    slot.state == State::Granted && !leaving
}

/// Returns the best server for one more slot: in a failure domain that has none yet, then with
/// the fewest slots for its memory in coarse steps, then by rank.
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
        // The first of equal elements wins, which is the one that ranks first.
        .min_by_key(|(epoch, server)| {
            let slots = fleet.table.on_server(server).count();
            (used.contains(epoch.failure_domain.as_str()), slots / 4)
        })
        .map(|(_, server)| server)
}

fn surplus(
    fleet: &Fleet<'_>,
    soft: &mut Soft,
    id: &id::Model,
    model: &Model,
    now: Time,
) -> Option<Proposal> {
    let granted = granted(fleet.table, id).count();
    let home = model.home_slots.min(model.max_replicas) as usize;
    if granted <= home {
        soft.surplus.remove(id);
        return None;
    }
    // A coordinator that has just taken over waits for as long as after a `Widen`.
    let since = *soft.surplus.entry(id.clone()).or_insert(now);
    if granted <= model.max_replicas as usize && now - since < SURPLUS_FOR {
        return None;
    }
    retire(fleet, id, "more slots than wanted")
}

fn withdraw(fleet: &Fleet<'_>, soft: &mut Soft, id: &id::Model, now: Time) -> Option<Proposal> {
    let slot = granted(fleet.table, id).next()?;
    let pool = &fleet.table.epoch(&slot.server)?.pool;
    let since = *soft.absent.entry(id.clone()).or_insert(now);
    let subject = Subject::Model(id.clone());
    let known = fleet.catalogue.applied() > 0 && now - since >= WITHDRAWN_AFTER;
    if !known || soft.pending.contains_key(&subject) {
        return None;
    }
    if coordinator(id, pool, fleet.instances)?.name != *fleet.own {
        return None;
    }
    let proposal = retire(fleet, id, "withdrawn by a release note")?;
    soft.propose(subject, fleet.table.head(id), &proposal, now);
    Some(proposal)
}

fn granted<'a>(table: &'a Table, id: &id::Model) -> impl Iterator<Item = &'a Slot> {
    let slots = table.slots(id).iter();
    slots.filter(|slot| slot.state == State::Granted)
}

/// Retires the slot that serves least: on a leaving server, else the newest.
fn retire(fleet: &Fleet<'_>, id: &id::Model, reason: &'static str) -> Option<Proposal> {
    let slot = granted(fleet.table, id).max_by_key(|slot| (!is_usable(fleet, slot), slot.grant))?;
    Some(Proposal {
        record: Record::new(Body::Retire {
            model: id.clone(),
            server: slot.server.clone(),
            replaces: fleet.table.head(id),
        }),
        reason,
    })
}

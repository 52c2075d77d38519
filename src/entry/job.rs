//! An admitted request, and the choice of a server for it.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use fastrand::Rng;

use super::{
    retry::Kind,
    route::{
        self,
        Candidate,
        Choice,
        Rule, //
    },
    shared::Shared, //
};
use crate::{
    catalogue::{
        Item,
        Key, //
    },
    client::list,
    decision, id, rank,
    timer::Time,
    wire::{
        Request,
        Work, //
    },
};

/// Maximum age of the last sync with the log at which a new decision is still expected. Reads of an
/// idle log return within a few seconds, so the log is down if the last sync is older.
const MAX_LOG_AGE: Duration = Duration::from_secs(10);

/// An admitted request.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) request: Request,
    pub(super) body: Bytes,
    pub(super) started_at: Instant,
    pub(super) deadline: Time,
    pub(super) pool: id::Pool,
    /// Adapter and prefix of the prompt, which select the preferred replica.
    pub(super) locality: Option<String>,
    pub(super) kind: Kind,
}

/// The server that was picked for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Pick {
    pub(super) server: id::Instance,
    pub(super) addr: SocketAddr,
    pub(super) epoch: u64,
    pub(super) rule: Rule,
}

/// Why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PickError {
    /// A recent connection to a server failed. Holds the time until the first one is tried again.
    Unreachable(Duration),
    /// No server that accepts requests has a slot for the model or belongs to the service's pool.
    Unavailable,
}

/// Address and registration epoch of a candidate's agent.
struct Registration {
    addr: SocketAddr,
    epoch: u64,
}

impl Job {
    /// Returns the name of the model version or service.
    pub(super) fn target(&self) -> &str {
        match &self.request.work {
            Work::Chat(chat) => chat.model.as_str(),
            Work::Call(call) => call.service.as_str(),
        }
    }

    /// Returns whether the client asked for an event stream of a model.
    pub(super) fn is_stream(&self) -> bool {
        matches!(&self.request.work, Work::Chat(chat) if chat.stream)
    }

    /// Returns the value of the label `kind` in metrics.
    pub(super) fn label(&self) -> &'static str {
        match &self.request.work {
            Work::Chat(_) => "chat",
            Work::Call(_) => "call",
        }
    }

    /// Picks the server for the next attempt.
    pub(super) fn pick(&self, shared: &Shared, tried: &[id::Instance]) -> Result<Pick, PickError> {
        let now = Time::now();
        let (registrations, mut candidates) = self.candidates(shared, now);
        for candidate in &mut candidates {
            candidate.usable &= !tried.contains(&candidate.server);
        }
        let choice = match &self.request.work {
            Work::Chat(_) => route::choose(&candidates, self.locality.as_deref(), &mut Rng::new()),
            Work::Call(call) => match call.key {
                Some(key) => {
                    choose_by_key(&candidates, &format!("{}/{key}", self.request.institution))
                }
                None => route::choose(&candidates, None, &mut Rng::new()),
            },
        };
        match choice {
            Some(Choice { index, rule }) => Ok(Pick {
                server: candidates[index].server.clone(),
                addr: registrations[index].addr,
                epoch: registrations[index].epoch,
                rule,
            }),
            None => Err(pick_error(shared, &candidates, now)),
        }
    }

    /// Returns the live agents that may get the request, as candidates and with their
    /// registrations. For a model, they are in the order of its slots.
    fn candidates(&self, shared: &Shared, now: Time) -> (Vec<Registration>, Vec<Candidate>) {
        let table = shared.context.view.table();
        let instances = shared.context.view.instances();
        let live = |instance: &&list::Instance| {
            instance.role == list::Role::Agent && instance.state == list::State::Live
        };
        let agents: Vec<&list::Instance> = match &self.request.work {
            Work::Chat(chat) => {
                let slots = table.slots(&chat.model).iter();
                slots
                    .filter(|slot| slot.state == decision::State::Granted)
                    .filter_map(|slot| instances.iter().find(|known| known.name == slot.server))
                    .filter(live)
                    .collect()
            }
            Work::Call(_) => {
                let pool = instances.iter().filter(|known| known.pool == self.pool);
                pool.filter(live).collect()
            }
        };
        let state = shared.routes();
        agents
            .into_iter()
            .map(|agent| {
                let epoch = table.epoch(&agent.name).map_or(0, |epoch| epoch.offset);
                let mut candidate = state.candidate(&agent.name, epoch, self.target(), now);
                // A plain service needs no loading.
                candidate.resident |= matches!(self.request.work, Work::Call(_));
                let addr = agent.addr;
                (Registration { addr, epoch }, candidate)
            })
            .unzip()
    }

    /// Returns whether waiting for a slot makes sense, since one may still be granted.
    pub(super) fn may_get_slot(&self, shared: &Shared) -> bool {
        let Work::Chat(chat) = &self.request.work else {
            return false;
        };
        let view = &shared.context.view;
        let key = Key::Model(chat.model.clone());
        let has_replicas = match view.catalogue().get(&key) {
            Some(Item::Model(model)) => model.max_replicas > 0,
            _ => false,
        };
        let last_sync = view.synced_at();
        let log_is_up = last_sync.is_some_and(|last_sync| Time::now() - last_sync < MAX_LOG_AGE);
        has_replicas && log_is_up && self.has_agents(shared)
    }

    fn has_agents(&self, shared: &Shared) -> bool {
        let instances = shared.context.view.instances();
        instances.iter().any(|instance| {
            instance.role == list::Role::Agent
                && instance.pool == self.pool
                && instance.state == list::State::Live
        })
    }
}

/// Chooses the usable candidate that ranks first for `key`, so that calls with one key go to one
/// agent.
fn choose_by_key(candidates: &[Candidate], key: &str) -> Option<Choice> {
    let usable = candidates.iter().filter(|candidate| candidate.usable);
    let ranked = rank::order(key, usable.map(|candidate| candidate.server.as_str()));
    let first = ranked.first()?;
    let index = candidates
        .iter()
        .position(|candidate| candidate.server.as_str() == *first)?;
    let rule = Rule::Key;
    Some(Choice { index, rule })
}

fn pick_error(shared: &Shared, candidates: &[Candidate], now: Time) -> PickError {
    let state = shared.routes();
    let cooldowns = candidates
        .iter()
        .filter_map(|candidate| state.cooldown(&candidate.server, now));
    cooldowns
        .min()
        .map_or(PickError::Unavailable, PickError::Unreachable)
}

//! The operator ports of all daemons.

use std::{
    fs,
    path::Path,
    thread,
    time::Duration, //
};

use serde_json::Value;
use ureq::Agent;

use super::exit::Error;
use crate::client::list::{
    Instance,
    List,
    State, //
};

/// Longest wait for one daemon's status.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Daemons that are asked at the same time.
const PARALLEL: usize = 16;

/// Asks daemons for their status.
#[derive(Debug, Clone)]
pub(super) struct Fleet {
    list: List,
    token: String,
    agent: Agent,
}

/// A daemon's answer.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    pub(super) instance: Instance,
    pub(super) status: Result<Value, String>,
}

impl Answer {
    /// Returns the offset of the last release note that the daemon has applied.
    pub(super) fn releases(&self) -> Option<u64> {
        self.status.as_ref().ok()?.get("releases")?.as_u64()
    }
}

impl Fleet {
    /// Reads the operator's token from a file.
    pub(super) fn new(list: &str, token_file: &Path) -> Result<Self, Error> {
        let token = fs::read_to_string(token_file)
            .map_err(|error| Error::failed(format!("{}: {error}", token_file.display())))?;
        Ok(Self {
            list: List::new(list),
            token: token.trim().to_owned(),
            agent: Agent::config_builder()
                .timeout_global(Some(TIMEOUT))
                .max_redirects(0)
                .build()
                .into(),
        })
    }

    /// Returns all daemons in the list.
    pub(super) fn instances(&self) -> Result<Vec<Instance>, Error> {
        let listing = self
            .list
            .poll(None)
            .map_err(|error| Error::unknown(format!("can't read the instance list: {error}")))?;
        Ok(listing.map_or_else(Vec::new, |listing| listing.instances))
    }

    /// Returns the daemons that the list shows as live.
    pub(super) fn live(&self) -> Result<Vec<Instance>, Error> {
        let mut instances = self.instances()?;
        instances.retain(|instance| instance.state == State::Live);
        Ok(instances)
    }

    /// Asks each instance for its status.
    pub(super) fn ask(&self, instances: &[Instance]) -> Vec<Answer> {
        let mut answers = Vec::new();
        for group in instances.chunks(PARALLEL) {
            thread::scope(|scope| {
                let asked: Vec<_> = group
                    .iter()
                    .map(|instance| scope.spawn(|| self.status(instance)))
                    .collect();
                for (instance, thread) in group.iter().zip(asked) {
                    let failed = |_| Err("the thread that asked has failed".to_owned());
                    answers.push(Answer {
                        instance: instance.clone(),
                        status: thread.join().unwrap_or_else(failed),
                    });
                }
            });
        }
        answers
    }

    fn status(&self, instance: &Instance) -> Result<Value, String> {
        let url = format!("http://{}/status", instance.operator_addr);
        self.agent
            .get(&url)
            .header("Authorization", format!("Bearer {}", self.token))
            .call()
            .and_then(|mut response| response.body_mut().read_json())
            .map_err(|error| error.to_string())
    }
}

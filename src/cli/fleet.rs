//! Queries of the daemons' operator ports.

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

/// Timeout for the status of one daemon.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of daemons queried at the same time.
const MAX_PARALLEL_QUERIES: usize = 16;

/// Client of the instance list and of the daemons' operator ports.
#[derive(Debug, Clone)]
pub(super) struct Fleet {
    list: List,
    token: String,
    agent: Agent,
}

/// The status of a daemon, or why it could not be read.
#[derive(Debug, Clone)]
pub(super) struct Response {
    pub(super) instance: Instance,
    pub(super) status: Result<Value, String>,
}

impl Response {
    /// Returns the offset of the last release note that the daemon has applied, if its status could
    /// be read and shows it.
    pub(super) fn releases(&self) -> Option<u64> {
        self.status.as_ref().ok()?.get("releases")?.as_u64()
    }
}

impl Fleet {
    /// Creates a client with the operator's token from `token_file`.
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

    /// Returns the daemons whose state in the list is live.
    pub(super) fn live(&self) -> Result<Vec<Instance>, Error> {
        let mut instances = self.instances()?;
        instances.retain(|instance| instance.state == State::Live);
        Ok(instances)
    }

    /// Requests the status of each instance, from up to `MAX_PARALLEL_QUERIES` instances at a time.
    pub(super) fn query(&self, instances: &[Instance]) -> Vec<Response> {
        let mut responses = Vec::new();
        for group in instances.chunks(MAX_PARALLEL_QUERIES) {
            thread::scope(|scope| {
                let threads: Vec<_> = group
                    .iter()
                    .map(|instance| scope.spawn(|| self.fetch_status(instance)))
                    .collect();
                for (instance, thread) in group.iter().zip(threads) {
                    let panicked =
                        |_| Err("the thread that requested the status panicked".to_owned());
                    responses.push(Response {
                        instance: instance.clone(),
                        status: thread.join().unwrap_or_else(panicked),
                    });
                }
            });
        }
        responses
    }

    fn fetch_status(&self, instance: &Instance) -> Result<Value, String> {
        let url = format!("http://{}/status", instance.operator_addr);
        self.agent
            .get(&url)
            .header("Authorization", format!("Bearer {}", self.token))
            .call()
            .and_then(|mut response| response.body_mut().read_json())
            .map_err(|error| error.to_string())
    }
}

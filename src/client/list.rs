//! Client of the platform's instance list.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use ureq::Agent;

use super::{
    Error,
    http, //
};
use crate::id;

/// Timeout for a poll of the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent and its backend server.
    Agent,
}

/// State of an instance according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: id::Instance,
    /// Role.
    pub role: Role,
    /// Address of its peer port.
    pub addr: SocketAddr,
    /// Address of its operator port.
    pub operator_addr: SocketAddr,
    /// Pool of the agent's backend server, empty for an entry.
    pub pool: id::Pool,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// State.
    pub state: State,
}

/// The list as one poll returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Entity tag to send with the next poll, which then returns the list only if it has changed.
    pub etag: Option<String>,
    /// All instances.
    pub instances: Vec<Instance>,
}

/// Client of the instance list.
#[derive(Debug, Clone)]
pub struct List {
    url: String,
    agent: Agent,
}

impl List {
    /// Creates a client for the list service at the base URL.
    pub fn new(base: &str) -> Self {
        Self {
            url: format!("{}/instances", base.trim_end_matches('/')),
            agent: http::client(TIMEOUT),
        }
    }

    /// Returns the list, or `None` if it has not changed since the poll that returned `etag`.
    ///
    /// # Errors
    ///
    /// On any error the current list is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::client::{Error, list::List};
    ///
    /// // Nothing listens at this address.
    /// let result = List::new("http://127.0.0.1:1").poll(None);
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn poll(&self, etag: Option<&str>) -> Result<Option<Listing>, Error> {
        let mut request = self.agent.get(&self.url);
        if let Some(etag) = etag {
            request = request.header("If-None-Match", etag);
        }
        let response = http::check_status(request.call()?)?;
        if response.status().as_u16() == 304 {
            return Ok(None);
        }
        let tag = response.headers().get("ETag");
        let etag = tag.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let instances = http::decode(response)?;
        Ok(Some(Listing { etag, instances }))
    }
}

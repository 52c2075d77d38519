//! Client of the platform's weight store.

use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;

use super::{
    Error,
    http, //
};
use crate::id;

/// Timeout for describing a checkpoint.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A checkpoint in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Checkpoint {
    /// Size in bytes.
    pub bytes: u64,
}

/// Client of the weight store; the engines fetch the weights themselves.
#[derive(Debug, Clone)]
pub struct Store {
    base: String,
    agent: Agent,
}

impl Store {
    /// Creates a client for the store at the base URL.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: http::client(TIMEOUT),
        }
    }

    /// Returns the description of the checkpoint of a model version.
    ///
    /// # Errors
    ///
    /// `Status` with 404 means that the store has no such checkpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::{id, client::{Error, store::Store}};
    ///
    /// // Nothing listens at this address.
    /// let store = Store::new("http://127.0.0.1:1");
    /// let result = store.describe(&id::Model::from("gears@3"));
    /// assert!(matches!(result, Err(Error::Unreachable(_))));
    /// ```
    pub fn describe(&self, model: &id::Model) -> Result<Checkpoint, Error> {
        http::get(&self.agent, &format!("{}/checkpoints/{model}", self.base))
    }
}

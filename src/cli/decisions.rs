//! Slots of replicas and registered agents, read from the stream `decisions` or from a daemon's
//! status.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use super::{
    exit::Error,
    fleet::Response, //
};
use crate::{
    client::log::Log,
    decision::{
        self,
        Table, //
    },
    follow::{
        Fold,
        Reader, //
    },
    timer::Time,
};

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// The slot of a model's replica on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(super) struct Slot {
    pub(super) model: String,
    pub(super) server: String,
    pub(super) state: String,
    /// Offset of the record that granted the slot.
    pub(super) grant: u64,
}

/// A backend server and the registration of its agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(super) struct Server {
    pub(super) server: String,
    /// Offset of the record that registered the agent.
    pub(super) epoch: u64,
}

/// All slots and servers, after applying the records up to the offset `at`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Decisions {
    pub(super) at: u64,
    pub(super) slots: Vec<Slot>,
    pub(super) servers: Vec<Server>,
}

impl Decisions {
    /// Takes the slots and servers from the daemon that has applied the most records.
    pub(super) fn from_responses(responses: &[Response]) -> Self {
        let statuses = responses
            .iter()
            .filter_map(|response| response.status.as_ref().ok());
        let newest = statuses
            .filter(|status| status.get("slots").is_some())
            .max_by_key(|status| offset(status));
        newest.map_or_else(Self::default, |status| Self {
            at: offset(status),
            slots: list(status, "slots"),
            servers: list(status, "servers"),
        })
    }

    /// Reads the whole stream and applies its records.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read, or no longer holds the oldest records.
    pub(super) fn from_log(log: &str) -> Result<Self, Error> {
        let log = Log::new(log);
        let mut reader = Reader::<Table>::new(Time::now());
        loop {
            let page = log
                .read(
                    Table::STREAM,
                    reader.next(),
                    MAX_READ_RECORDS,
                    Duration::ZERO,
                )
                .map_err(|error| Error::unknown(format!("can't read decisions: {error}")))?;
            if !page.records.is_empty() {
                reader.apply_page(&page);
            } else if reader.has_reached(page.next) {
                return Ok(Self::from_table(reader.state()));
            } else {
                return Err(dropped_error(page.first));
            }
        }
    }

    fn from_table(table: &Table) -> Self {
        let slots = table.models().flat_map(|model| {
            table.slots(model).iter().map(|slot| Slot {
                model: model.to_string(),
                server: slot.server.to_string(),
                state: match slot.state {
                    decision::State::Granted => "granted".to_owned(),
                    decision::State::Retiring => "retiring".to_owned(),
                },
                grant: slot.grant,
            })
        });
        let servers = table.servers().map(|(server, epoch)| Server {
            server: server.to_string(),
            epoch: epoch.offset,
        });
        Self {
            at: table.applied(),
            slots: slots.collect(),
            servers: servers.collect(),
        }
    }
}

/// Returns the offset of the last decision that a daemon has applied, taken from its status; 0 if
/// the status has none.
pub(super) fn offset(status: &Value) -> u64 {
    status
        .get("decisions")
        .and_then(Value::as_u64)
        .unwrap_or_default()
}

fn list<T: for<'de> Deserialize<'de>>(status: &Value, field: &str) -> Vec<T> {
    let list = status.get(field).and_then(Value::as_array);
    let items = list.into_iter().flatten();
    items.filter_map(|item| T::deserialize(item).ok()).collect()
}

fn dropped_error(first: u64) -> Error {
    Error::unknown(format!(
        "the log has dropped the decisions before offset {first}; leave --log out to take them from \
         the daemons"
    ))
}

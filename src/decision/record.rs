//! Records of the stream `decisions`.

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use crate::{
    id,
    snapshot::Part, //
};

/// A record of the stream `decisions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id, by which the writer recognises its record in the stream.
    pub id: Uuid,
    /// The decision or report.
    #[serde(flatten)]
    pub body: Body,
}

impl Record {
    /// Creates a record with a new id.
    pub fn new(body: Body) -> Self {
        Self {
            id: Uuid::new_v4(),
            body,
        }
    }
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Body {
    /// Registers an agent process that has started on a backend server. The record's offset is
    /// the process's epoch.
    Register {
        /// The backend server.
        server: id::Instance,
        /// Unique id of the agent process.
        incarnation: Uuid,
        /// Accelerator memory for models in MiB, excluding the memory reserved for adapters.
        memory_mb: u64,
        /// Pool of the backend server.
        pool: id::Pool,
        /// Region of the backend server.
        region: String,
        /// Failure domain of the backend server.
        failure_domain: String,
    },
    /// Grants a slot.
    Grant {
        /// The model version.
        model: id::Model,
        /// The backend server.
        server: id::Instance,
        /// Offset of the newest valid record of the model's chain, 0 if there is none.
        replaces: u64,
        /// Maximum number of slots of the model version, granted or retiring, after this record.
        limit: u32,
    },
    /// Marks a slot as retiring.
    Retire {
        /// The model version.
        model: id::Model,
        /// The backend server.
        server: id::Instance,
        /// Offset of the newest valid record of the model's chain.
        replaces: u64,
    },
    /// Frees a retiring slot; written by the agent after the model is unloaded.
    Released {
        /// The model version.
        model: id::Model,
        /// The backend server.
        server: id::Instance,
        /// Offset of the grant that made the slot.
        grant: u64,
    },
    /// Frees all slots of a backend server that has disappeared from the instance list.
    Gone {
        /// The backend server.
        server: id::Instance,
        /// The backend server's newest epoch known to the writer.
        epoch: u64,
    },
    /// Part of a snapshot of the state at an earlier offset.
    Snapshot(Part),
}

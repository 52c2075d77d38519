//! Which software versions were listed lately, as processes tell one another.

use serde::{
    Deserialize,
    Serialize, //
};

/// A software version that was listed within the retention of origins of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name of the service.
    pub service: String,
    /// The software version of servers of that service.
    pub version: String,
    /// Time after which no stream of the version can be taken up, unless it is listed again, in ms.
    pub remaining_ms: u32,
}

/// The software versions that a process has seen, itself or through others, within the retention of
/// origins of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Time after which the sender has followed the list of servers for the whole retention, in ms;
    /// 0 if no other version can have served within it.
    pub incomplete_ms: u32,
    /// The versions.
    pub versions: Vec<Listed>,
}

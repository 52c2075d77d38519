//! Where a stream that its client takes up again may go on.

/// What a gateway knows about a stream that a client takes up again.
#[derive(Debug, Clone, Copy)]
pub struct Lineage {
    /// Digest of the software version that began the stream, if it is known.
    pub version: Option<u64>,
    /// Whether several versions of the service are known that serve, or served lately.
    pub are_several: bool,
    /// Whether every version is known that served lately.
    pub is_complete: bool,
    /// Whether the list of servers is recent enough to contain each version that begins streams.
    pub is_list_recent: bool,
    /// What hubs know about the stream.
    pub hub: Knowledge,
}

/// What hubs know about a stream. Gateways that know several versions send them the versions of all
/// their streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// The hub has not been asked, or is not connected yet.
    Unasked,
    /// The hub knows no stream: no gateway in its reach knows several versions.
    Empty,
    /// The hub has just started and has had time to answer, but may not know all streams yet.
    Unsettled,
    /// The hub knows streams and has had time to answer.
    Unanswered,
    /// No hub can be asked.
    Unreachable,
}

/// Where a stream may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// At servers of the software version with this digest.
    At(u64),
    /// At any server: one version serves.
    Anywhere,
    /// Not known until the hub has answered.
    Ask,
    /// Nowhere: what another version would add does not fit.
    Nowhere,
}

impl Lineage {
    /// Returns where the stream may go on. One of unknown origin goes on only where it is known that no
    /// other version served while it may have begun.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnuthub::dispatch::{Continuation, Knowledge, Lineage};
    ///
    /// let mut lineage = Lineage {
    ///     version: None,
    ///     are_several: true,
    ///     is_complete: true,
    ///     is_list_recent: true,
    ///     hub: Knowledge::Unasked,
    /// };
    /// assert_eq!(lineage.continuation(), Continuation::Ask);
    /// lineage.hub = Knowledge::Unanswered;
    /// assert_eq!(lineage.continuation(), Continuation::Nowhere);
    /// lineage.version = Some(7);
    /// assert_eq!(lineage.continuation(), Continuation::At(7));
    /// ```
    pub fn continuation(&self) -> Continuation {
        if let Some(version) = self.version {
            return Continuation::At(version);
        }
        let is_single = self.is_complete && !self.are_several;
        match self.hub {
            Knowledge::Unasked => Continuation::Ask,
            Knowledge::Empty if is_single => Continuation::Anywhere,
            // Without word of a hub, a version that others have begun to use would not be known.
            Knowledge::Unsettled | Knowledge::Unreachable if is_single && self.is_list_recent => {
                Continuation::Anywhere
            }
            _ => Continuation::Nowhere,
        }
    }
}

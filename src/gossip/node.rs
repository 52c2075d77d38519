//! Exchange of log positions and leaving notices with the neighbours of a daemon.

use std::{
    fmt,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use tokio::task::JoinSet;

use super::{
    Notices,
    neighbours, //
};
use crate::{
    catalogue::Catalogue,
    client::list::{
        Instance,
        Role,
        State, //
    },
    decision::Table,
    follow::{
        Fold,
        Stream, //
    },
    id,
    peer::{
        self,
        Endpoint,
        Exchange, //
    },
    report,
    timer::Time,
    view::View,
    wire::{
        Frame,
        Heads,
        Leaving, //
    },
};

/// Interval between exchanges.
pub(crate) const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Timeout for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Callback for each new notice.
type OnLeaving = Box<dyn Fn(&Leaving) + Send + Sync>;

/// A daemon as a participant in the exchange.
pub(crate) struct Node {
    name: id::Instance,
    endpoint: Endpoint,
    view: Arc<View>,
    releases: Arc<Stream<Catalogue>>,
    decisions: Arc<Stream<Table>>,
    notices: Mutex<Notices>,
    on_leaving: OnLeaving,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node").field("name", &self.name).finish()
    }
}

impl Node {
    pub(crate) fn new(
        name: id::Instance,
        endpoint: Endpoint,
        view: Arc<View>,
        releases: Arc<Stream<Catalogue>>,
        decisions: Arc<Stream<Table>>,
        on_leaving: OnLeaving,
    ) -> Self {
        Self {
            name,
            endpoint,
            view,
            releases,
            decisions,
            notices: Mutex::default(),
            on_leaving,
        }
    }

    /// Adds a notice that this backend server is leaving. The following exchanges send it to
    /// neighbours.
    pub(crate) fn announce_leaving(&self) {
        let epoch = self
            .view
            .table()
            .epoch(&self.name)
            .map_or(0, |epoch| epoch.offset);
        let notice = Leaving {
            server: self.name.clone(),
            epoch,
        };
        self.with_notices(|notices| notices.add(&notice, Time::now()));
    }

    /// Exchanges positions with neighbours until the process exits: with one neighbour per period
    /// in turn, and with all at once when the positions of this daemon have changed.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut changes = self.view.changes();
        let mut announced = self.positions();
        let mut round = 0;
        loop {
            tokio::select! {
                () = tokio::time::sleep(EXCHANGE_PERIOD) => {
                    self.endpoint.close_unused(Time::now());
                    self.exchange_with_next(round).await;
                    round += 1;
                }
                // Can't fail: the sender lives as long as the view, which this node holds.
                _ = changes.changed() => {
                    let positions = self.positions();
                    if positions != announced {
                        announced = positions;
                        self.exchange_with_all().await;
                    }
                }
            }
        }
    }

    fn positions(&self) -> (u64, u64) {
        (self.releases.applied(), self.decisions.applied())
    }

    /// Announces that this backend server is leaving if the instance list says so.
    fn announce_if_listed(&self) {
        let listed = {
            let instances = self.view.instances();
            let mut own = instances
                .iter()
                .filter(|instance| instance.name == self.name);
            own.any(|own| own.role == Role::Agent && own.state == State::Leaving)
        };
        if listed {
            self.announce_leaving();
        }
    }

    async fn exchange_with_next(&self, round: usize) {
        self.announce_if_listed();
        let neighbours = neighbours(&self.name, &self.view.instances());
        if let Some(neighbour) = neighbours.get(round % neighbours.len().max(1)) {
            self.exchange_with(neighbour).await;
        }
    }

    /// Exchanges positions with all neighbours at the same time. A change then crosses each link in
    /// the time of one exchange; waiting for each neighbour's turn would take up to four seconds
    /// per link.
    async fn exchange_with_all(self: &Arc<Self>) {
        let neighbours = neighbours(&self.name, &self.view.instances());
        let mut exchanges = JoinSet::new();
        for neighbour in neighbours {
            let node = self.clone();
            exchanges.spawn(async move { node.exchange_with(&neighbour).await });
        }
        exchanges.join_all().await;
    }

    /// Accepts a neighbour's positions and notices and replies with its own.
    pub(crate) async fn reply_to_heads(&self, heads: Heads, mut exchange: Exchange) {
        self.accept_heads(&heads);
        let sent = exchange.send(&Frame::Heads(self.heads())).await;
        finish(sent, exchange).await;
    }

    /// Sends the records of `stream` after the offset `after` to a peer.
    pub(crate) async fn reply_to_pull(&self, stream: &str, after: u64, mut exchange: Exchange) {
        let frames = if stream == Catalogue::STREAM {
            self.releases.reply_to_pull(after)
        } else if stream == Table::STREAM {
            self.decisions.reply_to_pull(after)
        } else {
            Vec::new()
        };
        for frame in frames {
            if exchange.send(&frame).await.is_err() {
                return;
            }
        }
        let sent = exchange.send(&Frame::End).await;
        finish(sent, exchange).await;
    }

    async fn exchange_with(&self, neighbour: &Instance) {
        let exchange = self.try_exchange(neighbour);
        match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok(())) => (),
            Ok(Err(error)) => self.report_failure(neighbour, &error),
            Err(_) => self.report_failure(neighbour, &"no answer in time"),
        }
    }

    async fn try_exchange(&self, neighbour: &Instance) -> Result<(), peer::Error> {
        let mut exchange = self.endpoint.open(&neighbour.name, neighbour.addr).await?;
        exchange.send(&Frame::Heads(self.heads())).await?;
        let Some(Frame::Heads(heads)) = exchange.next().await? else {
            return Err(peer::Error::Protocol("expected heads".to_owned()));
        };
        self.accept_heads(&heads);
        if heads.releases > self.releases.applied() {
            self.pull(neighbour, &self.releases).await?;
        }
        if heads.decisions > self.decisions.applied() {
            self.pull(neighbour, &self.decisions).await?;
        }
        Ok(())
    }

    async fn pull<F: Fold + Send + 'static>(
        &self,
        neighbour: &Instance,
        stream: &Stream<F>,
    ) -> Result<(), peer::Error> {
        let mut exchange = self.endpoint.open(&neighbour.name, neighbour.addr).await?;
        let request = Frame::Pull {
            stream: F::STREAM.to_owned(),
            after: stream.applied(),
        };
        exchange.send(&request).await?;
        loop {
            match exchange.next().await? {
                Some(Frame::Records(records)) => stream.accept_records(records),
                Some(Frame::State(part)) => stream.accept_part(&part),
                _ => return Ok(()),
            }
        }
    }

    fn heads(&self) -> Heads {
        let now = Time::now();
        let age = self.view.synced_at().map(|synced_at| now - synced_at);
        let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        Heads {
            decisions: self.decisions.applied(),
            releases: self.releases.applied(),
            news_age_ms: age_ms.unwrap_or(u64::MAX),
            leaving: self.with_notices(|notices| notices.current(now)),
        }
    }

    fn accept_heads(&self, heads: &Heads) {
        let now = Time::now();
        // The peer's time applies to this daemon only once it has all records that the peer had
        // applied at that time.
        let complete = heads.releases <= self.releases.applied()
            && heads.decisions <= self.decisions.applied();
        if complete && heads.news_age_ms < u64::MAX {
            self.view.record_equal_peer();
        }
        if complete && let Some(time) = now.as_millis().checked_sub(heads.news_age_ms) {
            let time = Time::from_millis(time);
            self.view.record_sync(Catalogue::STREAM, time);
            self.view.record_sync(Table::STREAM, time);
        }
        for notice in &heads.leaving {
            if self.with_notices(|notices| notices.add(notice, now)) {
                report::info("leaving_notice", &[("server", &notice.server)]);
                (self.on_leaving)(notice);
            }
        }
    }

    fn report_failure(&self, neighbour: &Instance, error: &dyn fmt::Display) {
        let pairs: [(&str, &dyn fmt::Display); 2] =
            [("neighbour", &neighbour.name), ("error", error)];
        report::event(log::Level::Debug, "gossip_failed", &pairs);
    }

    fn with_notices<T>(&self, change: impl FnOnce(&mut Notices) -> T) -> T {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut notices)
    }
}

async fn finish(sent: Result<(), peer::Error>, mut exchange: Exchange) {
    if sent.is_ok() {
        exchange.finish();
        exchange.flush().await;
    }
}

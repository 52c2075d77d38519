//! The port on which gateways say what they want and learn what the server holds.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    io::BufReader,
    net::{
        TcpStream,
        tcp::OwnedWriteHalf, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::state::State;
use crate::{
    http,
    link::{
        self,
        Demand,
        Status, //
    },
};

/// Longest time between messages to a gateway.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Silence after which a gateway counts as gone.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Serves gateways for ever.
pub(super) async fn serve(address: SocketAddr, state: Rc<State>) {
    let take = |stream| {
        let state = state.clone();
        tokio::task::spawn_local(async move {
            let key = state.connect();
            // Either side's end ends the link; the gateway connects again.
            let _ = exchange(stream, &state, key).await;
            state.disconnect(key);
        });
    };
    http::listen(address, take).await;
}

async fn exchange(stream: TcpStream, state: &State, key: u64) -> io::Result<()> {
    http::configure(&stream)?;
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(1024, reader);
    let read = async {
        loop {
            let demand: Demand = timeout(SILENCE, link::read(&mut reader)).await??;
            state.demand(key, demand);
        }
    };
    tokio::select! {
        result = read => result,
        result = write(writer, state, key) => result,
    }
}

async fn write(mut writer: OwnedWriteHalf, state: &State, key: u64) -> io::Result<()> {
    let mut holdings = state.holdings.subscribe();
    let mut workload = state.workload.subscribe();
    let mut asking = state.asking.subscribe();
    holdings.mark_changed();
    loop {
        let changed = holdings.has_changed().unwrap_or(true);
        let status = Status {
            workload: *workload.borrow_and_update(),
            holdings: changed.then(|| holdings.borrow_and_update().as_ref().clone()),
            wants_engine: state.wants_engine(key),
        };
        link::write(&mut writer, &status).await?;
        tokio::select! {
            _ = holdings.changed() => holdings.mark_changed(),
            // The sender lives as long as the state.
            _ = asking.changed(), if !state.wants_engine(key) => (),
            () = sleep(HEARTBEAT) => (),
        }
    }
}

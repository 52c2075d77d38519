//! The link to the loader of a server.

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

use super::{
    backend::Backend,
    state::State, //
};
use crate::{
    http,
    link::{
        self,
        Demand,
        Status, //
    },
    report,
    timer::Time,
};

/// Timeout for connecting to a loader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Maximum time between messages to a loader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout for the next message of a loader, after which the loader and the machine that it shares
/// with its server count as unresponsive.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Minimum time between messages to a loader, in which changes of the demand are collected.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Maintains the link to a server's loader as long as the server is known.
///
/// Servers of plain services have no loader.
pub(super) async fn maintain(state: Rc<State>, backend: Rc<Backend>) {
    let mut was_up = true;
    while is_known(&state, &backend) {
        if is_engine(&state, &backend) {
            let loader = loader_addr(&state, &backend);
            let error = run(&state, &backend, loader).await;
            // If only the loader has ended, its machine refuses connections at once, so a timeout
            // means that the machine is unresponsive.
            backend.set_unresponsive(error.kind() == io::ErrorKind::TimedOut);
            let is_up = backend.holdings.take().is_some();
            if is_up {
                backend.record_loader_lost(Time::now());
            }
            if is_up || was_up {
                let server = backend.server();
                report::warn("loader_lost", &[("server", &server.id), ("error", &error)]);
                state.residency_changed.notify_waiters();
            }
            was_up = is_up;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

fn is_known(state: &State, backend: &Rc<Backend>) -> bool {
    let id = backend.server().id.clone();
    let known = state.fleet.get(&id);
    known.is_some_and(|known| Rc::ptr_eq(&known, backend))
}

fn is_engine(state: &State, backend: &Backend) -> bool {
    let configuration = state.follower.configuration();
    let server = backend.server();
    let service = configuration.service(&server.service);
    service.is_some_and(|service| service.engine.is_some())
}

/// Returns the address of the loader, which runs on the server's machine and listens on the same
/// port on all machines.
fn loader_addr(state: &State, backend: &Backend) -> SocketAddr {
    let server = backend.server();
    SocketAddr::new(server.address.ip(), state.settings.get().peer_port)
}

async fn run(state: &State, backend: &Rc<Backend>, loader: SocketAddr) -> io::Error {
    match exchange(state, backend, loader).await {
        Ok(()) => io::Error::other("the server is no longer listed"),
        Err(error) => error,
    }
}

async fn exchange(state: &State, backend: &Rc<Backend>, loader: SocketAddr) -> io::Result<()> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(loader)).await??;
    http::configure(&stream)?;
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(1024, reader);
    let read = async {
        loop {
            let status: Status = timeout(RECEIVE_TIMEOUT, link::read(&mut reader)).await??;
            apply_status(state, backend, status);
        }
    };
    tokio::select! {
        result = read => result,
        result = write(state, backend, writer) => result,
    }
}

async fn write(state: &State, backend: &Rc<Backend>, mut writer: OwnedWriteHalf) -> io::Result<()> {
    let mut last_sent = 0;
    while is_known(state, backend) {
        let service = backend.server().service.clone();
        let wants_engine = backend.wants_engine.take();
        let engine = wants_engine.then(|| state.engine_description(&service));
        let demand = Demand {
            rates: state.rates.since(last_sent, Time::now()),
            loads: state.fleet.loads(),
            engine_version: state.engine_version(&service),
            engine: engine.flatten(),
            ..backend.demand()
        };
        last_sent = state.rates.newest();
        link::write(&mut writer, &demand).await?;
        sleep(BATCH_DELAY).await;
        // A change of the demand ends the wait.
        let _ = timeout(HEARTBEAT_INTERVAL, backend.demand_changed.notified()).await;
    }
    Ok(())
}

fn apply_status(state: &State, backend: &Backend, status: Status) {
    backend.record_workload(status.workload, Time::now());
    if status.wants_engine {
        backend.wants_engine.set(true);
        backend.demand_changed.notify_one();
    }
    let Some(holdings) = status.holdings else {
        return;
    };
    // A loader that does not know its server yet, or belongs to another server, reports nothing
    // about this one.
    let is_own = holdings.server == backend.server().id;
    backend.set_unresponsive(is_own && !holdings.is_responsive);
    if is_own && holdings.is_leaving && holdings.started_ms == backend.server().started_ms {
        backend.mark_leaving();
    }
    *backend.holdings.borrow_mut() = is_own.then_some(holdings);
    state.residency_changed.notify_waiters();
}

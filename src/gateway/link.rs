//! The link to the loader beside a server.

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

/// Time for a connection to a loader.
const CONNECT: Duration = Duration::from_millis(700);

/// Pause before the next try to connect.
const RETRY: Duration = Duration::from_millis(500);

/// Longest time between messages to a loader.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Silence after which a loader, and the machine that it shares with its server, counts as gone.
const SILENCE: Duration = Duration::from_millis(1_400);

/// Least time between messages to a loader, within which changes are gathered.
const GATHER: Duration = Duration::from_millis(5);

/// Keeps the link to a server's loader as long as the server is known.
///
/// Servers of plain services have no loader.
pub(super) async fn keep(state: Rc<State>, backend: Rc<Backend>) {
    let mut was_up = true;
    while is_known(&state, &backend) {
        if is_engine(&state, &backend) {
            let loader = loader_addr(&state, &backend);
            let ended = run(&state, &backend, loader).await;
            // A process that ended leaves a machine that refuses connections at once.
            backend.note_silence(ended.kind() == io::ErrorKind::TimedOut);
            let is_up = backend.holdings.take().is_some();
            if is_up {
                backend.note_loader_lost(Time::now());
            }
            if is_up || was_up {
                let server = backend.server();
                report::warn("loader_lost", &[("server", &server.id), ("error", &ended)]);
                state.residency_changed.notify_waiters();
            }
            was_up = is_up;
        }
        sleep(RETRY).await;
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

/// The loader runs on the server's machine and listens on the same port everywhere.
fn loader_addr(state: &State, backend: &Backend) -> SocketAddr {
    let server = backend.server();
    SocketAddr::new(server.address.ip(), state.settings.get().peer_port)
}

async fn run(state: &State, backend: &Rc<Backend>, loader: SocketAddr) -> io::Error {
    match exchange(state, backend, loader).await {
        Ok(()) => io::Error::other("the server is no longer known"),
        Err(error) => error,
    }
}

async fn exchange(state: &State, backend: &Rc<Backend>, loader: SocketAddr) -> io::Result<()> {
    let stream = timeout(CONNECT, TcpStream::connect(loader)).await??;
    http::configure(&stream)?;
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(1024, reader);
    let read = async {
        loop {
            let status: Status = timeout(SILENCE, link::read(&mut reader)).await??;
            take(state, backend, status);
        }
    };
    tokio::select! {
        result = read => result,
        result = write(state, backend, writer) => result,
    }
}

async fn write(state: &State, backend: &Rc<Backend>, mut writer: OwnedWriteHalf) -> io::Result<()> {
    let mut told = 0;
    while is_known(state, backend) {
        let service = backend.server().service.clone();
        let wants_engine = backend.wants_engine.take();
        let engine = wants_engine.then(|| state.engine_description(&service));
        let demand = Demand {
            rates: state.rates.since(told, Time::now()),
            loads: state.fleet.loads(),
            engine_version: state.engine_version(&service),
            engine: engine.flatten(),
            ..backend.demand()
        };
        told = state.rates.newest();
        link::write(&mut writer, &demand).await?;
        sleep(GATHER).await;
        // A change of the demand ends the pause.
        let _ = timeout(HEARTBEAT, backend.demand_changed.notified()).await;
    }
    Ok(())
}

fn take(state: &State, backend: &Backend, status: Status) {
    backend.note_workload(status.workload, Time::now());
    if status.wants_engine {
        backend.wants_engine.set(true);
        backend.demand_changed.notify_one();
    }
    let Some(holdings) = status.holdings else {
        return;
    };
    // A loader that does not know its server yet, or beside another one, says nothing of this one.
    let is_own = holdings.server == backend.server().id;
    backend.note_silence(is_own && !holdings.answers);
    *backend.holdings.borrow_mut() = is_own.then_some(holdings);
    state.residency_changed.notify_waiters();
}

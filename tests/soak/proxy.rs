//! A loopback proxy that cuts, mutes and stalls a link.

use std::{
    io,
    net::SocketAddr, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    runtime::Handle,
    sync::watch,
};

/// Bytes that are read at once.
const PIECE: usize = 16 << 10;

/// What a link does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes all bytes.
    Pass,
    /// Passes nothing; connections hang.
    Cut,
    /// Passes calls, but no answers.
    Mute,
    /// Ends all connections, old and new.
    Refuse,
}

#[derive(Debug, Clone, Copy)]
struct State {
    mode: Mode,
    /// Number of the newest connection.
    connections: u64,
    /// Connections up to this number pass nothing any more.
    stalled: u64,
}

impl State {
    fn passes(&self, number: u64, is_answer: bool) -> bool {
        let passes = match self.mode {
            Mode::Pass => true,
            Mode::Mute => !is_answer,
            Mode::Cut | Mode::Refuse => false,
        };
        passes && number > self.stalled
    }
}

/// A proxy before one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    state: watch::Sender<State>,
    pub(crate) addr: SocketAddr,
}

impl Proxy {
    /// Starts a proxy at `listen` before `target`.
    pub(crate) fn start(
        runtime: &Handle,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let _guard = runtime.enter();
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let addr = listener.local_addr()?;
        let state = watch::Sender::new(State {
            mode: Mode::Pass,
            connections: 0,
            stalled: 0,
        });
        runtime.spawn(accept(listener, target, state.clone()));
        Ok(Self { state, addr })
    }

    /// Changes what the link does.
    pub(crate) fn set(&self, mode: Mode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Lets the connections that are open pass nothing more, without an end; new ones work.
    pub(crate) fn stall(&self) {
        self.state
            .send_modify(|state| state.stalled = state.connections);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<State>) {
    while let Ok((client, _)) = listener.accept().await {
        state.send_modify(|state| state.connections += 1);
        let number = state.borrow().connections;
        if state.borrow().mode != Mode::Refuse {
            tokio::spawn(relay(client, target, number, state.subscribe()));
        }
    }
}

/// Relays a connection until either end closes it or the link refuses.
async fn relay(
    client: TcpStream,
    target: SocketAddr,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let calls = Direction {
        number,
        is_answer: false,
        state: state.clone(),
    };
    let answers = Direction {
        is_answer: true,
        ..calls.clone()
    };
    tokio::select! {
        _ = calls.copy(from_client, to_server) => (),
        _ = answers.copy(from_server, to_client) => (),
        _ = state.wait_for(|state| state.mode == Mode::Refuse) => (),
    }
}

#[derive(Clone)]
struct Direction {
    number: u64,
    is_answer: bool,
    state: watch::Receiver<State>,
}

impl Direction {
    async fn copy(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut piece = vec![0; PIECE];
        loop {
            let count = from.read(&mut piece).await?;
            // An end is held back like bytes: a cut link does not tell that the other end closed.
            let passes = |state: &State| state.passes(self.number, self.is_answer);
            let passing = self.state.wait_for(passes).await;
            passing.map_err(|_| io::ErrorKind::BrokenPipe)?;
            if count == 0 {
                return Ok(());
            }
            to.write_all(&piece[..count]).await?;
        }
    }
}

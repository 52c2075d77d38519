//! Second addresses of an emulated site, at which servers crash under the requests that a test names.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use socket2::SockRef;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::sleep,
};

use super::{
    Site,
    lock, //
};

/// Range of the time from the arrival of a request to the crash of its server.
const CRASH_DELAY_MS: std::ops::Range<u64> = 20..200;

/// Number of bytes of a connection that are searched together for the text of a trigger.
const WINDOW_BYTES: usize = 4 << 10;

/// Which requests crash the servers that work on them, and how.
#[derive(Debug, Clone)]
pub struct Trigger {
    /// Text that the head or body of such a request contains.
    pub text: String,
    /// Whether the server begins its answer before it crashes.
    pub has_answer: bool,
    /// Whether the connections of a server that crashes are reset; else they are closed in order.
    pub is_reset: bool,
    /// Range of the time in ms after which a crashed server is back.
    pub downtime_ms: std::ops::Range<u64>,
    /// Seed of all random times.
    pub seed: u64,
}

impl Default for Trigger {
    fn default() -> Self {
        Self {
            text: String::new(),
            has_answer: true,
            is_reset: false,
            downtime_ms: 1_000..2_000,
            seed: 0,
        }
    }
}

/// What happened at the servers that crash.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    /// When requests that crash servers reached one.
    pub arrivals: Vec<Instant>,
    /// When servers crashed.
    pub ends: Vec<Instant>,
}

/// State that the servers of a site share.
#[derive(Debug)]
pub(super) struct Crasher {
    trigger: Trigger,
    crashes: Mutex<Crashes>,
    random: Mutex<fastrand::Rng>,
}

impl Crasher {
    fn draw(&self, range: &std::ops::Range<u64>) -> Duration {
        Duration::from_millis(lock(&self.random).u64(range.clone()))
    }
}

impl Site {
    /// Gives each server a second address, at which it crashes under the requests that the trigger
    /// names, and writes these addresses into the descriptions.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if an address can't be bound.
    pub fn start_crashing(&mut self, trigger: Trigger) -> io::Result<()> {
        let random = Mutex::new(fastrand::Rng::with_seed(trigger.seed));
        let crasher = Arc::new(Crasher {
            trigger,
            crashes: Mutex::default(),
            random,
        });
        self.crasher = Some(crasher.clone());
        for index in 0..self.engines.len() {
            let engine = self.engines[index].server.clone();
            let direct = self.engines[index].addr;
            let address = self.start_crashing_server(&crasher, direct, move || engine.restart())?;
            self.publish_engine_at(index, address);
        }
        for index in 0..self.services.len() {
            let direct = self.services[index].addr;
            let address = self.start_crashing_server(&crasher, direct, || ())?;
            self.publish_service_at(index, address);
        }
        Ok(())
    }

    fn start_crashing_server(
        &self,
        crasher: &Arc<Crasher>,
        direct: SocketAddr,
        restart: impl Fn() + Send + 'static,
    ) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind((direct.ip(), 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let _guard = self._runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        tokio::spawn(run(crasher.clone(), listener, direct, restart));
        Ok(address)
    }

    /// Returns what happened so far at the servers that crash.
    pub fn crashes(&self) -> Crashes {
        let crasher = self.crasher.as_ref();
        crasher.map_or_else(Crashes::default, |crasher| lock(&crasher.crashes).clone())
    }
}

/// Serves one address: passes connections on to the server, and closes the port with all of them at
/// each crash.
async fn run(
    crasher: Arc<Crasher>,
    mut listener: TcpListener,
    direct: SocketAddr,
    restart: impl Fn(),
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let (crash, mut crashed) = watch::channel(false);
        let crash = Arc::new(crash);
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { return };
                    let connection = Connection { crasher: crasher.clone(), crash: crash.clone() };
                    tokio::spawn(connection.serve(caller, direct));
                }
                _ = crashed.wait_for(|crashed| *crashed) => break,
            }
        }
        drop(listener);
        lock(&crasher.crashes).ends.push(Instant::now());
        sleep(crasher.draw(&crasher.trigger.downtime_ms)).await;
        restart();
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                // The former connections may hold the port for a moment.
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
    }
}

/// A connection to a server that may crash.
struct Connection {
    crasher: Arc<Crasher>,
    crash: Arc<watch::Sender<bool>>,
}

impl Connection {
    async fn serve(self, mut caller: TcpStream, direct: SocketAddr) {
        let Ok(mut server) = TcpStream::connect(direct).await else {
            return;
        };
        let _ = caller.set_nodelay(true);
        if self.crasher.trigger.is_reset {
            let _ = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
        }
        let mut crashed = self.crash.subscribe();
        let (mut from_caller, mut to_caller) = caller.split();
        let (mut from_server, mut to_server) = server.split();
        tokio::select! {
            _ = crashed.wait_for(|crashed| *crashed) => (),
            _ = tokio::io::copy(&mut from_server, &mut to_caller) => (),
            // An error means that one of the two sides closed the connection.
            _ = self.pass_requests(&mut from_caller, &mut to_server) => (),
        }
    }

    /// Passes requests on and looks for the text that crashes the server.
    async fn pass_requests(
        &self,
        caller: &mut (impl AsyncReadExt + Unpin),
        server: &mut (impl AsyncWriteExt + Unpin),
    ) -> io::Result<()> {
        let mut window = Vec::new();
        let mut bytes = [0; WINDOW_BYTES];
        loop {
            let length = caller.read(&mut bytes).await?;
            if length == 0 {
                return Ok(());
            }
            window.extend_from_slice(&bytes[..length]);
            if String::from_utf8_lossy(&window).contains(&self.crasher.trigger.text) {
                window.clear();
                self.start_crash();
                if !self.crasher.trigger.has_answer {
                    std::future::pending::<()>().await;
                }
            }
            let excess = window.len().saturating_sub(WINDOW_BYTES);
            window.drain(..excess);
            server.write_all(&bytes[..length]).await?;
        }
    }

    fn start_crash(&self) {
        lock(&self.crasher.crashes).arrivals.push(Instant::now());
        let delay = self.crasher.draw(&CRASH_DELAY_MS);
        let crash = self.crash.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            crash.send_replace(true);
        });
    }
}

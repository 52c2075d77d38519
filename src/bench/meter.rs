//! Counts the bytes between a daemon and an outside system, and cuts the link on demand.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
};

use super::Error;

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Forwards TCP connections to one address and counts the bytes of both directions.
#[derive(Debug)]
pub struct Meter {
    addr: SocketAddr,
    link: Arc<Link>,
}

#[derive(Debug, Default)]
struct Link {
    bytes: AtomicU64,
    cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    fn open(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forward(self: &Arc<Self>, inbound: TcpStream, target: SocketAddr) -> io::Result<()> {
        let outbound = TcpStream::connect(target)?;
        let mut open = self.open();
        open.retain(|stream| stream.peer_addr().is_ok());
        open.extend([inbound.try_clone()?, outbound.try_clone()?]);
        drop(open);
        let (from, to) = (inbound.try_clone()?, outbound.try_clone()?);
        let link = self.clone();
        thread::spawn(move || copy(from, to, &link.bytes));
        let link = self.clone();
        thread::spawn(move || copy(outbound, inbound, &link.bytes));
        Ok(())
    }
}

impl Meter {
    /// Starts to forward to `target` for the life of the process.
    pub(super) fn start(target: SocketAddr) -> Result<Self, Error> {
        let failed = |error| Error::Io("meter".to_owned(), error);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let link = Arc::new(Link::default());
        let forwarding = link.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                if !forwarding.cut.load(Ordering::SeqCst) {
                    // A refused connection shows to the daemon as a closed one.
                    let _ = forwarding.forward(inbound, target);
                }
            }
        });
        Ok(Self { addr, link })
    }

    /// Returns the base URL by which daemons reach the target.
    pub(super) fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the bytes forwarded so far.
    pub(super) fn bytes(&self) -> u64 {
        self.link.bytes.load(Ordering::Relaxed)
    }

    /// Closes all connections and refuses new ones until `restore`.
    pub fn cut(&self) {
        self.link.cut.store(true, Ordering::SeqCst);
        for stream in self.link.open().drain(..) {
            // Fails only if the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Forwards connections again.
    pub fn restore(&self) {
        self.link.cut.store(false, Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    // The peer may have closed already.
    let _ = to.shutdown(Shutdown::Write);
}

//! Counts the bytes between a daemon and an outside system or peer.

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
        Arc,
        atomic::{
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
pub(super) struct Meter {
    addr: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Meter {
    /// Starts to forward to `target` for the life of the process.
    pub(super) fn start(target: SocketAddr) -> Result<Self, Error> {
        let failed = |error| Error::Io("meter".to_owned(), error);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = bytes.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                // A refused connection shows to the daemon as a closed one.
                let _ = forward(inbound, target, &counter);
            }
        });
        Ok(Self { addr, bytes })
    }

    /// Returns the base URL by which daemons reach the target.
    pub(super) fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the bytes forwarded so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn forward(inbound: TcpStream, target: SocketAddr, bytes: &Arc<AtomicU64>) -> io::Result<()> {
    let outbound = TcpStream::connect(target)?;
    let (from, to) = (inbound.try_clone()?, outbound.try_clone()?);
    let counter = bytes.clone();
    thread::spawn(move || copy(from, to, &counter));
    let counter = bytes.clone();
    thread::spawn(move || copy(outbound, inbound, &counter));
    Ok(())
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

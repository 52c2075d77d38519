//! Probes of the servers whose loaders are not connected to the hub.
//!
//! A machine that does not respond must get no requests. Where only the loader has ended, its engine
//! still serves what it holds.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    sleep,
    timeout, //
};

use super::port::Hub;
use crate::link::{
    self,
    Contact,
    Hello,
    Needs, //
};

/// Interval between probes of one server.
const INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the answer to a probe.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after the start in which loaders are expected to connect by themselves.
const GRACE: Duration = Duration::from_millis(400);

/// Probes the servers whose loaders are not connected, as long as gateways are; never returns.
pub(super) async fn run(hub: Rc<Hub>, port: u16) {
    sleep(GRACE).await;
    loop {
        sleep(INTERVAL).await;
        for (id, address) in hub.unconnected() {
            let hub = hub.clone();
            let loader = SocketAddr::new(address.ip(), port);
            tokio::task::spawn_local(async move {
                let answer = timeout(TIMEOUT, probe(loader)).await;
                let contact = contact(answer.unwrap_or_else(|elapsed| Err(elapsed.into())));
                hub.set_contact(&id, contact);
            });
        }
    }
}

async fn probe(loader: SocketAddr) -> io::Result<()> {
    let (mut reader, mut writer) = link::open(loader, TIMEOUT).await?;
    writer.send(&Hello::Probe).await?;
    reader.next::<Needs>(TIMEOUT).await.map(|_| ())
}

/// Returns what the answer to a probe says. A machine that refuses the connection is up.
fn contact(answer: io::Result<()>) -> Contact {
    let is_silent = matches!(answer, Err(error) if error.kind() == io::ErrorKind::TimedOut);
    if is_silent {
        Contact::Silent
    } else {
        Contact::Lost
    }
}

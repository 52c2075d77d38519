//! `chestnuthub drain`.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr, //
    },
    path::PathBuf,
    time::Duration,
};

use bpaf::{
    Parser,
    construct, //
};
use serde_json::json;
use tokio::{
    runtime::Runtime,
    time, //
};

use super::exit::{
    Error,
    Report, //
};
use crate::{
    client::list::{
        Instance,
        List,
        Role, //
    },
    id,
    peer::{
        self,
        Endpoint,
        Identity, //
    },
    settings::Tls,
    wire::Frame,
};

/// Timeout for the agent's confirmation.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Orders an agent to accept no new work and to finish the work that it has.
#[derive(Debug, Clone)]
pub(super) struct Command {
    pub(super) json: bool,
    list: String,
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
    name: String,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = super::json();
    let list = bpaf::long("list")
        .help("Base URL of the instance list")
        .argument::<String>("URL");
    let authority = bpaf::long("authority")
        .help("Certificate of the authority that signs the daemons' certificates, PEM")
        .argument::<PathBuf>("FILE");
    let certificate = bpaf::long("certificate")
        .help("The operator's certificate, PEM, as `chestnuthub keys create` makes it")
        .argument::<PathBuf>("FILE");
    let key = bpaf::long("key")
        .help("The operator's private key, PEM")
        .argument::<PathBuf>("FILE");
    let name = bpaf::positional::<String>("INSTANCE").help("The agent, by its name in the list");
    construct!(Command {
        json,
        list,
        authority,
        certificate,
        key,
        name,
    })
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let identity = Identity::load(&Tls {
            authority: self.authority.clone(),
            certificate: self.certificate.clone(),
            key: self.key.clone(),
        })
        .map_err(Error::failed)?;
        let instance = self.find()?;
        let runtime = Runtime::new().map_err(Error::failed)?;
        runtime
            .block_on(drain(&identity, &instance.name, instance.addr))
            .map_err(failure)?;
        let name = &self.name;
        Ok(Report::done(
            format!("{name} takes no new work and finishes what it has\n"),
            json!({ "outcome": "done", "instance": name }),
        ))
    }

    fn find(&self) -> Result<Instance, Error> {
        let listing = List::new(&self.list)
            .poll(None)
            .map_err(|error| Error::unknown(format!("can't read the instance list: {error}")))?;
        let instances = listing.map_or_else(Vec::new, |listing| listing.instances);
        let mut named = instances
            .into_iter()
            .filter(|instance| instance.name.as_str() == self.name);
        let instance = named
            .next()
            .ok_or_else(|| Error::failed(format!("{} is not in the instance list", self.name)))?;
        if instance.role != Role::Agent {
            let detail = format!("{} is not an agent; stop it with SIGTERM", self.name);
            return Err(Error::failed(detail));
        }
        Ok(instance)
    }
}

async fn drain(
    identity: &Identity,
    name: &id::Instance,
    addr: SocketAddr,
) -> Result<(), peer::Error> {
    let local: IpAddr = match addr {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let endpoint = Endpoint::bind(SocketAddr::new(local, 0), identity)?;
    let mut exchange = endpoint.open(name, addr).await?;
    exchange.send(&Frame::Drain).await?;
    let reply = time::timeout(TIMEOUT, exchange.next())
        .await
        .map_err(|_| peer::Error::Lost(format!("no answer within {TIMEOUT:?}")))??;
    endpoint.close();
    match reply {
        Some(Frame::End) => Ok(()),
        _ => Err(peer::Error::Protocol(
            "the reply to Drain must be End, but another frame or the end of the stream was \
             received"
                .to_owned(),
        )),
    }
}

fn failure(error: peer::Error) -> Error {
    match error {
        peer::Error::Config(_) => Error::failed(error),
        peer::Error::Connect(_) => Error::unknown(error),
        peer::Error::Lost(_) | peer::Error::Protocol(_) => Error::unknown(format!(
            "outcome unknown: {error}; draining again does no harm"
        )),
    }
}

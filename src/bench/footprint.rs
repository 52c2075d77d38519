//! Memory, processor time and control bytes of real daemons at several sizes.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    thread,
    time::Duration, //
};

use serde_json::json;
use tokio::runtime::Runtime;

use super::{
    Error,
    Fleet,
    Plan,
    TENGIS,
    capacity::{
        ADAPTERS,
        DAEMONS,
        MODELS,
        Slope,
        adapters,
        instances,
        models, //
    },
    meter::Meter,
    usage::Usage, //
};
use crate::{
    catalogue::Note,
    client::log::Log,
    id,
    peer::{
        Endpoint,
        Exchange,
        Identity, //
    },
    settings::Tls,
    wire::{
        Frame,
        Heads, //
    },
};

/// Time in which a daemon settles after a change of its state's size.
const SETTLE: Duration = Duration::from_secs(6);

/// Time over which processor time and bytes are counted.
const WINDOW: Duration = Duration::from_secs(20);

/// Changes of configuration during the window; 1,300 a day are 0.3 in this time.
const CHANGES: u32 = 4;

/// Gossip exchanges over which the bytes are counted.
const EXCHANGES: u32 = 200;

/// Measures an entry and an agent of a small fleet, empty and with the state of the size to
/// design for.
pub(super) fn measure() -> Result<Vec<Slope>, Error> {
    let mut slopes = Vec::new();
    let mut plan = Plan::new(TENGIS);
    plan.metered = true;
    let fleet = Fleet::start(plan)?;
    let log = Log::new(&fleet.log.url);
    thread::sleep(SETTLE);
    slopes.extend(window(&fleet, "few items")?);
    add_items(&log)?;
    add_instances(&fleet)?;
    thread::sleep(SETTLE);
    slopes.extend(window(&fleet, "610 models, 5,000 adapters, 930 instances")?);
    slopes.extend(gossip_slopes(&fleet)?);
    Ok(slopes)
}

/// Measures the UDP bytes of a connection between peers and of one gossip exchange on it.
fn gossip_slopes(fleet: &Fleet) -> Result<Vec<Slope>, Error> {
    let runtime = Runtime::new().map_err(|error| Error::Io("runtime".to_owned(), error))?;
    runtime.block_on(async {
        let (server_name, client_name) = (&fleet.entries[0].name, &fleet.entries[1].name);
        let server = endpoint(fleet, server_name)?;
        let client = endpoint(fleet, client_name)?;
        let addr = server
            .local_addr()
            .map_err(|error| Error::Io("peer port".to_owned(), error))?;
        tokio::spawn(answer_heads(server));
        let name = server_name.as_str().into();
        exchange_heads(&client, &name, addr).await?;
        let first = client.bytes();
        for _ in 0..EXCHANGES {
            exchange_heads(&client, &name, addr).await?;
        }
        let each = (client.bytes() - first) as f64 / f64::from(EXCHANGES);
        Ok(vec![
            Slope::new(
                "gossip connection with its first exchange",
                first as f64,
                "B",
            ),
            Slope::new("gossip exchange on an open connection", each, "B"),
        ])
    })
}

fn endpoint(fleet: &Fleet, name: &str) -> Result<Endpoint, Error> {
    let file = |suffix: &str| fleet.directory().join(format!("{name}{suffix}"));
    let identity = Identity::load(&Tls {
        authority: fleet.directory().join("authority.pem"),
        certificate: file(".pem"),
        key: file(".key.pem"),
    })?;
    Ok(Endpoint::bind((Ipv4Addr::LOCALHOST, 0).into(), &identity)?)
}

async fn exchange_heads(
    client: &Endpoint,
    name: &id::Instance,
    addr: SocketAddr,
) -> Result<(), Error> {
    let mut exchange = client.open(name, addr).await?;
    exchange.send(&Frame::Heads(Heads::default())).await?;
    exchange.finish();
    exchange.next().await?;
    Ok(())
}

async fn answer_heads(server: Endpoint) {
    while let Some(incoming) = server.accept().await {
        let Ok(connection) = incoming.await else {
            return;
        };
        while let Ok((send, receive)) = connection.accept_bi().await {
            let mut exchange = Exchange::new(send, receive);
            if let Ok(Some(frame)) = exchange.next().await
                && exchange.send(&frame).await.is_ok()
            {
                exchange.finish();
            }
        }
    }
}

fn add_items(log: &Log) -> Result<(), Error> {
    let page = log.read("releases", 1, 500, Duration::ZERO)?;
    let mut note = Note::new("operator", page.next - 1);
    note.added.extend(models(MODELS));
    note.added.extend(adapters(ADAPTERS));
    append(log, &note)
}

fn append(log: &Log, note: &Note) -> Result<(), Error> {
    let body = serde_json::to_string(note).map_err(|error| Error::Call(error.to_string()))?;
    log.append("releases", &body)?;
    Ok(())
}

/// Adds instances that exist in the list only, in a pool that no model uses.
fn add_instances(fleet: &Fleet) -> Result<(), Error> {
    for mut instance in instances(DAEMONS) {
        instance.pool = "unused".into();
        let url = format!("{}/instances/{}", fleet.list.url, instance.name);
        ureq::put(url).send_json(json!(instance))?;
    }
    Ok(())
}

fn window(fleet: &Fleet, size: &str) -> Result<Vec<Slope>, Error> {
    let daemons = [
        ("entry", &fleet.entries[0]),
        ("engine agent", &fleet.engine_agents[0]),
        ("service agent", &fleet.service_agents[0]),
    ];
    let mut before = Vec::new();
    for (_, daemon) in daemons {
        before.push((Usage::of(daemon.process.id())?, bytes(&daemon.meters)));
    }
    change_configuration(fleet)?;
    let mut slopes = Vec::new();
    for ((role, daemon), (usage, counted)) in daemons.into_iter().zip(before) {
        let now = Usage::of(daemon.process.id())?;
        let busy = now.processor.saturating_sub(usage.processor);
        let share = 100.0 * busy.as_secs_f64() / WINDOW.as_secs_f64();
        let rate = (bytes(&daemon.meters) - counted) as f64 / WINDOW.as_secs_f64();
        let resident = now.resident_kib as f64 / 1_024.0;
        slopes.push(Slope::new(
            &format!("{role}, {size}: memory"),
            resident,
            "MiB",
        ));
        slopes.push(Slope::new(
            &format!("{role}, {size}: processor"),
            share,
            "% of a core",
        ));
        slopes.push(Slope::new(
            &format!("{role}, {size}: log and list"),
            rate,
            "B/s",
        ));
    }
    Ok(slopes)
}

/// Spreads changes of one item over the window.
fn change_configuration(fleet: &Fleet) -> Result<(), Error> {
    let log = Log::new(&fleet.log.url);
    for _ in 0..CHANGES {
        let page = log.read("releases", 1, 500, Duration::ZERO)?;
        let mut note = Note::new("operator", page.next - 1);
        let item = TENGIS.first_note().added.swap_remove(1);
        note.changed.push(item);
        append(&log, &note)?;
        thread::sleep(WINDOW / CHANGES);
    }
    Ok(())
}

fn bytes(meters: &[Meter]) -> u64 {
    meters.iter().map(Meter::bytes).sum()
}

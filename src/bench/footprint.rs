//! Memory, processor time and control bytes of real daemons at several sizes.

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;

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
    platform::log::Log, //
};

/// Time in which a daemon settles after a change of its state's size.
const SETTLE: Duration = Duration::from_secs(6);

/// Time over which processor time and bytes are counted.
const WINDOW: Duration = Duration::from_secs(20);

/// Changes of configuration during the window; 1,300 a day are 0.3 in this time.
const CHANGES: u32 = 4;

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
    Ok(slopes)
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

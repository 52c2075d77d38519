//! The description of the engine, as gateways tell it to loaders.

use std::time::Duration;

use chestnuthub::{
    deployment::{
        Engine,
        Model, //
    },
    hub::Description,
    link::{
        EngineDescription,
        EngineVersion, //
    },
    timer::Time,
};

fn engine(slots: u32) -> Engine {
    let model = Model {
        name: "m00".to_owned(),
        weights_mb: 20.0,
        adapter_mb: 2.0,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(800),
        memory_load: Duration::from_millis(300),
    };
    Engine {
        slots,
        memory_mb: 100.0,
        adapter_slots: 3,
        loads_per_s: 2.0,
        models: vec![model],
    }
}

fn description(configuration: u64, slots: u32) -> EngineDescription {
    let engine = engine(slots);
    EngineDescription {
        version: EngineVersion::new(configuration, &engine),
        engine,
    }
}

/// Guards against every gateway sending the unchanged description to every loader again for each
/// new configuration, and against an older configuration replacing a newer description.
#[test]
fn only_a_changed_description_is_requested() {
    const NOW: Time = Time::from_millis(0);
    let mut known = Description::default();
    assert!(known.offer(1, description(3, 8).version, NOW));
    assert!(known.is_requested(1));
    assert!(!known.offer(2, description(3, 8).version, NOW));
    known.update(description(3, 8));
    // A newer configuration with the same engine description.
    assert!(!known.offer(2, description(4, 8).version, NOW));
    // An older configuration with another one.
    assert!(!known.offer(1, description(2, 9).version, NOW));
    known.update(description(2, 9));
    assert_eq!(known.engine().map(|engine| engine.slots), Some(8));
    assert!(known.offer(1, description(5, 9).version, NOW));
    known.update(description(5, 9));
    assert_eq!(known.engine().map(|engine| engine.slots), Some(9));
}

/// Guards against a loader that waits forever for the description from a gateway that disconnected
/// or hangs.
#[test]
fn another_gateway_is_asked_after_a_disconnect_or_timeout() {
    let version = description(3, 8).version;
    let mut known = Description::default();
    assert!(known.offer(1, version, Time::from_millis(0)));
    known.remove_gateway(1);
    assert!(known.offer(2, version, Time::from_millis(1)));
    assert!(!known.offer(3, version, Time::from_millis(900)));
    assert!(known.offer(3, version, Time::from_millis(1_100)));
}

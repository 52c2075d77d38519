//! Keys, settings and a catalogue for an entry on loopback.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    sync::Arc, //
};

use chestnuthub::{
    context::Context,
    decision::Record,
    metrics::Metrics,
    peer::{
        Endpoint,
        Identity, //
    },
    platform::log::Log,
    settings::{
        Settings,
        Tls, //
    },
    view::View,
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    CertifiedIssuer,
    IsCa,
    KeyPair, //
};
use serde::de::DeserializeOwned;
use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};
use tokio::sync::watch;
use uuid::Uuid;

use super::harness::{
    OPERATOR_TOKEN,
    OTHER_TOKEN,
    TOKEN, //
};

/// Any free port of the loopback address.
const LOOPBACK: &str = "127.0.0.1:0";

/// Writes the keys of an authority and of the named instances.
pub(crate) fn write_keys<'a>(folder: &Path, names: impl Iterator<Item = &'a str>) {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
    fs::write(folder.join("authority.pem"), authority.pem()).unwrap();
    for name in names {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new([name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &authority).unwrap();
        fs::write(folder.join(format!("{name}.pem")), certificate.pem()).unwrap();
        fs::write(folder.join(format!("{name}.key")), key.serialize_pem()).unwrap();
    }
}

/// Binds the peer port of the named instance.
pub(crate) fn bind(folder: &Path, name: &str) -> Endpoint {
    let tls = Tls {
        authority: folder.join("authority.pem"),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    };
    let identity = Identity::load(&tls).unwrap();
    Endpoint::bind(LOOPBACK.parse().unwrap(), &identity).unwrap()
}

/// Makes what the parts of the entry `entry-1` share.
pub(crate) fn context(folder: &Path, stopping: watch::Receiver<bool>) -> Context {
    let settings: Settings = decode(json!({
        "instance": "entry-1",
        "region": "puget",
        "failure_domain": "puget-a",
        "peer_addr": LOOPBACK,
        "operator_addr": LOOPBACK,
        "platform": {
            "log": "http://127.0.0.1:9",
            "log_retention_h": 24,
            "list": "http://127.0.0.1:9",
            "store": "http://127.0.0.1:9",
        },
        "tls": { "authority": "", "certificate": "", "key": "" },
        "operators": { "operator": digest(OPERATOR_TOKEN) },
        "role": { "entry": {
            "caller_addr": LOOPBACK,
            "institutions": {
                "cascade": [digest(TOKEN)],
                "tengis": [digest(OTHER_TOKEN)],
            },
        } },
    }));
    Context {
        log: Log::new(&settings.platform.log),
        settings: Arc::new(settings),
        view: Arc::new(View::default()),
        endpoint: bind(folder, "entry-1"),
        runtime: tokio::runtime::Handle::current(),
        metrics: Arc::new(Metrics::default()),
        stopping,
    }
}

/// Fills the catalogue and the instance list.
pub(crate) fn fill(view: &View, names: &[String], addrs: Vec<SocketAddr>) {
    let note = decode(json!({ "added": [
        { "institution": { "name": "cascade" } },
        { "institution": { "name": "tengis" } },
        model("gear-check"),
        model("laptop-check"),
        { "service": {
            "name": "shopdesk",
            "pool": "gearmind",
            "non_idempotent": [{ "method": "POST", "path": "/orders" }],
        } },
        access("cascade", "gear-check"),
        access("cascade", "shopdesk"),
        access("tengis", "laptop-check"),
    ] }));
    view.update_catalogue(|catalogue| catalogue.apply(1, &note));
    let instance = |(name, addr): (&String, SocketAddr)| {
        decode(json!({
            "name": name,
            "role": "agent",
            "addr": addr,
            "operator_addr": LOOPBACK,
            "pool": "gearmind",
            "region": "puget",
            "failure_domain": "puget-a",
            "state": "live",
        }))
    };
    view.set_instances(names.iter().zip(addrs).map(instance).collect());
}

/// Registers a server and grants it a slot for `gear-check@1`.
pub(crate) fn grant(view: &View, server: &str) {
    view.update_table(|table| {
        let register = json!({
            "id": Uuid::new_v4(),
            "kind": "register",
            "server": server,
            "incarnation": Uuid::new_v4(),
            "memory_mb": 80_000,
            "pool": "gearmind",
            "region": "puget",
            "failure_domain": "puget-a",
        });
        table.apply(table.applied() + 1, &decode::<Record>(register));
        let grant = json!({
            "id": Uuid::new_v4(),
            "kind": "grant",
            "model": "gear-check@1",
            "server": server,
            "replaces": table.head(&"gear-check@1".into()),
            "limit": 10,
        });
        table.apply(table.applied() + 1, &decode::<Record>(grant));
    });
}

fn model(name: &str) -> Value {
    json!({ "model": {
        "name": name,
        "version": 1,
        "pool": "gearmind",
        "memory_mb": 1_000,
        "checkpoint_mb": 1_000,
        "max_replicas": 2,
    } })
}

fn access(institution: &str, target: &str) -> Value {
    json!({ "access": {
        "institution": institution,
        "target": target,
        "max_in_flight": 10,
        "max_queue": 10,
        "requests_per_s": 100.0,
        "priority": 1,
    } })
}

fn digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode<T: DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).unwrap()
}

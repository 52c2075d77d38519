//! Schema of a settings file.

use crate::jsonc::{
    Field,
    Kind,
    text, //
};

/// Minimum number of hours for which the log must keep records. Non-idempotent calls rely on the
/// claims of the last 20 hours.
const MIN_RETENTION_H: u64 = 24;

const fn required(name: &'static str, kind: Kind) -> Field {
    Field::required(name, kind)
}

const NAME: Kind = Kind::Text(text::name);
const ADDRESS: Kind = Kind::Text(text::address);
const URL: Kind = Kind::Text(text::url);
const PATH: Kind = Kind::Text(text::non_empty);
const DIGEST: Kind = Kind::Text(text::digest);

const AT_LEAST_ONE: Kind = Kind::Count {
    minimum: 1,
    maximum: u64::MAX,
};

/// Schema of the whole file.
pub(super) const SETTINGS: Kind = Kind::Object(&[
    required("instance", Kind::Text(text::instance)),
    required("region", NAME),
    required("failure_domain", NAME),
    required("peer_addr", ADDRESS),
    required("operator_addr", ADDRESS),
    required("platform", PLATFORM),
    required("tls", TLS),
    Field::optional(
        "operators",
        Kind::Map {
            name: text::name,
            value: &DIGEST,
        },
    ),
    Field::optional("log_level", Kind::Text(text::log_level)),
    required(
        "role",
        Kind::Choice(&[required("entry", ENTRY), required("agent", AGENT)]),
    ),
]);

const PLATFORM: Kind = Kind::Object(&[
    required("log", URL),
    required(
        "log_retention_h",
        Kind::Count {
            minimum: MIN_RETENTION_H,
            maximum: u64::MAX,
        },
    ),
    required("list", URL),
    required("store", URL),
]);

const TLS: Kind = Kind::Object(&[
    required("authority", PATH),
    required("certificate", PATH),
    required("key", PATH),
]);

const ENTRY: Kind = Kind::Object(&[
    required("caller_addr", ADDRESS),
    required(
        "institutions",
        Kind::Map {
            name: text::name,
            value: &Kind::List(&DIGEST),
        },
    ),
]);

const AGENT: Kind = Kind::Object(&[
    required("pool", NAME),
    required(
        "backend",
        Kind::Choice(&[required("engine", ENGINE), required("service", SERVICE)]),
    ),
]);

const ENGINE: Kind = Kind::Object(&[
    required("url", URL),
    required("memory_mb", AT_LEAST_ONE),
    required(
        "adapter_memory_mb",
        Kind::Count {
            minimum: 0,
            maximum: u64::MAX,
        },
    ),
    required("checks_fence", Kind::Flag),
]);

const SERVICE: Kind = Kind::Object(&[required("url", URL)]);

//! What the settings file of a daemon on the users' platform may hold.

use crate::jsonc::{
    Field,
    Kind,
    text, //
};

const fn required(name: &'static str, kind: Kind) -> Field {
    Field::required(name, kind)
}

const NAME: Kind = Kind::Text(text::filled);
const ADDRESS: Kind = Kind::Text(text::address);

const PORT: Kind = Kind::Count {
    least: 1,
    most: 65_535,
};

const MILLIS: Kind = Kind::Number;

pub(super) const SETTINGS: Kind = Kind::Object(&[
    required("instance", NAME),
    required("failure_domain", NAME),
    required(
        "regions",
        Kind::Map {
            name: text::filled,
            value: &NAME,
        },
    ),
    required("peer_ip", NAME),
    required("peer_port", PORT),
    required("metrics_port", PORT),
    required("store_addr", ADDRESS),
    Field::optional(
        "listen",
        Kind::Object(&[required("callers", ADDRESS), required("ready", ADDRESS)]),
    ),
    Field::optional("engine_addr", ADDRESS),
    required("grace_ms", MILLIS),
    required(
        "retry",
        Kind::Object(&[
            required("ratio", Kind::Number),
            required("slack", Kind::Number),
            required("window_ms", MILLIS),
        ]),
    ),
    required("store_load_window_ms", MILLIS),
    required("server_drain_ms", MILLIS),
    required("settled_after_ms", MILLIS),
    Field::optional("log_level", Kind::Text(text::log_level)),
]);

//! Schema of the settings file of a daemon on the users' platform.

use crate::jsonc::{
    Field,
    Kind,
    text, //
};

const fn required(name: &'static str, kind: Kind) -> Field {
    Field::required(name, kind)
}

const NAME: Kind = Kind::Text(text::non_empty);
const ADDRESS: Kind = Kind::Text(text::address);

const PORT: Kind = Kind::Count {
    minimum: 1,
    maximum: 65_535,
};

const MILLISECONDS: Kind = Kind::Number;

pub(super) const SETTINGS: Kind = Kind::Object(&[
    required("instance", NAME),
    required("failure_domain", NAME),
    required(
        "regions",
        Kind::Map {
            name: text::non_empty,
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
    required("grace_ms", MILLISECONDS),
    required(
        "retry",
        Kind::Object(&[
            required("ratio", Kind::Number),
            required("slack", Kind::Number),
            required("window_ms", MILLISECONDS),
        ]),
    ),
    required("store_load_window_ms", MILLISECONDS),
    required("server_drain_ms", MILLISECONDS),
    required("settled_after_ms", MILLISECONDS),
    Field::optional(
        "revocation",
        Kind::Object(&[
            required("strict", Kind::Flag),
            required("after_ms", MILLISECONDS),
        ]),
    ),
    Field::optional(
        "excess",
        Kind::Object(&[
            required("ratio", Kind::Number),
            required("slack", Kind::Number),
            required("window_ms", MILLISECONDS),
        ]),
    ),
    Field::optional("first_start", Kind::Flag),
    Field::optional("log_level", Kind::Text(text::log_level)),
]);

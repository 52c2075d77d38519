//! Checks of text fields. Each says what the text must be.

use std::net::SocketAddr;

use rustls::pki_types::DnsName;
use ureq::http::Uri;
use uuid::Uuid;

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Hex digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Accepts any text.
pub(crate) fn any(_: &str) -> Result<(), String> {
    Ok(())
}

/// Accepts text that is not empty.
pub(crate) fn filled(text: &str) -> Result<(), String> {
    require(!text.is_empty(), "must not be empty")
}

/// Accepts names: letters, digits, `-`, `.` and `_`, so that a name fits into a URL, a model's
/// `name@version+adapter` and a file name.
pub(crate) fn name(text: &str) -> Result<(), String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    let usable = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(plain);
    require(
        usable && text.starts_with(|c: char| c.is_ascii_alphanumeric()),
        "must be 1 to 128 letters, digits, '-', '.' or '_', beginning with a letter or digit",
    )
}

/// Accepts names of instances, which their certificates hold as DNS names.
pub(crate) fn instance(text: &str) -> Result<(), String> {
    require(
        DnsName::try_from(text).is_ok(),
        "must be usable as a DNS name",
    )
}

/// Accepts an IP address with a port.
pub(crate) fn address(text: &str) -> Result<(), String> {
    let port = text.parse::<SocketAddr>().map(|address| address.port());
    require(
        port.is_ok_and(|port| port > 0),
        "must be an IP address with a port from 1 to 65535, such as 127.0.0.1:7000",
    )
}

/// Accepts URLs of the scheme http.
pub(crate) fn url(text: &str) -> Result<(), String> {
    let usable = text.parse::<Uri>().is_ok_and(|uri| {
        uri.scheme_str() == Some("http")
            && uri.host().is_some_and(|host| !host.is_empty())
            && uri.query().is_none()
    });
    require(usable, "must be a URL such as http://127.0.0.1:7000")
}

/// Accepts SHA-256 digests in hex.
pub(crate) fn digest(text: &str) -> Result<(), String> {
    let usable = text.len() == DIGEST_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit());
    require(
        usable,
        "must be a SHA-256 digest of 64 hex digits, as `chestnuthub token` shows it",
    )
}

/// Accepts UUIDs.
pub(crate) fn uuid(text: &str) -> Result<(), String> {
    require(Uuid::parse_str(text).is_ok(), "must be a UUID")
}

/// Accepts levels of the log.
pub(crate) fn log_level(text: &str) -> Result<(), String> {
    require(
        matches!(text, "error" | "warn" | "info" | "debug"),
        "must be error, warn, info or debug",
    )
}

fn require(holds: bool, message: &str) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(message.to_owned())
    }
}

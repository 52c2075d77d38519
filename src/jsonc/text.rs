//! Checks of text fields. The error of a check says what the text must be.

use std::net::SocketAddr;

use rustls::pki_types::DnsName;
use ureq::http::Uri;
use uuid::Uuid;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Number of hex digits in a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Accepts any text.
pub(crate) fn any(_: &str) -> Result<(), String> {
    Ok(())
}

/// Accepts text that is not empty.
pub(crate) fn non_empty(text: &str) -> Result<(), String> {
    require(!text.is_empty(), "must not be empty")
}

/// Accepts names of letters, digits, `-`, `.` and `_`, which are safe in a URL, in a file name and
/// in a model reference `name@version+adapter`.
pub(crate) fn name(text: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed);
    require(
        is_valid && text.starts_with(|c: char| c.is_ascii_alphanumeric()),
        "must be 1 to 128 letters, digits, '-', '.' or '_', beginning with a letter or digit",
    )
}

/// Accepts instance names. They must be DNS names, since certificates hold them as such.
pub(crate) fn instance(text: &str) -> Result<(), String> {
    require(
        DnsName::try_from(text).is_ok(),
        "must be usable as a DNS name",
    )
}

/// Accepts an IP address with a port other than 0.
pub(crate) fn address(text: &str) -> Result<(), String> {
    let port = text.parse::<SocketAddr>().map(|address| address.port());
    require(
        port.is_ok_and(|port| port > 0),
        "must be an IP address with a port from 1 to 65535, such as 127.0.0.1:7000",
    )
}

/// Accepts `http` URLs with a host and without a query.
pub(crate) fn url(text: &str) -> Result<(), String> {
    let is_valid = text.parse::<Uri>().is_ok_and(|uri| {
        uri.scheme_str() == Some("http")
            && uri.host().is_some_and(|host| !host.is_empty())
            && uri.query().is_none()
    });
    require(
        is_valid,
        "must be an http URL with a host and without a query, such as http://127.0.0.1:7000",
    )
}

/// Accepts SHA-256 digests in hex.
pub(crate) fn digest(text: &str) -> Result<(), String> {
    let is_valid = text.len() == DIGEST_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit());
    require(
        is_valid,
        "must be a SHA-256 digest of 64 hex digits, as `chestnuthub token` shows it",
    )
}

/// Accepts UUIDs.
pub(crate) fn uuid(text: &str) -> Result<(), String> {
    require(Uuid::parse_str(text).is_ok(), "must be a UUID")
}

/// Accepts log levels.
pub(crate) fn log_level(text: &str) -> Result<(), String> {
    require(
        matches!(text, "error" | "warn" | "info" | "debug"),
        "must be error, warn, info or debug",
    )
}

fn require(condition: bool, message: &str) -> Result<(), String> {
    if condition {
        Ok(())
    } else {
        Err(message.to_owned())
    }
}

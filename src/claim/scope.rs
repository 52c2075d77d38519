//! Determines which calls of a plain service are not idempotent.

use crate::catalogue;

/// Maximum number of times that a path is percent-decoded. A path that still contains escapes
/// afterwards counts as covered.
const MAX_DECODINGS: u32 = 4;

/// Returns whether a listed method and path prefix covers a call.
///
/// Every spelling that a service could treat as the listed path is covered too: percent-encoded,
/// in other case, with backslashes, or with empty or dot segments.
///
/// # Examples
///
/// ```
/// use chestnuthub::{catalogue::Call, claim::scope};
///
/// let listed = Call { method: "POST".to_owned(), path: "/bookings".to_owned() };
/// assert!(scope::covers(&listed, "POST", "/bookings/7?notify=1"));
/// assert!(scope::covers(&listed, "POST", "//x/../%62ookings"));
/// assert!(!scope::covers(&listed, "GET", "/bookings"));
/// ```
pub fn covers(listed: &catalogue::Call, method: &str, path: &str) -> bool {
    if !listed.method.eq_ignore_ascii_case(method) {
        return false;
    }
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let prefix = join(&segments(listed.path.as_bytes()));
    let mut bytes = path.as_bytes().to_vec();
    for _ in 0..MAX_DECODINGS {
        let segments = segments(&bytes);
        if join(&segments).starts_with(&prefix) || join(&resolve(&segments)).starts_with(&prefix) {
            return true;
        }
        let Some(decoded) = decode_escapes(&bytes) else {
            return false;
        };
        bytes = decoded;
    }
    true
}

/// Returns the segments of a path in lower case, without empty and single-dot segments.
fn segments(path: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(path).to_ascii_lowercase();
    let segments = text.split(['/', '\\']).filter(|s| !matches!(*s, "" | "."));
    segments.map(str::to_owned).collect()
}

/// Removes each double-dot segment together with the segment before it.
fn resolve(segments: &[String]) -> Vec<String> {
    let mut resolved = Vec::new();
    for segment in segments {
        if segment == ".." {
            resolved.pop();
        } else {
            resolved.push(segment.clone());
        }
    }
    resolved
}

fn join(segments: &[String]) -> String {
    format!("/{}", segments.join("/"))
}

/// Decodes percent escapes once; returns `None` if there are none.
fn decode_escapes(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let [byte, tail @ ..] = rest {
        let escape = tail.get(..2).filter(|_| *byte == b'%');
        let value = escape
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .filter(|digits| digits.bytes().all(|digit| digit.is_ascii_hexdigit()))
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(value.unwrap_or(*byte));
        rest = if value.is_some() { &tail[2..] } else { tail };
    }
    (decoded.len() < bytes.len()).then_some(decoded)
}

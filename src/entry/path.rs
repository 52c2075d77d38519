//! Parses the request paths of plain services.

use super::problem::Problem;

/// Prefix of the request paths of plain services.
const ROOT: &str = "/services/";

/// Splits `/services/{service}/{path}` into the service and the path within it, with the query.
///
/// Only canonical paths are accepted. A path with empty or dot segments, backslashes, or escapes of
/// characters that need none could bypass the path prefixes that the catalogue declares.
///
/// # Errors
///
/// A problem with status 404 if no service is named, 400 if the path is not canonical.
///
/// # Examples
///
/// ```
/// use chestnuthub::entry::path::split_service;
///
/// assert_eq!(split_service("/services/shopdesk/orders?x=1"), Ok(("shopdesk", "/orders?x=1")));
/// assert!(split_service("/services/shopdesk/./orders").is_err());
/// ```
pub fn split_service(path: &str) -> Result<(&str, &str), Problem> {
    let missing = || Problem::not_run(404, "not_found", "no service is named");
    let rest = path.strip_prefix(ROOT).ok_or_else(missing)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, subpath) = rest.split_at(end);
    if name.is_empty() {
        return Err(missing());
    }
    let subpath = match subpath {
        "" => "/",
        subpath if subpath.starts_with('/') => subpath,
        _ => return Err(missing()),
    };
    let without_query = subpath.split('?').next().unwrap_or(subpath);
    if is_canonical(without_query) {
        Ok((name, subpath))
    } else {
        let detail = "the path has empty or dot segments or needless escapes";
        Err(Problem::not_run(400, "bad_path", detail))
    }
}

fn is_canonical(path: &str) -> bool {
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let last = segments.len().saturating_sub(1);
    let has_empty_segment = segments[..last].iter().any(|segment| segment.is_empty());
    let has_dot_segment = segments
        .iter()
        .any(|segment| matches!(*segment, "." | ".."));
    !has_empty_segment
        && !has_dot_segment
        && !path.contains('\\')
        && has_only_required_escapes(path)
}

/// Returns whether every escape stands for a character that must be escaped in a path.
fn has_only_required_escapes(path: &str) -> bool {
    path.split('%').skip(1).all(|after| {
        let escaped = after
            .get(..2)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        escaped.is_some_and(|byte| !byte.is_ascii_alphanumeric() && !b"-._~/\\".contains(&byte))
    })
}

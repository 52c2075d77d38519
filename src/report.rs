//! Logs: one line of key=value pairs for each event.

use std::{
    fmt::{
        self,
        Display,
        Write, //
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

use log::{
    Level,
    LevelFilter,
    SetLoggerError, //
};

/// A value that is quoted where it holds a space, a quote or an equals sign.
struct Value<'a>(&'a dyn Display);

impl Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !text.is_empty() && text.chars().all(plain) {
            f.write_str(&text)
        } else {
            write!(f, "{text:?}")
        }
    }
}

/// Formats an event as a line of key=value pairs.
///
/// # Examples
///
/// ```
/// use chestnuthub::report;
///
/// let line = report::line("route", &[("request", &"r1"), ("reason", &"first slot")]);
/// assert_eq!(line, "event=route request=r1 reason=\"first slot\"");
/// ```
pub fn line(event: &str, pairs: &[(&str, &dyn Display)]) -> String {
    let mut line = format!("event={event}");
    for (key, value) in pairs {
        // Writing to a string can't fail.
        let _ = write!(line, " {key}={}", Value(*value));
    }
    line
}

/// Logs an event.
pub(crate) fn event(level: Level, event: &str, pairs: &[(&str, &dyn Display)]) {
    if level <= log::max_level() {
        log::log!(level, "{}", line(event, pairs));
    }
}

/// Logs an event at level info.
pub(crate) fn info(name: &str, pairs: &[(&str, &dyn Display)]) {
    event(Level::Info, name, pairs);
}

/// Logs an event at level warn.
pub(crate) fn warn(name: &str, pairs: &[(&str, &dyn Display)]) {
    event(Level::Warn, name, pairs);
}

/// Sets up logging to standard error for this process.
///
/// # Errors
///
/// Fails if logging has been set up before.
pub(crate) fn start(level: &str, instance: &str) -> Result<(), SetLoggerError> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("chestnuthub", level)
        .format(move |out, message, record| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            out.finish(format_args!(
                "ts_ms={} level={} instance={instance} {message}",
                now.unwrap_or_default().as_millis(),
                record.level().as_str().to_lowercase(),
            ));
        })
        .chain(std::io::stderr())
        .apply()
}

//! Structured logging: one line of key=value pairs for each event.

use std::{
    fmt::{
        self,
        Display,
        Write as _, //
    },
    io::{
        self,
        Write as _, //
    },
    sync::{
        Mutex,
        PoisonError, //
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

/// Displays a value, in quotes if it is empty or contains white space, control characters, quotes
/// or equals signs.
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
        .chain(io::stderr())
        .apply()
}

/// Maximum number of lines per second in a rate-limited log; further lines are counted and dropped.
const MAX_LINES_PER_S: u32 = 200;

/// Limits the number of lines per second.
#[derive(Debug, Default)]
struct Limiter {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl Limiter {
    /// Returns `None` if the line must be dropped. Otherwise returns the number of lines that were
    /// dropped since the previous report if the line is the first of a second, and 0 if it isn't.
    fn admit(&mut self, second: u64) -> Option<u64> {
        let mut dropped = 0;
        if second != self.second {
            self.second = second;
            self.lines = 0;
            dropped = std::mem::take(&mut self.dropped);
        }
        self.lines += 1;
        if self.lines > MAX_LINES_PER_S {
            self.dropped += 1;
            return None;
        }
        Some(dropped)
    }
}

/// Sets up logging to standard output with a limit on the number of lines per second.
///
/// # Errors
///
/// Fails if logging has been set up before.
pub(crate) fn start_rate_limited(level: &str, instance: &str) -> Result<(), SetLoggerError> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let instance = instance.to_owned();
    let limiter = Mutex::new(Limiter::default());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("chestnuthub", level)
        .chain(fern::Output::call(move |record| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let now = now.unwrap_or_default();
            let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(dropped) = limiter.admit(now.as_secs()) else {
                return;
            };
            let mut text = format!(
                "ts_ms={} level={} instance={instance} {}\n",
                now.as_millis(),
                record.level().as_str().to_lowercase(),
                record.args(),
            );
            if dropped > 0 {
                text.push_str(&format!(
                    "ts_ms={} level=warn instance={instance} event=lines_dropped lines={dropped}\n",
                    now.as_millis()
                ));
            }
            // There is nowhere to report that the log can't be written.
            let _ = io::stdout().lock().write_all(text.as_bytes());
        }))
        .apply()
}

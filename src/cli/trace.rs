//! `chestnuthub trace`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fs,
    path::PathBuf, //
};

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use serde_json::{
    Value,
    json, //
};

use super::exit::{
    Error,
    Report, //
};

/// Time before the first log line of a request from which lines about its servers and models are
/// shown, in ms.
const CONTEXT_BEFORE_MS: u64 = 5_000;

/// Time after the last log line of a request until which lines about its servers and models are
/// shown, in ms.
const CONTEXT_AFTER_MS: u64 = 1_000;

/// Events of loaders that report a change of a server or a model.
const LOADER_EVENTS: [&str; 2] = ["engine_silent", "order"];

/// Events of gateways that report a change of a server. Only those of the gateways that logged the
/// request are shown.
const GATEWAY_EVENTS: [&str; 4] = ["loader_lost", "server_gone", "server_new", "server_state"];

/// Shows the course of a request, from the log lines of daemons.
#[derive(Debug, Clone)]
pub(super) struct Command {
    pub(super) json: bool,
    request: String,
    logs: Vec<PathBuf>,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = super::json();
    let logs = long("log")
        .help("File with log lines of one daemon or of several; may be given more than once")
        .argument("FILE")
        .some("give at least one --log FILE");
    let request = positional("REQUEST").help("Id of the request");
    construct!(Command {
        json,
        logs,
        request
    })
}

/// A log line.
#[derive(Debug, Clone)]
struct Line {
    ts_ms: u64,
    instance: String,
    event: String,
    /// The text after the event: the other pairs, unchanged.
    rest: String,
    pairs: BTreeMap<String, String>,
}

impl Line {
    /// Parses a log line and ignores everything before `ts_ms=`. Returns `None` if the line lacks
    /// the time, the instance or the event.
    fn parse(text: &str) -> Option<Self> {
        let text = &text[text.find("ts_ms=")?..];
        let mut pairs: BTreeMap<String, String> = pairs(text).into_iter().collect();
        let ts_ms = pairs.remove("ts_ms")?.parse().ok()?;
        let (instance, event) = (pairs.remove("instance")?, pairs.remove("event")?);
        let rest = text.split_once(&format!("event={event}"))?.1;
        Some(Self {
            ts_ms,
            instance,
            event,
            rest: rest.trim().to_owned(),
            pairs,
        })
    }

    fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(String::as_str)
    }

    /// Returns whether the line reports a change of one of the request's servers or models, near
    /// the time of the request.
    fn is_context(&self, scope: &Scope<'_>) -> bool {
        let has_name_in =
            |names: &BTreeSet<&str>, key| self.get(key).is_some_and(|n| names.contains(n));
        let is_near = self.ts_ms + CONTEXT_BEFORE_MS >= scope.first_ms
            && self.ts_ms <= scope.last_ms + CONTEXT_AFTER_MS;
        let event = self.event.as_str();
        let is_own_gateway = scope.instances.contains(self.instance.as_str());
        let is_context_event =
            LOADER_EVENTS.contains(&event) || (is_own_gateway && GATEWAY_EVENTS.contains(&event));
        let is_named = has_name_in(&scope.servers, "server") || has_name_in(&scope.models, "model");
        is_near && is_named && is_context_event
    }
}

/// Splits a log line into pairs of key and value.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let end = match after.strip_prefix('"') {
            Some(quoted) => quoted.find('"').map_or(after.len(), |end| end + 2),
            None => after.find(' ').unwrap_or(after.len()),
        };
        let value = after[..end].trim_matches('"');
        pairs.push((key.trim().to_owned(), value.to_owned()));
        rest = &after[end..];
    }
    pairs
}

/// Time span, instances, servers and models found in the log lines of a request.
struct Scope<'a> {
    first_ms: u64,
    last_ms: u64,
    instances: BTreeSet<&'a str>,
    servers: BTreeSet<&'a str>,
    models: BTreeSet<&'a str>,
}

impl<'a> Scope<'a> {
    fn new(lines: &[&'a Line]) -> Option<Self> {
        let values = |key| lines.iter().filter_map(|line| line.get(key)).collect();
        Some(Self {
            first_ms: lines.iter().map(|line| line.ts_ms).min()?,
            last_ms: lines.iter().map(|line| line.ts_ms).max()?,
            instances: lines.iter().map(|line| line.instance.as_str()).collect(),
            servers: values("server"),
            models: values("model"),
        })
    }
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let lines = self.read()?;
        let is_of_request = |line: &&Line| line.get("request") == Some(&self.request);
        let own: Vec<_> = lines.iter().filter(is_of_request).collect();
        let scope = Scope::new(&own)
            .ok_or_else(|| Error::failed(format!("no line names request {}", self.request)))?;
        let mut shown: Vec<_> = lines
            .iter()
            .filter(|line| is_of_request(line) || line.is_context(&scope))
            .collect();
        // The sort is stable, so that lines of one instance with the same time keep their order.
        shown.sort_by_key(|line| line.ts_ms);
        let text = shown.iter().map(|line| {
            let elapsed_ms = line.ts_ms as i64 - scope.first_ms as i64;
            let mark = if is_of_request(line) { ' ' } else { '|' };
            let Line {
                instance,
                event,
                rest,
                ..
            } = line;
            format!("{elapsed_ms:>8} ms {mark} {instance} {event} {rest}\n")
        });
        Ok(Report::done(text.collect(), json(&shown)))
    }

    fn read(&self) -> Result<Vec<Line>, Error> {
        let mut lines = Vec::new();
        for path in &self.logs {
            let text = fs::read(path)
                .map_err(|error| Error::failed(format!("{}: {error}", path.display())))?;
            let text = String::from_utf8_lossy(&text);
            lines.extend(text.lines().filter_map(Line::parse));
        }
        Ok(lines)
    }
}

fn json(lines: &[&Line]) -> Value {
    let lines = lines.iter().map(|line| {
        json!({
            "ts_ms": line.ts_ms, "instance": line.instance, "event": line.event,
            "pairs": line.pairs,
        })
    });
    lines.collect()
}

//! The command `keys`: measures what the keys of client accounts cost a gateway, in time for each
//! request and in memory, beside a configuration without accounts.

use std::{
    hint::black_box,
    mem,
    time::{
        Duration,
        Instant, //
    },
};

use bpaf::Parser;
use fastrand::Rng;
use hyper::{
    HeaderMap,
    header::{
        AUTHORIZATION,
        HeaderValue, //
    },
};
use serde::Serialize;
use serde_json::json;

use super::{
    Error,
    report::{
        Output,
        Plot,
        Report,
        Row,
        bounded,
        seed, //
    },
    usage::Usage,
};
use crate::{
    deployment::Configuration,
    gateway::{
        Currency,
        account, //
    },
    platform::{
        configuration,
        header, //
    },
};

/// Numbers of accounts with which the cost is measured.
const ACCOUNTS: [u32; 2] = [16, 10_000];

/// Length of a key in characters.
const KEY_CHARS: usize = 32;

/// Number of copies of a configuration over which its memory is averaged.
const COPIES: usize = 20;

/// Number of requests between two readings of the clock.
const BATCH: usize = 256;

/// Host and path of the requests.
const HOST: &str = "a.example";
const PATH: &str = "/x/1";

/// Settings of a run.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Settings {
    /// Seed of the keys.
    #[serde(skip)]
    pub(super) seed: u64,
    /// Number of keys of each account.
    pub(super) keys: u32,
    /// Time over which each figure is averaged, in milliseconds.
    pub(super) time_ms: u32,
}

/// Returns the parser of the settings.
pub(super) fn settings() -> impl Parser<Settings> {
    let seed = seed();
    let keys = bounded("keys", "Keys of each account", 2, 100);
    let time_ms = bounded("time-ms", "Time of each measurement", 500, 60_000);
    bpaf::construct!(Settings {
        seed,
        keys,
        time_ms
    })
}

/// Runs the measurement and reports it.
pub(super) fn run(settings: &Settings, output: &Output) -> Result<(), Error> {
    let mut rng = Rng::with_seed(settings.seed);
    let mut report = Report::new("keys", settings.seed, json!(settings));
    let time = Duration::from_millis(settings.time_ms.into());
    let plain = text(None);
    let plain_memory = memory_of(&plain)?;
    let decoded = decode(&plain)?;
    let requests = requests(&keys(1, settings.keys, &mut rng), &mut rng)?;
    let heads = nanoseconds(time, &requests, |headers| {
        black_box(header::decode_request(headers)).is_ok()
    });
    let without = nanoseconds(time, &requests, |headers| is_let_in(&decoded, headers));
    let mut row = |name: String, value: f64, unit| report.rows.push(Row::new(name, value, unit));
    row("decoding of a request's head".to_owned(), heads, "ns");
    row("check without accounts".to_owned(), without, "ns");
    let mut curves = [Vec::new(), Vec::new()];
    for count in ACCOUNTS {
        let keys = keys(count, settings.keys, &mut rng);
        let text = text(Some(&keys));
        let memory = memory_of(&text)? - plain_memory;
        let decoded = decode(&text)?;
        let known = self::requests(&keys, &mut rng)?;
        let unknown = self::requests(&self::keys(1, settings.keys, &mut rng), &mut rng)?;
        for (curve, (name, requests)) in curves
            .iter_mut()
            .zip([("known key", &known), ("unknown key", &unknown)])
        {
            let check = nanoseconds(time, requests, |headers| is_let_in(&decoded, headers));
            curve.push((f64::from(count), check));
            row(format!("check with {count} accounts, {name}"), check, "ns");
        }
        row(format!("memory of {count} accounts"), memory, "B");
        let bytes = (text.len() - plain.len()) as f64;
        row(
            format!("bytes of {count} accounts in the configuration"),
            bytes,
            "B",
        );
    }
    let [known, unknown] = curves;
    report.plots.push(Plot {
        title: "Time of the check of a key by the number of accounts".to_owned(),
        axes: ("accounts", "ns"),
        curves: vec![("known key", known), ("unknown key", unknown)],
    });
    report.publish(output)
}

/// Returns the keys of each account.
fn keys(accounts: u32, keys: u32, rng: &mut Rng) -> Vec<Vec<String>> {
    let mut key = || -> String { (0..KEY_CHARS).map(|_| rng.alphanumeric()).collect() };
    (0..accounts)
        .map(|_| (0..keys).map(|_| key()).collect())
        .collect()
}

/// Returns a configuration with one route and accounts with these keys.
fn text(keys: Option<&[Vec<String>]>) -> String {
    let mut configuration = json!({
        "version": 1,
        "routes": [{
            "name": "r", "host": HOST, "pathPrefix": "/x/", "kind": "safe", "timeoutMs": 1000,
            "service": "s",
        }],
    });
    if let Some(keys) = keys {
        let accounts = keys.iter().enumerate().map(|(index, keys)| {
            json!({
                "name": format!("account-{index}"), "apiKeys": keys, "priority": 1,
                "unit": "tokens", "plainTokens": 200, "ratePerS": 50_000, "burst": 50_000,
            })
        });
        configuration["tenants"] = accounts.collect();
    }
    configuration.to_string()
}

fn decode(text: &str) -> Result<Configuration, Error> {
    let decoded = configuration::decode(text.as_bytes());
    decoded.map_err(|error| Error::Call(error.to_string()))
}

/// Returns the heads of requests with keys that are drawn from these.
fn requests(keys: &[Vec<String>], rng: &mut Rng) -> Result<Vec<HeaderMap>, Error> {
    let mut requests = Vec::new();
    for number in 0..BATCH {
        let keys = &keys[rng.usize(..keys.len())];
        let key = &keys[rng.usize(..keys.len())];
        let mut headers = HeaderMap::new();
        let value = HeaderValue::try_from(format!("Bearer {key}"));
        headers.insert(
            AUTHORIZATION,
            value.map_err(|error| Error::Call(error.to_string()))?,
        );
        headers.insert("request-id", HeaderValue::from(number));
        headers.insert("host", HeaderValue::from_static(HOST));
        headers.insert("token-count", HeaderValue::from_static("9190,50"));
        requests.push(headers);
    }
    Ok(requests)
}

fn is_let_in(configuration: &Configuration, headers: &HeaderMap) -> bool {
    let route = configuration.route(HOST, PATH);
    route.is_some_and(|route| account(configuration, route, headers, Currency::Current).is_ok())
}

/// Returns the mean time for one of these requests in nanoseconds.
fn nanoseconds(
    time: Duration,
    requests: &[HeaderMap],
    mut handle: impl FnMut(&HeaderMap) -> bool,
) -> f64 {
    let started = Instant::now();
    let mut handled = 0_u32;
    while started.elapsed() < time {
        for headers in requests {
            black_box(handle(headers));
            handled += 1;
        }
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(handled)
}

/// Returns the resident memory in bytes that a decoded configuration takes.
fn memory_of(text: &str) -> Result<f64, Error> {
    let pid = std::process::id();
    let before = Usage::of(pid)?.resident_kib;
    let copies: Vec<_> = (0..COPIES).map(|_| decode(text)).collect();
    let after = Usage::of(pid)?.resident_kib;
    // The copies are leaked, since a later measurement could reuse freed memory and would then count
    // too little.
    mem::forget(black_box(copies));
    Ok(after.saturating_sub(before) as f64 * 1_024.0 / COPIES as f64)
}

//! Decoding and encoding of headers on the users' platform.

use std::time::Duration;

use chestnuthub::{
    dispatch::{
        Part,
        RequestRate, //
    },
    gateway::{
        Caller,
        Malformed,
        ModelName,
        Outgoing,
        RequestLimit,
        Rest, //
    },
    platform::header, //
};
use hyper::{
    HeaderMap,
    header::{
        HeaderName,
        HeaderValue, //
    },
};

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().expect("a header name");
        headers.append(name, HeaderValue::from_str(value).expect("a header value"));
    }
    headers
}

const OUTGOING: Outgoing<'_> = Outgoing {
    server: "i-1",
    timeout: Duration::from_micros(1_234_900),
    priority: Some(1),
    caller: Caller::Unchecked,
    last_event: None,
};

/// Guards against requests that are routed or limited by wrong values because a header of the
/// client is decoded wrongly.
#[test]
fn request_headers_are_decoded() {
    let head = header::decode_request(&headers(&[
        ("Request-Id", "r1"),
        ("Model", "base/a3"),
        ("Token-Count", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"),
        ("Deadline-Ms", "6000"),
    ]))
    .expect("a valid request");
    assert_eq!(head.id, "r1");
    let model = ModelName {
        model: "base".to_owned(),
        adapter: Some("a3".to_owned()),
    };
    assert_eq!(head.model, Some(model));
    assert_eq!(head.prompt_tokens, 1_460);
    let last = Part {
        id: 0xe440_2b7d,
        tokens: 250,
    };
    assert_eq!(head.prompt.last(), Some(&last));
    assert_eq!(head.timeout, Some(Duration::from_secs(6)));
}

/// Guards against two readers of one request that see different values, because a header is
/// repeated or the body has two lengths.
#[test]
fn ambiguous_headers_are_refused() {
    for name in [
        "Request-Id",
        "Model",
        "Host",
        "Content-Length",
        "Prompt-Prefix",
    ] {
        let twice = headers(&[("Request-Id", "r1"), (name, "1"), (name, "2")]);
        let repeated = header::decode_request(&twice);
        assert_eq!(
            repeated,
            Err(Malformed::Repeated(name.to_ascii_lowercase())),
            "{name}"
        );
    }
    let lengths = headers(&[
        ("Request-Id", "r1"),
        ("Content-Length", "5"),
        ("Transfer-Encoding", "chunked"),
    ]);
    assert_eq!(header::decode_request(&lengths), Err(Malformed::TwoLengths));
    assert_eq!(header::decode_request(&headers(&[])), Err(Malformed::NoId));
}

/// Guards against a client that sets headers that only the system may set, and against hop-by-hop
/// headers that are forwarded to the server.
#[test]
fn reserved_and_hop_by_hop_headers_are_removed() {
    let client = headers(&[
        ("Request-Id", "r1"),
        ("Target-Instance", "other"),
        ("Request-Priority", "0"),
        ("Hold", "h"),
        ("Pin-Ms", "4000"),
        ("Kv-From", "10.0.0.1:1/h"),
        ("Kv-Fetch", "10.0.0.1:1"),
        ("Kv-Backup", "10.0.0.1:1"),
        ("Expect-Version", "1"),
        ("Connection", "x-own, close"),
        ("X-Own", "1"),
        ("X-Other", "2"),
        ("Keep-Alive", "timeout=5"),
    ]);
    let sent = header::encode_request(&client, &OUTGOING);
    assert_eq!(sent["target-instance"], "i-1");
    assert_eq!(sent["request-priority"], "1");
    assert_eq!(sent["x-other"], "2");
    for name in [
        "hold",
        "pin-ms",
        "kv-from",
        "kv-fetch",
        "kv-backup",
        "expect-version",
        "connection",
        "x-own",
        "keep-alive",
    ] {
        assert!(!sent.contains_key(name), "{name}");
    }
}

/// Guards against a client that removes the headers that identify its request by listing them in
/// `Connection`, as if they were hop-by-hop headers.
#[test]
fn a_client_cannot_drop_what_identifies_its_request() {
    let client = headers(&[
        ("Request-Id", "r1"),
        ("Model", "m"),
        ("Connection", "Model, Request-Id"),
    ]);
    let sent = header::encode_request(&client, &OUTGOING);
    assert_eq!(sent["model"], "m");
    assert_eq!(sent["request-id"], "r1");
}

/// Guards against servers that work longer than the client waits, because the remaining time is not
/// passed on or is rounded up.
#[test]
fn the_remaining_time_is_passed_on() {
    let client = headers(&[("Request-Id", "r1"), ("Deadline-Ms", "6000")]);
    let sent = header::encode_request(&client, &OUTGOING);
    assert_eq!(sent["deadline-ms"], "1234");
}

/// Guards against requests that run twice because a failure is taken for the server's guarantee
/// that the request has not run, and against requests that are not retried because this guarantee
/// is missed.
#[test]
fn response_headers_are_decoded() {
    let refused = headers(&[("Not-Executed", "1"), ("Server-Load", "3,1,8")]);
    let head = header::decode_response(503, &refused);
    assert!(head.has_not_run && !head.is_signed);
    assert_eq!(
        head.load.map(|load| (load.running, load.waiting)),
        Some((3, 1))
    );
    assert!(header::decode_response(421, &headers(&[])).has_not_run);
    let failed = headers(&[("Response-Signature", "s"), ("Request-Id", "r1")]);
    let head = header::decode_response(503, &failed);
    assert!(head.is_signed && !head.has_not_run);
    assert!(!header::decode_response(502, &headers(&[])).has_not_run);
    let closing = headers(&[("Connection", "Close"), ("Keep-Alive", "timeout=7, max=2")]);
    let head = header::decode_response(200, &closing);
    assert!(head.closes);
    assert_eq!(head.keep_alive, Some(Duration::from_secs(7)));
}

/// Guards against announcements of a server that are missed, or read where it makes none.
#[test]
fn leaving_and_rest_are_read_from_responses() {
    let decode = |status, pairs: &[(&str, &str)]| header::decode_response(status, &headers(pairs));
    assert!(decode(200, &[("server-leaving", "1")]).is_leaving);
    assert!(!decode(200, &[("server-leaving", "0")]).is_leaving);
    assert!(!decode(200, &[]).is_leaving);
    let rest = |status, text| decode(status, &[("retry-after", text)]).rest;
    assert_eq!(
        rest(503, "1.5"),
        Some(Rest::For(Duration::from_millis(1_500)))
    );
    assert_eq!(rest(503, " 2 "), Some(Rest::For(Duration::from_secs(2))));
    assert_eq!(rest(200, "1.5"), None);
    for text in ["soon", "-1", "", "1e300", "NaN"] {
        assert_eq!(
            rest(503, text),
            Some(Rest::Unreadable(text.to_owned())),
            "{text}"
        );
    }
}

/// Guards against a limit that a server names and that is not read, or read as another one, and
/// against an unreadable one that is taken for a limit of zero.
#[test]
fn limits_are_read_from_responses() {
    let limit =
        |pairs: &[(&str, &str)]| header::decode_response(200, &headers(pairs)).request_limit;
    for (text, per_s) in [("1", 1.0), ("0.25", 0.25), (" 12.5 ", 12.5), ("0", 0.0)] {
        let rate = RequestRate::from_per_s(per_s).expect("a rate");
        let expected = Some(RequestLimit::Rate(rate));
        assert_eq!(limit(&[("server-limit", text)]), expected, "{text}");
    }
    assert_eq!(limit(&[]), None);
    for text in ["many", "-1", "", "1e300", "NaN"] {
        let expected = Some(RequestLimit::Unreadable(text.to_owned()));
        assert_eq!(limit(&[("server-limit", text)]), expected, "{text}");
    }
}

/// Guards against a stream that is taken for another one because two headers name what it resumes.
#[test]
fn the_stream_that_a_request_resumes_is_read() {
    let request = [
        ("request-id", "r2"),
        ("resumes", "r1"),
        ("last-event-id", "4"),
    ];
    let head = header::decode_request(&headers(&request)).expect("a request");
    assert_eq!(head.resumes.as_deref(), Some("r1"));
    let repeated = [("request-id", "r2"), ("resumes", "r1"), ("resumes", "r3")];
    assert!(header::decode_request(&headers(&repeated)).is_err());
}

/// Guards against a body with a content coding, which no client asks for, that is taken for the
/// server's own.
#[test]
fn content_codings_are_read_from_responses() {
    let is_encoded = |text| {
        let headers = headers(&[("content-encoding", text)]);
        header::decode_response(200, &headers).is_encoded
    };
    assert!(is_encoded("gzip"));
    assert!(is_encoded("identity, gzip"));
    assert!(!is_encoded(" Identity "));
    assert!(!header::decode_response(200, &headers(&[])).is_encoded);
}

/// Guards against tokens that are not counted, or counted as a request that states none.
#[test]
fn the_tokens_of_a_request_are_both_numbers_together() {
    let tokens = |text| {
        let headers = headers(&[("request-id", "r1"), ("token-count", text)]);
        let head = header::decode_request(&headers).expect("a request");
        head.tokens
    };
    assert_eq!(tokens("1460,80"), Some(1_540));
    assert_eq!(tokens(" 1460 , 80 "), Some(1_540));
    assert_eq!(tokens("1460"), Some(1_460));
    assert_eq!(tokens("1460,x"), Some(1_460));
    assert_eq!(tokens("18446744073709551615,1"), Some(u64::MAX));
    assert_eq!(tokens("x,80"), None);
}

/// Guards against a server that sees a client's key, or takes a client for the account that the
/// client names, in whatever case, number or hop-by-hop list the header comes.
#[test]
fn keys_and_names_of_accounts_are_the_systems_to_pass_on() {
    let client = headers(&[
        ("request-id", "r1"),
        ("AUTHORIZATION", "Bearer k1"),
        ("authorization", "Basic azE="),
        ("Tenant", "other"),
        ("tenant", "another"),
        ("TENANT", ""),
        ("Connection", "Tenant, Authorization"),
        ("Trailer", "Tenant"),
    ]);
    let sent = |caller| header::encode_request(&client, &Outgoing { caller, ..OUTGOING });
    let named = sent(Caller::Account("cascade"));
    assert!(!named.contains_key("authorization"));
    let names: Vec<_> = named.get_all("tenant").iter().collect();
    assert_eq!(names, ["cascade"]);
    let anonymous = sent(Caller::Anonymous);
    assert!(!anonymous.contains_key("authorization"));
    assert!(!anonymous.contains_key("tenant"));
}

/// Guards against requests that reach their servers otherwise than before where the configuration
/// names no accounts.
#[test]
fn without_accounts_the_clients_headers_are_passed_on() {
    let client = headers(&[
        ("request-id", "r1"),
        ("authorization", "Bearer k1"),
        ("authorization", "Bearer k2"),
        ("tenant", "own"),
    ]);
    let sent = header::encode_request(&client, &OUTGOING);
    let keys: Vec<_> = sent.get_all("authorization").iter().collect();
    assert_eq!(keys, ["Bearer k1", "Bearer k2"]);
    assert_eq!(sent["tenant"], "own");
}

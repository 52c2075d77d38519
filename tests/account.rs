//! Client accounts: their configuration, and the accounts of requests.

use chestnuthub::{
    deployment::{
        Allowance,
        Configuration,
        Unit, //
    },
    gateway::{
        Currency,
        Denial,
        account, //
    },
    platform::configuration, //
};
use hyper::{
    HeaderMap,
    header::{
        AUTHORIZATION,
        HeaderValue, //
    },
};

/// Returns a configuration with a public and a keyed route and these accounts.
fn decode(accounts: &str) -> Configuration {
    let route = |name: &str, is_public: &str| {
        format!(
            r#"{{"name":"{name}","host":"h.example","pathPrefix":"/{name}/","kind":"safe",
                "timeoutMs":1000,"service":"s"{is_public}}}"#
        )
    };
    let routes = [
        route("open", r#","public":true"#),
        route("keyed", r#","public":false"#),
        route("plain", ""),
    ];
    let routes = routes.join(",");
    let text = format!(r#"{{"version":7,"routes":[{routes}]{accounts}}}"#);
    configuration::decode(text.as_bytes()).expect("a configuration")
}

/// Returns the name of the account of a request with these credentials, "none" if it needs none, or
/// why it is not let in.
fn found(configuration: &Configuration, path: &str, credentials: &[&[u8]]) -> String {
    found_with(configuration, path, credentials, Currency::Current)
}

fn found_with(
    configuration: &Configuration,
    path: &str,
    credentials: &[&[u8]],
    currency: Currency,
) -> String {
    let mut headers = HeaderMap::new();
    for value in credentials {
        let value = HeaderValue::from_bytes(value).expect("a header value");
        headers.append(AUTHORIZATION, value);
    }
    let route = configuration.route("h.example", path).expect("a route");
    match account(configuration, route, &headers, currency) {
        Ok(Some(account)) => account.name.clone(),
        Ok(None) => "none".to_owned(),
        Err(Denial::UnknownKey) => "unknown".to_owned(),
        Err(Denial::Outdated) => "outdated".to_owned(),
    }
}

const TWO: &str =
    r#","tenants":[{"name":"a","apiKeys":["k1","k2"]},{"name":"b","apiKeys":["k3"]}]"#;

/// Guards against accounts that are decoded wrongly, so that requests have another priority or are
/// limited by other figures than the operators'.
#[test]
fn accounts_are_decoded() {
    let configuration = decode(
        r#","tenants":[
            {"name":"a","apiKeys":["k1"],"priority":1,"unit":"tokens","plainTokens":200,
             "ratePerS":364569,"burst":1000},
            {"name":"b","apiKeys":["k2"],"unit":"requests","ratePerS":2.5},
            {"name":"c","apiKeys":["k3"],"unit":"tokens","ratePerS":0,"burst":9},
            {"name":"d","apiKeys":["k4"]}]"#,
    );
    let accounts = configuration.accounts.expect("accounts");
    let [a, b, c, d] = ["k1", "k2", "k3", "k4"].map(|key| accounts.find(key).expect("an account"));
    assert_eq!((a.name.as_str(), a.priority), ("a", Some(1)));
    let expected = Allowance {
        per_s: 364_569.0,
        burst: 1_000.0,
        unit: Unit::Tokens { plain: 200.0 },
    };
    assert_eq!(a.allowance, Some(expected));
    let expected = Allowance {
        per_s: 2.5,
        burst: 0.0,
        unit: Unit::Requests,
    };
    assert_eq!((b.allowance, b.priority), (Some(expected), None));
    assert_eq!((c.allowance, d.allowance), (None, None));
    assert_eq!(accounts.list().len(), 4);
}

/// Guards against requests that are refused where the configuration names no accounts, and against
/// ones that get in without a key where it does.
#[test]
fn only_keyed_routes_of_configurations_with_accounts_need_a_key() {
    let without = decode("");
    let with = decode(TWO);
    for path in ["/open/1", "/keyed/1", "/plain/1"] {
        assert_eq!(found(&without, path, &[b"Bearer k1"]), "none", "{path}");
        assert_eq!(found(&without, path, &[]), "none", "{path}");
    }
    assert_eq!(found(&with, "/open/1", &[]), "none");
    assert_eq!(found(&with, "/open/1", &[b"Bearer k1"]), "none");
    for path in ["/keyed/1", "/plain/1"] {
        assert_eq!(found(&with, path, &[b"Bearer k1"]), "a");
        assert_eq!(found(&with, path, &[b"Bearer k3"]), "b");
        assert_eq!(found(&with, path, &[b"Bearer k4"]), "unknown");
        assert_eq!(found(&with, path, &[]), "unknown");
    }
}

/// Guards against a configuration whose last account is gone and that is taken for one without
/// accounts, which would open all routes.
#[test]
fn an_empty_list_of_accounts_lets_nobody_in() {
    for accounts in [
        r#","tenants":[]"#,
        r#","tenants":[{"name":"a","apiKeys":[]}]"#,
        r#","tenants":[{"name":"a"}]"#,
        r#","tenants":[{"name":"a","apiKeys":[""]}]"#,
    ] {
        let configuration = decode(accounts);
        assert_eq!(
            found(&configuration, "/keyed/1", &[b"Bearer k1"]),
            "unknown"
        );
        assert_eq!(found(&configuration, "/keyed/1", &[b"Bearer "]), "unknown");
        assert_eq!(found(&configuration, "/open/1", &[]), "none");
    }
}

/// Guards against credentials in an odd form that let a client in that has no key, or keep one out
/// that has one.
#[test]
fn credentials_are_read_in_one_way() {
    let configuration = decode(TWO);
    let found = |credentials: &[&[u8]]| found(&configuration, "/keyed/1", credentials);
    for text in ["Bearer k1", "bearer k1", "BEARER  k1", "Bearer k1 "] {
        assert_eq!(found(&[text.as_bytes()]), "a", "{text}");
    }
    let odd: [&[u8]; 10] = [
        b"",
        b"k1",
        b"Bearer",
        b"Bearer ",
        b"Basic k1",
        b"Bearer k1,k3",
        b"Bearer k1 k3",
        b"Bearer K1",
        b"Bearer k1\xff",
        b"Bearer, Bearer k1",
    ];
    for value in odd {
        assert_eq!(found(&[value]), "unknown", "{value:?}");
    }
    assert_eq!(found(&[b"Bearer k1", b"Bearer k1"]), "unknown");
    assert_eq!(found(&[b"Bearer k1", b"Bearer k3"]), "unknown");
    assert_eq!(found(&[b"Bearer k9", b"Bearer k1"]), "unknown");
}

/// Guards against a proper client that is turned away for good because this gateway has not read
/// the version that adds its key.
#[test]
fn an_unknown_key_is_no_refusal_while_the_configuration_may_be_out_of_date() {
    let configuration = decode(TWO);
    let found = |path, credentials: &[&[u8]]| {
        found_with(&configuration, path, credentials, Currency::Doubtful)
    };
    assert_eq!(found("/keyed/1", &[b"Bearer k4"]), "outdated");
    assert_eq!(found("/keyed/1", &[b"Bearer k1"]), "a");
    // A newer version may have made the route public.
    assert_eq!(found("/keyed/1", &[]), "outdated");
    assert_eq!(found("/open/1", &[]), "none");
}

/// Guards against a withdrawn key that is accepted on a configuration which is known to be old, and
/// against public routes that are closed then.
#[test]
fn no_key_is_accepted_on_an_old_configuration() {
    let configuration = decode(TWO);
    let found = |path, credentials: &[&[u8]]| {
        found_with(&configuration, path, credentials, Currency::Outdated)
    };
    let cases: [&[&[u8]]; 3] = [&[], &[b"Bearer k1"], &[b"Bearer k4"]];
    for credentials in cases {
        assert_eq!(found("/keyed/1", credentials), "outdated");
        assert_eq!(found("/open/1", credentials), "none");
    }
}

/// Guards against a request that reaches its server under no name, or under another one than the
/// operators gave, because a header can't carry it.
#[test]
fn accounts_whose_names_no_header_carries_are_refused() {
    for name in ["", " a", "a ", r"a\r\nTenant: b", r"a\u0000", r"\u007f"] {
        let accounts = format!(
            r#","tenants":[{{"name":"{name}","apiKeys":["k1"]}},{{"name":"b","apiKeys":["k2"]}}]"#
        );
        let configuration = decode(&accounts);
        assert_eq!(
            found(&configuration, "/keyed/1", &[b"Bearer k1"]),
            "unknown",
            "{name}"
        );
        assert_eq!(
            found(&configuration, "/keyed/1", &[b"Bearer k2"]),
            "b",
            "{name}"
        );
    }
}

/// Guards against a key that two accounts hold at once: the last one that lists it holds it.
#[test]
fn a_key_has_one_account() {
    let twice =
        r#","tenants":[{"name":"a","apiKeys":["k1","k2"]},{"name":"b","apiKeys":["k2","k3"]}]"#;
    let configuration = decode(twice);
    for (key, owner) in [("k1", "a"), ("k2", "b"), ("k3", "b")] {
        let credentials = format!("Bearer {key}");
        let credentials: &[&[u8]] = &[credentials.as_bytes()];
        assert_eq!(found(&configuration, "/keyed/1", credentials), owner);
    }
}

/// Guards against keys, or what stands for them, in what is formatted for a log.
#[test]
fn no_format_of_a_configuration_has_a_key() {
    let configuration = decode(r#","tenants":[{"name":"a","apiKeys":["secret-key-1"]}]"#);
    let text = format!("{configuration:?} {:?}", configuration.accounts);
    assert!(text.contains("\"a\""), "{text}");
    assert!(!text.contains("secret-key-1"), "{text}");
    assert!(!text.contains("owners: {"), "{text}");
    assert!(text.contains("tokens: 1"), "{text}");
}

/// Guards against a key in the log because a configuration that can't be read is reported with the
/// value that could not be decoded.
#[test]
fn no_report_of_an_unreadable_configuration_has_a_key() {
    let tenant = r#"{"name":"a","apiKeys":["k1"]}"#;
    for tenants in [
        r#""secret-key-1""#.to_owned(),
        r#"["secret-key-1"]"#.to_owned(),
        r#"[{"name":"a","apiKeys":"secret-key-1"}]"#.to_owned(),
        r#"[{"name":"a","apiKeys":["k1"],"priority":"secret-key-1"}]"#.to_owned(),
        format!(r#"[{tenant},{{"secret-key-1":1}}]"#),
        format!(r#"[{tenant}"secret-key-1"]"#),
    ] {
        let text = format!(r#"{{"version":7,"tenants":{tenants}}}"#);
        let error = configuration::decode(text.as_bytes()).expect_err("it is unreadable");
        let text = format!("{error} {error:?}");
        assert!(!text.contains("secret-key-1"), "{text}");
        assert!(text.contains("line 1"), "{text}");
    }
}

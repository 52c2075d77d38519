//! The operators' configuration as it stands in the platform's store.

use chestnuthub::platform::configuration;

/// Guards against an unreadable record that holds back the readable ones in the same response, so
/// that the gateway reads the same offset again and again.
#[test]
fn an_unreadable_configuration_does_not_hold_back_others() {
    let readable: &[u8] = br#"{"version":7,"routes":[],"services":[]}"#;
    let unreadable: [&[u8]; 3] = [b"{", br#"{"version":"8"}"#, &[0xff, 0xfe]];
    for record in unreadable {
        for values in [vec![readable, record], vec![record, readable, record, b""]] {
            let newest = configuration::newest(values.into_iter());
            assert_eq!(newest.map(|newest| newest.version), Some(7));
        }
        assert!(configuration::newest([record].into_iter()).is_none());
    }
}

/// Guards against an older version that is taken because it stands in the same response.
#[test]
fn the_newest_configuration_of_a_response_is_taken() {
    let values: [&[u8]; 3] = [b"{\"version\":3}", b"", b"{\"version\":9}"];
    let newest = configuration::newest(values.into_iter());
    assert_eq!(newest.map(|newest| newest.version), Some(9));
}

/// Guards against a request that is held after its client has left: clients of streams leave after a
/// silence that follows from the route's objectives, other clients stay until their deadline.
#[test]
fn the_silence_that_clients_bear_follows_from_the_objectives() {
    let cases = [
        ("stream", 400, Some(150), Some(2_000)),
        ("stream", 3_000, Some(150), Some(12_000)),
        ("stream", 200, Some(600), Some(4_800)),
        ("stream", 600, None, Some(2_400)),
        ("safe", 3_000, None, None),
    ];
    for (kind, objective, gap, expected) in cases {
        let gap = gap.map_or(String::new(), |gap| format!(r#""gapTargetMs":{gap},"#));
        let record = format!(
            r#"{{"version":1,"services":[],"routes":[{{"name":"r","host":"h","pathPrefix":"/",
                "kind":"{kind}","timeoutMs":9000,"targetLatencyMs":{objective},{gap}
                "service":"s"}}]}}"#
        );
        let newest = configuration::newest([record.as_bytes()].into_iter());
        let newest = newest.expect("the configuration is readable");
        let silence = newest.routes[0].max_silence;
        assert_eq!(
            silence.map(|silence| silence.as_millis()),
            expected,
            "{record}"
        );
    }
}

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

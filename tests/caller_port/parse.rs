//! Tests that no target, path, header or event stream that is sent to the entry stops it.

use chestnuthub::{
    catalogue::{
        Catalogue,
        Note, //
    },
    credential,
    entry::{
        header,
        path,
        sse::Splitter, //
    },
};
use hyper::{
    HeaderMap,
    header::{
        AUTHORIZATION,
        HeaderValue, //
    },
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns the catalogue of the test table of targets.
fn catalogue() -> Catalogue {
    let table = include_str!("../data/resolve/targets.json");
    let mut table: serde_json::Value = serde_json::from_str(table).unwrap();
    let note: Note = serde_json::from_value(table["note"].take()).unwrap();
    let mut catalogue = Catalogue::default();
    catalogue.apply(1, &note);
    catalogue
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on a malformed target, and against resolving a target to a model of
    /// another name.
    #[test]
    fn any_target_is_resolved_or_unknown(target in "(gear|\\PC{0,8})[@+]?\\PC{0,8}[@+]?(bevel|\\PC{0,8})") {
        let catalogue = catalogue();
        let institution = "cascade".into();
        if let Ok(found) = catalogue.resolve(&institution, &target) {
            prop_assert_eq!(&found.model.name, "gear");
        }
        let _ = catalogue.resolve_service(&institution, &target);
    }

    /// Guards against a panic on a malformed path, and against a path within the service that is
    /// relative.
    #[test]
    fn any_path_is_split_or_refused(path in "(/services/)?[a-z./%\\\\?0-9]{0,24}\\PC{0,4}") {
        if let Ok((name, subpath)) = path::split_service(&path) {
            prop_assert!(!name.is_empty() && subpath.starts_with('/'));
            prop_assert!(!subpath.split('?').next().unwrap().contains("/.."));
        }
    }

    /// Guards against a panic on a malformed header, and against a request id that breaks the
    /// format of log lines.
    #[test]
    fn any_header_is_read_or_refused(bytes in vec(any::<u8>(), 0..40)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return Ok(());
        };
        let mut headers = HeaderMap::new();
        for name in [header::REQUEST_ID, header::TIMEOUT, header::IDEMPOTENCY_KEY, AUTHORIZATION] {
            headers.insert(name, value.clone());
        }
        let _ = (credential::token(&headers), header::idempotency_key(&headers));
        if let Ok(timeout) = header::timeout(&headers) {
            prop_assert!(!timeout.is_zero() && timeout.as_secs() <= 300);
        }
        let id = header::request_id(&headers);
        prop_assert!(!id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic()));
        let _ = credential::bearer(&String::from_utf8_lossy(&bytes));
    }

    /// Guards against losing bytes or counting events wrongly, depending on where the event stream
    /// is split into reads.
    #[test]
    fn an_event_stream_is_the_same_however_it_is_cut(
        text in "((data: [a-z]{0,4}\r?\n)?\r?\n?){0,12}",
        cuts in vec(0_usize..64, 0..8),
    ) {
        let mut whole = Splitter::default();
        let mut expected = whole.push(text.as_bytes()).to_vec();
        expected.extend_from_slice(&whole.rest());
        prop_assert_eq!(&expected[..], text.as_bytes());
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut parts = Splitter::default();
        let mut passed = Vec::new();
        for pair in cuts.windows(2) {
            passed.extend_from_slice(&parts.push(&text.as_bytes()[pair[0]..pair[1]]));
        }
        prop_assert_eq!(parts.events(), whole.events());
        passed.extend_from_slice(&parts.rest());
        prop_assert_eq!(&passed[..], text.as_bytes());
    }
}

//! The servers as a process believes them to be.

use std::time::Duration;

use chestnuthub::{
    deployment::{
        Server,
        State, //
    },
    platform::server,
    timer::Time,
    watch::Roster, //
};

fn described(id: &str, born: u64, seq: u64, state: &str) -> Server {
    let text = format!(
        r#"{{"service":"llm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,
            "state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
    );
    server::decode(id, text.as_bytes()).expect("a description")
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster.servers().keys().map(String::as_str).collect()
}

const START: Time = Time::from_millis(1_000);

/// Guards against an old record that brings back an earlier start of a server.
#[test]
fn an_older_start_changes_nothing() {
    let mut roster = Roster::default();
    roster.update(vec![described("a", 200, 1, "draining")], START);
    roster.update(vec![described("a", 100, 9, "ready")], START);
    assert_eq!(roster.servers()["a"].state, State::Draining);
    assert_eq!(roster.servers()["a"].born, 200);
}

/// Guards against requests to a server that has left.
#[test]
fn a_missing_server_is_gone() {
    let mut roster = Roster::default();
    roster.update(
        vec![described("a", 1, 1, "ready"), described("b", 1, 1, "ready")],
        START,
    );
    roster.update(
        vec![described("b", 1, 2, "ready")],
        START + Duration::from_secs(1),
    );
    assert_eq!(ids(&roster), ["b"]);
}

/// Guards against losing all servers whose entries lapsed while the store was away.
#[test]
fn lapsed_entries_are_kept_until_the_store_has_been_back_for_a_while() {
    let mut roster = Roster::default();
    roster.update(vec![described("a", 1, 1, "ready")], START);
    roster.note_failure();
    let back = START + Duration::from_secs(30);
    roster.update(Vec::new(), back);
    assert_eq!(ids(&roster), ["a"]);
    roster.update(Vec::new(), back + Duration::from_millis(1_999));
    assert_eq!(ids(&roster), ["a"]);
    roster.update(Vec::new(), back + Duration::from_millis(2_000));
    assert!(ids(&roster).is_empty());
}

/// Guards against entries of other writers that are taken for servers.
#[test]
fn entries_of_other_writers_name_no_server() {
    let good = r#"{"service":"s","address":"10.0.0.1:80","slots":4,"state":"ready","seq":1}"#;
    assert!(server::decode("a", good.as_bytes()).is_some());
    for (from, to) in [
        (r#""ready""#, r#""leaving""#),
        (r#""slots":4"#, r#""slots":"4""#),
        (r#""service":"s","#, ""),
        ("10.0.0.1:80", "nowhere"),
        ("{", "\u{0}"),
    ] {
        let bad = good.replace(from, to);
        assert!(server::decode("a", bad.as_bytes()).is_none(), "{bad}");
    }
}

/// Guards against requests for servers that lost their power, whose entries stand beside those of
/// their successors at the same addresses.
#[test]
fn a_later_start_at_the_address_supersedes_an_entry() {
    let mut roster = Roster::default();
    roster.update(
        vec![
            described("before", 100, 7, "ready"),
            described("after", 200, 1, "ready"),
        ],
        START,
    );
    assert!(roster.is_superseded("before"));
    assert!(!roster.is_superseded("after"));
    assert!(!roster.is_superseded("unknown"));
    roster.update(vec![described("before", 300, 1, "ready")], START);
    assert!(!roster.is_superseded("before"));
}

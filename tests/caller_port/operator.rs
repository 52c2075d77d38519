//! Tests the operator port.

use chestnuthub::{
    catalogue::Catalogue,
    decision::Table,
    follow::Fold,
    operator,
    timer::Time, //
};

use super::harness::*;

/// Starts an operator port, sends a `GET` request and returns the status and body of the response.
async fn get(system: &System, path: &str, token: Option<&str>) -> (u16, String) {
    let addr = operator::start(&system.context).unwrap();
    let mut client = Client::connect(addr).await;
    let token = token.map(|token| format!("Authorization: Bearer {token}\r\n"));
    let token = token.unwrap_or_default();
    client
        .send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n{token}"), "")
        .await;
    let (response, body) = client.full().await;
    (response.status, body)
}

/// Guards against an entry that is reported ready before it knows any model or server, so that the
/// load balancer sends clients to it.
#[tokio::test]
async fn an_instance_is_ready_once_it_has_the_catalogue_and_instance_list() {
    let system = System::start(1);
    system.mark_synced();
    assert_eq!(get(&system, "/healthz", None).await.0, 200);
    assert_eq!(get(&system, "/readyz", None).await.0, 200);
    system.context.view.set_instances(Vec::new());
    assert_eq!(get(&system, "/readyz", None).await.0, 503);
}

/// Guards against an entry that is reported ready while it reads the decisions, and refuses requests
/// because it knows no slots yet.
#[tokio::test]
async fn an_instance_is_not_ready_before_it_has_read_the_decisions() {
    let system = System::start_without_slots(1);
    let view = &system.context.view;
    view.record_sync(Catalogue::STREAM, Time::now());
    assert_eq!(get(&system, "/readyz", None).await.0, 503);
    grant(view, "gearmind-1");
    assert_eq!(get(&system, "/readyz", None).await.0, 503);
    view.record_sync(Table::STREAM, Time::now());
    assert_eq!(get(&system, "/readyz", None).await.0, 200);
}

/// Guards against an entry that is never ready, because the log has been down for longer than the
/// clock of its machine runs.
#[tokio::test]
async fn an_instance_is_ready_with_decisions_from_before_its_clock() {
    let system = System::start(1);
    system.context.view.record_equal_peer();
    assert_eq!(get(&system, "/readyz", None).await.0, 200);
}

/// Guards against an instance that is reported ready while it stops, so that the load balancer
/// keeps sending clients to it.
#[tokio::test]
async fn an_instance_that_stops_is_not_ready() {
    let system = System::start(1);
    system.stop.send_replace(true);
    assert_eq!(get(&system, "/readyz", None).await.0, 503);
    assert_eq!(get(&system, "/healthz", None).await.0, 200);
}

/// Guards against showing status or metrics without an operator's token.
#[tokio::test]
async fn status_and_metrics_need_an_operator() {
    let system = System::start(1);
    for path in ["/status", "/metrics"] {
        for token in [None, Some(TOKEN)] {
            assert_eq!(get(&system, path, token).await.0, 401, "{path}");
        }
        assert_eq!(
            get(&system, path, Some(OPERATOR_TOKEN)).await.0,
            200,
            "{path}"
        );
    }
}

/// Guards against a status that does not show which log records granted a slot.
#[tokio::test]
async fn the_status_names_the_records_that_decided() {
    let system = System::start(2);
    let (_, body) = get(&system, "/status", Some(OPERATOR_TOKEN)).await;
    let status: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status["instance"], "entry-1");
    assert_eq!(status["role"], "entry");
    assert_eq!(status["decisions"], 4);
    assert_eq!(status["releases"], 1);
    assert_eq!(status["slots"][1]["model"], "gear-check@1");
    assert_eq!(status["slots"][1]["server"], "gearmind-2");
    assert_eq!(status["slots"][1]["grant"], 4);
    assert_eq!(status["slots"][1]["decided_at"], 4);
    assert_eq!(status["servers"][0]["epoch"], 1);
}

/// Guards against metrics that a scraper can't read.
#[tokio::test]
async fn metrics_are_open_metrics_text() {
    let system = System::start(1);
    system
        .call("GET / HTTP/1.1\r\nHost: x\r\n", "")
        .await
        .problem()
        .await;
    let (_, text) = get(&system, "/metrics", Some(OPERATOR_TOKEN)).await;
    assert!(text.ends_with("# EOF\n"), "{text}");
    let line = r#"chestnuthub_requests_total{kind="caller",outcome="unauthorized"} 1"#;
    assert!(text.contains(line), "{text}");
}

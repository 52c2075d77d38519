//! The caller port of an entry, with fake agents that the tests play.

#[cfg(test)]
#[path = "caller_port/harness.rs"]
mod harness;

use chestnuthub::wire::Work;
use harness::{
    OTHER_TOKEN,
    System,
    TOKEN,
    post_chat,
    send_end,
    send_head,
    send_piece, //
};

const EVENTS: &str = "text/event-stream";

/// Guards against buffering: each event must reach the caller before the next one is produced.
#[tokio::test]
async fn a_stream_reaches_the_caller_piece_by_piece() {
    let mut system = System::start(1);
    let mut caller = system.chat(true).await;
    let (mut exchange, request, _) = system.request(0).await;
    send_head(&mut exchange, &request, EVENTS).await;
    assert_eq!(caller.head().await.status, 200);
    for index in 0..20 {
        let event = format!("data: {index}\n\n");
        send_piece(&mut exchange, &event).await;
        assert_eq!(caller.chunk().await.as_deref(), Some(event.as_str()));
    }
    send_piece(&mut exchange, "data: [DONE]\n\n").await;
    send_end(&mut exchange).await;
    assert_eq!(caller.chunks().await.unwrap(), "data: [DONE]\n\n");
}

/// Guards against changing a call of a service on its way.
#[tokio::test]
async fn a_service_call_is_passed_on() {
    let mut system = System::start(1);
    let head = format!(
        "PUT /services/shopdesk/parts/7?x=1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Type: text/plain\r\n"
    );
    let mut caller = system.call(&head, "teeth=12").await;
    let (mut exchange, request, body) = system.request(0).await;
    assert_eq!(body, b"teeth=12");
    let Work::Call(call) = &request.work else {
        panic!("not a call: {request:?}");
    };
    assert_eq!(
        (call.method.as_str(), call.path.as_str()),
        ("PUT", "/parts/7?x=1")
    );
    assert_eq!(call.content_type.as_deref(), Some("text/plain"));
    assert_eq!(call.key, None);
    send_head(&mut exchange, &request, "text/plain").await;
    send_piece(&mut exchange, "ok").await;
    send_end(&mut exchange).await;
    assert_eq!(caller.head().await.status, 200);
    assert_eq!(caller.chunks().await.as_deref(), Some("ok"));
}

const BODY: &str = r#"{"model":"gear-check","messages":[]}"#;

/// Guards against requests without a valid credential.
#[tokio::test]
async fn a_missing_or_wrong_token_is_refused() {
    let system = System::start(1);
    let without = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
    for head in [without, &post_chat("wrong")] {
        let (answer, problem) = system.call(head, BODY).await.problem().await;
        assert_eq!(answer.status, 401);
        assert_eq!(answer.headers["www-authenticate"], "Bearer");
        assert_eq!(problem["not_run"], true);
    }
}

/// Guards against telling one institution what another one may call.
#[tokio::test]
async fn the_model_of_another_institution_does_not_exist() {
    let system = System::start(1);
    let head = post_chat(OTHER_TOKEN);
    let (answer, others) = system.call(&head, BODY).await.problem().await;
    assert_eq!(answer.status, 404);
    let body = BODY.replace("gear-check", "no-such-model");
    let (answer, missing) = system.call(&head, &body).await.problem().await;
    assert_eq!(answer.status, 404);
    assert_eq!(others["detail"], missing["detail"]);
}

//! Answers of backend servers that end with their connections.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use comfreyramp_http::{MessageBody, Method, Request, Response, StatusCode, collect_limited};
use comfreyramp_standins::runner::{ClosingAnswer, ClosingServer};
use serde_json::Value;
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, chat, vm};
use tokio_util::sync::{CancellationToken, DropGuard};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const COMPLETION: &[u8] = br#"{"id":"c-1","choices":[{"message":{"content":"a b"}}]}"#;

/// Starts a fleet with an engine, and then a server of `group` whose answers end with their
/// connections.
async fn start(group: &str, answer: ClosingAnswer) -> (TestFleet, Arc<ClosingServer>, DropGuard) {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    fleet.platform.remove_vm("service-1");
    let stop = CancellationToken::new();
    let server = ClosingServer::start("closing-1", answer, stop.clone())
        .await
        .expect("a free port");
    fleet
        .platform
        .put_vm(vm("closing-1", "zone-1", group, server.address));
    (fleet, server, stop.drop_guard())
}

/// Sends requests until one has reached the server, and returns the answer to that one, or
/// nothing if it was broken off.
async fn answer_of(
    fleet: &TestFleet,
    server: &ClosingServer,
    request: impl Fn() -> Request<MessageBody>,
) -> Option<Response<Vec<u8>>> {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let earlier = server.requests();
        let (head, body) = fleet.open(request()).await.into_parts();
        let body = collect_limited(body, usize::MAX).await;
        if server.requests() > earlier {
            return body.ok().map(|it| Response::from_parts(head, it.to_vec()));
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "the server isn't used"
        );
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// A plain service that streams events and breaks off inside one must not look to the caller
/// as if it had finished.
#[tokio::test]
async fn an_event_stream_of_a_plain_service_cut_inside_an_event_is_broken_off() {
    let whole = ClosingAnswer::whole(STREAM).content_type("text/event-stream");
    let (fleet, server, _stop) = start("proofs", whole).await;
    let request = || fleet.request(0, Method::GET, "/proofs/a", KEY, String::new());
    let answer = answer_of(&fleet, &server, request).await;
    assert_eq!(answer.expect("a whole answer").body(), STREAM);
    for place in [3, 14, 16, 29] {
        let cut = ClosingAnswer::whole(&STREAM[..place]).content_type("text/event-stream");
        server.queue(cut);
        let answer = answer_of(&fleet, &server, request).await;
        assert!(answer.is_none(), "cut after {place} bytes: {answer:?}");
    }
}

/// Bytes of other types have no recognizable end but that of their connection.
#[tokio::test]
async fn other_answers_of_a_plain_service_end_with_their_connection() {
    let (fleet, server, _stop) = start("proofs", ClosingAnswer::whole(b"id: 1\nda")).await;
    let request = || fleet.request(0, Method::GET, "/proofs/a", KEY, String::new());
    let answer = answer_of(&fleet, &server, request).await;
    assert_eq!(answer.expect("a whole answer").body(), b"id: 1\nda");
}

/// An engine that breaks off inside an answer that isn't streamed must not look to the caller
/// as if it had finished; another engine answers.
#[tokio::test]
async fn a_completion_cut_by_its_engine_is_answered_by_another() {
    let (fleet, server, _stop) = start("engines", ClosingAnswer::whole(COMPLETION)).await;
    let prompts = AtomicU32::new(0);
    let request = || {
        // Each prompt may prefer another engine.
        let prompt = format!("prompt {}", prompts.fetch_add(1, Ordering::Relaxed));
        let body = chat(&prompt, 4, false).to_string();
        fleet.request(0, Method::POST, "/v1/chat/completions", KEY, body)
    };
    let answer = answer_of(&fleet, &server, request).await;
    assert_eq!(answer.expect("a whole answer").body(), COMPLETION);
    for place in [0, 1, 20, COMPLETION.len() - 1] {
        server.queue(ClosingAnswer::whole(&COMPLETION[..place]));
        let answer = answer_of(&fleet, &server, request).await;
        let answer = answer.expect("a whole answer");
        assert_eq!(answer.status(), StatusCode::OK);
        let body: Result<Value, _> = serde_json::from_slice(answer.body());
        assert!(body.is_ok(), "cut after {place} bytes: {body:?}");
    }
}

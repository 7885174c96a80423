//! Answers of backend servers that end with their connections.

mod support;

use std::sync::Arc;

use comfreyramp_http::{MessageBody, Method, Request, Response, collect_limited};
use comfreyramp_standins::runner::{ClosingAnswer, ClosingServer};
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, vm};
use tokio_util::sync::{CancellationToken, DropGuard};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Starts a fleet without an engine, and then a server of `group` whose answers end with
/// their connections.
async fn start(group: &str, answer: ClosingAnswer) -> (TestFleet, Arc<ClosingServer>, DropGuard) {
    let plan = FleetPlan {
        engines: Vec::new(),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
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

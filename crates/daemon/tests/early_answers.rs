//! Servers that answer before they have read a request, and then reset the connection.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use comfreyramp_http::{Method, StatusCode, collect_limited};
use comfreyramp_standins::runner::{EarlyAnswer, ResettingServer};
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, vm};
use tokio_util::sync::CancellationToken;

/// The size in bytes of the body of a request. It is passed on as it arrives.
const BODY_BYTES: usize = 4_100_000;
/// How many answers of the server are awaited.
const ANSWERS: usize = 20;

/// Guards against a part of an answer that a caller takes for the whole: where the write of the
/// request fails first, the next read may say that the answer has ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    let plan = FleetPlan::default().with_plain_service("texts");
    let fleet = TestFleet::start(plan).await;
    let stop = CancellationToken::new();
    let server = ResettingServer::start("reset-1", EarlyAnswer::numbered, stop.clone());
    let server = server.await.unwrap();
    let listed = vm("reset-1", "zone-1", "texts", server.address);
    fleet.platform.put_vm(listed);
    let deadline = tokio::time::Instant::now() + 2 * WAIT_TIMEOUT;
    let mut complete = Vec::new();
    while server.answers() < ANSWERS {
        let body = "x".repeat(BODY_BYTES);
        let request = fleet.request(0, Method::POST, "/texts/a", KEY, body);
        if let Ok(answer) = fleet.client.send(request).await {
            let (head, body) = answer.into_parts();
            let body = collect_limited(body, usize::MAX).await;
            if head.status == StatusCode::OK
                && let Ok(body) = body
            {
                complete.push(body);
            }
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{} answers",
            server.answers()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(complete.is_empty(), "given as complete: {complete:?}");
    drop(stop.drop_guard());
}

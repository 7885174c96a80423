//! Servers that answer before they have read a request, and then reset the connection.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use comfreyramp_http::{Method, StatusCode, collect_limited};
use comfreyramp_standins::runner::{EarlyAnswer, ResettingServer};
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, default_settings, plain_service, vm};
use tokio_util::sync::CancellationToken;

/// The sizes in bytes of the bodies of requests: one that is buffered, and one that is passed on
/// as it arrives.
const BODY_BYTES: [usize; 2] = [60_000, 4_100_000];
/// How many bytes of a request the server reads before it answers.
const READ_BYTES: [usize; 5] = [0, 6_000, 20_000, 200_000, 1_000_000];
/// How long it waits before it resets the connection.
const PAUSES_MS: [u64; 4] = [0, 1, 10, 100];
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];
const CONTENT_TYPES: [Option<&str>; 2] = [None, Some("text/event-stream")];
/// A part of an answer that looks whole: it ends with an event.
const PART: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// How many answers of the server are awaited.
const ANSWERS: usize = 20;

/// Returns one answer of each kind after the other.
fn early_answer(number: usize) -> EarlyAnswer {
    EarlyAnswer {
        read_bytes: READ_BYTES[number % READ_BYTES.len()],
        pause: Duration::from_millis(PAUSES_MS[number / 2 % PAUSES_MS.len()]),
        version: VERSIONS[number / 3 % VERSIONS.len()],
        content_type: CONTENT_TYPES[number / 5 % CONTENT_TYPES.len()],
        body: PART,
    }
}

/// Guards against a part of an answer that a caller takes for the whole: where the write of the
/// request fails first, the next read may say that the answer has ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    let mut settings = default_settings();
    settings.services.push(plain_service("texts"));
    let plan = FleetPlan {
        settings: Some(settings),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let stop = CancellationToken::new();
    let server = ResettingServer::start("reset-1", early_answer, stop.clone());
    let server = server.await.unwrap();
    let listed = vm("reset-1", "zone-1", "texts", server.address);
    fleet.platform.put_vm(listed);
    let deadline = tokio::time::Instant::now() + 2 * WAIT_TIMEOUT;
    let mut complete = Vec::new();
    let mut number = 0;
    while server.answers() < ANSWERS {
        number += 1;
        let bytes = BODY_BYTES[number % 2];
        let request = fleet.request(0, Method::POST, "/texts/a", KEY, "x".repeat(bytes));
        if let Ok(answer) = fleet.client.send(request).await {
            let (head, body) = answer.into_parts();
            let body = collect_limited(body, usize::MAX).await;
            if head.status == StatusCode::OK
                && let Ok(body) = body
            {
                complete.push((bytes, body));
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

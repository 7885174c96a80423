//! Servers that answer before they have read a request, and then reset the connection.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{sync::Arc, time::Duration};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{EarlyAnswer, ResettingServer};
use fleet::{CallerRequest, Fleet};
use tokio_util::sync::{CancellationToken, DropGuard};

/// The sizes in bytes of the bodies of live requests and of items.
const LIVE_BYTES: usize = 4_100_000;
const ITEM_BYTES: usize = 700_000;
/// How many requests are sent beside each other.
const CALLERS: usize = 6;
const REQUESTS_PER_CALLER: usize = 16;

/// A fleet whose servers all reset their answers.
struct ResettingFleet {
    fleet: Fleet,
    servers: Vec<Arc<ResettingServer>>,
    _stop: DropGuard,
}

impl ResettingFleet {
    async fn start() -> ResettingFleet {
        let mut fleet = Fleet::started().await;
        fleet.put_retention(8);
        let stop = CancellationToken::new();
        let mut servers = Vec::new();
        for (id, service) in [
            ("reset-1", "drafts"),
            ("reset-2", "drafts"),
            ("reset-3", "proofs"),
            ("reset-4", "proofs"),
        ] {
            let server = ResettingServer::start(id, EarlyAnswer::numbered, stop.clone());
            let server = server.await.unwrap();
            server.register(service, "zone-1", &fleet.store);
            servers.push(server);
        }
        for server in &fleet.servers {
            server.register(&fleet.store, "draining");
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        ResettingFleet {
            fleet,
            servers,
            _stop: stop.drop_guard(),
        }
    }

    fn answers(&self) -> usize {
        self.servers.iter().map(|it| it.answers()).sum()
    }
}

/// Guards against a part of an answer that a caller takes for the whole: where the write of the
/// request fails first, the next read may say that the answer has ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    let fleet = ResettingFleet::start().await;
    let mut sending = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let callers = fleet.fleet.callers();
        sending.spawn(async move {
            let path = ["/drafts/1", "/once/1", "/proofs/1"][caller % 3];
            let mut complete = Vec::new();
            for number in 0..REQUESTS_PER_CALLER {
                let id = format!("request-{caller}-{number}");
                let mut body = id.clone().into_bytes();
                body.resize(LIVE_BYTES, b'x');
                let call = CallerRequest::post(path, &id, &body);
                let response = callers.send(0, call).await;
                if response.is_ok_and(|it| it.status() == StatusCode::OK) {
                    complete.push(id);
                }
                // Ejections are over by then.
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            complete
        });
    }
    // Where the daemon was suspended, the part of the answer and the reset are there together.
    for _ in 0..40 {
        fleet.fleet.pause(0);
        tokio::time::sleep(Duration::from_millis(30)).await;
        fleet.fleet.resume(0);
        tokio::time::sleep(Duration::from_millis(70)).await;
    }
    let complete: Vec<String> = sending.join_all().await.into_iter().flatten().collect();
    assert!(complete.is_empty(), "given as complete: {complete:?}");
    let answers = fleet.answers();
    assert!(answers >= CALLERS * 2, "only {answers} answers were reset");
}

/// Guards against an item that is done with a part of its output, for the same reason.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_answer_is_reset_during_the_upload_is_not_done() {
    let fleet = ResettingFleet::start().await;
    let body = "x".repeat(ITEM_BYTES);
    for lot in ["lot-1", "lot-2", "lot-3", "lot-4"] {
        let bodies = [body.as_str(), &body, &body];
        let status = fleet.fleet.submit_lot(0, lot, &bodies).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
    }
    for lot in ["lot-1", "lot-2", "lot-3", "lot-4"] {
        let page = fleet.fleet.read_finished_lot(0, lot).await;
        for result in page["results"].as_array().unwrap() {
            assert_eq!(result["state"], "dead_letter", "{lot}: {result}");
        }
    }
    let (items, answers) = (12, fleet.answers());
    assert!(answers >= items, "only {answers} answers were reset");
}

//! Answers whose status isn't one of a final answer in HTTP.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use fleet::{CallerRequest, Fleet};
use tokio_util::sync::CancellationToken;

/// Statuses that no final answer has: interim ones, unknown classes, and numbers that are none.
const INVALID_STATUSES: [&str; 15] = [
    "000", "001", "099", "100", "101", "103", "199", "600", "700", "999", "0200", "1000", "20",
    "2x0", "",
];
/// The index for which the answer is valid.
const VALID: usize = usize::MAX;
const EVENT: &[u8] = b"id: 1\ndata: a\n\n";

/// Returns a script that answers with the status of the index, in an answer that is whole
/// otherwise.
fn invalid_answer(index: Arc<AtomicUsize>) -> impl Fn(&ScriptedRequest) -> ScriptedAnswer {
    move |it| {
        let id = it.request.id();
        let Some(status) = INVALID_STATUSES.get(index.load(Ordering::SeqCst)) else {
            return ScriptedAnswer::stream(id, EVENT);
        };
        let answer = format!(
            "HTTP/1.1 {status} Scripted\r\nx-request-id: {id}\r\nx-response-signature: s\r\n\
             transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
        );
        ScriptedAnswer::endless(answer.as_bytes(), b"", Duration::from_millis(100))
    }
}

/// Guards against answers that callers can't understand, such as a change of protocols for
/// which nobody asked.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_statuses_are_not_passed_to_callers() {
    let fleet = Fleet::started().await;
    let index = Arc::new(AtomicUsize::new(0));
    let stop = CancellationToken::new();
    let plain = ScriptedServer::start("plain-2", invalid_answer(index.clone()), stop.clone());
    let plain = plain.await.unwrap();
    plain.register("proofs", "zone-1", &fleet.store);
    fleet.servers[2].register(&fleet.store, "draining");
    let engine = fleet.add_scripted_engine(2, invalid_answer(index.clone()));
    let engine = engine.await;
    let send = async |answer: usize, path: &str, id: &str| {
        index.store(answer, Ordering::SeqCst);
        let call = CallerRequest::post(path, id, id.as_bytes());
        let response = fleet.send(0, call).await;
        response.map(|it| it.status())
    };
    for (number, status) in INVALID_STATUSES.iter().enumerate() {
        for path in ["/drafts/1", "/once/1", "/proofs/1"] {
            // A valid answer keeps the server from being ejected.
            let valid = send(VALID, path, &format!("valid-{number}")).await;
            assert_eq!(valid, Ok(StatusCode::OK));
            let received = || engine.requests().len() + plain.requests().len();
            let before = received();
            let answered = send(number, path, &format!("request-{number}")).await;
            assert!(received() > before, "no server got the request");
            let expected = [StatusCode::BAD_GATEWAY, StatusCode::SERVICE_UNAVAILABLE];
            assert!(
                answered.as_ref().is_ok_and(|it| expected.contains(it)),
                "{path}, status {status}: {answered:?}"
            );
        }
    }
    drop(stop.drop_guard());
}

/// Guards against items that are done, or given up, by answers that are none.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_statuses_do_not_end_items() {
    let fleet = Fleet::started().await;
    let index = Arc::new(AtomicUsize::new(VALID));
    let server = fleet.add_scripted_engine(2, invalid_answer(index.clone()));
    let server = server.await;
    for (number, status) in INVALID_STATUSES.iter().enumerate() {
        index.store(VALID, Ordering::SeqCst);
        let valid = fleet.send(0, CallerRequest::post("/once/1", "valid", b"verse"));
        assert_eq!(valid.await.unwrap().status(), StatusCode::OK);
        index.store(number, Ordering::SeqCst);
        let (before, lot) = (server.requests().len(), format!("lot-{number}"));
        let submitted = fleet.submit_lot(0, &lot, &["one"]).await;
        assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
        fleet
            .eventually("the item is run", async || server.requests().len() > before)
            .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        // A daemon that can't be sure tells readers to come back.
        let mut page = None;
        fleet
            .eventually("the lot is read", async || {
                page = fleet.read_lot(0, &lot, 0).await;
                page.is_some()
            })
            .await;
        let page = page.unwrap();
        assert_eq!(page["next"], 0, "status {status}: {page}");
        let path = format!("/-/lots/{lot}");
        let mut end = CallerRequest::get(&path);
        end.method = Method::DELETE;
        fleet.send(0, end).await.unwrap();
    }
}

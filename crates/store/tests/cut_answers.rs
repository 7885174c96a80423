//! Answers of the platform that an ordinary close of their connection cuts.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

mod common;

use assert_matches::assert_matches;
use comfreyramp_standins::runner::{
    ClosingAnswer, ClosingServer, ScriptedAnswer, ScriptedRequest, ScriptedServer,
};
use comfreyramp_store::{GatewayStore, NoMetrics, PlatformStore, StoreError, WatchStream};
use tokio_util::sync::CancellationToken;

use common::{absent, batch, prefix, put, settings};

const OPENED: &str = "{\"result\":{\"header\":{\"revision\":\"5\"},\"created\":true}}\n";
const CHANGE: &str = "{\"result\":{\"header\":{\"revision\":\"6\"},\"events\":[{\"kv\":\
    {\"key\":\"cy9h\",\"mod_revision\":\"6\",\"create_revision\":\"6\",\"version\":\"1\"}}]}}\n";
const PAIRS: &str = "{\"header\":{\"revision\":\"6\"},\"kvs\":[{\"key\":\"cy9h\",\
    \"mod_revision\":\"6\",\"create_revision\":\"6\",\"version\":\"1\"}],\"count\":\"1\"}";

/// The part of a change must not be taken for a change, wherever the cut falls.
#[tokio::test]
async fn a_watch_cut_inside_a_line_reports_no_change() {
    let stop = CancellationToken::new();
    let whole = ClosingAnswer::whole([OPENED, CHANGE].concat().as_bytes());
    let server = ClosingServer::start("platform", whole, stop.clone())
        .await
        .unwrap();
    let store = GatewayStore::new(settings(&format!("http://{}", server.address)), NoMetrics);
    let mut watch = store.watch(prefix("s/"), 5).await.unwrap();
    assert_eq!(watch.next().await.unwrap().written.len(), 1);
    assert_matches!(watch.next().await, Err(StoreError::AnswerLost(_)));
    // Without its line end, the last line is still complete.
    for place in 0..CHANGE.len() - 1 {
        let cut = [OPENED, &CHANGE[..place]].concat();
        server.queue(ClosingAnswer::whole(cut.as_bytes()));
        let mut watch = store.watch(prefix("s/"), 5).await.unwrap();
        assert_matches!(
            watch.next().await,
            Err(StoreError::AnswerLost(_)),
            "{place}"
        );
    }
}

/// The part of a list must not be taken for the list, wherever the cut falls.
#[tokio::test]
async fn a_list_that_is_cut_is_a_lost_answer() {
    let stop = CancellationToken::new();
    let whole = ClosingAnswer::whole(PAIRS.as_bytes());
    let server = ClosingServer::start("platform", whole, stop.clone())
        .await
        .unwrap();
    let store = GatewayStore::new(settings(&format!("http://{}", server.address)), NoMetrics);
    assert_eq!(store.range(prefix("s/"), 100).await.unwrap().pairs.len(), 1);
    for place in 0..PAIRS.len() {
        server.queue(ClosingAnswer::whole(&PAIRS.as_bytes()[..place]));
        let answer = store.range(prefix("s/"), 100).await;
        assert_matches!(answer, Err(StoreError::AnswerLost(_)), "{place}");
    }
}

/// The status of an error whose body is cut off must not be taken for the statement that a
/// write was rejected: the error may have said that its outcome is unknown.
#[tokio::test]
async fn an_error_that_is_cut_off_is_a_lost_answer() {
    const ABORTED: &[u8] = br#"{"code":10,"message":"the leader changed"}"#;
    for status in [400, 409, 429, 503] {
        for length in [0, 10, ABORTED.len()] {
            let script =
                move |_: &ScriptedRequest| ScriptedAnswer::cut(status, "", &ABORTED[..length]);
            let stop = CancellationToken::new();
            let server = ScriptedServer::start("platform", script, stop.clone());
            let server = server.await.unwrap();
            let settings = settings(&format!("http://{}", server.address));
            let store = GatewayStore::new(settings, NoMetrics);
            let writing = batch(vec![absent("s/a")], vec![put("s/a", "1")]);
            let answer = store.transact(writing).await;
            assert_matches!(answer, Err(StoreError::AnswerLost(_)), "{status} {length}");
        }
    }
}

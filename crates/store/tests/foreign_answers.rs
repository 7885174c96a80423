//! Answers of the platform to other calls than the one that waits. They bear no id, so what
//! they state has to fit the call.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

mod common;

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use comfreyramp_store::{
    GatewayStore, KeyRange, LeaseId, NoMetrics, PlatformStore, StoreError, TransactionAnswer,
    WriteBatch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use common::{absent, batch, one, prefix, put, settings};

/// A list with the key `s/a`.
const LIST: &str = r#"{"header":{"revision":"6"},"kvs":[{"key":"cy9h","value":"MQ==",
    "mod_revision":"6","create_revision":"6","version":"1"}],"count":"1"}"#;

/// A platform that answers each call with the same body.
struct ScriptedPlatform {
    store: GatewayStore,
    _server: Arc<ScriptedServer>,
    _stop: DropGuard,
}

impl ScriptedPlatform {
    async fn start(body: &'static str) -> ScriptedPlatform {
        let script = |_: &ScriptedRequest| ScriptedAnswer::whole(200, "", body.as_bytes());
        let stop = CancellationToken::new();
        let server = ScriptedServer::start("platform", script, stop.clone())
            .await
            .unwrap();
        let settings = settings(&format!("http://{}", server.address));
        ScriptedPlatform {
            store: GatewayStore::new(settings, NoMetrics),
            _server: server,
            _stop: stop.drop_guard(),
        }
    }
}

/// A list of other keys must not be taken for the list that was read.
#[tokio::test]
async fn a_list_of_other_keys_is_a_lost_answer() {
    let platform = ScriptedPlatform::start(LIST).await;
    let after = |after: &str| KeyRange::After {
        prefix: "s/".to_owned(),
        after: after.to_owned(),
    };
    let between = |first: &str, end: &str| KeyRange::Between(first.to_owned(), end.to_owned());
    for others in [
        one("s/b"),
        prefix("t/"),
        after("s/a"),
        between("s/0", "s/a"),
    ] {
        let listed = platform.store.range(others.clone(), 0).await;
        assert_matches!(listed, Err(StoreError::AnswerLost(_)), "{others:?}");
        let keys = platform.store.read_keys(others.clone()).await;
        assert_matches!(keys, Err(StoreError::AnswerLost(_)), "{others:?}");
    }
    for own in [
        one("s/a"),
        prefix("s/"),
        prefix(""),
        after("s/0"),
        between("s/a", "s/b"),
        between("\0", "\0"),
    ] {
        let listed = platform.store.range(own.clone(), 0).await;
        assert_eq!(listed.unwrap().pairs.len(), 1, "{own:?}");
    }
}

/// An answer without the revision that each one has isn't the answer to a read or a write: it
/// would be taken for an empty list, or for the statement that nothing was written.
#[tokio::test]
async fn an_answer_without_a_revision_is_a_lost_answer() {
    let platform = ScriptedPlatform::start(r#"{"ID":"7","TTL":"4"}"#).await;
    let listed = platform.store.range(prefix("s/"), 0).await;
    assert_matches!(listed, Err(StoreError::AnswerLost(_)));
    let writing = batch(vec![absent("s/a")], vec![put("s/a", "1")]);
    let written = platform.store.transact(writing).await;
    assert_matches!(written, Err(StoreError::AnswerLost(_)));
}

/// The refusal of another write must not be taken for one of the write that was sent.
#[tokio::test]
async fn the_refusal_of_another_write_is_a_lost_answer() {
    const REFUSAL: &str = r#"{"header":{"revision":"6"},"responses":[{"response_range":
        {"kvs":[{"key":"cy9h","mod_revision":"6","create_revision":"6","version":"1"}]}}]}"#;
    let platform = ScriptedPlatform::start(REFUSAL).await;
    let writing = |key: &str| WriteBatch {
        read_back: vec![key.to_owned()],
        ..batch(vec![absent(key)], vec![put(key, "1")])
    };
    let refused = platform.store.transact(writing("s/b")).await;
    assert_matches!(refused, Err(StoreError::AnswerLost(_)));
    let refused = platform.store.transact(writing("s/a")).await;
    assert_matches!(refused, Ok(TransactionAnswer::Refused { .. }));
}

/// An answer without the id of a lease must not be taken for a new lease: keys would be bound
/// to none, and stay when their daemon is lost.
#[tokio::test]
async fn a_grant_without_the_id_of_a_lease_is_a_lost_answer() {
    let platform = ScriptedPlatform::start(LIST).await;
    let granted = platform.store.grant(Duration::from_secs(4)).await;
    assert_matches!(granted, Err(StoreError::AnswerLost(_)));
}

/// The renewal of another lease must not be taken for that of a lease that may have expired.
#[tokio::test]
async fn the_renewal_of_another_lease_does_not_renew_one() {
    const RENEWED: &str = r#"{"result":{"header":{"revision":"6"},"ID":"8","TTL":"4"}}"#;
    let platform = ScriptedPlatform::start(RENEWED).await;
    let renewed = platform.store.renew(LeaseId(7)).await;
    assert_matches!(renewed, Err(StoreError::AnswerLost(_)));
    let renewed = platform.store.renew(LeaseId(8)).await;
    assert_eq!(renewed.unwrap(), Duration::from_secs(4));
}

//! Behaviour that all implementations of the watch share.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests fail the test"
)]

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use comfreyramp_standins::platform::FaultChange;
use comfreyramp_store::{
    PlatformStore, StoreError, WatchBatch, WatchStream, Write, wire::WatchResponse,
};

use common::{TestBed, outage, prefix, put, write};

/// A timeout longer than any step of these tests, so that a hang is reported as a
/// failure.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

on_both_stores!(
    a_watch_reports_writes_from_its_start,
    a_watch_reports_the_last_change_of_each_key,
    a_watch_resumes_without_a_gap,
    a_watch_reports_expired_leases,
    a_watch_from_before_the_history_fails,
    a_watch_that_falls_behind_the_history_fails,
    a_broken_watch_ends_with_an_error,
    a_held_watch_reports_later,
);

/// Returns the next message that reports a change, skipping progress messages.
async fn next_change(watch: &mut impl WatchStream) -> Result<WatchBatch, StoreError> {
    let change = async {
        loop {
            let batch = watch.next().await?;
            if !batch.written.is_empty() || !batch.deleted.is_empty() {
                return Ok(batch);
            }
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, change).await.unwrap()
}

fn keys(batch: &WatchBatch) -> Vec<&str> {
    batch.written.iter().map(|it| it.key.as_str()).collect()
}

async fn a_watch_reports_writes_from_its_start<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    write(store, vec![put("s/a", "too early")]).await;
    let first = write(store, vec![put("s/b", "")]).await;
    write(store, vec![put("other", "")]).await;
    let mut watch = store.watch(prefix("s/"), first).await.unwrap();
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!((keys(&batch), batch.revision), (vec!["s/b"], first));

    let second = write(store, vec![put("s/c", "x"), put("s/d", "y")]).await;
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!((keys(&batch), batch.revision), (vec!["s/c", "s/d"], second));
    assert_eq!(batch.written[1].value, "y");

    let third = write(store, vec![Write::Delete("s/c".into())]).await;
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!((batch.deleted, batch.revision), (vec!["s/c".into()], third));
    assert_eq!(bed.platform.calls().waiting_watches, 1);
}

async fn a_watch_reports_the_last_change_of_each_key<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let first = write(store, vec![put("a", "1"), put("b", "1")]).await;
    write(store, vec![Write::Delete("a".into()), put("b", "2")]).await;
    write(store, vec![Write::Delete("b".into())]).await;
    let last = write(store, vec![put("b", "3")]).await;
    let mut watch = store.watch(prefix(""), first).await.unwrap();
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!((keys(&batch), batch.revision), (vec!["b"], last));
    assert_eq!(batch.written[0].value, "3");
    assert_eq!(batch.deleted, ["a"]);
}

/// A watch's connection breaks, and settings change before its reader has opened
/// another. The daemon must not miss the change.
async fn a_watch_resumes_without_a_gap<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let first = write(store, vec![put("k", "1")]).await;
    let mut watch = store.watch(prefix(""), first).await.unwrap();
    let seen = next_change(&mut watch).await.unwrap().revision;
    bed.platform.break_watches();
    assert_matches!(
        next_change(&mut watch).await,
        Err(StoreError::AnswerLost(_))
    );

    write(store, vec![put("k", "2")]).await;
    write(store, vec![put("l", "2")]).await;
    let mut watch = store.watch(prefix(""), seen + 1).await.unwrap();
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!(keys(&batch), ["k", "l"]);
    assert_eq!(batch.revision, seen + 2);
}

async fn a_watch_reports_expired_leases<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let lease = store.grant(Duration::from_secs(10)).await.unwrap();
    let leased = Write::Put {
        key: "k".into(),
        value: Bytes::new(),
        lease: Some(lease),
    };
    let written = write(store, vec![leased]).await;
    let mut watch = store.watch(prefix(""), written + 1).await.unwrap();
    bed.platform.advance(Duration::from_secs(10));
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!(batch.deleted, ["k"]);
    assert_eq!(batch.revision, written + 1);
}

/// A daemon was disconnected for so long that the platform has dropped the history that
/// it missed. If it resumed as if nothing had happened, it would keep settings that
/// were changed long ago.
async fn a_watch_from_before_the_history_fails<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let missed = write(store, vec![put("k", "1")]).await;
    let kept = write(store, vec![put("k", "2")]).await;
    bed.platform.compact();
    // The platform may report it at once or with the first message.
    let error = match store.watch(prefix(""), missed).await {
        Ok(mut watch) => next_change(&mut watch).await.unwrap_err(),
        Err(error) => error,
    };
    assert_matches!(error, StoreError::Compacted(revision) if revision == kept);
    let mut watch = store.watch(prefix(""), kept).await.unwrap();
    assert_eq!(next_change(&mut watch).await.unwrap().revision, kept);
}

async fn a_watch_that_falls_behind_the_history_fails<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let first = write(store, vec![put("k", "1")]).await;
    let mut watch = store.watch(prefix(""), first + 1).await.unwrap();
    hold_watches(&bed, true);
    write(store, vec![put("k", "2")]).await;
    write(store, vec![put("k", "3")]).await;
    bed.platform.compact();
    hold_watches(&bed, false);
    let result = next_change(&mut watch).await;
    assert_matches!(result, Err(StoreError::Compacted(_)));
}

async fn a_broken_watch_ends_with_an_error<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let mut watch = store.watch(prefix(""), 2).await.unwrap();
    bed.platform.change_faults(outage(true));
    assert_matches!(
        next_change(&mut watch).await,
        Err(StoreError::AnswerLost(_))
    );
    drop(watch);
    assert!(store.watch(prefix(""), 2).await.is_err());
    bed.platform.change_faults(outage(false));
    store.watch(prefix(""), 2).await.unwrap();
}

async fn a_held_watch_reports_later<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let mut watch = store.watch(prefix(""), 2).await.unwrap();
    hold_watches(&bed, true);
    write(store, vec![put("k", "")]).await;
    let early = tokio::time::timeout(Duration::from_millis(50), watch.next()).await;
    assert!(early.is_err(), "{early:?}");
    hold_watches(&bed, false);
    let batch = next_change(&mut watch).await.unwrap();
    assert_eq!(keys(&batch), ["k"]);
}

fn hold_watches<S>(bed: &TestBed<S>, hold: bool) {
    bed.platform.change_faults(FaultChange {
        hold_watches: Some(hold),
        ..FaultChange::default()
    });
}

/// The platform continues writing while it sends old events, so that the revision in a
/// message's header is ahead of them. A reader that resumed after that revision would
/// miss the changes in between.
#[test]
fn a_message_counts_as_seen_up_to_its_last_event() {
    let json = serde_json::json!({
        "header": { "revision": "9" },
        "events": [{ "kv": { "key": "aw==", "mod_revision": "5" } }],
    });
    let response: WatchResponse = serde_json::from_value(json).unwrap();
    assert_eq!(WatchBatch::try_from(response).unwrap().revision, 5);
    let progress = serde_json::json!({ "header": { "revision": "9" } });
    let response: WatchResponse = serde_json::from_value(progress).unwrap();
    assert_eq!(WatchBatch::try_from(response).unwrap().revision, 9);
}

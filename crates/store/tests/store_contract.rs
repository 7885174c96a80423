//! Behaviour that all implementations of the store share.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests fail the test"
)]

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use comfreyramp_store::{
    Comparison, KeyRange, MAX_TRANSACTION_STEPS, MAX_VALUE_BYTES, PlatformStore, StoreError,
    TransactionAnswer, Write,
};

use common::{TestBed, absent, batch, one, prefix, put, value_of, write};

on_both_stores!(
    ranges_are_read_in_key_order,
    transactions_write_together_or_not_at_all,
    comparisons_hold_as_named,
    too_large_writes_are_rejected,
    leased_keys_are_deleted_unless_renewed,
    revoking_a_lease_deletes_its_keys,
);

async fn ranges_are_read_in_key_order<S: PlatformStore>(bed: TestBed<S>) {
    let keys = ["a/1", "a/2", "a/3", "b"];
    let writes = keys.iter().rev().map(|key| put(key, key)).collect();
    let revision = write(&bed.store, writes).await;

    let answer = bed.store.range(prefix("a/"), 0).await.unwrap();
    let read: Vec<&str> = answer.pairs.iter().map(|it| it.key.as_str()).collect();
    assert_eq!(read, ["a/1", "a/2", "a/3"]);
    assert_eq!((answer.revision, answer.more), (revision, false));

    let answer = bed.store.range(prefix("a/"), 2).await.unwrap();
    assert_eq!((answer.pairs.len(), answer.more), (2, true));

    let keys_only = bed.store.read_keys(prefix("a/")).await.unwrap();
    let mut without_values = bed.store.range(prefix("a/"), 0).await.unwrap();
    for pair in &mut without_values.pairs {
        pair.value = Bytes::new();
    }
    assert_eq!(keys_only, without_values);

    let between = KeyRange::Between("a/2".into(), "b".into());
    let answer = bed.store.range(between, 0).await.unwrap();
    let read: Vec<&str> = answer.pairs.iter().map(|it| it.key.as_str()).collect();
    assert_eq!(read, ["a/2", "a/3"]);

    let answer = bed.store.range(prefix(""), 0).await.unwrap();
    assert_eq!(answer.pairs.len(), keys.len());
}

async fn transactions_write_together_or_not_at_all<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let first = batch(vec![absent("k")], vec![put("k", "one"), put("l", "one")]);
    let answer = store.transact(first.clone()).await.unwrap();
    let written = assert_matches!(answer, TransactionAnswer::Written(revision) => revision);

    let mut again = first;
    again.then = vec![put("k", "two"), Write::Delete("l".into())];
    again.read_back = vec!["k".into(), "absent".into()];
    let answer = store.transact(again).await.unwrap();
    let found = assert_matches!(answer, TransactionAnswer::Refused { found, .. } => found);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].value, "one");
    assert_eq!(
        (found[0].created, found[0].modified, found[0].version),
        (written, written, 1)
    );
    assert_eq!(value_of(store, "l").await.as_deref(), Some("one"));
}

async fn comparisons_hold_as_named<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let revision = write(store, vec![put("k", "")]).await;
    let key = || "k".to_owned();
    let cases = [
        (Comparison::Absent(key()), false),
        (Comparison::Present(key()), true),
        (Comparison::ModifiedAt(key(), revision), true),
        (Comparison::ModifiedAt(key(), revision - 1), false),
        (Comparison::Absent("other".into()), true),
        (Comparison::Present("other".into()), false),
        (Comparison::ModifiedAt("other".into(), 0), true),
    ];
    for (comparison, holds) in cases {
        let only_compare = batch(vec![comparison.clone()], Vec::new());
        let answer = store.transact(only_compare).await.unwrap();
        let held = matches!(answer, TransactionAnswer::Written(_));
        assert_eq!(held, holds, "{comparison:?}");
    }
}

async fn too_large_writes_are_rejected<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let sized = |length| Write::Put {
        key: "k".into(),
        value: Bytes::from(vec![b'x'; length]),
        lease: None,
    };
    write(store, vec![sized(MAX_VALUE_BYTES)]).await;
    let too_large = batch(Vec::new(), vec![put("l", ""), sized(MAX_VALUE_BYTES + 1)]);
    let result = store.transact(too_large).await;
    assert_matches!(result, Err(StoreError::Rejected(_)));
    assert_eq!(value_of(store, "l").await, None);

    let steps = (0..=MAX_TRANSACTION_STEPS).map(|it| put(&it.to_string(), ""));
    let result = store.transact(batch(Vec::new(), steps.collect())).await;
    assert_matches!(result, Err(StoreError::Rejected(_)));
}

async fn leased_keys_are_deleted_unless_renewed<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let lease = store.grant(Duration::from_secs(10)).await.unwrap();
    let leased = Write::Put {
        key: "k".into(),
        value: Bytes::new(),
        lease: Some(lease),
    };
    write(store, vec![leased.clone()]).await;

    bed.platform.advance(Duration::from_secs(9));
    let left = store.renew(lease).await.unwrap();
    assert_eq!(left, Duration::from_secs(10));
    bed.platform.advance(Duration::from_secs(9));
    assert_eq!(value_of(store, "k").await.as_deref(), Some(""));

    bed.platform.advance(Duration::from_secs(1));
    assert_eq!(value_of(store, "k").await, None);
    assert_matches!(store.renew(lease).await, Err(StoreError::LeaseLapsed));
    let result = store.transact(batch(Vec::new(), vec![leased])).await;
    assert_matches!(result, Err(StoreError::LeaseLapsed));
    assert_eq!(value_of(store, "k").await, None);
}

async fn revoking_a_lease_deletes_its_keys<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let lease = store.grant(Duration::from_secs(10)).await.unwrap();
    let leased = Write::Put {
        key: "k".into(),
        value: Bytes::new(),
        lease: Some(lease),
    };
    write(store, vec![leased, put("l", "stays")]).await;
    store.revoke(lease).await.unwrap();
    let answer = store.range(prefix(""), 0).await.unwrap();
    assert_eq!(answer.pairs.len(), 1);
    assert_eq!(answer.pairs[0].key, "l");
    assert_matches!(store.revoke(lease).await, Err(StoreError::LeaseLapsed));
    assert!(store.range(one("k"), 0).await.unwrap().pairs.is_empty());
}

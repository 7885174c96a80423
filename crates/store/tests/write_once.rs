//! Writes that are repeated after a lost answer.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests fail the test"
)]

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_standins::platform::LostAnswers;
use comfreyramp_store::{
    Comparison, KeyValue, PlatformStore, RetryPolicy, StoreError, TransactionAnswer, Write,
    WriteBatch, WriteOnceOutcome, WriteOnceState, WriteOnceStep, write_once,
};

use common::{
    SLOW, TestBed, absent, batch, gateway_bed, lose, one, outage, put, quick_retries, slow,
    store_with_short_timeout, value_of, write,
};

on_both_stores!(
    a_lost_answer_is_read_back,
    a_write_without_any_answer_stays_undecided,
    a_failed_comparison_is_a_refusal,
    an_outage_before_the_first_attempt_is_reported_as_such,
    one_of_two_racing_writers_wins,
    a_deletion_is_read_back,
);

fn create(key: &str, value: &str) -> WriteBatch {
    batch(vec![absent(key)], vec![put(key, value)])
}

/// The platform applies a write and its answer is lost. Sent again, the write conflicts
/// with its own first attempt; a caller that takes this for another writer's would
/// report a conflict although its change is in force.
async fn a_lost_answer_is_read_back<S: PlatformStore>(bed: TestBed<S>) {
    for lost in 1..4 {
        let key = format!("k{lost}");
        bed.platform.change_faults(lose(LostAnswers::Next(lost)));
        let outcome = write_once(&bed.store, create(&key, "mine"), quick_retries()).await;
        let written = assert_matches!(outcome, Ok(WriteOnceOutcome::Written(revision)) => revision);
        let pair = bed.store.range(one(&key), 0).await.unwrap().pairs.remove(0);
        assert_eq!((pair.modified, pair.version), (written, 1));
    }
}

async fn a_write_without_any_answer_stays_undecided<S: PlatformStore>(bed: TestBed<S>) {
    bed.platform.change_faults(lose(LostAnswers::All(true)));
    let outcome = write_once(&bed.store, create("k", "mine"), quick_retries()).await;
    assert_matches!(outcome, Err(StoreError::AnswerLost(_)));
    assert_eq!(bed.platform.calls().txn, 4);
    assert_eq!(value_of(&bed.store, "k").await.as_deref(), Some("mine"));
}

async fn a_failed_comparison_is_a_refusal<S: PlatformStore>(bed: TestBed<S>) {
    write(&bed.store, vec![put("k", "theirs")]).await;
    let outcome = write_once(&bed.store, create("k", "mine"), quick_retries()).await;
    let found = assert_matches!(outcome, Ok(WriteOnceOutcome::Refused { found, .. }) => found);
    assert_eq!(found[0].value, "theirs");
    assert_eq!(bed.platform.calls().txn, 2);
}

async fn an_outage_before_the_first_attempt_is_reported_as_such<S: PlatformStore>(bed: TestBed<S>) {
    bed.platform.change_faults(outage(true));
    let outcome = write_once(&bed.store, create("k", "mine"), quick_retries()).await;
    assert_matches!(
        outcome,
        Err(StoreError::Unreachable(_) | StoreError::AnswerLost(_))
    );
    bed.platform.change_faults(outage(false));
    assert_eq!(value_of(&bed.store, "k").await, None);
}

/// Two operators change the same key at the same time while answers are lost. If both
/// were told that they succeeded, one change would vanish silently.
async fn one_of_two_racing_writers_wins<S: PlatformStore>(bed: TestBed<S>) {
    for lost in 0..6 {
        let key = format!("k{lost}");
        bed.platform.change_faults(lose(LostAnswers::Next(lost)));
        let (first, second) = tokio::join!(
            write_once(&bed.store, create(&key, "first"), quick_retries()),
            write_once(&bed.store, create(&key, "second"), quick_retries()),
        );
        let value = value_of(&bed.store, &key).await.unwrap();
        for (outcome, own) in [(first, "first"), (second, "second")] {
            let won = matches!(outcome, Ok(WriteOnceOutcome::Written(_)));
            assert_eq!(won, value == own, "{lost} lost: {own} got {outcome:?}");
        }
    }
}

async fn a_deletion_is_read_back<S: PlatformStore>(bed: TestBed<S>) {
    let revision = write(&bed.store, vec![put("k", "")]).await;
    bed.platform.change_faults(lose(LostAnswers::Next(1)));
    let when = vec![Comparison::ModifiedAt("k".into(), revision)];
    let delete = batch(when, vec![Write::Delete("k".into())]);
    let outcome = write_once(&bed.store, delete, quick_retries()).await;
    assert_matches!(outcome, Ok(WriteOnceOutcome::Written(_)));
    assert_eq!(value_of(&bed.store, "k").await, None);
}

/// The platform is slow, the writer times out and sends its write again, and the first
/// copy arrives after the second. If both took effect, the late copy would undo what
/// others wrote in between.
#[tokio::test]
async fn a_copy_that_arrives_late_has_no_effect() {
    let bed = gateway_bed().await;
    bed.platform.change_faults(slow(SLOW));
    let first = store_with_short_timeout(&bed.base_url)
        .transact(create("k", "mine"))
        .await;
    assert_matches!(first, Err(StoreError::AnswerLost(_)));
    bed.platform.change_faults(slow(Duration::ZERO));
    let outcome = write_once(&bed.store, create("k", "mine"), quick_retries()).await;
    let written = assert_matches!(outcome, Ok(WriteOnceOutcome::Written(revision)) => revision);
    let when = vec![Comparison::ModifiedAt("k".into(), written)];
    let next = batch(when, vec![put("k", "next")]);
    write_once(&bed.store, next, quick_retries()).await.unwrap();
    tokio::time::sleep(SLOW).await;
    assert_eq!(value_of(&bed.store, "k").await.as_deref(), Some("next"));
}

fn pair(value: &'static str, modified: i64) -> KeyValue {
    KeyValue {
        key: "k".into(),
        value: value.into(),
        modified,
        created: 3,
        version: 1,
    }
}

fn refused(found: Vec<KeyValue>) -> Result<TransactionAnswer, StoreError> {
    Ok(TransactionAnswer::Refused { found, revision: 9 })
}

/// The first attempt's answer is lost, then the platform can't be reached at all.
/// Reported as "unreachable", the caller would assume that nothing ran.
#[test]
fn an_outage_after_a_lost_answer_is_no_proof_of_not_run() {
    let mut state = WriteOnceState::new(&mut create("k", "mine")).unwrap();
    let lost = Err(StoreError::AnswerLost(String::new()));
    assert_matches!(state.on_result(lost), WriteOnceStep::Again);
    let unreachable = || Err(StoreError::Unreachable(String::new()));
    assert_matches!(state.on_result(unreachable()), WriteOnceStep::Again);
    let step = state.on_result(refused(vec![pair("mine", 4)]));
    assert_matches!(step, WriteOnceStep::Done(Ok(WriteOnceOutcome::Written(4))));

    let mut state = WriteOnceState::new(&mut create("k", "mine")).unwrap();
    let step = state.on_result(unreachable());
    assert_matches!(step, WriteOnceStep::Done(Err(StoreError::Unreachable(_))));
}

/// An answer is lost, and by the next attempt another writer has written the key. It is
/// unknown whether this write was in force for a moment.
#[test]
fn a_key_overwritten_after_a_lost_answer_is_reported_as_overtaken() {
    let mut state = WriteOnceState::new(&mut create("k", "mine")).unwrap();
    let lost = Err(StoreError::AnswerLost(String::new()));
    assert_matches!(state.on_result(lost), WriteOnceStep::Again);
    let step = state.on_result(refused(vec![pair("theirs", 5)]));
    let found = assert_matches!(
        step,
        WriteOnceStep::Done(Ok(WriteOnceOutcome::Superseded { found, .. })) => found
    );
    assert_eq!(found[0].value, "theirs");
}

/// Another writer deletes a key that the batch would have deleted beside its write. The
/// missing key must not be taken as proof that the batch took effect.
#[test]
fn a_missing_key_is_no_sign_of_a_batch_that_also_writes() {
    let when = vec![Comparison::ModifiedAt("k".into(), 4)];
    let then = vec![Write::Delete("k".into()), put("l", "mine")];
    let mut state = WriteOnceState::new(&mut batch(when, then)).unwrap();
    let lost = Err(StoreError::AnswerLost(String::new()));
    assert_matches!(state.on_result(lost), WriteOnceStep::Again);
    let step = state.on_result(refused(Vec::new()));
    assert_matches!(
        step,
        WriteOnceStep::Done(Ok(WriteOnceOutcome::Superseded { .. }))
    );
}

/// A batch could take effect twice, and its repetition would undo a change that another
/// writer made in between.
#[test]
fn a_batch_that_compares_nothing_it_writes_is_rejected() {
    let cases = [
        batch(vec![], vec![put("k", "")]),
        batch(vec![absent("other")], vec![put("k", "")]),
        batch(vec![Comparison::Present("k".into())], vec![put("k", "")]),
    ];
    for mut batch in cases {
        let result = WriteOnceState::new(&mut batch);
        assert_matches!(result, Err(StoreError::Rejected(_)), "{batch:?}");
    }
}

#[test]
fn waits_double_up_to_a_bound_and_differ_by_seed() {
    let policy = RetryPolicy::new(1)
        .attempts(8)
        .first_delay(Duration::from_millis(100))
        .max_delay(Duration::from_millis(800));
    let delays: Vec<Duration> = policy.delays().collect();
    assert_eq!(delays.len(), 7);
    for (repetition, delay) in delays.iter().enumerate() {
        let max_delay = Duration::from_millis(100 << repetition.min(3));
        assert!(*delay <= max_delay && *delay >= max_delay / 2, "{delays:?}");
    }
    let same: Vec<Duration> = policy.delays().collect();
    assert_eq!(delays, same);
    let other = RetryPolicy { seed: 2, ..policy };
    assert_ne!(delays, other.delays().collect::<Vec<_>>());
}

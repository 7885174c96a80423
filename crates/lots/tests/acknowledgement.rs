//! A lot is acknowledged only when it is stored, completely or not at all.

#![allow(clippy::unwrap_used, reason = "helpers of tests are tests too")]

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_lots::{BatchObject, BatchStatus, LotError};
use comfreyramp_standins::platform::{FaultChange, LostAnswers, MemoryStore};
use support::*;

const MINUTE: Duration = Duration::from_secs(60);
/// Three segments, so that an upload takes more than one write.
const ITEMS: usize = 600;
/// The writes of a submission: the upload's expiry entry, two segments, the
/// record with the third segment, the lot.
const WRITES: usize = 5;

/// What a client sees at another daemon: either nothing or the complete lot.
async fn visible(lots: &Lots) -> Option<BatchObject> {
    let page = lots.list(CUSTOMER, None, 10).await.unwrap();
    assert!(page.lots.len() <= 1);
    let lot = page.lots.into_iter().next()?;
    assert_eq!(lot.request_counts.total as usize, ITEMS);
    let content = read(lots, CUSTOMER, &lot.input_file_id).await.unwrap();
    assert_eq!(content, input(ITEMS));
    Some(lot)
}

/// Submits the job again to another daemon and runs it to the end.
async fn resend_and_run(store: &MemoryStore, seen: Option<&BatchObject>) {
    let service = TestService::with_duration(Duration::from_secs(1));
    let daemon = TestDaemon::start("two", DaemonStore::new(store), &service, 64);
    let lot = submit(&daemon.lots, CUSTOMER, ITEMS).await.unwrap();
    if let Some(seen) = seen {
        assert_eq!(lot.id, seen.id);
    }
    let lot = wait_for(&daemon.lots, &lot.id, BatchStatus::Completed, 5 * MINUTE).await;
    assert_eq!(check_results(&daemon.lots, &lot).await, (ITEMS, 0));
    assert_eq!(service.total_runs() as usize, ITEMS);
    let page = daemon.lots.list(CUSTOMER, None, 10).await.unwrap();
    assert_eq!(page.lots.len(), 1, "the repeated job created a second lot");
    daemon.drain().await;
}

// A daemon crashes while it accepts a job, before or after any of its writes.
// The client gets no answer and submits the whole job to another daemon. That
// must give exactly one lot, and the incomplete first attempt must never be
// visible.
#[tokio::test(start_paused = true)]
async fn a_daemon_lost_at_any_step_leaves_all_or_nothing() {
    for step in 0..WRITES {
        for takes_effect in [false, true] {
            let store = MemoryStore::default();
            let crashing = DaemonStore::new(&store).crashes_at(step, takes_effect);
            let first = lots(&crashing);
            let submitting = submit(&first, CUSTOMER, ITEMS);
            let answer = tokio::time::timeout(MINUTE, submitting).await;
            assert!(answer.is_err(), "step {step} was past the acknowledgement");
            let seen = visible(&lots(&DaemonStore::new(&store))).await;
            let is_whole = step == WRITES - 1 && takes_effect;
            assert_eq!(
                seen.is_some(),
                is_whole,
                "step {step}, takes effect: {takes_effect}"
            );
            resend_and_run(&store, seen.as_ref()).await;
        }
    }
}

// Guards the test above: if a submission made more writes than `WRITES`, the
// additional steps would go untested.
#[tokio::test(start_paused = true)]
async fn the_steps_are_all_there_are() {
    let store = MemoryStore::default();
    let daemon = DaemonStore::new(&store).crashes_at(WRITES, false);
    let lots = lots(&daemon);
    let lot = submit(&lots, CUSTOMER, ITEMS).await.unwrap();
    assert_eq!(visible(&lots).await.unwrap().id, lot.id);
    assert_eq!(store.platform.calls().txn as usize, WRITES);
}

// The store performs a write, but its answer is lost. The daemon repeats the
// write and must recognize the effect of its own first attempt.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_at_any_step_changes_nothing() {
    for step in 0..WRITES {
        let store = MemoryStore::default();
        let lots = lots(&DaemonStore::new(&store).loses_answer_of(step));
        let lot = submit(&lots, CUSTOMER, ITEMS).await.unwrap();
        let seen = visible(&lots).await.unwrap();
        assert_eq!(seen.id, lot.id, "step {step}");
        resend_and_run(&store, Some(&lot)).await;
    }
}

// All answers of the store are lost for a while. The client must be told that
// the job may have been accepted, and gets the same lot by submitting it again.
#[tokio::test(start_paused = true)]
async fn an_unanswered_job_is_reported_as_unknown() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let file = upload(&lots, CUSTOMER, &input(ITEMS)).await.unwrap();
    let lose = |all| FaultChange {
        lose_answers: Some(LostAnswers::All(all)),
        ..FaultChange::default()
    };
    store.platform.change_faults(lose(true));
    let error = lots.create(CUSTOMER, &new_lot(&file)).await.unwrap_err();
    assert!(error.may_have_run(), "{error}");
    store.platform.change_faults(lose(false));
    let seen = visible(&lots).await.unwrap();
    resend_and_run(&store, Some(&seen)).await;
}

// The store is unavailable. A job accepted now would be lost if the daemon
// crashed, so it must be rejected, and reported as not accepted.
#[tokio::test(start_paused = true)]
async fn without_the_platform_nothing_is_acknowledged() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    store.platform.change_faults(outage(true));
    let error = submit(&lots, CUSTOMER, ITEMS).await.unwrap_err();
    assert_matches!(error, LotError::Store(_));
    assert!(!error.may_have_run());
    store.platform.change_faults(outage(false));
    assert_eq!(visible(&lots).await, None);
    resend_and_run(&store, None).await;
}

// A client submits the same job to two daemons at the same time.
#[tokio::test(start_paused = true)]
async fn a_job_sent_to_two_daemons_at_once_is_one_lot() {
    let store = MemoryStore::default();
    let one = lots(&DaemonStore::new(&store));
    let two = lots(&DaemonStore::new(&store));
    let both = tokio::join!(submit(&one, CUSTOMER, ITEMS), submit(&two, CUSTOMER, ITEMS));
    assert_eq!(both.0.unwrap().id, both.1.unwrap().id);
    assert!(visible(&one).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_idempotency_key_makes_the_lot() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let file = upload(&lots, CUSTOMER, &input(3)).await.unwrap();
    let mut first = new_lot(&file);
    first.job_key = Some("monday".to_owned());
    let mut second = first.clone();
    second.job_key = Some("tuesday".to_owned());
    let one = lots.create(CUSTOMER, &first).await.unwrap();
    let two = lots.create(CUSTOMER, &second).await.unwrap();
    assert_ne!(one.id, two.id);
    assert_eq!(lots.create(CUSTOMER, &first).await.unwrap().id, one.id);
    let mut other = first.clone();
    other.completion_window = "7d".parse().unwrap();
    let error = lots.create(CUSTOMER, &other).await.unwrap_err();
    assert_matches!(error, LotError::KeyReused);
}

// Without an idempotency key, an identical request counts as a repetition for
// one day. A job submitted every week must not return last week's results.
#[tokio::test(start_paused = true)]
async fn an_equal_request_is_a_new_lot_after_a_day() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let first = submit(&lots, CUSTOMER, 3).await.unwrap();
    tokio::time::sleep(Duration::from_secs(23 * 3600)).await;
    assert_eq!(submit(&lots, CUSTOMER, 3).await.unwrap().id, first.id);
    tokio::time::sleep(Duration::from_secs(2 * 3600)).await;
    let second = submit(&lots, CUSTOMER, 3).await.unwrap();
    assert_ne!(second.id, first.id);
    assert_eq!(submit(&lots, CUSTOMER, 3).await.unwrap().id, second.id);
}

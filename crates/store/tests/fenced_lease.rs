//! Fenced leases whose holders are paused, cut off or restarted, and whose answers are
//! late or lost.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests fail the test"
)]

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_policy::Timestamp;
use comfreyramp_standins::platform::LostAnswers;
use comfreyramp_store::{
    AcquireOutcome, FencedLease, LeaseRequest, LeaseTerm, PlatformStore, StoreError,
    TransactionAnswer, WriteBatch,
};

use common::{TestBed, batch, lose, outage, prefix, put, quick_retries, value_of};

const TTL: Duration = Duration::from_secs(10);
const START: Timestamp = Timestamp::from_micros(1_000_000);

on_both_stores!(
    one_holder_at_a_time,
    a_paused_holder_detects_that_its_lease_expired,
    a_renewed_lease_runs_on,
    a_renewal_without_an_answer_leaves_the_old_term,
    a_claim_whose_answer_is_lost_is_held_or_given_back,
    one_of_two_racing_claims_wins,
    a_restarted_holder_is_no_longer_the_old_one,
);

fn request(holder: &str) -> LeaseRequest {
    LeaseRequest {
        key: "leases/lot-1".into(),
        holder: holder.into(),
        ttl: TTL,
    }
}

async fn acquire(
    store: &impl PlatformStore,
    holder: &str,
    now: Timestamp,
) -> Result<AcquireOutcome, StoreError> {
    FencedLease::acquire(store, &request(holder), quick_retries(), now).await
}

async fn hold(store: &impl PlatformStore, holder: &str, now: Timestamp) -> FencedLease {
    match acquire(store, holder, now).await.unwrap() {
        AcquireOutcome::Held(lease) => lease,
        taken => panic!("{holder} got {taken:?}"),
    }
}

fn guarded(lease: &FencedLease, value: &str) -> WriteBatch {
    batch(vec![lease.guard()], vec![put("result", value)])
}

async fn one_holder_at_a_time<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let first = hold(store, "a", START).await;
    let taken = acquire(store, "b", START).await.unwrap();
    assert_matches!(taken, AcquireOutcome::Taken { holder: Some(it) } if it == "a");

    let fence = first.fence;
    first.release(store).await.unwrap();
    let second = hold(store, "b", START).await;
    assert!(second.fence > fence);
}

/// A daemon is paused past the end of its lease, and another takes over its work. When
/// the first resumes it assumes that it still holds the lease; its writes must not be
/// stored beside, or replace, the new holder's results.
async fn a_paused_holder_detects_that_its_lease_expired<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let paused = hold(store, "a", START).await;
    assert!(paused.is_valid(START + TTL * 8 / 10));
    // The lease has ended by the holder's clock, but not yet on the platform.
    let pause = TTL * 9 / 10;
    bed.platform.advance(pause);
    assert!(!paused.is_valid(START + pause));
    let taken = acquire(store, "b", START + pause).await.unwrap();
    assert_matches!(taken, AcquireOutcome::Taken { .. });

    bed.platform.advance(TTL / 10);
    let woken = START + TTL;
    let holder = hold(store, "b", woken).await;
    assert!(holder.fence > paused.fence);
    let late = store.transact(guarded(&paused, "late")).await.unwrap();
    assert_matches!(late, TransactionAnswer::Refused { .. });
    let own = store.transact(guarded(&holder, "own")).await.unwrap();
    assert_matches!(own, TransactionAnswer::Written(_));
    assert_eq!(value_of(store, "result").await.as_deref(), Some("own"));

    let mut paused = paused;
    let renewed = paused.renew(store, woken).await;
    assert_matches!(renewed, Err(StoreError::LeaseLapsed));
    assert!(!paused.is_valid(woken));
    paused.release(store).await.unwrap();
    assert!(holder.is_valid(woken));
    let own = store.transact(guarded(&holder, "more")).await.unwrap();
    assert_matches!(own, TransactionAnswer::Written(_));
}

async fn a_renewed_lease_runs_on<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let mut lease = hold(store, "a", START).await;
    let mut now = START;
    for _ in 0..5 {
        assert!(!lease.is_renewal_due(now + TTL / 4));
        now = now + TTL / 2;
        bed.platform.advance(TTL / 2);
        assert!(lease.is_renewal_due(now));
        lease.renew(store, now).await.unwrap();
    }
    assert!(lease.is_valid(now + TTL / 2));
    let written = store.transact(guarded(&lease, "own")).await.unwrap();
    assert_matches!(written, TransactionAnswer::Written(_));
}

/// The platform is down when a lease should be renewed. The holder must neither stop at
/// once nor continue past the term that it knows of.
async fn a_renewal_without_an_answer_leaves_the_old_term<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let mut lease = hold(store, "a", START).await;
    let later = START + TTL / 2;
    bed.platform.advance(TTL / 2);
    bed.platform.change_faults(outage(true));
    lease.renew(store, later).await.unwrap_err();
    assert!(lease.is_valid(later));
    assert!(!lease.is_valid(START + TTL));
    bed.platform.change_faults(outage(false));

    bed.platform.change_faults(lose(LostAnswers::Next(1)));
    let renewed = lease.renew(store, later).await;
    assert_matches!(renewed, Err(StoreError::AnswerLost(_)));
    assert!(!lease.is_valid(START + TTL));
    lease.renew(store, later).await.unwrap();
    assert!(lease.is_valid(START + TTL));
}

/// Answers are lost while a daemon claims a lease. It must not assume that it holds a
/// lease that it doesn't, and a lease that it doesn't know it holds must not stay
/// locked.
async fn a_claim_whose_answer_is_lost_is_held_or_given_back<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    // The lost answers: that to the grant, that to the claim, those to all claims.
    for (answer, lost, held) in [(0, 1, false), (1, 1, true), (1, 4, false)] {
        let faults = LostAnswers::Later { answer, lose: lost };
        bed.platform.change_faults(lose(faults));
        let outcome = acquire(store, "a", START).await;
        bed.platform.change_faults(lose(LostAnswers::Next(0)));
        let in_force = store.range(prefix("leases/"), 0).await.unwrap().pairs;
        match outcome {
            Ok(AcquireOutcome::Held(lease)) => {
                assert!(held);
                assert_eq!(in_force[0].created, lease.fence);
                lease.release(store).await.unwrap();
            }
            outcome => {
                assert!(!held, "{answer} answered, {lost} lost: {outcome:?}");
                assert!(in_force.is_empty(), "left locked: {in_force:?}");
            }
        }
    }
}

async fn one_of_two_racing_claims_wins<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let (first, second) = tokio::join!(acquire(store, "a", START), acquire(store, "b", START));
    let held = [first, second].map(|it| matches!(it, Ok(AcquireOutcome::Held(_))));
    assert_ne!(held[0], held[1]);
}

/// A daemon is restarted under its old name and finds its own lease. Writes that the
/// old process had in flight must not count as the new one's.
async fn a_restarted_holder_is_no_longer_the_old_one<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    let old = hold(store, "a", START).await;
    bed.platform
        .change_faults(lose(LostAnswers::Later { answer: 1, lose: 1 }));
    let again = acquire(store, "a", START).await.unwrap();
    assert_matches!(again, AcquireOutcome::Taken { holder: Some(it) } if it == "a");
    bed.platform.advance(TTL);
    let new = hold(store, "a", START + TTL).await;
    assert!(new.fence > old.fence);
    let late = store.transact(guarded(&old, "late")).await.unwrap();
    assert_matches!(late, TransactionAnswer::Refused { .. });
}

/// The platform takes three seconds to grant a lease. If the term were counted from the
/// answer, the holder would continue for three seconds after the platform admitted
/// others.
#[test]
fn a_term_counts_from_before_the_call() {
    let answered = START + Duration::from_secs(3);
    let term = LeaseTerm::new(START, TTL);
    assert_eq!(term.left(answered), Duration::from_secs(6));
    let mut term = term;
    term.renew(answered, TTL);
    assert!(term.is_valid(answered + Duration::from_secs(8)));
    // The answer to an earlier renewal arrives later.
    term.renew(START + Duration::from_secs(1), TTL);
    assert!(term.is_valid(answered + Duration::from_secs(8)));
    term.end();
    assert!(!term.is_valid(START));
}

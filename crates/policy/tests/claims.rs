//! Tests of single rules of the claims, which make sure that a call runs at most once.

mod claims_store;

use std::time::Duration;

use assert_matches::assert_matches;
use claims_store::{Store, at};
use comfreyramp_policy::{
    AnswerRef, ClaimCause, ClaimKey, ClaimState, ClaimTracker, ClaimVerdict, Fingerprint,
    GroupAnswer, Incarnation, RunState, Timestamp,
};

const BODY: Fingerprint = Fingerprint(5);

/// Writes the next group of claims to the store and passes the answer to the tracker.
fn write(tracker: &mut ClaimTracker, store: &mut Store, now: Timestamp) -> GroupAnswer {
    let group = tracker.next_group(now).expect("a group");
    let answer = store.transact(&group.records, now);
    tracker.group_answer(group.number, &answer, now);
    answer
}

/// A daemon is paused right after its claim was written. When it resumes, the record
/// has expired and the call was made through another daemon.
#[test]
fn a_paused_daemon_does_not_send_on_an_old_claim() {
    let mut store = Store::default();
    let mut paused = ClaimTracker::new(Incarnation(1));
    let key = ClaimKey(1);
    let ticket = paused.claim(key, BODY, at(60.0), at(1.0)).unwrap();
    assert_eq!(
        write(&mut paused, &mut store, at(1.0)),
        GroupAnswer::Written
    );

    let later = at(25.0 * 3600.0);
    let mut other = ClaimTracker::new(Incarnation(2));
    let second = other
        .claim(key, BODY, later + Duration::from_secs(9), later)
        .unwrap();
    assert_eq!(write(&mut other, &mut store, later), GroupAnswer::Written);
    assert!(other.start(key, second, later));

    assert_eq!(paused.verdict(key, ticket), ClaimVerdict::Send);
    assert!(!paused.start(key, ticket, later));
    paused.poll(later);
    let verdict = paused.verdict(key, ticket);
    assert_matches!(verdict, ClaimVerdict::Refused(it) if it.run == RunState::No);
    for change in paused.take_changes(10) {
        store.change(change);
    }
    assert_eq!(
        store.records[0].0.ticket, second,
        "the claim of the other daemon stays"
    );
}

/// The daemon with the claim is lost, and it is unknown whether it sent the call.
/// Another daemon must neither send the call nor report that it didn't run.
#[test]
fn a_resend_after_the_claimant_was_lost_is_unknown() {
    let mut store = Store::default();
    let mut lost_daemon = ClaimTracker::new(Incarnation(1));
    lost_daemon
        .claim(ClaimKey(1), BODY, at(60.0), at(1.0))
        .unwrap();
    write(&mut lost_daemon, &mut store, at(1.0));

    let mut other = ClaimTracker::new(Incarnation(2));
    let ticket = other.claim(ClaimKey(1), BODY, at(60.0), at(9.0)).unwrap();
    write(&mut other, &mut store, at(9.0));
    let verdict = other.verdict(ClaimKey(1), ticket);
    assert_matches!(verdict, ClaimVerdict::Refused(refusal) => {
        assert_eq!(refusal.run, RunState::Unknown);
        assert_eq!(refusal.cause, ClaimCause::Claimed);
        assert!(refusal.retry_after > Duration::ZERO);
    });
}

/// The write of a claim succeeds but its answer is lost. If the daemon took the record
/// for another daemon's claim, it would refuse a call that no daemon makes.
#[test]
fn an_own_claim_is_known_again_after_a_lost_answer() {
    let mut store = Store::default();
    let mut tracker = ClaimTracker::new(Incarnation(1));
    let ticket = tracker.claim(ClaimKey(1), BODY, at(60.0), at(1.0)).unwrap();
    let group = tracker.next_group(at(1.0)).unwrap();
    store.transact(&group.records, at(1.0));
    tracker.group_answer(group.number, &GroupAnswer::Lost, at(1.5));
    assert_eq!(tracker.verdict(ClaimKey(1), ticket), ClaimVerdict::Wait);
    let answer = write(&mut tracker, &mut store, at(1.5));
    assert_matches!(answer, GroupAnswer::Found(_));
    assert!(tracker.start(ClaimKey(1), ticket, at(1.6)));
    assert!(
        !tracker.start(ClaimKey(1), ticket, at(1.6)),
        "the claim may start its call only once"
    );
}

/// The platform can't be reached. The call isn't made, the caller gets a refusal at
/// once, and calls shortly after it are refused without another attempt to reach the
/// platform.
#[test]
fn without_the_platform_calls_are_refused_and_not_run() {
    let mut tracker = ClaimTracker::new(Incarnation(1));
    let ticket = tracker.claim(ClaimKey(1), BODY, at(60.0), at(1.0)).unwrap();
    let group = tracker.next_group(at(1.0)).unwrap();
    tracker.group_answer(group.number, &GroupAnswer::Unreachable, at(1.1));
    let verdicts = [
        tracker.verdict(ClaimKey(1), ticket),
        tracker
            .claim(ClaimKey(2), BODY, at(60.0), at(1.2))
            .unwrap_err(),
    ];
    for verdict in verdicts {
        assert_matches!(verdict, ClaimVerdict::Refused(refusal) => {
            assert_eq!(refusal.run, RunState::No);
            assert_eq!(refusal.cause, ClaimCause::NoPlatform);
            assert!(refusal.retry_after > Duration::ZERO);
        });
    }
    assert!(tracker.claim(ClaimKey(2), BODY, at(60.0), at(2.2)).is_ok());
    assert!(tracker.take_changes(10).is_empty(), "nothing was written");
}

/// The platform is slow, so the claim is written after the caller's deadline. If the
/// claim stayed in the store, each resend would be answered as unknown for a day.
#[test]
fn a_claim_that_came_too_late_is_released() {
    let mut store = Store::default();
    let mut tracker = ClaimTracker::new(Incarnation(1));
    let ticket = tracker.claim(ClaimKey(1), BODY, at(2.0), at(1.0)).unwrap();
    let group = tracker.next_group(at(1.0)).unwrap();
    store.transact(&group.records, at(2.5));
    tracker.poll(at(2.5));
    tracker.group_answer(group.number, &GroupAnswer::Written, at(2.6));
    let verdict = tracker.verdict(ClaimKey(1), ticket);
    assert_matches!(verdict, ClaimVerdict::Refused(it) if it.run == RunState::No);
    tracker
        .take_changes(10)
        .into_iter()
        .for_each(|it| store.change(it));
    assert!(store.records.is_empty());
}

/// A caller resends a call that was answered, and gets the stored answer. A different
/// call under the same key is refused.
#[test]
fn a_resend_finds_the_answer_and_another_body_is_refused() {
    let mut store = Store::default();
    let mut first = ClaimTracker::new(Incarnation(1));
    let ticket = first.claim(ClaimKey(1), BODY, at(60.0), at(1.0)).unwrap();
    write(&mut first, &mut store, at(1.0));
    assert!(first.start(ClaimKey(1), ticket, at(1.1)));
    first.not_sent(ClaimKey(1), ticket);
    assert!(
        first.start(ClaimKey(1), ticket, at(1.2)),
        "no byte had been sent"
    );
    let answer = AnswerRef("answers/1".to_owned());
    first.finish(ClaimKey(1), ticket, answer.clone());
    for change in first.take_changes(10) {
        store.change(change);
    }
    let found = &store.records[0].0.state;
    assert_matches!(found, ClaimState::Finished { answer: it } if *it == answer);

    let mut second = ClaimTracker::new(Incarnation(2));
    let resent = second.claim(ClaimKey(1), BODY, at(60.0), at(5.0)).unwrap();
    write(&mut second, &mut store, at(5.0));
    assert_eq!(
        second.verdict(ClaimKey(1), resent),
        ClaimVerdict::Answered(answer)
    );
    second.forget(ClaimKey(1), resent);
    let other = second
        .claim(ClaimKey(1), Fingerprint(6), at(60.0), at(6.0))
        .unwrap();
    write(&mut second, &mut store, at(6.0));
    let verdict = second.verdict(ClaimKey(1), other);
    assert_matches!(verdict, ClaimVerdict::Refused(it) if it.cause == ClaimCause::OtherBody);
}

#[test]
fn claims_are_written_together_under_load() {
    let mut tracker = ClaimTracker::new(Incarnation(1));
    let mut store = Store::default();
    let mut groups = 0;
    for millis in 0..1000 {
        let now = at(1.0 + f64::from(millis) / 1000.0);
        let key = ClaimKey(millis as u128);
        tracker.claim(key, BODY, at(60.0), now).unwrap();
        if let Some(group) = tracker.next_group(now) {
            groups += 1;
            assert!(group.records.len() <= 48);
            let answer = store.transact(&group.records, now);
            tracker.group_answer(group.number, &answer, now);
        }
    }
    assert_eq!(groups, 50, "groups for 1000 claims in a second");
    assert!(store.records.len() >= 980);
}

/// The caller disconnects while its call runs. The claim must stay, or a resend would
/// make the call a second time.
#[test]
fn a_call_whose_caller_left_keeps_its_claim() {
    let mut store = Store::default();
    let mut tracker = ClaimTracker::new(Incarnation(1));
    let ticket = tracker.claim(ClaimKey(1), BODY, at(60.0), at(1.0)).unwrap();
    write(&mut tracker, &mut store, at(1.0));
    assert!(tracker.start(ClaimKey(1), ticket, at(1.1)));
    tracker.forget(ClaimKey(1), ticket);
    tracker.poll(at(30.0));
    assert!(tracker.take_changes(10).is_empty());
    tracker.record_lost_answer(ClaimKey(1), ticket);
    tracker
        .take_changes(10)
        .into_iter()
        .for_each(|it| store.change(it));
    assert_eq!(store.records[0].0.state, ClaimState::Unknown);
}

//! Tests of single rules about requests that crash servers.

use std::time::Duration;

use comfreyramp_policy::{
    DaemonId, Fingerprint, Incarnation, NoticeAck, RunEnd, RunId, ServerKey, SuspectTable,
    SuspectVerdict, Timestamp, TrialAnswer, TrialRequest, TrialStep, TrialTracker,
};

const POISON: Fingerprint = Fingerprint(1);

fn at(secs: f64) -> Timestamp {
    Timestamp::from_micros((secs * 1e6) as u64)
}

/// Returns a table without peers in which one run of the poison request killed server
/// 1.
fn table_after_one_death(incarnation: u64) -> SuspectTable {
    let mut table = SuspectTable::new(Incarnation(incarnation));
    let begun = table.begin(POISON, RunId(1), ServerKey(1), at(1.0));
    assert_eq!(begun, SuspectVerdict::Clear);
    let suspects = table.server_died(ServerKey(1), at(2.0));
    assert_eq!(suspects[0].verdict, SuspectVerdict::NeedsTrial);
    table
}

fn grant_trial(
    table: &mut SuspectTable,
    tracker: &mut TrialTracker,
    server: u64,
    now: Timestamp,
) -> TrialRequest {
    let request = table.request_trial(POISON, ServerKey(server), now);
    let request = request.expect("a trial can be requested");
    assert_eq!(tracker.ask(&request, now), TrialAnswer::Granted);
    request
}

/// A daemon is paused for a long time, up to an hour, between the grant of a trial and
/// its start. The old grant must not be used after others had time to act on it.
#[test]
fn a_paused_daemon_does_not_begin_an_old_trial() {
    let mut tracker = TrialTracker::default();
    let mut table = table_after_one_death(1);
    let request = grant_trial(&mut table, &mut tracker, 2, at(3.0));
    table.trial_answer(&request, TrialAnswer::Granted, at(3.1));
    assert_eq!(table.trial_step(POISON, at(3.2)), TrialStep::Start);
    assert_eq!(table.start_trial(POISON, RunId(2), at(3600.0)), None);
    table.poll(at(3600.0));
    for settlement in table.take_settlements() {
        tracker.settle(&settlement);
    }
    grant_trial(&mut table_after_one_death(2), &mut tracker, 3, at(3601.0));
}

/// The daemon that has the trial is lost together with the server. Its result is
/// unknown, and a second trial could cost a third server.
#[test]
fn a_trial_whose_daemon_was_lost_blocks_the_request() {
    let mut tracker = TrialTracker::default();
    let mut lost = table_after_one_death(1);
    grant_trial(&mut lost, &mut tracker, 2, at(3.0));

    let mut other = table_after_one_death(2);
    let request = other.request_trial(POISON, ServerKey(3), at(4.0)).unwrap();
    let answer = tracker.ask(&request, at(4.0));
    other.trial_answer(&request, answer, at(4.0));
    let soon = TrialStep::Refuse(Duration::from_secs(5));
    assert_eq!(other.trial_step(POISON, at(4.0)), soon);

    let request = other
        .request_trial(POISON, ServerKey(3), at(1003.0))
        .unwrap();
    let answer = tracker.ask(&request, at(1003.0));
    other.trial_answer(&request, answer, at(1003.0));
    let late = TrialStep::Refuse(Duration::from_secs(24 * 3600 - 1000));
    assert_eq!(other.trial_step(POISON, at(1003.0)), late);
}

/// Suspects of two daemons would have their trials on the same server. If it died, both
/// would be blocked, one of them without a fault of its own.
#[test]
fn suspects_of_different_daemons_do_not_share_a_server() {
    let mut tracker = TrialTracker::default();
    let mut table = table_after_one_death(1);
    grant_trial(&mut table, &mut tracker, 2, at(3.0));

    let other_suspect = Fingerprint(2);
    let mut other = SuspectTable::new(Incarnation(2));
    other.begin(other_suspect, RunId(1), ServerKey(1), at(1.0));
    other.server_died(ServerKey(1), at(2.0));
    let request = other
        .request_trial(other_suspect, ServerKey(2), at(3.0))
        .unwrap();
    let answer = tracker.ask(&request, at(3.0));
    assert_eq!(answer, TrialAnswer::ServerTaken);
    other.trial_answer(&request, answer, at(3.0));
    assert_eq!(other.trial_step(other_suspect, at(3.0)), TrialStep::Request);
}

/// The answer that grants a trial is lost. A repeated request with the same ticket must
/// not count as a second trial.
#[test]
fn a_repeated_request_for_a_trial_gets_the_same_answer() {
    let mut tracker = TrialTracker::default();
    let mut table = table_after_one_death(1);
    let request = grant_trial(&mut table, &mut tracker, 2, at(3.0));
    assert_eq!(tracker.ask(&request, at(3.5)), TrialAnswer::Granted);
}

/// The caller gives up in the middle of a trial, and the server dies of the request a
/// moment later.
#[test]
fn a_server_that_dies_after_a_stopped_trial_counts() {
    let mut tracker = TrialTracker::default();
    let mut table = table_after_one_death(1);
    let request = grant_trial(&mut table, &mut tracker, 2, at(3.0));
    table.trial_answer(&request, TrialAnswer::Granted, at(3.0));
    assert!(table.start_trial(POISON, RunId(2), at(3.0)).is_some());
    table.end(POISON, RunId(2), RunEnd::Stopped, at(4.0));
    table.server_died(ServerKey(2), at(5.0));
    let verdict = table.verdict(POISON, at(5.0));
    assert_eq!(
        verdict,
        SuspectVerdict::Blocked(Duration::from_secs(24 * 3600))
    );
}

/// A daemon starts after the block, and another one a day later. The first must learn
/// of the block, and the second must find it expired, or callers would be refused
/// forever.
#[test]
fn a_block_reaches_new_daemons_and_expires() {
    let mut table = table_after_one_death(1);
    table.begin(Fingerprint(7), RunId(5), ServerKey(9), at(2.5));
    let mut second = SuspectTable::new(Incarnation(3));
    second.begin(POISON, RunId(1), ServerKey(2), at(2.0));
    second.server_died(ServerKey(2), at(2.5));
    table.import(&second.export(at(3.0)), at(3.0));
    assert!(matches!(
        table.verdict(POISON, at(3.0)),
        SuspectVerdict::Blocked(_)
    ));

    let mut new_daemon = SuspectTable::new(Incarnation(2));
    new_daemon.import(&table.export(at(4.0)), at(100.0));
    let begun = new_daemon.begin(POISON, RunId(1), ServerKey(3), at(100.0));
    assert!(matches!(begun, SuspectVerdict::Blocked(_)), "{begun:?}");
    let day = 24.0 * 3600.0;
    assert_eq!(
        new_daemon.verdict(POISON, at(day + 101.0)),
        SuspectVerdict::Clear
    );
    new_daemon.poll(at(day + 101.0));
    assert!(new_daemon.export(at(day + 101.0)).is_empty());
}

/// All daemons are lost at once, and with them all that they reported to each other.
/// The request could then kill two more servers.
#[test]
fn a_block_outlives_all_daemons_in_the_platform() {
    let mut tracker = TrialTracker::default();
    let mut table = table_after_one_death(1);
    assert!(table.take_blocks(at(2.0)).is_empty());
    let request = grant_trial(&mut table, &mut tracker, 2, at(3.0));
    table.trial_answer(&request, TrialAnswer::Granted, at(3.0));
    assert!(table.start_trial(POISON, RunId(2), at(3.0)).is_some());
    table.server_died(ServerKey(2), at(4.0));
    let blocks = table.take_blocks(at(4.0));
    assert_eq!(blocks.len(), 1);
    assert!(table.take_blocks(at(5.0)).is_empty());

    let mut new_daemon = SuspectTable::new(Incarnation(9));
    new_daemon.import(&blocks, at(1.0));
    let verdict = new_daemon.verdict(POISON, at(1.0));
    assert!(matches!(verdict, SuspectVerdict::Blocked(_)), "{verdict:?}");
}

/// Two daemons detect the same death, ten seconds apart at most. Counted as two deaths,
/// it would block every request that ran twice on the dead server.
#[test]
fn one_death_seen_by_two_daemons_is_one_death() {
    let mut table = table_after_one_death(1);
    let mut other = SuspectTable::new(Incarnation(2));
    other.begin(POISON, RunId(1), ServerKey(1), at(1.5));
    other.server_died(ServerKey(1), at(6.0));
    table.import(&other.export(at(6.0)), at(6.1));
    assert_eq!(table.verdict(POISON, at(6.1)), SuspectVerdict::NeedsTrial);

    let mut later = SuspectTable::new(Incarnation(3));
    later.begin(POISON, RunId(1), ServerKey(1), at(7.5));
    later.server_died(ServerKey(1), at(8.0));
    table.import(&later.export(at(8.0)), at(8.0));
    assert!(matches!(
        table.verdict(POISON, at(8.0)),
        SuspectVerdict::Blocked(_)
    ));
}

/// A daemon starts and hears of a death an hour ago, which its clock can't express. Taken as a
/// death at its start, it would hide the next death of that server, and the request would cost
/// a third one.
#[test]
fn a_death_long_before_a_start_is_not_the_next_one() {
    let mut started = SuspectTable::new(Incarnation(2));
    started.import(&table_after_one_death(1).export(at(3602.0)), at(0.1));
    let mut other = SuspectTable::new(Incarnation(3));
    other.begin(POISON, RunId(1), ServerKey(1), at(0.5));
    other.server_died(ServerKey(1), at(1.0));
    started.import(&other.export(at(1.0)), at(1.0));
    assert!(matches!(
        started.verdict(POISON, at(1.0)),
        SuspectVerdict::Blocked(_)
    ));
}

/// A copy of a suspect runs at a peer when the first server dies of it. The copy may
/// kill a second server at any moment, and a trial that starts now could kill a third.
#[test]
fn a_trial_waits_for_copies_that_run_at_peers() {
    let peer = DaemonId(7);
    let mut tables = [table_after_one_death(1), table_after_one_death(1)];
    for (finishes, table) in [true, false].into_iter().zip(&mut tables) {
        table.set_peers(&[peer]);
        let mut other = SuspectTable::new(Incarnation(2));
        other.set_peers(&[DaemonId(1)]);
        other.begin(POISON, RunId(1), ServerKey(5), at(1.9));
        for secs in [3.0, 4.0] {
            let notices = table.notices(at(secs));
            let ack = other.apply_notice(&notices[0].1, at(secs));
            assert_eq!(ack.running, vec![POISON]);
            table.apply_ack(peer, &ack, at(secs));
            assert_eq!(table.trial_step(POISON, at(secs)), TrialStep::Wait);
        }
        if finishes {
            other.end(POISON, RunId(1), RunEnd::Finished, at(5.0));
        } else {
            other.server_died(ServerKey(5), at(5.0));
        }
        let ack = table.apply_notice(&other.notices(at(5.0))[0].1, at(5.0));
        assert!(ack.running.is_empty());
    }
    assert_eq!(tables[0].trial_step(POISON, at(5.0)), TrialStep::Run);
    assert_eq!(tables[0].verdict(POISON, at(5.0)), SuspectVerdict::Clear);
    assert!(matches!(
        tables[1].trial_step(POISON, at(5.0)),
        TrialStep::Refuse(_)
    ));
}

/// A caller whose request failed resends it to another daemon. If the caller got its
/// answer before the peers are notified, the resend could arrive before the notice.
#[test]
fn a_caller_is_answered_after_the_peers() {
    let peer = DaemonId(7);
    let mut table = SuspectTable::new(Incarnation(1));
    table.set_peers(&[peer]);
    table.begin(POISON, RunId(1), ServerKey(1), at(1.0));
    table.server_died(ServerKey(1), at(2.0));
    assert!(!table.may_notify_caller(POISON, at(2.1)));
    let mut answered = table.clone();
    let ack = NoticeAck {
        noted: vec![POISON],
        ..NoticeAck::default()
    };
    answered.apply_ack(peer, &ack, at(2.2));
    assert!(answered.may_notify_caller(POISON, at(2.2)));
    assert!(
        table.may_notify_caller(POISON, at(4.0)),
        "a peer that can't be reached"
    );
}

/// The only server of a group restarts within a second, and dies again in the trial. If
/// that counted as the same death, the trial would be repeated forever.
#[test]
fn a_server_that_came_back_for_the_trial_can_die_twice() {
    let mut tracker = TrialTracker::default();
    let mut table = table_after_one_death(1);
    let request = grant_trial(&mut table, &mut tracker, 1, at(2.5));
    table.trial_answer(&request, TrialAnswer::Granted, at(2.5));
    assert!(table.start_trial(POISON, RunId(2), at(2.5)).is_some());
    table.server_died(ServerKey(1), at(2.9));
    assert!(matches!(
        table.verdict(POISON, at(2.9)),
        SuspectVerdict::Blocked(_)
    ));
    for settlement in table.take_settlements() {
        tracker.settle(&settlement);
    }
    let mut other = table_after_one_death(2);
    let request = other.request_trial(POISON, ServerKey(3), at(4.0)).unwrap();
    assert!(matches!(
        tracker.ask(&request, at(4.0)),
        TrialAnswer::Blocked { .. }
    ));
}

/// The report of a death comes back to the daemon that detected it after half a minute
/// in transit, with a time that looks like a later death.
#[test]
fn a_delayed_report_of_a_known_death_is_not_a_new_death() {
    let mut table = table_after_one_death(1);
    let mut other = SuspectTable::new(Incarnation(2));
    other.import(&table.export(at(2.0)), at(32.0));
    table.import(&other.export(at(32.0)), at(32.0));
    assert_eq!(table.verdict(POISON, at(32.0)), SuspectVerdict::NeedsTrial);
}

/// The platform is unavailable and no other daemon keeps trials. Without the record it
/// is unknown which daemons run the suspect, so it doesn't run; and the caller must not
/// wait for the end of an outage that may last for hours.
#[test]
fn without_a_trial_record_there_is_no_trial() {
    let mut table = table_after_one_death(1);
    let request = table.request_trial(POISON, ServerKey(2), at(3.0)).unwrap();
    assert_eq!(table.trial_step(POISON, at(3.0)), TrialStep::Wait);
    table.trial_answer(&request, TrialAnswer::Unavailable, at(3.1));
    let soon = TrialStep::Refuse(Duration::from_secs(5));
    assert_eq!(table.trial_step(POISON, at(3.1)), soon);
    assert_eq!(table.trial_step(POISON, at(8.2)), TrialStep::Request);
}

//! Tests that settings reach every daemon, and that each daemon knows the age of its
//! view.

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "helpers of tests fail the test"
)]

mod fleet_run;

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_policy::{
    DaemonId, FleetMember, FreshnessSettings, OfferDecision, Timestamp, ViewAge, ViewOffer,
    WatchPlan, member_score,
};
use fleet_run::FleetRun;
use rand::{SeedableRng, rngs::StdRng};

/// The time within which a change must be in force at all daemons.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

/// Returns a fleet of the size expected in two years: 360 daemons in 7 zones.
fn large_fleet() -> FleetRun {
    let mut run = FleetRun::new(&[52, 52, 52, 51, 51, 51, 51], 1);
    run.advance(seconds(20));
    run
}

#[test]
fn two_daemons_of_each_zone_follow_the_platform() {
    let mut run = large_fleet();
    assert_eq!(run.followers(), 14);
    let calls = run.platform_calls;
    let queries = run.queries;
    run.advance(seconds(60));
    assert_eq!(run.followers(), 14);
    // One check a second by each follower.
    assert_eq!(run.platform_calls - calls, 14 * 60);
    // One query a second by every other daemon.
    assert_eq!(run.queries - queries, 346 * 60);
    assert!(run.oldest_view() <= seconds(3));

    let took = run.change_settings();
    assert!(took <= seconds(2), "{took:?}");
}

#[test]
fn followers_change_only_when_one_is_lost() {
    let mut run = large_fleet();
    let before = run.following();
    let bystander = (0..360).find(|it| !before.contains(it)).unwrap();
    run.stop(bystander);
    run.advance(seconds(30));
    assert_eq!(run.following(), before);

    run.stop(before[0]);
    run.advance(seconds(30));
    let after = run.following();
    assert_eq!(after.len(), 14);
    let kept = before.iter().filter(|it| after.contains(it)).count();
    assert_eq!(kept, 13);
}

/// The connection of a watch fails without an error, and the daemons of a zone keep
/// their settings. A customer's withdrawn key would work there until the daemons are
/// restarted.
#[test]
fn checks_compensate_for_a_silent_watch() {
    let mut run = large_fleet();
    run.watches_silent = true;
    for _ in 0..5 {
        let took = run.change_settings();
        assert!(took <= MAX_CHANGE_DELAY, "{took:?}");
        run.advance(SECOND);
    }
}

/// Both daemons that follow the platform for their zone are lost at once, because they
/// are in the same rack, and an operator changes the settings at that moment.
#[test]
fn two_lost_watchers_are_replaced() {
    let mut run = large_fleet();
    let watchers = run.followers_in_zone(0);
    for watcher in &watchers {
        run.stop(*watcher);
    }
    let took = run.change_settings();
    assert!(took <= MAX_CHANGE_DELAY, "{took:?}");
    for _ in 0..300 {
        run.advance(SECOND / 10);
        assert_eq!(run.followers_in_zone(0).len(), 2);
    }
    for watcher in &watchers {
        run.start(*watcher);
    }
    run.advance(seconds(30));
    assert_eq!(run.followers_in_zone(0), watchers);
}

/// The two watchers of a zone answer their peers but can't reach the platform. If their
/// answers were sufficient, the whole zone would keep old settings.
#[test]
fn watchers_without_a_platform_are_joined_by_others() {
    // The second fleet has a single zone, so daemons can't learn from other zones.
    for mut run in [large_fleet(), FleetRun::new(&[51], 5)] {
        run.advance(seconds(20));
        let watchers = run.followers_in_zone(0);
        for watcher in &watchers {
            run.cut_from_platform(*watcher, true);
        }
        for _ in 0..10 {
            let took = run.change_settings();
            assert!(took <= MAX_CHANGE_DELAY, "{took:?}");
            run.advance(seconds(3));
            assert!(run.followers_in_zone(0).len() <= 4);
            assert!(run.oldest_view() <= seconds(5), "{:?}", run.oldest_view());
        }
        // The additional followers get their own views back from the two watchers, and
        // must not conclude that these follow the platform again.
        let joined = run.followers_in_zone(0);
        for _ in 0..60 {
            run.advance(SECOND);
            assert_eq!(run.followers_in_zone(0), joined);
        }
        for watcher in &watchers {
            run.cut_from_platform(*watcher, false);
        }
        run.advance(seconds(30));
        assert_eq!(run.followers_in_zone(0), watchers);
    }
}

/// The platform is down for ten minutes. If every daemon took that for a failure of its
/// zone's watchers, all 360 would query the platform at the moment it is back.
#[test]
fn an_outage_doesnt_bring_all_daemons_to_the_platform() {
    let mut run = FleetRun::new(&[51, 51], 4);
    run.advance(seconds(20));
    run.platform_up = false;
    run.advance(seconds(300));
    let followers = run.followers();
    assert!(followers <= 2 * 18, "{followers} follow");
    assert!(run.youngest_view() >= seconds(300));

    run.platform_up = true;
    let took = run.change_settings();
    assert!(took <= MAX_CHANGE_DELAY, "{took:?}");
    run.advance(seconds(30));
    assert_eq!(run.followers(), 4);
}

/// One zone loses the platform and still reaches the other zones.
#[test]
fn a_zone_cut_from_the_platform_learns_from_others() {
    let mut run = large_fleet();
    for daemon in run.zone(3) {
        run.cut_from_platform(daemon, true);
    }
    run.advance(seconds(30));
    let took = run.change_settings();
    assert!(took <= seconds(10), "{took:?}");
    assert!(run.oldest_view() <= seconds(10), "{:?}", run.oldest_view());
}

/// A zone is cut off from the platform and all other zones, and is reconnected after an
/// hour.
#[test]
fn a_zone_cut_from_everything_knows_it_and_catches_up() {
    let mut run = FleetRun::new(&[6, 6, 6], 2);
    run.advance(seconds(20));
    run.cut_zone(1, true);
    run.change_settings_now();
    run.advance(seconds(3600));
    assert!(run.oldest_view() >= seconds(3600));
    assert!(run.is_behind(run.zone(1)[0]));
    run.cut_zone(1, false);
    let took = run.change_settings();
    assert!(took <= MAX_CHANGE_DELAY, "{took:?}");
}

/// Daemons and platform fail and recover at random. No view may go back to an older
/// revision, and no view may be reported as newer than it is.
#[test]
fn views_never_go_back_nor_look_newer_than_they_are() {
    for seed in 0..20 {
        let mut run = FleetRun::new(&[4, 3, 3], seed);
        for _ in 0..40 {
            run.inject_fault();
            // Both are checked in each step.
            run.advance(seconds(3));
        }
        run.repair_everything();
        let took = run.change_settings();
        assert!(took <= seconds(15), "seed {seed}: {took:?}");
    }
}

fn plan() -> WatchPlan {
    WatchPlan::new(FreshnessSettings::default(), 100)
}

fn member(id: u32, score: u64) -> FleetMember {
    FleetMember {
        id: DaemonId(id),
        score,
        same_zone: true,
    }
}

fn offer(base: i64, revision: i64, age: Duration) -> ViewOffer {
    ViewOffer {
        base,
        revision,
        age,
        direct: true,
    }
}

/// A peer that was cut off for an hour offers the settings of that time. Applying them
/// would make withdrawn keys valid again.
#[test]
fn an_old_revision_from_a_stale_peer_is_ignored() {
    let mut plan = plan();
    plan.set_members(&[member(1, 200), member(2, 300)]);
    assert!(plan.apply_read(50, at(1000), at(1000)));
    let stale = offer(0, 40, Duration::ZERO);
    let verdict = plan.apply_offer(DaemonId(1), stale, at(9000), at(9000));
    assert_matches!(verdict, OfferDecision::Outdated);
    assert_eq!(plan.revision(), 50);
    // The age of a rejected offer says nothing about the age of this daemon's view.
    assert_eq!(plan.age(at(9000)), Some(seconds(8)));
    assert!(!plan.apply_read(49, at(9000), at(9000)));
    assert!(!plan.apply_watch_event(50));
    assert_eq!(plan.age(at(9000)), Some(seconds(8)));
}

/// Two changes were made, and a peer offers only the second one. Applied without the
/// first, it would result in a state that never existed.
#[test]
fn changes_with_a_gap_are_not_taken() {
    let mut plan = plan();
    plan.apply_read(50, at(0), at(0));
    let gapped = offer(55, 60, Duration::ZERO);
    let verdict = plan.apply_offer(DaemonId(1), gapped, at(0), at(0));
    assert_matches!(verdict, OfferDecision::Gap);
    assert_eq!(plan.revision(), 50);
    let whole = offer(0, 60, Duration::ZERO);
    let verdict = plan.apply_offer(DaemonId(1), whole, at(0), at(0));
    assert_matches!(verdict, OfferDecision::Apply);
    assert_eq!(plan.revision(), 60);
}

/// A daemon queries a peer, is paused for a minute, and finds the answer in its buffer.
/// If the age were counted from the arrival of the answer, it would be a minute too
/// low.
#[test]
fn the_age_of_a_delayed_answer_counts_from_the_query() {
    let mut plan = plan();
    let fresh = offer(0, 60, Duration::from_millis(200));
    plan.apply_offer(DaemonId(1), fresh, at(1000), at(61_000));
    let age = plan.age(at(61_000));
    assert_eq!(age, Some(seconds(60) + Duration::from_millis(200)));
}

/// A daemon that started two seconds ago gets a view that is an hour old, from before
/// the origin of its clock.
#[test]
fn a_view_can_be_older_than_the_process() {
    let mut plan = plan();
    plan.apply_offer(DaemonId(1), offer(0, 60, seconds(3600)), at(2000), at(2000));
    assert_eq!(plan.age(at(2000)), Some(seconds(3600)));
    let other = ViewAge::new(at(0), seconds(10));
    let view = ViewAge::new(at(5000), seconds(60)).fresher(other);
    assert_eq!(view.age(at(5000)), seconds(15));
}

/// A daemon starts during an outage, and its peers have views of different ages. If it
/// used the first one that it gets, it could accept keys that all other daemons refuse.
#[test]
fn a_start_during_an_outage_waits_for_the_newest_of_several() {
    let mut plan = plan();
    let mut rng = StdRng::seed_from_u64(3);
    let members: Vec<FleetMember> = (1..=8).map(|id| member(id, u64::from(id) * 50)).collect();
    plan.set_members(&members);
    let mut now = at(0);
    let mut queried = Vec::new();
    let revisions = [40, 60, 50, 30];
    for round in 0..5 {
        assert!(plan.should_follow(now));
        assert!(!plan.is_ready(), "ready after {round} answers");
        let peer = plan.next_request(now, &mut rng).unwrap();
        assert!(!queried.contains(&peer), "queried {peer:?} twice");
        queried.push(peer);
        match revisions.get(round) {
            Some(revision) => {
                let old = offer(0, *revision, seconds(1800));
                plan.apply_offer(peer, old, now, now);
            }
            None => plan.record_timeout(peer, now),
        }
        now = now + SECOND;
    }
    assert!(plan.is_ready());
    assert_eq!(plan.revision(), 60);
    assert!(plan.age(now).unwrap() >= seconds(1800));
}

#[test]
fn a_daemon_that_receives_nothing_is_never_ready() {
    let alone = plan();
    assert!(!alone.is_ready());
    let mut plan = plan();
    plan.set_members(&[member(1, 50), member(2, 70)]);
    for peer in [1, 2] {
        plan.record_timeout(DaemonId(peer), at(0));
    }
    assert!(!plan.is_ready());
    plan.apply_read(1, at(600_000), at(600_000));
    assert!(plan.is_ready());
    // It stays ready: each customer's settings limit how long an old view may be used.
    assert!(plan.is_ready());
}

#[test]
fn scores_depend_on_zone_and_name() {
    let score = member_score("perth-1", "entry-1");
    assert_eq!(score, member_score("perth-1", "entry-1"));
    assert_ne!(score, member_score("perth-2", "entry-1"));
    assert_ne!(member_score("a", "bc"), member_score("ab", "c"));
}

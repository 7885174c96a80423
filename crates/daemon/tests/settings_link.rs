//! Tests of how settings get from the platform to every daemon, on virtual time.

#![allow(clippy::panic, clippy::unwrap_used, reason = "a panic fails the test")]

mod link_fleet;

use std::time::Duration;

use comfreyramp_daemon::settings_link::{SettingsView, ViewChanges};
use comfreyramp_standins::platform::FaultChange;
use comfreyramp_store::{KeyValue, RangeAnswer, WatchBatch};
use link_fleet::{LinkFleet, outage};

/// The time within which a change must be in force on every daemon.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(5);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

async fn advance(duration: Duration) {
    tokio::time::sleep(duration).await;
}

#[tokio::test(start_paused = true)]
async fn two_daemons_of_a_zone_watch_and_all_get_the_change() {
    let fleet = LinkFleet::start(&[5, 5]).await;
    advance(seconds(20)).await;
    let before = fleet.platform.calls();
    assert_eq!(before.waiting_watches, 4);
    advance(seconds(60)).await;
    let calls = fleet.platform.calls();
    let reads = calls.range - before.range;
    assert!((4 * 55..=4 * 60).contains(&reads), "{reads} reads");
    assert_eq!(calls.watch_opened, before.watch_opened);

    fleet.write("press", "1").await;
    let took = fleet.wait_for("press", "1").await;
    assert!(took <= seconds(1), "{took:?}");
    fleet.delete("press").await;
    let took = fleet.wait_for_none("press").await;
    assert!(took <= seconds(1), "{took:?}");
    assert!(
        fleet.oldest_view() <= seconds(3),
        "{:?}",
        fleet.oldest_view()
    );
}

/// The connections of the watches stay open but deliver nothing any more. Without
/// periodic reads, a daemon would accept a withdrawn key until it is restarted.
#[tokio::test(start_paused = true)]
async fn changes_behind_a_silent_watch_are_applied() {
    let fleet = LinkFleet::start(&[3, 3]).await;
    advance(seconds(20)).await;
    fleet.platform.change_faults(FaultChange {
        hold_watches: Some(true),
        ..FaultChange::default()
    });
    for value in ["1", "2", "3"] {
        fleet.write("press", value).await;
        let took = fleet.wait_for("press", value).await;
        assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
    }
    fleet.delete("press").await;
    let took = fleet.wait_for_none("press").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
}

/// Settings change right after an outage of the platform, and the platform then
/// drops the history in between. A watch that resumed as if nothing were missing
/// would leave a deleted team in force.
#[tokio::test(start_paused = true)]
async fn dropped_history_is_recovered_by_a_full_read() {
    let fleet = LinkFleet::start(&[3]).await;
    fleet.write("press", "1").await;
    fleet.write("market", "1").await;
    fleet.wait_for("market", "1").await;
    fleet.platform.change_faults(outage(true));
    advance(seconds(60)).await;
    assert!(fleet.youngest_view() >= seconds(59));
    assert_eq!(fleet.value(0, "press").as_deref(), Some("1"));

    fleet.platform.change_faults(outage(false));
    fleet.delete("press").await;
    fleet.write("market", "2").await;
    fleet.platform.compact();
    let took = fleet.wait_for("market", "2").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
    assert_eq!(fleet.wait_for_none("press").await, Duration::ZERO);
}

/// Watches break repeatedly while operators change settings. No daemon may
/// replace a team's settings by older ones.
#[tokio::test(start_paused = true)]
async fn breaking_watches_lose_nothing_and_never_go_back() {
    let fleet = LinkFleet::start(&[3, 3]).await;
    let mut seen = [0; 6];
    for round in 1..=100 {
        fleet.write("press", &round.to_string()).await;
        if round % 3 == 0 {
            fleet.platform.break_watches();
        }
        if round % 10 == 0 {
            fleet.platform.compact();
        }
        advance(Duration::from_millis(130)).await;
        for (daemon, seen) in seen.iter_mut().enumerate() {
            let value = fleet.value(daemon, "press");
            let value = value.map_or(0, |it| it.parse::<u32>().unwrap());
            assert!(value >= *seen, "daemon {daemon} went back from {seen}");
            *seen = value;
        }
    }
    let took = fleet.wait_for("press", "100").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
}

/// Both daemons that watch the settings for their zone are lost at once, for
/// example with their rack.
#[tokio::test(start_paused = true)]
async fn two_lost_watchers_are_replaced() {
    let fleet = LinkFleet::start(&[6]).await;
    advance(seconds(20)).await;
    let watchers = fleet.highest_scored(2);
    for watcher in &watchers {
        fleet.stop(*watcher);
    }
    fleet.write("press", "1").await;
    let took = fleet.wait_for("press", "1").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
    advance(seconds(20)).await;
    assert_eq!(fleet.platform.calls().waiting_watches, 2);
}

/// Daemons start during an outage of the platform. Some of their peers have
/// hung since before the last change but still answer. A new daemon that used the
/// first answer could accept withdrawn keys.
#[tokio::test(start_paused = true)]
async fn daemons_started_during_an_outage_take_their_peers_newest_settings() {
    let mut fleet = LinkFleet::start(&[4, 4]).await;
    fleet.write("press", "old").await;
    fleet.wait_for("press", "old").await;
    let hung = [0, 1, 5];
    for daemon in hung {
        fleet.freeze(daemon);
    }
    advance(seconds(1)).await;
    fleet.write("press", "new").await;
    advance(seconds(5)).await;
    for daemon in hung {
        assert_eq!(fleet.value(daemon, "press").as_deref(), Some("old"));
    }
    fleet.platform.change_faults(outage(true));
    advance(seconds(600)).await;

    for zone in [0, 1, 0, 1, 0] {
        let newcomer = fleet.add(zone);
        assert_eq!(fleet.in_force_revision(newcomer), 0);
        let first = fleet.first_in_force(newcomer, "press").await;
        assert_eq!(first.as_deref(), Some("new"));
        assert!(fleet.age(newcomer) >= seconds(600));
    }
    fleet.platform.change_faults(outage(false));
    fleet.write("press", "newest").await;
    let took = fleet.wait_for("press", "newest").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
    assert!(fleet.age(10) <= seconds(5));
}

#[tokio::test(start_paused = true)]
async fn a_daemon_started_alone_during_an_outage_serves_nothing() {
    let mut fleet = LinkFleet::start(&[]).await;
    fleet.write("press", "1").await;
    fleet.platform.change_faults(outage(true));
    let newcomer = fleet.add(0);
    advance(seconds(600)).await;
    assert_eq!(fleet.in_force_revision(newcomer), 0);
    fleet.platform.change_faults(outage(false));
    let took = fleet.wait_for("press", "1").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
}

/// The platform is restored from an empty backup. Its settings are older than
/// those in force, and applying them would withdraw every key.
#[tokio::test(start_paused = true)]
async fn a_platform_that_went_back_takes_nothing_out_of_force() {
    let fleet = LinkFleet::start(&[3]).await;
    for value in ["1", "2", "3"] {
        fleet.write("press", value).await;
    }
    fleet.wait_for("press", "3").await;
    fleet.platform.clear_store();
    fleet.write("market", "old").await;
    advance(seconds(60)).await;
    for daemon in 0..3 {
        assert_eq!(fleet.value(daemon, "press").as_deref(), Some("3"));
        assert_eq!(fleet.value(daemon, "market"), None);
    }
    assert!(fleet.youngest_view() >= seconds(55));
}

/// Each call to the platform takes 1.5 s.
#[tokio::test(start_paused = true)]
async fn a_slow_platform_delays_no_change_beyond_the_bound() {
    let fleet = LinkFleet::start(&[3, 3]).await;
    advance(seconds(20)).await;
    fleet.platform.change_faults(FaultChange {
        slow: Some(Duration::from_millis(1500)),
        ..FaultChange::default()
    });
    advance(seconds(20)).await;
    fleet.write("press", "1").await;
    let took = fleet.wait_for("press", "1").await;
    assert!(took <= MAX_PROPAGATION_DELAY, "{took:?}");
}

fn pair(key: &str, modified: i64) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: modified.to_string().into(),
        modified,
        created: modified,
        version: 1,
    }
}

fn whole(pairs: &[KeyValue], revision: i64) -> ViewChanges {
    RangeAnswer {
        pairs: pairs.to_vec(),
        revision,
        more: false,
    }
    .into()
}

fn keys(view: &SettingsView) -> Vec<&str> {
    view.pairs().iter().map(|it| it.key.as_str()).collect()
}

#[test]
fn changes_lead_from_any_known_revision_to_the_view() {
    let mut view = SettingsView::default();
    view.apply(whole(&[pair("a", 3), pair("b", 5)], 10));
    let batch = WatchBatch {
        written: vec![pair("c", 11)],
        deleted: vec!["a".into()],
        revision: 11,
        last_change: 11,
    };
    view.apply(ViewChanges::of_watch(batch, 10));
    view.apply(whole(&[pair("c", 11), pair("d", 13)], 14));
    let mut behind = SettingsView::default();
    behind.apply(whole(&[pair("a", 3), pair("b", 5)], 10));
    let changes = view.changes_since(10);
    assert_eq!(changes.base, 10);
    behind.apply(changes);
    assert_eq!(keys(&behind), ["c", "d"]);
    assert!(behind.has_same_pairs(&view));
    assert!(view.changes_since(14).is_empty());

    // Deletions before the first view are unknown.
    assert_eq!(view.changes_since(9).base, 0);
    let mut newcomer = SettingsView::default();
    newcomer.apply(view.changes_since(0));
    assert!(newcomer.has_same_pairs(&view));
}

/// A team's settings are deleted and written again. A peer that already has the
/// new settings must not apply the earlier deletion to them.
#[test]
fn a_key_that_was_created_again_is_not_deleted_elsewhere() {
    let mut view = SettingsView::default();
    view.apply(whole(&[pair("a", 3)], 10));
    view.apply(whole(&[], 20));
    view.apply(whole(&[pair("a", 15)], 20));
    let mut peer = SettingsView::default();
    peer.apply(whole(&[pair("a", 15)], 16));
    peer.apply(view.changes_since(16));
    assert_eq!(keys(&peer), ["a"]);
}

#[test]
fn forgotten_deletions_lead_to_a_full_view() {
    let mut view = SettingsView::default();
    let pairs: Vec<KeyValue> = (0..600).map(|it| pair(&format!("{it:03}"), 1)).collect();
    view.apply(whole(&pairs, 10));
    for step in 0..600 {
        let batch = WatchBatch {
            deleted: vec![format!("{step:03}")],
            revision: 11 + step,
            ..WatchBatch::default()
        };
        view.apply(ViewChanges::of_watch(batch, 10 + step));
    }
    assert_eq!(view.changes_since(20).base, 0);
    assert_eq!(view.changes_since(600).base, 600);
    assert_eq!(view.changes_since(600).deleted.len(), 10);
}

//! The revisions that a daemon's copy of store data reports to peers.

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::fleet::{PrefixSnapshot, StoreView};
use comfreyramp_store::{KeyValue, WatchBatch};

const NOW: Timestamp = Timestamp::from_micros(1_000_000);

fn pair(key: &str, modified: i64) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: "value".into(),
        modified,
        created: modified,
        version: 0,
    }
}

fn list(pairs: Vec<KeyValue>, revision: i64) -> PrefixSnapshot {
    PrefixSnapshot {
        pairs,
        revision,
        changed: None,
    }
}

/// Two daemons watch the same keys. The store sends both the same change, to one of them a
/// moment later, when other keys have been written too. If that daemon's copy counted as
/// newer, its zone would transfer all settings once more, and every daemon without an
/// update within a second would query the store.
#[test]
fn the_same_change_counts_as_the_same_at_every_daemon() {
    let change = |revision| WatchBatch {
        written: vec![pair("settings", 20)],
        revision,
        last_change: 20,
        ..WatchBatch::default()
    };
    let (mut early, mut late) = (StoreView::default(), StoreView::default());
    early.apply(change(20), NOW);
    late.apply(change(23), NOW);
    assert_eq!(late.changed_revision(), early.changed_revision());
    assert_eq!(late.revision(), 23);
    let removal = |revision| WatchBatch {
        deleted: vec!["settings".to_owned()],
        revision,
        last_change: 30,
        ..WatchBatch::default()
    };
    early.apply(removal(30), NOW);
    late.apply(removal(34), NOW);
    assert_eq!(late.changed_revision(), early.changed_revision());
}

/// The store drops its history while a server leaves, so the watching daemon lists the
/// servers again, and the others of its zone learn from its list. A list names no removals:
/// unless the copy counts as changed, the others receive nothing newer and send requests to
/// a server that is gone.
#[test]
fn a_removal_that_is_only_visible_in_a_list_is_a_change() {
    let mut view = StoreView::default();
    view.reset(list(vec![pair("one", 3), pair("two", 5)], 10), NOW);
    assert_eq!(view.changed_revision(), 5);
    view.reset(list(vec![pair("one", 3)], 20), NOW);
    assert_eq!(view.changed_revision(), 20);
    view.reset(list(vec![pair("one", 3)], 25), NOW);
    assert_eq!(
        view.changed_revision(),
        20,
        "the second list changed nothing"
    );
}

/// A daemon receives a newer state from a peer, and then an older list arrives that was
/// delayed. It must not be applied, or a withdrawn key would work again.
#[test]
fn an_older_list_changes_nothing() {
    let mut view = StoreView::default();
    view.reset(list(vec![pair("servers/a", 4)], 15), NOW);
    let older = list(vec![pair("servers/a", 4), pair("servers/b", 7)], 9);
    assert!(!view.reset(older, NOW));
    assert_eq!(view.pairs().len(), 1);
}

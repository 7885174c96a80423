//! Copies of a prefix of the store, and what daemons learn of them from each other.

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::fleet::StoreView;
use comfreyramp_store::KeyValue;

const NOW: Timestamp = Timestamp::from_micros(1_000_000);

fn pair(key: &str, modified: i64) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: "".into(),
        modified,
        created: modified,
        version: 1,
    }
}

/// A server leaves while a daemon's watch is broken, and the daemon lists all servers
/// anew. What is gone bears no revision. Another daemon, which the store turns away,
/// asks those that are ahead of it by their last change: if this one doesn't count, it
/// goes on sending requests to a server that has left.
#[test]
fn a_removal_that_a_list_shows_is_news_to_others() {
    let mut view = StoreView::default();
    view.reset(vec![pair("servers/a", 4), pair("servers/b", 7)], 9, NOW);
    assert_eq!(view.changed_revision(), 7, "a first list has no news");
    view.reset(vec![pair("servers/a", 4)], 15, NOW);
    assert!(view.changed_revision() > 9, "others know all up to 9");
    let told = view.changed_revision();
    view.reset(vec![pair("servers/a", 4)], 20, NOW);
    assert_eq!(view.changed_revision(), told, "nothing has changed");
}

/// A daemon learns of a newer state from another one, and then an older list comes in
/// that was long on its way. A withdrawn key would work again.
#[test]
fn an_older_list_changes_nothing() {
    let mut view = StoreView::default();
    view.reset(vec![pair("servers/a", 4)], 15, NOW);
    let is_changed = view.reset(vec![pair("servers/a", 4), pair("servers/b", 7)], 9, NOW);
    assert!(!is_changed);
    assert_eq!(view.pairs().len(), 1);
}

//! What a daemon keeps of lots that it read or wrote.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends where its records are wrong"
)]

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::{
    lots::LotCache,
    model::{ItemResult, ItemState},
};
use comfreyramp_store::KeyValue;

const LOT: &str = "lot-1";

fn pair(lot: &str, key: &str, value: &serde_json::Value) -> KeyValue {
    KeyValue {
        key: format!("lots/data/{lot}/{key}"),
        value: value.to_string().into(),
        modified: 1,
        created: 1,
        version: 1,
    }
}

fn head(lot: &str) -> KeyValue {
    let head = serde_json::json!({
        "customer": "press", "host": "fleet.example", "total": 4, "attempts": 2,
        "submitted": 1, "due": 2, "given_up": 3,
    });
    pair(lot, "head", &head)
}

/// The store's record of a group of results.
fn group(number: usize, results: &[ItemResult]) -> KeyValue {
    let results = serde_json::to_value(results).unwrap();
    pair(LOT, &format!("results/{number:05}"), &results)
}

fn result(id: &str) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        state: ItemState::Done,
        output: "words".to_owned(),
    }
}

fn ids(cache: &LotCache) -> Vec<String> {
    let known = cache.get(LOT).unwrap();
    known.results.iter().map(|it| it.id.clone()).collect()
}

/// A cache that has read a lot with the results of one group.
fn with_one_group() -> LotCache {
    let pairs = [head(LOT), group(0, &[result("a"), result("b")])];
    let mut cache = LotCache::default();
    let now = Timestamp::ZERO;
    cache.add_stored(LOT, &pairs, now, now).unwrap();
    cache
}

/// A daemon writes results and the answer is late. Meanwhile somebody who reads the lot
/// there brings them from the store. When the answer comes, they must not be taken in
/// again: a caller would find an item at two positions, and more results than items.
#[test]
fn results_that_were_read_before_their_write_was_answered_stand_once() {
    let mut cache = with_one_group();
    let now = Timestamp::ZERO;
    let second = vec![result("c"), result("d")];
    cache
        .add_stored(LOT, &[group(1, &second)], now, now)
        .unwrap();
    cache.add_results(LOT, 1, second, now);
    assert_eq!(ids(&cache), ["a", "b", "c", "d"]);
}

/// A daemon's copy of a lot was dropped for want of memory and read anew by a call that
/// came back before the last write took effect. Results that don't follow on what is
/// known would stand at the positions of those in between.
#[test]
fn results_that_do_not_follow_on_a_copy_are_left_out() {
    let mut cache = with_one_group();
    let now = Timestamp::ZERO;
    cache.add_results(LOT, 2, vec![result("d")], now);
    assert_eq!(ids(&cache), ["a", "b"]);
    cache.add_results(LOT, 1, vec![result("c")], now);
    assert_eq!(ids(&cache), ["a", "b", "c"]);
}

/// Two readers ask for a lot at the same time. The first has brought a copy of it, so
/// that the second asks the store only for what lies behind that; before the answer is
/// there many other lots are read, and the copy is dropped. The answer has no head, and
/// the second reader must not be told that there is no such lot.
#[test]
fn what_lies_behind_a_dropped_copy_does_not_say_that_there_is_no_lot() {
    let mut cache = LotCache::default();
    let now = Timestamp::ZERO;
    let is_known = cache.add_stored("lot-0", &[head("lot-0")], now, now);
    assert!(is_known.unwrap());
    assert!(cache.last_key("lot-0").is_some(), "asked behind this");
    for number in 1..=64 {
        let lot = format!("lot-{number}");
        let later = now + std::time::Duration::from_millis(number);
        cache.add_stored(&lot, &[head(&lot)], later, later).unwrap();
    }
    let is_known = cache.add_stored("lot-0", &[], now, now).unwrap();
    assert!(!is_known, "it has to be read anew");
    assert!(cache.last_key("lot-0").is_none(), "from its beginning");
    assert!(
        cache
            .add_stored("lot-0", &[head("lot-0")], now, now)
            .unwrap()
    );
}

/// The same, but a third reader whose question is older has made the copy anew by then,
/// from what the store held at that time. The answer to the second begins behind what
/// this one lacks, and its results would stand at the positions of others.
#[test]
fn what_does_not_follow_on_a_copy_is_no_part_of_it() {
    let mut cache = with_one_group();
    let now = Timestamp::ZERO;
    let follows = cache.add_stored(LOT, &[group(2, &[result("d")])], now, now);
    assert!(!follows.unwrap(), "it has to be read anew");
    assert_eq!(ids(&cache), ["a", "b"]);
    let whole = [
        group(0, &[result("a"), result("b")]),
        group(1, &[result("c")]),
        group(2, &[result("d")]),
    ];
    assert!(cache.add_stored(LOT, &whole, now, now).unwrap());
    assert_eq!(ids(&cache), ["a", "b", "c", "d"]);
}

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

fn pair(key: &str, value: &serde_json::Value) -> KeyValue {
    KeyValue {
        key: format!("lots/data/{LOT}/{key}"),
        value: value.to_string().into(),
        modified: 1,
        created: 1,
        version: 1,
    }
}

fn result(id: &str) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        state: ItemState::Done,
        output: "words".to_owned(),
    }
}

fn group_key(number: usize) -> String {
    format!("lots/data/{LOT}/results/{number:05}")
}

fn ids(cache: &LotCache) -> Vec<String> {
    let known = cache.get(LOT).unwrap();
    known.results.iter().map(|it| it.id.clone()).collect()
}

/// A cache that has read a lot with the results of one group.
fn with_one_group() -> LotCache {
    let head = serde_json::json!({
        "customer": "press", "host": "fleet.example", "total": 4, "attempts": 2,
        "submitted": 1, "due": 2, "given_up": 3,
    });
    let first = serde_json::to_value(vec![result("a"), result("b")]).unwrap();
    let pairs = [pair("head", &head), pair("results/00000", &first)];
    let mut cache = LotCache::default();
    let now = Timestamp::ZERO;
    cache.take(LOT, &pairs, now, now).unwrap();
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
    let written = pair("results/00001", &serde_json::to_value(&second).unwrap());
    cache.take(LOT, &[written], now, now).unwrap();
    cache.add_results(LOT, 2, second, group_key(1), now);
    assert_eq!(ids(&cache), ["a", "b", "c", "d"]);
}

/// A daemon's copy of a lot was dropped for want of memory and read anew by a call that
/// came back before the last write took effect. Results that don't follow on what is
/// known would stand at the positions of those in between.
#[test]
fn results_that_do_not_follow_on_a_copy_are_left_out() {
    let mut cache = with_one_group();
    let now = Timestamp::ZERO;
    cache.add_results(LOT, 3, vec![result("d")], group_key(2), now);
    assert_eq!(ids(&cache), ["a", "b"]);
    cache.add_results(LOT, 2, vec![result("c")], group_key(1), now);
    assert_eq!(ids(&cache), ["a", "b", "c"]);
}

//! What a daemon keeps of lots that it has read.

#![allow(clippy::unwrap_used, reason = "tests end where something is missing")]

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::lots::LotCache;
use comfreyramp_store::KeyValue;
use serde_json::json;

const NOW: Timestamp = Timestamp::from_micros(1_000_000);

fn head(lot: &str) -> KeyValue {
    let head = json!({
        "customer": "press", "host": "fleet.example", "total": 2, "attempts": 2,
        "submitted": 1, "due": 2, "given_up": 3,
    });
    KeyValue {
        key: format!("lots/data/{lot}/head"),
        value: head.to_string().into(),
        modified: 1,
        created: 1,
        version: 1,
    }
}

/// Two readers ask for a lot at the same time. The first has brought a copy of it, so
/// that the second asks the store only for what lies behind that; before the answer is
/// there many other lots are read, and the copy is dropped. The answer has no head, and
/// the second reader must not be told that there is no such lot.
#[test]
fn what_lies_behind_a_dropped_copy_does_not_say_that_there_is_no_lot() {
    let mut cache = LotCache::default();
    let is_known = cache.take("lot-0", &[head("lot-0")], NOW, NOW);
    assert!(is_known.unwrap());
    assert!(cache.last_key("lot-0").is_some(), "asked behind this");
    for number in 1..=64 {
        let lot = format!("lot-{number}");
        let later = NOW + std::time::Duration::from_millis(number);
        cache.take(&lot, &[head(&lot)], later, later).unwrap();
    }
    let is_known = cache.take("lot-0", &[], NOW, NOW).unwrap();
    assert!(!is_known, "it has to be read anew");
    assert!(cache.last_key("lot-0").is_none(), "from its beginning");
    assert!(cache.take("lot-0", &[head("lot-0")], NOW, NOW).unwrap());
}

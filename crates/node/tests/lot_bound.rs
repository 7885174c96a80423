//! The bound on the tokens of a customer's lots that wait, over all daemons.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{Ask, Fleet, item};
use futures::future::join_all;
use serde_json::{Value, json};

/// The place of the only daemon that runs lots.
const LOTS: usize = 2;
/// The tokens of an item of the test fleet.
const ITEM_TOKENS: usize = 10;
const BOUND: usize = 100;
/// Three items: three lots of them fit, and a part of a fourth one.
const BODIES: [&str; 3] = ["one", "two", "three"];
/// Settings are in force everywhere within this time.
const SETTLED: Duration = Duration::from_millis(1_500);

/// A fleet with the bound, of which nobody runs lots.
async fn bounded_fleet() -> Fleet {
    let mut fleet = Fleet::started().await;
    fleet.kill(LOTS);
    set_bound(&mut fleet, BOUND).await;
    fleet
}

async fn set_bound(fleet: &mut Fleet, bound: usize) {
    fleet.put_bound(&json!(bound));
    tokio::time::sleep(SETTLED).await;
}

/// The tokens of all lots that the store holds.
fn accepted_tokens(fleet: &Fleet) -> usize {
    let keys = fleet.store.keys("lots/data/");
    let heads = keys.iter().filter(|it| it.key.ends_with("/head"));
    let totals = heads.map(|it| {
        let head: Value = serde_json::from_slice(&it.value).unwrap();
        head["total"].as_u64().unwrap() as usize
    });
    totals.sum::<usize>() * ITEM_TOKENS
}

async fn hand_in(fleet: &Fleet, node: usize, lot: &str) -> StatusCode {
    fleet.hand_in(node, lot, &BODIES).await.unwrap()
}

/// Two daemons each count a customer's tokens, find room, and both use it.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_accept_at_once_keep_the_bound_together() {
    let mut fleet = bounded_fleet().await;
    let lots: Vec<String> = (0..12).map(|it| format!("lot-{it}")).collect();
    let asks = lots.iter().enumerate();
    let statuses = join_all(asks.map(|(place, lot)| hand_in(&fleet, place % 2, lot))).await;
    let accepted = statuses
        .iter()
        .filter(|it| **it == StatusCode::ACCEPTED)
        .count();
    assert_eq!(accepted, 3, "{statuses:?}");
    let refused = statuses
        .iter()
        .filter(|it| **it == StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.count(), 9, "{statuses:?}");
    assert_eq!(accepted_tokens(&fleet), 90);

    for (lot, status) in lots.iter().zip(&statuses) {
        let repeat = hand_in(&fleet, 1, lot).await;
        assert_eq!(repeat, *status, "a repeat of {lot}");
    }
    assert_eq!(accepted_tokens(&fleet), 90, "a repeat is counted once");

    fleet.restart(LOTS);
    for (lot, _) in lots.iter().zip(&statuses).filter(|it| it.1.is_success()) {
        fleet.whole_lot(0, lot).await;
    }
    let refused = lots.iter().zip(&statuses).find(|it| !it.1.is_success());
    let (lot, _) = refused.unwrap();
    fleet
        .eventually("there is room again", async || {
            hand_in(&fleet, 0, lot).await == StatusCode::ACCEPTED
        })
        .await;
}

/// The store does a write only after its daemon gave up, and other lots took the room
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_write_takes_no_room_twice() {
    let fleet = bounded_fleet().await;
    assert_eq!(hand_in(&fleet, 0, "lot-a").await, StatusCode::ACCEPTED);
    assert_eq!(hand_in(&fleet, 0, "lot-b").await, StatusCode::ACCEPTED);
    let late = Duration::from_millis(1_500);
    for node in &fleet.nodes[..LOTS] {
        node.door.faults.delay_writes(1_000, late);
    }
    let (first, second) = tokio::join!(hand_in(&fleet, 0, "lot-c"), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.nodes[1].door.faults.delay_writes(0, late);
        hand_in(&fleet, 1, "lot-d").await
    });
    tokio::time::sleep(2 * late).await;
    assert_eq!(accepted_tokens(&fleet), 90, "{first} and {second}");
    for (lot, status) in [("lot-c", first), ("lot-d", second)] {
        let is_kept = !fleet
            .store
            .keys(&format!("lots/data/{lot}/head"))
            .is_empty();
        match status {
            StatusCode::ACCEPTED => assert!(is_kept, "{lot}"),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                assert!(!is_kept, "{lot}");
            }
            _ => {}
        }
    }
    fleet.nodes[0].door.faults.delay_writes(0, late);
    let status = hand_in(&fleet, 0, "lot-e").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// A lot is kept though the answer of the store was lost, and its caller sends it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_answer_was_lost_is_counted_once() {
    let fleet = bounded_fleet().await;
    fleet.nodes[0].door.faults.lose_answers(2);
    assert_eq!(hand_in(&fleet, 0, "lot-a").await, StatusCode::ACCEPTED);
    for lot in ["lot-a", "lot-b", "lot-c"] {
        assert_eq!(hand_in(&fleet, 1, lot).await, StatusCode::ACCEPTED, "{lot}");
    }
    let status = hand_in(&fleet, 0, "lot-d").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// The tokens of lots that were ended never come back.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_ended_lots_come_back() {
    let fleet = bounded_fleet().await;
    for lot in ["lot-a", "lot-b", "lot-c"] {
        assert_eq!(hand_in(&fleet, 0, lot).await, StatusCode::ACCEPTED);
    }
    let end = Ask {
        method: comfreyramp_http::Method::DELETE,
        ..Ask::get("/-/lots/lot-b")
    };
    assert_eq!(fleet.ask(1, end).await.unwrap().status(), StatusCode::OK);
    fleet
        .eventually("there is room for one more", async || {
            hand_in(&fleet, 0, "lot-d").await == StatusCode::ACCEPTED
        })
        .await;
    let status = hand_in(&fleet, 1, "lot-e").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// A bound that is set while lots wait forgets those that were accepted without it.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_bound_counts_what_waits_already() {
    let mut fleet = Fleet::started().await;
    fleet.kill(LOTS);
    for lot in ["lot-a", "lot-b", "lot-c", "lot-d"] {
        assert_eq!(hand_in(&fleet, 0, lot).await, StatusCode::ACCEPTED);
    }
    set_bound(&mut fleet, BOUND).await;
    for node in [0, 1] {
        let status = hand_in(&fleet, node, "lot-e").await;
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    }
    set_bound(&mut fleet, 2 * BOUND).await;
    assert_eq!(hand_in(&fleet, 1, "lot-e").await, StatusCode::ACCEPTED);
    set_bound(&mut fleet, BOUND / 2).await;
    let status = hand_in(&fleet, 0, "lot-f").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// A customer is refused for ever because of a count of lots that are gone, or that
/// can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_ledger_heals() {
    let fleet = bounded_fleet().await;
    assert_eq!(hand_in(&fleet, 0, "lot-a").await, StatusCode::ACCEPTED);
    let ledger = fleet.store.keys("lots/waiting/").remove(0).key;
    let leaked = json!({"bound": BOUND, "lots": [{"lot": "lot-x", "tokens": BOUND}]});
    for (place, value) in [leaked.to_string(), "damaged".to_owned()]
        .iter()
        .enumerate()
    {
        fleet.store.put(&ledger, value.as_bytes());
        let lot = format!("lot-b{place}");
        assert_eq!(hand_in(&fleet, place, &lot).await, StatusCode::ACCEPTED);
    }
    let status = hand_in(&fleet, 0, "lot-c").await;
    assert_eq!(
        status,
        StatusCode::TOO_MANY_REQUESTS,
        "lot-a is counted still"
    );
}

/// A lot is refused without a word of when to come back, or with one though it never fits.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_tells_when_there_is_room() {
    let fleet = bounded_fleet().await;
    let ask = async |lot: &str, items: usize| {
        let items: Vec<Value> = (0..items).map(|it| item(lot, it, "body")).collect();
        let body = json!({"items": items}).to_string();
        let path = format!("/lots/{lot}");
        let asked = fleet.ask(0, Ask::post(&path, lot, body.as_bytes())).await;
        asked.unwrap()
    };
    assert_eq!(ask("lot-a", 10).await.status(), StatusCode::ACCEPTED);
    let full = ask("lot-b", 1).await;
    assert_eq!(full.status(), StatusCode::TOO_MANY_REQUESTS);
    let retry: f64 = full.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((0.5..=15.0).contains(&retry), "{retry}");
    let too_large = ask("lot-c", 11).await;
    assert_eq!(too_large.status(), StatusCode::TOO_MANY_REQUESTS);
    assert!(!too_large.headers().contains_key("retry-after"));
}

/// Counts that are no counts end a daemon, or leave a lot uncounted.
#[tokio::test(flavor = "multi_thread")]
async fn unusable_counts_are_refused() {
    let mut fleet = bounded_fleet().await;
    let cases = [json!(-1), json!("many"), json!(1.5), json!(u64::MAX)];
    for (place, tokens) in cases.iter().enumerate() {
        let lot = format!("lot-{place}");
        let mut items = vec![item(&lot, 0, "body"), item(&lot, 1, "body")];
        items[1]["tokens"] = tokens.clone();
        let body = json!({"items": items}).to_string();
        let path = format!("/lots/{lot}");
        let asked = fleet.ask(0, Ask::post(&path, &lot, body.as_bytes())).await;
        assert_eq!(asked.unwrap().status(), StatusCode::BAD_REQUEST, "{tokens}");
    }
    fleet.put_bound(&json!("much"));
    tokio::time::sleep(SETTLED).await;
    for lot in ["lot-a", "lot-b", "lot-c"] {
        assert_eq!(hand_in(&fleet, 0, lot).await, StatusCode::ACCEPTED);
    }
    let status = hand_in(&fleet, 0, "lot-d").await;
    assert_eq!(
        status,
        StatusCode::TOO_MANY_REQUESTS,
        "the former bound is kept"
    );
}

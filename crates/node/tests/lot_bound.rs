//! The bound on the waiting tokens of a customer's lots, which holds over all daemons
//! together.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, item};
use futures::future::join_all;
use serde_json::{Value, json};

/// The index of the only daemon that runs lots.
const LOT_DAEMON: usize = 2;
/// The tokens of each item that the fleet's callers submit.
const ITEM_TOKENS: usize = 10;
const BOUND: usize = 100;
/// The three items of a lot. The bound admits three such lots and a part of a fourth.
const LOT_BODIES: [&str; 3] = ["one", "two", "three"];
/// Changed settings are in force at every daemon within this time.
const SETTINGS_DELAY: Duration = Duration::from_millis(1_500);

/// Starts a fleet with the bound and without a daemon that runs lots.
async fn bounded_fleet() -> Fleet {
    let mut fleet = Fleet::started().await;
    fleet.kill(LOT_DAEMON);
    set_token_bound(&mut fleet, BOUND).await;
    fleet
}

async fn set_token_bound(fleet: &mut Fleet, bound: usize) {
    fleet.put_token_bound(&json!(bound));
    tokio::time::sleep(SETTINGS_DELAY).await;
}

/// Returns the tokens of all lots in the store.
fn accepted_tokens(fleet: &Fleet) -> usize {
    let keys = fleet.store.keys("lots/data/");
    let heads = keys.iter().filter(|it| it.key.ends_with("/head"));
    let totals = heads.map(|it| {
        let head: Value = serde_json::from_slice(&it.value).unwrap();
        head["total"].as_u64().unwrap() as usize
    });
    totals.sum::<usize>() * ITEM_TOKENS
}

async fn submit_lot(fleet: &Fleet, daemon: usize, lot: &str) -> StatusCode {
    fleet.submit_lot(daemon, lot, &LOT_BODIES).await.unwrap()
}

/// Guards against two daemons that each count a customer's tokens, both find the same
/// capacity, and both use it.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_accept_at_once_keep_the_bound_together() {
    let mut fleet = bounded_fleet().await;
    let lots: Vec<String> = (0..12).map(|it| format!("lot-{it}")).collect();
    let submissions = lots.iter().enumerate();
    let statuses =
        join_all(submissions.map(|(index, lot)| submit_lot(&fleet, index % 2, lot))).await;
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
        let repeat = submit_lot(&fleet, 1, lot).await;
        assert_eq!(repeat, *status, "repeated submission of {lot}");
    }
    assert_eq!(
        accepted_tokens(&fleet),
        90,
        "a repeated submission isn't counted again"
    );

    fleet.restart(LOT_DAEMON);
    for (lot, _) in lots.iter().zip(&statuses).filter(|it| it.1.is_success()) {
        fleet.read_finished_lot(0, lot).await;
    }
    let refused = lots.iter().zip(&statuses).find(|it| !it.1.is_success());
    let (lot, _) = refused.unwrap();
    fleet
        .eventually("the bound admits a lot again", async || {
            submit_lot(&fleet, 0, lot).await == StatusCode::ACCEPTED
        })
        .await;
}

/// Guards against a write that takes effect only after its daemon gave it up, when other
/// lots have used its capacity.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_write_does_not_use_capacity_twice() {
    let fleet = bounded_fleet().await;
    assert_eq!(submit_lot(&fleet, 0, "lot-a").await, StatusCode::ACCEPTED);
    assert_eq!(submit_lot(&fleet, 0, "lot-b").await, StatusCode::ACCEPTED);
    let write_delay = Duration::from_millis(1_500);
    for daemon in &fleet.daemons[..LOT_DAEMON] {
        daemon
            .store_endpoint
            .faults
            .delay_writes(1_000, write_delay);
    }
    let (first, second) = tokio::join!(submit_lot(&fleet, 0, "lot-c"), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.daemons[1]
            .store_endpoint
            .faults
            .delay_writes(0, write_delay);
        submit_lot(&fleet, 1, "lot-d").await
    });
    tokio::time::sleep(2 * write_delay).await;
    assert_eq!(accepted_tokens(&fleet), 90, "{first} and {second}");
    for (lot, status) in [("lot-c", first), ("lot-d", second)] {
        let is_stored = !fleet
            .store
            .keys(&format!("lots/data/{lot}/head"))
            .is_empty();
        match status {
            StatusCode::ACCEPTED => assert!(is_stored, "{lot}"),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                assert!(!is_stored, "{lot}");
            }
            _ => {}
        }
    }
    fleet.daemons[0]
        .store_endpoint
        .faults
        .delay_writes(0, write_delay);
    let status = submit_lot(&fleet, 0, "lot-e").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// A lot is stored although the store's answer was lost, and its caller submits it again.
/// It must be counted once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_answer_was_lost_is_counted_once() {
    let fleet = bounded_fleet().await;
    fleet.daemons[0].store_endpoint.faults.lose_answers(2);
    assert_eq!(submit_lot(&fleet, 0, "lot-a").await, StatusCode::ACCEPTED);
    for lot in ["lot-a", "lot-b", "lot-c"] {
        assert_eq!(
            submit_lot(&fleet, 1, lot).await,
            StatusCode::ACCEPTED,
            "{lot}"
        );
    }
    let status = submit_lot(&fleet, 0, "lot-d").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// Guards against tokens of ended lots that are never returned.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_ended_lots_come_back() {
    let fleet = bounded_fleet().await;
    for lot in ["lot-a", "lot-b", "lot-c"] {
        assert_eq!(submit_lot(&fleet, 0, lot).await, StatusCode::ACCEPTED);
    }
    let end = CallerRequest {
        method: comfreyramp_http::Method::DELETE,
        ..CallerRequest::get("/-/lots/lot-b")
    };
    assert_eq!(fleet.send(1, end).await.unwrap().status(), StatusCode::OK);
    fleet
        .eventually("the bound admits one more lot", async || {
            submit_lot(&fleet, 0, "lot-d").await == StatusCode::ACCEPTED
        })
        .await;
    let status = submit_lot(&fleet, 1, "lot-e").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// A bound that is set while lots wait must also count those that were accepted without
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_bound_counts_what_waits_already() {
    let mut fleet = Fleet::started().await;
    fleet.kill(LOT_DAEMON);
    for lot in ["lot-a", "lot-b", "lot-c", "lot-d"] {
        assert_eq!(submit_lot(&fleet, 0, lot).await, StatusCode::ACCEPTED);
    }
    set_token_bound(&mut fleet, BOUND).await;
    for daemon in [0, 1] {
        let status = submit_lot(&fleet, daemon, "lot-e").await;
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    }
    set_token_bound(&mut fleet, 2 * BOUND).await;
    assert_eq!(submit_lot(&fleet, 1, "lot-e").await, StatusCode::ACCEPTED);
    set_token_bound(&mut fleet, BOUND / 2).await;
    let status = submit_lot(&fleet, 0, "lot-f").await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
}

/// Guards against a customer that is refused for ever because of a count that can't be read
/// or that includes lots which are gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_ledger_is_repaired() {
    let fleet = bounded_fleet().await;
    assert_eq!(submit_lot(&fleet, 0, "lot-a").await, StatusCode::ACCEPTED);
    let ledger = fleet.store.keys("lots/waiting/").remove(0).key;
    let outdated = json!({"bound": BOUND, "lots": [{"lot": "lot-x", "tokens": BOUND}]});
    for (index, value) in [outdated.to_string(), "damaged".to_owned()]
        .iter()
        .enumerate()
    {
        fleet.store.put(&ledger, value.as_bytes());
        let lot = format!("lot-b{index}");
        assert_eq!(submit_lot(&fleet, index, &lot).await, StatusCode::ACCEPTED);
    }
    let status = submit_lot(&fleet, 0, "lot-c").await;
    assert_eq!(
        status,
        StatusCode::TOO_MANY_REQUESTS,
        "lot-a is still counted"
    );
}

/// A refused lot must be answered with the time of a retry, but without one if it can never
/// fit.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_when_to_retry() {
    let fleet = bounded_fleet().await;
    let submit = async |lot: &str, items: usize| {
        let items: Vec<Value> = (0..items).map(|it| item(lot, it, "body")).collect();
        let body = json!({"items": items}).to_string();
        let path = format!("/lots/{lot}");
        let response = fleet
            .send(0, CallerRequest::post(&path, lot, body.as_bytes()))
            .await;
        response.unwrap()
    };
    assert_eq!(submit("lot-a", 10).await.status(), StatusCode::ACCEPTED);
    let full = submit("lot-b", 1).await;
    assert_eq!(full.status(), StatusCode::TOO_MANY_REQUESTS);
    let retry_after: f64 = full.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((0.5..=15.0).contains(&retry_after), "{retry_after}");
    let too_large = submit("lot-c", 11).await;
    assert_eq!(too_large.status(), StatusCode::TOO_MANY_REQUESTS);
    assert!(!too_large.headers().contains_key("retry-after"));
}

/// Guards against invalid counts that crash a daemon or leave a lot uncounted.
#[tokio::test(flavor = "multi_thread")]
async fn unusable_counts_are_refused() {
    let mut fleet = bounded_fleet().await;
    let cases = [json!(-1), json!("many"), json!(1.5), json!(u64::MAX)];
    for (index, tokens) in cases.iter().enumerate() {
        let lot = format!("lot-{index}");
        let mut items = vec![item(&lot, 0, "body"), item(&lot, 1, "body")];
        items[1]["tokens"] = tokens.clone();
        let body = json!({"items": items}).to_string();
        let path = format!("/lots/{lot}");
        let response = fleet
            .send(0, CallerRequest::post(&path, &lot, body.as_bytes()))
            .await;
        assert_eq!(
            response.unwrap().status(),
            StatusCode::BAD_REQUEST,
            "{tokens}"
        );
    }
    fleet.put_token_bound(&json!("much"));
    tokio::time::sleep(SETTINGS_DELAY).await;
    for lot in ["lot-a", "lot-b", "lot-c"] {
        assert_eq!(submit_lot(&fleet, 0, lot).await, StatusCode::ACCEPTED);
    }
    let status = submit_lot(&fleet, 0, "lot-d").await;
    assert_eq!(
        status,
        StatusCode::TOO_MANY_REQUESTS,
        "the previous bound stays in force"
    );
}

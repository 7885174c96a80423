//! How often daemons list the store for lots.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_output};

/// The indexes of the daemons in the fleet.
const FIRST_ENTRY: usize = 0;
const SECOND_ENTRY: usize = 1;
const LOT_DAEMON: usize = 2;
/// A time after which the progress of a finished lot is no longer reported.
const PROGRESS_SILENCE: Duration = Duration::from_millis(9_000);

/// Returns how often a daemon has listed the data of a lot.
fn list_count(fleet: &Fleet, daemon: usize, lot: &str) -> usize {
    let endpoint = &fleet.daemons[daemon].store_endpoint;
    endpoint.list_count(&format!("lots/data/{lot}/"))
}

/// Lots are read where they were accepted and at another daemon, from the moment of their
/// acceptance until after their daemon reports them no longer. If an entry daemon listed a
/// lot that its runner has a complete copy of, most of the billed calls would be such lists.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_that_its_runner_has_is_not_listed_by_readers() {
    let fleet = Fleet::started().await;
    // After the start, daemons need a moment to learn of each other.
    tokio::time::sleep(Duration::from_millis(800)).await;
    let lots = ["lot-a", "lot-b", "lot-c", "lot-d"];
    let before = fleet.store.put("op/note", b"");
    for lot in lots {
        let status = fleet.submit_lot(FIRST_ENTRY, lot, &["one", "two"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        fleet.read_lot(FIRST_ENTRY, lot, 0).await.unwrap();
    }
    let counts = |daemon: usize| -> Vec<usize> {
        let counts = lots.iter().map(|lot| list_count(&fleet, daemon, lot));
        counts.collect()
    };
    for lot in lots {
        fleet.read_finished_lot(FIRST_ENTRY, lot).await;
    }
    let by_acceptor = counts(FIRST_ENTRY);
    tokio::time::sleep(PROGRESS_SILENCE).await;
    for lot in lots {
        let page = fleet.read_lot(SECOND_ENTRY, lot, 0).await.unwrap();
        assert_eq!(page["next"], 2);
    }
    let by_reader = counts(SECOND_ENTRY);
    let by_runner = counts(LOT_DAEMON);
    let writes = fleet.store.put("op/note", b"") - before - 1;
    println!(
        "lists: {by_acceptor:?} by the acceptor, {by_reader:?} by the reader, {by_runner:?} by the runner; {writes} writes"
    );
    assert_eq!(by_acceptor, [0; 4]);
    assert_eq!(by_reader, [0; 4]);
    // A daemon that claims a lot again after it has finished it lists it twice.
    assert_eq!(by_runner, [1; 4]);
    assert_eq!(writes, 12, "each lot is accepted, claimed and finished");
    let metrics = fleet.metrics(SECOND_ENTRY).await;
    let answered = "event=\"remembered_runner_answered\"} 4";
    assert!(metrics.contains(answered), "{metrics}");
}

/// Lots are read at another daemon while they are being claimed. Such a read used to list the
/// store, though its daemon had heard which one would run the lot.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_that_is_being_claimed_is_rarely_listed_by_readers() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let store = &fleet.daemons[LOT_DAEMON].store_endpoint;
    let mut listed = 0;
    for number in 0..6 {
        let lot = format!("lot-{number}");
        store.faults.hold_answers(true);
        let status = fleet.submit_lot(FIRST_ENTRY, &lot, &["one"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        // Notices are sent a moment after the acceptance.
        tokio::time::sleep(Duration::from_millis(80)).await;
        let claim = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            store.faults.hold_answers(false);
        };
        let (page, ()) = tokio::join!(fleet.read_lot(SECOND_ENTRY, &lot, 0), claim);
        assert!(page.is_some());
        listed += list_count(&fleet, SECOND_ENTRY, &lot);
        fleet.read_finished_lot(FIRST_ENTRY, &lot).await;
    }
    println!("lists of lots that were being claimed: {listed} of 6");
    // A daemon that is slow to run sends its notice late.
    assert!(listed <= 3, "{listed} of 6 lots were listed");
}

/// The daemon that ran a lot is killed after it stopped reporting it. An entry daemon that
/// remembers it must still show the results at once, and refuse a lot that doesn't exist.
#[tokio::test(flavor = "multi_thread")]
async fn results_are_read_from_the_store_where_the_remembered_runner_is_gone() {
    let mut fleet = Fleet::started().await;
    let status = fleet.submit_lot(FIRST_ENTRY, "lot-k", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.read_finished_lot(FIRST_ENTRY, "lot-k").await;
    tokio::time::sleep(PROGRESS_SILENCE).await;
    fleet.kill(LOT_DAEMON);
    let mut request = CallerRequest::get("/-/lots/lot-k?after=0");
    request.wait_ms = 0;
    let response = fleet.send(SECOND_ENTRY, request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let page: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(page["results"][0]["output"], expected_output());
    assert_eq!(list_count(&fleet, SECOND_ENTRY, "lot-k"), 1);
    let request = CallerRequest::get("/-/lots/lot-none?after=0");
    let response = fleet.send(SECOND_ENTRY, request).await.unwrap();
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
}

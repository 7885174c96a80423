//! Results that a caller has read stay readable for every later reader, at any daemon.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::link::LinkMode;
use fleet::{CallerRequest, Fleet};
use serde_json::Value;

/// The indexes of the daemons in the fleet.
const FIRST_ENTRY: usize = 0;
const SECOND_ENTRY: usize = 1;
const LOT_DAEMON: usize = 2;
/// The index of the link between the first entry daemon and the store. The links to the
/// three servers precede it.
const FIRST_ENTRY_STORE_LINK: usize = 3;
/// What one reader has received, every other reader receives after this time at the latest.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(1_000);

/// Starts a fleet in which the results of a lot are in the store, but the daemon that runs
/// the lot has no answer to that write yet. The lot was read at the first entry daemon
/// before there were any results.
async fn fleet_with_unanswered_write(lot: &str) -> Fleet {
    let fleet = Fleet::started().await;
    let status = fleet.submit_lot(SECOND_ENTRY, lot, &["one", "two"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    wait_for_first_item(&fleet).await;
    hold_answers(&fleet, true);
    let page = fleet.read_lot(FIRST_ENTRY, lot, 0).await.unwrap();
    assert_eq!(page["next"], 0, "no results are written yet");
    let results = format!("lots/data/{lot}/results/");
    fleet
        .eventually("the results are written", async || {
            !fleet.store.keys(&results).is_empty()
        })
        .await;
    fleet
}

/// Waits until a server has received an item: by then the daemon that runs the lot knows of
/// its claim. While the claim is undecided, no item is started.
async fn wait_for_first_item(fleet: &Fleet) {
    fleet
        .eventually("an item is started", async || {
            fleet.servers.iter().any(|it| !it.arrivals().is_empty())
        })
        .await;
}

/// Holds back the store's answers to writes, including writes that one daemon relays for
/// another.
fn hold_answers(fleet: &Fleet, is_on: bool) {
    for daemon in &fleet.daemons {
        daemon.store_endpoint.faults.hold_answers(is_on);
    }
}

/// Returns the number of results that a daemon returns of a lot.
async fn result_count(fleet: &Fleet, daemon: usize, lot: &str) -> u64 {
    let page = fleet.read_lot(daemon, lot, 0).await.unwrap();
    page["next"].as_u64().unwrap()
}

/// The VM that runs a lot is lost just when its last results are in the store, and is back
/// within a second. No peer has a report of these results, and the daemon's next incarnation
/// doesn't report the lot. A customer reads them at one daemon, and another reader at a
/// daemon that had read the lot before is told that there are none. That daemon took its
/// copy for complete because it received reports from every daemon that runs lots,
/// including the new incarnation of the lost one. The logs had both answers side by side:
///
/// ```text
/// entry-2 lots: read after=0 known=2 copy_from=store copy_age_ms=0
/// entry-1 lots: read after=0 known=0 copy_from=store copy_age_ms=1615 runner=""
/// ```
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_returned_stay_after_their_daemon_was_restarted() {
    let mut fleet = fleet_with_unanswered_write("lot-r").await;
    fleet.kill(LOT_DAEMON);
    hold_answers(&fleet, false);
    fleet.restart(LOT_DAEMON);
    fleet.read_finished_lot(SECOND_ENTRY, "lot-r").await;
    tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
    assert_eq!(result_count(&fleet, FIRST_ENTRY, "lot-r").await, 2);
}

/// The VM that runs a lot is paused while its results are written, and resumes a moment
/// later without an answer from the store. Meanwhile the store has returned the results to
/// a reader. The daemon's reports arrive again and state no results, as far as it knows.
/// Readers at a daemon that relies on this report must not be told the same.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_returned_stay_while_their_daemon_waits_for_the_store() {
    let fleet = fleet_with_unanswered_write("lot-w").await;
    fleet.pause(LOT_DAEMON);
    fleet.read_finished_lot(SECOND_ENTRY, "lot-w").await;
    fleet.resume(LOT_DAEMON);
    tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
    assert_eq!(result_count(&fleet, FIRST_ENTRY, "lot-w").await, 2);
}

/// The daemon that runs a lot waits for the store's answer to its write. Peers take the
/// copy that it sends for complete, so if it sent one during that time, they would tell
/// readers that there are no more results.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_may_lack_results_sends_its_copy_to_no_peer() {
    let fleet = fleet_with_unanswered_write("lot-s").await;
    // The store usually answers within a few milliseconds, during which a daemon still
    // confirms its copy.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.read_lot_as_peer(LOT_DAEMON, "lot-s").await, None);
    hold_answers(&fleet, false);
    fleet
        .eventually("the daemon knows the result of its write", async || {
            fleet.read_lot_as_peer(LOT_DAEMON, "lot-s").await.is_some()
        })
        .await;
    assert_eq!(result_count(&fleet, FIRST_ENTRY, "lot-s").await, 2);
}

/// No daemon runs a lot, and the store is slow. Its answer describes the state at the time
/// of the request; by the time that it arrives, other readers may have received results. A
/// reader must be told to retry, rather than that there is nothing, and without a long
/// wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_no_proof_that_there_are_no_results() {
    let mut fleet = Fleet::with_links().await;
    let status = fleet
        .submit_lot(SECOND_ENTRY, "lot-l", &["one", "two"])
        .await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.kill(LOT_DAEMON);
    let page = fleet.read_lot(FIRST_ENTRY, "lot-l", 0).await;
    assert!(page.is_some(), "the store answers without delay");
    let store = &fleet.links[FIRST_ENTRY_STORE_LINK];
    store
        .faults
        .set_mode(LinkMode::Delayed(Duration::from_millis(400)));
    // What the daemon knew a moment ago is no proof any more.
    tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
    let sent_at = Instant::now();
    let response = fleet
        .send(FIRST_ENTRY, CallerRequest::get("/-/lots/lot-l?after=0"))
        .await;
    assert_eq!(response.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent_at.elapsed() < Duration::from_millis(2_000));
}

/// The VM of an entry daemon is paused while a lot is run. Its peers' messages wait in its
/// receive queue, which is soon full, so that only the first ones are kept: those that
/// report no results. When it resumes, it must not take them for current, and tell a
/// customer that there is nothing, though another reader received the results long ago.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_daemon_does_not_take_old_messages_for_current_ones() {
    let fleet = Fleet::started().await;
    for server in &fleet.servers {
        server.set_full(true);
    }
    let status = fleet
        .submit_lot(SECOND_ENTRY, "lot-o", &["one", "two"])
        .await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet
        .eventually("the lot is claimed", async || {
            !fleet.store.keys("lots/claim/lot-o").is_empty()
        })
        .await;
    assert_eq!(result_count(&fleet, FIRST_ENTRY, "lot-o").await, 0);
    fleet.pause(FIRST_ENTRY);
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.fill_receive_queue(FIRST_ENTRY);
    for server in &fleet.servers {
        server.set_full(false);
    }
    fleet.read_finished_lot(SECOND_ENTRY, "lot-o").await;
    tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
    fleet.resume(FIRST_ENTRY);
    let mut counts = Vec::new();
    for _ in 0..100 {
        let mut request = CallerRequest::get("/-/lots/lot-o?after=0");
        request.wait_ms = 0;
        let response = fleet.send(FIRST_ENTRY, request).await.unwrap();
        // The daemon may also answer that it can't be sure.
        if response.status() == StatusCode::OK {
            let page: Value = serde_json::from_slice(response.body()).unwrap();
            counts.push(page["next"].as_u64().unwrap());
        }
    }
    // The daemon writes the log lines of a failure a moment later.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!counts.is_empty());
    assert!(counts.iter().all(|it| *it == 2), "{counts:?}");
}

/// The daemon that runs a lot is stopped for planned maintenance just when its last results
/// are in the store, with or without the store's answer. Its last report may be older than
/// what the store has returned to a reader.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_returned_stay_when_their_daemon_is_stopped() {
    for (lot, has_answer) in [("lot-s", true), ("lot-t", false)] {
        let mut fleet = fleet_with_unanswered_write(lot).await;
        hold_answers(&fleet, !has_answer);
        fleet.terminate(LOT_DAEMON);
        fleet.read_finished_lot(SECOND_ENTRY, lot).await;
        for _ in 0..2 {
            tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
            assert_eq!(result_count(&fleet, FIRST_ENTRY, lot).await, 2, "{lot}");
        }
        hold_answers(&fleet, false);
        assert!(fleet.exits_cleanly(LOT_DAEMON).await);
        assert_eq!(result_count(&fleet, FIRST_ENTRY, lot).await, 2, "{lot}");
    }
}

/// The VM of an entry daemon is paused while results of a lot are written, and while the
/// daemon that wrote them is lost. Meanwhile other readers receive the results. After it
/// resumes, the entry daemon first receives what the lost one reported in the moments
/// before its write. If it took these reports for current, a customer in that half second
/// would be told that there are no results.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_returned_stay_at_a_daemon_that_was_paused() {
    let mut fleet = Fleet::started().await;
    let items = ["takes 1500", "takes 1500"];
    let status = fleet.submit_lot(SECOND_ENTRY, "lot-s", &items).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    wait_for_first_item(&fleet).await;
    assert_eq!(result_count(&fleet, FIRST_ENTRY, "lot-s").await, 0);
    fleet.pause(FIRST_ENTRY);
    hold_answers(&fleet, true);
    fleet
        .eventually("the results are written", async || {
            !fleet.store.keys("lots/data/lot-s/results/").is_empty()
        })
        .await;
    fleet.kill(LOT_DAEMON);
    hold_answers(&fleet, false);
    fleet.read_finished_lot(SECOND_ENTRY, "lot-s").await;
    tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
    fleet.resume(FIRST_ENTRY);
    tokio::time::sleep(Duration::from_millis(10)).await;
    let page = fleet.read_lot(FIRST_ENTRY, "lot-s", 0).await;
    // The daemon may also ask the reader to retry.
    assert!(
        page.is_none_or(|it| it["next"] == 2),
        "results that were returned are missing"
    );
}

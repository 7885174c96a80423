//! What a caller was shown of a lot is there for every later reader, at any daemon.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::link::LinkMode;
use fleet::{Ask, Fleet};
use serde_json::Value;

/// The places of the daemons in the fleet.
const FIRST_ENTRY: usize = 0;
const SECOND_ENTRY: usize = 1;
const LOTS: usize = 2;
/// The link between the first daemon and the store, behind those of three servers.
const STORE_OF_FIRST_ENTRY: usize = 3;
/// What one reader was shown, others have to be shown after so long at the latest.
const SETTLE: Duration = Duration::from_millis(1_000);

/// A fleet in which the results of a lot are in the store, and the daemon that runs
/// it has no answer to that write yet. Before there were any, somebody read the lot
/// at the first daemon.
async fn with_undecided_results(lot: &str) -> Fleet {
    let fleet = Fleet::started().await;
    let status = fleet.hand_in(SECOND_ENTRY, lot, &["one", "two"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    item_begins(&fleet).await;
    hold_answers(&fleet, true);
    let page = fleet.read_lot(FIRST_ENTRY, lot, 0).await.unwrap();
    assert_eq!(page["next"], 0, "nothing is written yet");
    let results = format!("lots/data/{lot}/results/");
    fleet
        .eventually("the results are written", async || {
            !fleet.store.keys(&results).is_empty()
        })
        .await;
    fleet
}

/// Waits until a server has an item: the daemon that runs the lot knows of its claim
/// then. Without that its claim would be undecided, and no item begin.
async fn item_begins(fleet: &Fleet) {
    fleet
        .eventually("an item begins", async || {
            fleet.runners.iter().any(|it| !it.arrivals().is_empty())
        })
        .await;
}

/// Holds back the store's answers to writes, also to those that one daemon makes for
/// another.
fn hold_answers(fleet: &Fleet, is_on: bool) {
    for node in &fleet.nodes {
        node.door.faults.hold_answers(is_on);
    }
}

/// The positions that a daemon shows of a lot.
async fn shown(fleet: &Fleet, node: usize, lot: &str) -> u64 {
    let page = fleet.read_lot(node, lot, 0).await.unwrap();
    page["next"].as_u64().unwrap()
}

/// The VM that runs a lot is lost in the moment in which its last results are in
/// the store, and is back within a second. Nobody heard of these results; the daemon
/// says nothing of the lot in its next life. A customer reads them at one daemon, and
/// a colleague, who asks another one that had looked at the lot before, is told that
/// there are none. That daemon took its copy for complete because it heard every
/// daemon that runs lots, the new life of the lost one included, and the logs had both
/// answers side by side:
///
/// ```text
/// entry-2 lots: read after=0 known=2 copy_from=store copy_age_ms=0
/// entry-1 lots: read after=0 known=0 copy_from=store copy_age_ms=1615 runner=""
/// ```
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_shown_stay_after_their_daemon_was_restarted() {
    let mut fleet = with_undecided_results("lot-r").await;
    fleet.kill(LOTS);
    hold_answers(&fleet, false);
    fleet.restart(LOTS);
    fleet.whole_lot(SECOND_ENTRY, "lot-r").await;
    tokio::time::sleep(SETTLE).await;
    assert_eq!(shown(&fleet, FIRST_ENTRY, "lot-r").await, 2);
}

/// The VM that runs a lot stands still while its results are written, and wakes up
/// a moment later without an answer from the store. Meanwhile the store has shown the
/// results to somebody. The daemon is heard again and says that there are none, as far
/// as it knows; whoever asks a daemon that goes by its word is told the same.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_shown_stay_while_their_daemon_waits_for_the_store() {
    let fleet = with_undecided_results("lot-w").await;
    fleet.pause(LOTS);
    fleet.whole_lot(SECOND_ENTRY, "lot-w").await;
    fleet.resume(LOTS);
    tokio::time::sleep(SETTLE).await;
    assert_eq!(shown(&fleet, FIRST_ENTRY, "lot-w").await, 2);
}

/// The daemon that runs a lot waits for the store's answer to its write. Others take
/// what it shows for all there is; should it show its results as if nothing were under
/// way, they would tell readers that there are no more.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_may_lack_results_shows_its_copy_to_nobody() {
    let fleet = with_undecided_results("lot-s").await;
    // Answers usually take a few milliseconds, for which a daemon speaks on.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.shown_to_peers(LOTS, "lot-s").await, None);
    hold_answers(&fleet, false);
    fleet
        .eventually("it knows of its write", async || {
            fleet.shown_to_peers(LOTS, "lot-s").await.is_some()
        })
        .await;
    assert_eq!(shown(&fleet, FIRST_ENTRY, "lot-s").await, 2);
}

/// Nobody runs a lot, and the store takes its time. What it says was so when it was
/// asked; by the time that the answer is here, others may have been shown results. A
/// reader is told to come back, and neither that there is nothing nor after an age.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_no_proof_that_there_are_no_results() {
    let mut fleet = Fleet::linked().await;
    let status = fleet.hand_in(SECOND_ENTRY, "lot-l", &["one", "two"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.kill(LOTS);
    let page = fleet.read_lot(FIRST_ENTRY, "lot-l", 0).await;
    assert!(page.is_some(), "the store answers at once");
    let store = &fleet.links[STORE_OF_FIRST_ENTRY];
    store
        .faults
        .set_mode(LinkMode::Delayed(Duration::from_millis(400)));
    // What the daemon knew a moment ago is no proof any more.
    tokio::time::sleep(SETTLE).await;
    let begun = Instant::now();
    let answer = fleet
        .ask(FIRST_ENTRY, Ask::get("/-/lots/lot-l?after=0"))
        .await;
    assert_eq!(answer.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(begun.elapsed() < Duration::from_millis(2_000));
}

/// The VM of a daemon that callers reach stands still while a lot is run. What the others
/// told it waits in its queue, which is full soon, so that it has only what was said at
/// first: that there are no results. It wakes up and reads that as if it were said now,
/// and a customer who asks in this moment is told that there is nothing, though somebody
/// was shown the results long ago.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_stood_still_takes_no_old_word_for_news() {
    let fleet = Fleet::started().await;
    for runner in &fleet.runners {
        runner.set_full(true);
    }
    let status = fleet.hand_in(SECOND_ENTRY, "lot-o", &["one", "two"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet
        .eventually("the lot is claimed", async || {
            !fleet.store.keys("lots/claim/lot-o").is_empty()
        })
        .await;
    assert_eq!(shown(&fleet, FIRST_ENTRY, "lot-o").await, 0);
    fleet.pause(FIRST_ENTRY);
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.fill_queue(FIRST_ENTRY);
    for runner in &fleet.runners {
        runner.set_full(false);
    }
    fleet.whole_lot(SECOND_ENTRY, "lot-o").await;
    tokio::time::sleep(SETTLE).await;
    fleet.resume(FIRST_ENTRY);
    let mut shown = Vec::new();
    for _ in 0..100 {
        let mut ask = Ask::get("/-/lots/lot-o?after=0");
        ask.wait_ms = 0;
        let answer = fleet.ask(FIRST_ENTRY, ask).await.unwrap();
        // It may also say that it isn't sure.
        if answer.status() == StatusCode::OK {
            let page: Value = serde_json::from_slice(answer.body()).unwrap();
            shown.push(page["next"].as_u64().unwrap());
        }
    }
    // What the daemon logs of a failure is written a moment later.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!shown.is_empty());
    assert!(shown.iter().all(|it| *it == 2), "{shown:?}");
}

/// The daemon that runs a lot is stopped for a planned change in the moment in which its
/// last results are in the store, whether it has the store's answer or not. Its last word
/// may be older than what the store shows to somebody.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_shown_stay_when_their_daemon_is_stopped() {
    for (lot, has_answer) in [("lot-s", true), ("lot-t", false)] {
        let mut fleet = with_undecided_results(lot).await;
        hold_answers(&fleet, !has_answer);
        fleet.terminate(LOTS);
        fleet.whole_lot(SECOND_ENTRY, lot).await;
        for _ in 0..2 {
            tokio::time::sleep(SETTLE).await;
            assert_eq!(shown(&fleet, FIRST_ENTRY, lot).await, 2, "{lot}");
        }
        hold_answers(&fleet, false);
        assert!(fleet.ended(LOTS).await);
        assert_eq!(shown(&fleet, FIRST_ENTRY, lot).await, 2, "{lot}");
    }
}

/// The VM of a daemon for callers stands still while results of a lot are written, and
/// while the daemon that wrote them is lost. Others are shown the results meanwhile.
/// Awake again, the daemon first hears what the lost one had said in the last moments
/// before it wrote, and takes it for said just now. A customer who comes in the same
/// half second is told that there are none.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_shown_stay_at_a_daemon_that_stood_still() {
    let mut fleet = Fleet::started().await;
    let items = ["takes 1500", "takes 1500"];
    let status = fleet.hand_in(SECOND_ENTRY, "lot-s", &items).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    item_begins(&fleet).await;
    assert_eq!(shown(&fleet, FIRST_ENTRY, "lot-s").await, 0);
    fleet.pause(FIRST_ENTRY);
    hold_answers(&fleet, true);
    fleet
        .eventually("the results are written", async || {
            !fleet.store.keys("lots/data/lot-s/results/").is_empty()
        })
        .await;
    fleet.kill(LOTS);
    hold_answers(&fleet, false);
    fleet.whole_lot(SECOND_ENTRY, "lot-s").await;
    tokio::time::sleep(SETTLE).await;
    fleet.resume(FIRST_ENTRY);
    tokio::time::sleep(Duration::from_millis(10)).await;
    let page = fleet.read_lot(FIRST_ENTRY, "lot-s", 0).await;
    // It may have the reader come back.
    assert!(page.is_none_or(|it| it["next"] == 2), "denied");
}

//! Items that fail on servers while the daemons that run them are lost and restarted.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use fleet::Fleet;
use serde_json::Value;

/// The index of the only daemon that runs lots.
const LOT_DAEMON: usize = 2;
/// How often a server may fail at an item, according to the routes in the fleet's settings.
const ATTEMPTS: usize = 2;
/// How long the scripted engine takes for its answer.
const RUN_TIME: Duration = Duration::from_millis(400);
/// How long the claim of a daemon that is silent holds, and a bit more.
const CLAIM_TERM: Duration = Duration::from_millis(4_500);

/// An item fails on every server, and the daemon that runs its lot is lost after each
/// failure. If its successor didn't know of the failures and started counting anew, the
/// item would keep wearing servers out, and its customer would never learn that it was
/// given up.
#[tokio::test(flavor = "multi_thread")]
async fn failures_of_an_item_are_kept_when_its_daemon_is_lost() {
    let mut fleet = Fleet::started().await;
    let status = fleet.submit_lot(0, "lot-f", &["fails"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    for loss in 1..=2 * ATTEMPTS {
        let run_count = |fleet: &Fleet| -> usize {
            let arrivals = fleet.servers.iter().map(|it| it.arrivals().len());
            arrivals.sum()
        };
        fleet
            .eventually("the item runs once more, or is given up", async || {
                let is_listed = !fleet.store.keys("lots/data/lot-f/results/").is_empty();
                run_count(&fleet) >= loss || is_listed
            })
            .await;
        // By now the failure is known and recorded, and the next attempt hasn't started.
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.kill(LOT_DAEMON);
        fleet.restart(LOT_DAEMON);
    }
    let page = fleet.read_finished_lot(0, "lot-f").await;
    assert_eq!(page["results"][0]["state"], "dead_letter");
    let arrivals: usize = fleet.servers.iter().map(|it| it.arrivals().len()).sum();
    assert_eq!(arrivals, ATTEMPTS);
}

/// A fleet whose only engine fails at the first run of an item and does each later one.
struct FailingFleet {
    fleet: Fleet,
    server: Arc<ScriptedServer>,
}

impl FailingFleet {
    /// Starts the fleet with `lot_daemons` daemons that run lots.
    async fn start(lot_daemons: usize) -> FailingFleet {
        let mut fleet = Fleet::started().await;
        for number in 2..=lot_daemons {
            let name = format!("lots-{number}");
            fleet.add_daemon(&name, "zone-2", false).await;
        }
        let runs = AtomicUsize::new(0);
        let script = move |it: &ScriptedRequest| {
            let id = it.request.id();
            let answer = match runs.fetch_add(1, Ordering::SeqCst) {
                0 => ScriptedAnswer::whole(500, id, b"the server failed"),
                _ => ScriptedAnswer::stream(id, b"id: 1\ndata: a\n\n"),
            };
            answer.delayed(RUN_TIME)
        };
        let server = fleet.add_scripted_engine(2, script).await;
        FailingFleet { fleet, server }
    }

    /// Submits a lot of one item and waits until its first run has begun. Returns the index
    /// of the daemon that runs the lot.
    async fn begin_lot(&self, lot: &str) -> usize {
        let status = self.fleet.submit_lot(0, lot, &["one"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        self.until_runs(1).await;
        let claims = self.fleet.store.keys(&format!("lots/claim/{lot}"));
        let claim: Value = serde_json::from_slice(&claims[0].value).unwrap();
        match claim["daemon"].as_str().unwrap() {
            "lots-1" => LOT_DAEMON,
            _ => LOT_DAEMON + 1,
        }
    }

    async fn until_runs(&self, runs: usize) {
        self.fleet
            .eventually("a run of the item begins", async || {
                self.server.requests().len() >= runs
            })
            .await;
    }

    /// Asserts that the item is done in its second run: its failure was counted once at most.
    async fn assert_done(&self, lot: &str) {
        let page = self.fleet.read_finished_lot(0, lot).await;
        assert_eq!(page["results"][0]["state"], "done");
    }

    /// Returns how often the item failed, according to the store; `None` before any count.
    fn stored_faults(&self, lot: &str) -> Option<u64> {
        let counts = self.fleet.store.keys(&format!("lots/data/{lot}/failures"));
        let counts: Value = serde_json::from_slice(&counts.first()?.value).unwrap();
        counts[0]["faults"].as_u64()
    }
}

/// A failure that reaches a daemon while its process is paused must not be counted by it and
/// by the daemon that took its lot over, whether it resumes before that or after.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_at_a_paused_daemon_is_counted_once() {
    for pause in [RUN_TIME * 2, CLAIM_TERM] {
        let fleet = FailingFleet::start(2).await;
        let daemon = fleet.begin_lot("lot-p").await;
        fleet.fleet.pause(daemon);
        tokio::time::sleep(pause).await;
        fleet.fleet.resume(daemon);
        fleet.assert_done("lot-p").await;
    }
}

/// The same where the daemon resumes while the other runs the item, and where that is paused
/// in turn, so that the lot comes back.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_between_daemons_that_pause_in_turn_is_counted_once() {
    for comes_back in [false, true] {
        let fleet = FailingFleet::start(2).await;
        let daemon = fleet.begin_lot("lot-t").await;
        let other = match daemon {
            LOT_DAEMON => LOT_DAEMON + 1,
            _ => LOT_DAEMON,
        };
        fleet.fleet.pause(daemon);
        fleet.until_runs(2).await;
        if comes_back {
            fleet.fleet.pause(other);
        }
        fleet.fleet.resume(daemon);
        if comes_back {
            fleet.until_runs(3).await;
            fleet.fleet.resume(other);
        }
        fleet.assert_done("lot-t").await;
    }
}

/// A write of counts whose answer is lost is repeated, which must not add to the counts.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_whose_count_gets_no_answer_is_counted_once() {
    let fleet = FailingFleet::start(1).await;
    fleet.begin_lot("lot-a").await;
    // At all daemons, since they make calls for each other.
    for daemon in &fleet.fleet.daemons {
        daemon.store_endpoint.faults.lose_answers(3);
    }
    fleet.until_runs(2).await;
    assert_eq!(fleet.stored_faults("lot-a"), Some(1));
    fleet.assert_done("lot-a").await;
}

/// The same where the store makes the writes only later, while the daemon goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_whose_count_is_written_late_is_counted_once() {
    let fleet = FailingFleet::start(1).await;
    fleet.begin_lot("lot-d").await;
    for daemon in &fleet.fleet.daemons {
        let faults = &daemon.store_endpoint.faults;
        faults.delay_writes(1, Duration::from_millis(1_200));
    }
    fleet.until_runs(2).await;
    assert_eq!(fleet.stored_faults("lot-d"), Some(1));
    fleet.assert_done("lot-d").await;
}

/// A count that the store writes while its daemon is lost must not be added to by the daemon
/// that takes the lot over.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_whose_daemon_is_lost_after_its_count_is_counted_once() {
    for is_late in [false, true] {
        let mut fleet = FailingFleet::start(2).await;
        let daemon = fleet.begin_lot("lot-k").await;
        let faults = &fleet.fleet.daemons[daemon].store_endpoint.faults;
        match is_late {
            true => faults.delay_writes(10, CLAIM_TERM / 2),
            false => faults.hold_answers(true),
        }
        // The failure is known by then, and the write of its count is sent.
        tokio::time::sleep(RUN_TIME * 2).await;
        fleet.fleet.kill(daemon);
        fleet.assert_done("lot-k").await;
        assert!(fleet.stored_faults("lot-k").unwrap_or_default() <= 1);
    }
}

/// A daemon that is lost after a failure reached it and before it counted it must leave no
/// more than one count.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_whose_daemon_is_lost_before_its_count_is_counted_once() {
    let mut fleet = FailingFleet::start(2).await;
    let daemon = fleet.begin_lot("lot-b").await;
    fleet.fleet.pause(daemon);
    tokio::time::sleep(RUN_TIME * 2).await;
    fleet.fleet.kill(daemon);
    fleet.fleet.restart(daemon);
    fleet.assert_done("lot-b").await;
}

/// A daemon whose lease expires while a failure reaches it claims its lot again with the
/// counts that it has, and must not count the failure again; nor may another daemon.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_at_a_daemon_that_loses_its_lease_is_counted_once() {
    for (lot_daemons, is_silent) in [(1, true), (1, false), (2, true), (2, false)] {
        let fleet = FailingFleet::start(lot_daemons).await;
        fleet.begin_lot("lot-l").await;
        let set_lost = |is_lost: bool| {
            for daemon in &fleet.fleet.daemons {
                let faults = &daemon.store_endpoint.faults;
                match is_silent {
                    true => faults.set_silent(is_lost),
                    false => faults.set_rejecting(is_lost),
                }
            }
        };
        set_lost(true);
        tokio::time::sleep(CLAIM_TERM).await;
        set_lost(false);
        fleet.assert_done("lot-l").await;
        assert!(fleet.stored_faults("lot-l").unwrap_or_default() <= 1);
    }
}

//! Items that fail at each run, and the loss of the daemons that run their lots.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use fleet::Fleet;
use serde_json::{Value, json};

/// The daemons that run lots.
const LOT_DAEMONS: [(usize, &str); 3] = [(2, "lots-1"), (3, "lots-2"), (4, "lots-3")];
/// How often an item may reach a server that answers it with 422, and one that answers with
/// 500 where the route has two attempts.
const MAX_IMPOSSIBLE_RUNS: usize = 3;
const MAX_FAILED_RUNS: usize = 6;
/// The attempts of the fleet's routes.
const ATTEMPTS: usize = 2;
/// The longest time until an item is given up.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How long a run may take to show.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// How a daemon stops running a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Kill,
    PlannedStop,
    EmptiedVm,
}

/// A fleet with three daemons that run lots, whose only engine answers by a script.
struct LotFleet {
    fleet: Fleet,
    server: Arc<ScriptedServer>,
}

impl LotFleet {
    async fn start(
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> LotFleet {
        let mut fleet = Fleet::started().await;
        for (_, name) in &LOT_DAEMONS[1..] {
            fleet.add_daemon(name, "zone-1", false).await;
        }
        let server = fleet.add_scripted_engine(2, script).await;
        LotFleet { fleet, server }
    }

    fn runs(&self) -> usize {
        self.server.requests().len()
    }

    /// Has the daemon that runs the lot stop running it, unless the lot has ended.
    async fn lose_runner(&mut self, lot: &str, loss: Loss) {
        let claims = self.fleet.store.keys(&format!("lots/claim/{lot}"));
        let Some(claim) = claims.first() else {
            return;
        };
        let claim: Value = serde_json::from_slice(&claim.value).unwrap();
        let is_runner = |it: &&(usize, &str)| claim["daemon"] == it.1;
        let (daemon, name) = *LOT_DAEMONS.iter().find(is_runner).unwrap();
        match loss {
            Loss::Kill => self.fleet.kill(daemon),
            Loss::PlannedStop => self.fleet.terminate(daemon),
            Loss::EmptiedVm => {
                let order = json!({"duration_s": 60}).to_string();
                let key = format!("op/retire/{name}");
                self.fleet.store.put(&key, order.as_bytes());
            }
        }
    }

    /// Submits a lot of one item, and has the daemon that runs it stop that after each of the
    /// runs in `losses`. Returns the item's result.
    async fn run_item(&mut self, lot: &str, losses: &[usize], loss: Loss) -> Value {
        let status = self.fleet.submit_lot(0, lot, &["one"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        let until = Instant::now() + MAX_WAIT;
        let mut losses = losses.iter().peekable();
        loop {
            if losses.next_if(|it| self.runs() >= **it).is_some() {
                self.lose_runner(lot, loss).await;
            }
            let page = match losses.peek() {
                None => self.fleet.read_lot(0, lot, 0).await,
                Some(_) => None,
            };
            if let Some(page) = page.filter(|it| it["next"] == it["total"]) {
                return page["results"][0].clone();
            }
            assert!(Instant::now() < until, "{} runs", self.runs());
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Returns a script that fails each request in an answer that ends with its connection.
fn undelimited(status: u16) -> impl Fn(&ScriptedRequest) -> ScriptedAnswer {
    move |it| ScriptedAnswer::until_close(status, it.request.id(), b"the server failed")
}

async fn assert_given_up(status: u16, losses: &[usize], loss: Loss, max_runs: usize) {
    let mut fleet = LotFleet::start(undelimited(status)).await;
    let result = fleet.run_item("lot-1", losses, loss).await;
    assert_eq!(result["state"], "dead_letter", "{status}, {loss:?}");
    tokio::time::sleep(SETTLE_TIME).await;
    let runs = fleet.runs();
    assert!(runs <= max_runs, "{status}, {loss:?}: {runs} runs");
    // A failure of a server says less than that an item can never be done.
    assert!(status == 422 || runs >= ATTEMPTS, "{loss:?}: {runs} runs");
}

/// Guards against an item that can never be done and is run again and again, since each daemon
/// that is killed takes its count of the answers with it.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_an_item_is_impossible_are_counted_beyond_a_kill() {
    for losses in [&[1][..], &[2], &[1, 2]] {
        assert_given_up(422, losses, Loss::Kill, MAX_IMPOSSIBLE_RUNS).await;
    }
}

/// Guards against the same where a daemon leaves in an orderly way.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_an_item_is_impossible_are_counted_beyond_a_hand_over() {
    for loss in [Loss::PlannedStop, Loss::EmptiedVm] {
        assert_given_up(422, &[2], loss, MAX_IMPOSSIBLE_RUNS).await;
    }
}

/// Guards against an item at which servers fail and that is run again and again, since each
/// daemon that leaves takes its count of the failures with it.
#[tokio::test(flavor = "multi_thread")]
async fn failures_without_a_length_are_counted_beyond_a_daemon() {
    assert_given_up(500, &[3], Loss::Kill, MAX_FAILED_RUNS).await;
    assert_given_up(500, &[2, 3], Loss::Kill, MAX_FAILED_RUNS).await;
    assert_given_up(500, &[3], Loss::PlannedStop, MAX_FAILED_RUNS).await;
    assert_given_up(500, &[3], Loss::EmptiedVm, MAX_FAILED_RUNS).await;
}

/// Guards against an item that is run often although its failures are cut off, since the pauses
/// between its runs begin anew at another daemon.
#[tokio::test(flavor = "multi_thread")]
async fn pauses_after_failures_that_are_cut_off_go_on_at_another_daemon() {
    for (status, loss) in [(422, Loss::Kill), (500, Loss::PlannedStop)] {
        let script = move |it: &ScriptedRequest| {
            ScriptedAnswer::cut(status, it.request.id(), b"the server failed")
        };
        let mut fleet = LotFleet::start(script).await;
        let submitted = fleet.fleet.submit_lot(0, "lot-1", &["one"]).await;
        assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
        for lost_after in [1, 2] {
            let until = Instant::now() + MAX_WAIT;
            while fleet.runs() < lost_after {
                assert!(Instant::now() < until, "{} runs", fleet.runs());
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            // The count is written a moment after the answer.
            tokio::time::sleep(Duration::from_millis(100)).await;
            fleet.lose_runner("lot-1", loss).await;
        }
        tokio::time::sleep(Duration::from_secs(9)).await;
        let runs = fleet.runs();
        assert!(runs <= MAX_IMPOSSIBLE_RUNS, "{status}, {loss:?}: {runs}");
    }
}
